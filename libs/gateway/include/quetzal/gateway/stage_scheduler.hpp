#ifndef QUETZAL_GATEWAY_STAGE_SCHEDULER_HPP
#define QUETZAL_GATEWAY_STAGE_SCHEDULER_HPP

// Schedules the stages of many requests, at the endpoints of the whole fleet or of one availability
// zone: decides which jobs are admitted, which pieces form the next call, and which endpoint gets
// the call. A call takes nearly the same time however
// few pieces it carries, so pieces of many requests share calls. The scheduler does no I/O.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/fleet_retry_budget.hpp>
#include <quetzal/gateway/stage_backlog.hpp>
#include <quetzal/gateway/stage_plan.hpp>
#include <quetzal/gateway/stage_workers.hpp>
#include <quetzal/gateway/stages/place_order.hpp>

namespace quetzal::gateway {

using job_number = std::uint64_t;

// A piece of a call. A piece without inputs is computed from the piece key of the request.
struct called_piece
{
    job_number job = 0;
    std::size_t stage = 0;
    std::size_t piece = 0;
    std::string request_id;
    std::string key;
    std::vector<std::string> inputs;
    std::uint64_t result_size = 0; // bytes, approximate
    time_point deadline;
};

// Outcome of one piece of a call.
enum class piece_status
{
    done,
    deadline_exceeded, // its deadline passed before it was run
    input_missing,     // one of its input results no longer exists
    out_of_memory,     // the endpoint has no memory for the result at the moment
    failed
};

struct piece_outcome
{
    piece_status status = piece_status::failed;
    std::string handle; // identifies the result, if done
};

// The caller has to send this call and to report its end with `call_ended` or `call_failed`.
struct start_call
{
    std::uint64_t call = 0;
    endpoint target;
    std::vector<called_piece> pieces;
    duration expected{};
};

// The job has ended.
struct job_ended
{
    job_number job = 0;
    job_outcome outcome;
};

// The caller has to release these results at their endpoints, as nothing needs them any more, and
// to report that with `confirm_released`.
struct release_results
{
    std::vector<std::string> handles;
};

using scheduler_action = std::variant<start_call, job_ended, release_results>;
using scheduler_actions = std::vector<scheduler_action>;

class stage_scheduler
{
public:
    // Only the endpoints of `zone` are used; of all availability zones if it is empty.
    stage_scheduler(const catalog& view, retry_budget_options budget, std::string zone = {});

    // Sets the number of schedulers that share the fleet's retry budget.
    void set_schedulers(std::size_t count) { schedulers_ = count; }

    // Admits a job, or refuses it with a `job_ended` action if it is not expected to finish in
    // time.
    scheduler_actions add(job_number job, const stage_job& content, time_point now);

    // Cancels a job, or releases its results if it is finished.
    scheduler_actions cancel(job_number job);

    // Called when another instance schedules the stages. Hands back the jobs of which no call has
    // carried a piece yet, and allows for calls of the other instance at the endpoints for some
    // time.
    scheduler_actions hand_back_jobs(time_point now);

    // Records that the endpoints have released these results, so that their memory is free.
    void confirm_released(const std::vector<std::string>& handles);

    // Forms calls for all endpoints with a free slot, and ends jobs that cannot meet their
    // deadline.
    scheduler_actions dispatch(time_point now);

    // Records the response of an endpoint. `outcomes` are in the order of the pieces.
    scheduler_actions call_ended(std::uint64_t call, const std::vector<piece_outcome>& outcomes,
                                 time_point now);

    // Records the pace that an endpoint reported, see `serving::endpoint_pace`.
    void record_pace(const endpoint& target, double pace, time_point now)
    {
        workers_.record_pace(target, pace, now);
    }

    // Records that a call failed. `run` says whether the endpoint may have run it, and `full`
    // whether the endpoint refused it because it was full.
    scheduler_actions call_failed(std::uint64_t call, verdict run, bool full, time_point now);

    // Returns whether pieces wait or calls run, so that `dispatch` has to be called again later.
    bool has_work() const;

    std::size_t open_jobs() const noexcept { return jobs_.size(); }

    // Whether the job is neither finished nor released.
    bool is_running(job_number number) const
    {
        const auto found = jobs_.find(number);
        return found != jobs_.end() && !found->second.finished;
    }

    // Returns the number of pieces of open jobs that wait for a call to the service.
    std::size_t waiting_pieces(const std::string& service) const;

    // Returns the expected time until a new job has its results, given the committed work.
    duration expected_time(const stage_job& content, time_point now) const;

private:
    struct running_job
    {
        explicit running_job(const std::vector<job_stage>& stages) : plan(stages) {}

        std::string request_id;
        std::string piece_key;
        std::string zone;
        std::string customer;
        std::vector<job_stage> stages;
        std::vector<duration> later_stage_times; // by stage: expected time of the later stages
        std::vector<std::uint32_t> pending;      // by stage: pieces without a result
        std::int32_t priority = 0;
        time_point latency_deadline;
        time_point deadline;
        stage_plan plan;
        unsigned retries = 0;
        bool has_calls = false; // a call has carried one of its pieces
        bool finished = false;  // its results are held for the request
        time_point finished_at;

        work_origin origin() const { return {zone, priority, customer}; }
    };

    struct waiting_piece
    {
        job_number job = 0;
        std::size_t stage = 0;
        std::size_t piece = 0;
        std::int32_t priority = 0;
        time_point latency_deadline; // the latency target is missed if it is done later
        time_point latest_finish;    // the deadline is missed if it is done later
        std::uint64_t result_size = 0;
        std::string zone; // holds most of its inputs, or needs its results
        time_point queued;
    };

    struct running_call
    {
        endpoint target;
        std::string service;
        std::vector<called_piece> pieces;
        std::uint64_t reserved = 0; // bytes
        time_point started;
        duration expected{};
        bool hedged = false;               // the retry budget was asked for its pieces
        std::vector<std::size_t> requeued; // indexes of the pieces that are queued a second time

        bool is_requeued(std::size_t index) const
        {
            return std::find(requeued.begin(), requeued.end(), index) != requeued.end();
        }
    };

    using action_list = scheduler_actions;

    // Returns the time of a call of the stage at typical load; zero for a skipped stage.
    duration typical_call_time(const job_stage& stage) const;
    void queue_ready_pieces(job_number number, running_job& job, time_point now);
    void queue_piece(job_number number, const running_job& job, std::size_t stage,
                     std::size_t piece, const std::string& zone, time_point now);
    void end_job(job_number number, job_status status, time_point now, action_list& actions);
    // Removes the waiting pieces of jobs that have ended.
    void drop_ended_pieces();
    // Removes the pieces without a result from the backlog.
    void remove_pending_work(const running_job& job);
    // Removes a call from the list and frees its slot and reserved memory.
    std::optional<running_call> remove_call(std::uint64_t number);
    void hedge_slow_calls(time_point now);
    // Returns the time after which a running call counts as slow.
    duration slow_threshold(const running_call& call) const;
    void retry_piece(const called_piece& piece, bool may_have_run, time_point now,
                     action_list& actions);
    void finish_piece(const called_piece& piece, std::string handle, time_point now,
                      action_list& actions);
    void release_handles(std::vector<std::string> handles, action_list& actions);
    void dispatch_service(const std::string& service, std::vector<waiting_piece>& waiting,
                          time_point now, action_list& actions);
    std::vector<called_piece> build_call(std::vector<waiting_piece>& waiting,
                                         const stage_capacity& capacity, const endpoint& target,
                                         time_point now);
    std::vector<place_claim> claims_of(const std::vector<waiting_piece>& waiting,
                                       const stage_capacity& capacity, const endpoint& target,
                                       time_point now) const;
    place_supply supply_of(const std::string& service, const stage_capacity& capacity,
                           time_point now) const;
    // Returns the time, by zone, in which one of its endpoints should become idle.
    std::map<std::string, duration> zone_waits_of(const std::string& service,
                                                  const stage_capacity& capacity) const;
    // Returns the indexes of the waiting pieces that a call to the target carries.
    std::vector<std::size_t> choose_pieces(const std::vector<waiting_piece>& waiting,
                                           const stage_capacity& capacity, const endpoint& target,
                                           time_point now) const;

    const catalog& view_;
    fleet_retry_budget budget_;
    std::map<job_number, running_job> jobs_;
    std::map<std::string, std::vector<waiting_piece>> waiting_; // by service
    bool has_ended_pieces_ = false;                             // in `waiting_`
    stage_backlog backlog_;
    stage_workers workers_;
    customer_usage usage_; // in seconds of endpoint time
    std::map<std::uint64_t, running_call> calls_;
    std::uint64_t next_call_ = 1;
    std::size_t schedulers_ = 1;
    time_point handover_until_{}; // endpoints may run another instance's calls until then
};

} // namespace quetzal::gateway

#endif
