#ifndef QUETZAL_GATEWAY_STAGE_SCHEDULER_HPP
#define QUETZAL_GATEWAY_STAGE_SCHEDULER_HPP

// Decides about the stages of all requests of the fleet: which jobs are admitted, which pieces form
// the next call, and where the call goes. A call costs nearly the same however few pieces it
// carries, so pieces of many requests share calls. It does no input or output.

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

namespace quetzal::gateway {

using job_number = std::uint64_t;

// One piece as a call carries it. Without inputs it is made from the request's piece key.
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

// What became of one piece of a call.
enum class piece_fate
{
    done,
    late,    // its time had run out before its turn
    gone,    // one of its inputs no longer exists
    no_room, // the endpoint has no memory for the result now
    failed
};

struct piece_outcome
{
    piece_fate fate = piece_fate::failed;
    std::string handle; // names the result when done
};

// Send this call. Report its end with `call_ended` or `call_failed`.
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

// Nothing needs these results any more. Report with `released` when their makers know it.
struct release_results
{
    std::vector<std::string> handles;
};

using scheduler_action = std::variant<start_call, job_ended, release_results>;
using scheduler_actions = std::vector<scheduler_action>;

class stage_scheduler
{
public:
    stage_scheduler(const catalog& view, fleet_budget_options budget);

    // Takes a job, or refuses it with a `job_ended` action when it cannot be in time.
    scheduler_actions add(job_number job, const stage_job& content, time_point now);

    // Gives up a job, or its results when it is finished and the request has them.
    scheduler_actions cancel(job_number job);

    // Another instance conducts now. Hands back the jobs of which no piece has been called yet, and
    // expects its calls at the endpoints for some time.
    scheduler_actions hand_back(time_point now);

    // The makers have given up these results, so that their memory is free.
    void released(const std::vector<std::string>& handles);

    // Forms calls for all endpoints that have a free slot, and ends jobs that cannot be in time.
    scheduler_actions dispatch(time_point now);

    // The endpoint answered; `outcomes` stand in the order of the pieces.
    scheduler_actions call_ended(std::uint64_t call, const std::vector<piece_outcome>& outcomes,
                                 time_point now);

    // The call came to nothing. `run` tells whether the endpoint may have worked on it; `full` that
    // it refused because it is full.
    scheduler_actions call_failed(std::uint64_t call, verdict run, bool full, time_point now);

    // Whether pieces wait or calls run, so that `dispatch` is to be called again after some time.
    bool has_work() const;

    std::size_t open_jobs() const noexcept { return jobs_.size(); }
    std::size_t waiting_pieces(const std::string& service) const;

    // Time until a new job of that content would have its results, by the work that is committed.
    duration expected_time(const stage_job& content, time_point now) const;

private:
    struct running_job
    {
        explicit running_job(const std::vector<job_stage>& stages) : plan(stages) {}

        std::string request_id;
        std::string piece_key;
        std::string zone;
        std::vector<job_stage> stages;
        std::vector<duration> following; // expected time of the stages after each stage
        std::vector<std::uint32_t> open; // pieces of each stage that are not made yet
        std::int32_t priority = 0;
        time_point useful_until;
        time_point deadline;
        stage_plan plan;
        unsigned repeats = 0;
        bool called = false;   // a call has carried one of its pieces
        bool finished = false; // its results are held for the request
        time_point finished_at;
    };

    struct waiting_piece
    {
        job_number job = 0;
        std::size_t stage = 0;
        std::size_t piece = 0;
        std::int32_t priority = 0;
        time_point useful_until; // later, the results are too late for the latency target
        time_point hopeless;     // later, the deadline cannot be met
        std::uint64_t result_size = 0;
        std::string zone; // where most of its inputs lie, or where its results are wanted
        time_point queued;
    };

    struct running_call
    {
        std::string endpoint_id;
        std::string service;
        std::vector<called_piece> pieces;
        std::uint64_t reserved = 0; // bytes
        time_point started;
        duration expected{};
        bool copied = false; // its pieces are being made elsewhere too
    };

    using action_list = scheduler_actions;

    // Time of a call of the stage at usual load; zero for a stage that is left out.
    duration usual_call_time(const job_stage& stage) const;
    void queue_ready(job_number number, running_job& job, time_point now);
    void queue_piece(job_number number, const running_job& job, std::size_t stage,
                     std::size_t piece, const std::string& zone, time_point now);
    void end_job(job_number number, job_fate fate, time_point now, action_list& actions);
    void drop_waiting(job_number number);
    // Takes the pieces that are not made out of the backlog.
    void remove_open(const running_job& job);
    // Takes a call out of the list and gives its slot and reserved memory back to its worker.
    std::optional<running_call> take_ended(std::uint64_t number);
    void copy_slow_calls(time_point now);
    // Time after which a running call counts as slow.
    duration slow_after(const running_call& call) const;
    void repeat_piece(const called_piece& piece, bool may_have_run, time_point now,
                      action_list& actions);
    void finish_piece(const called_piece& piece, std::string handle, time_point now,
                      action_list& actions);
    void release_handles(std::vector<std::string> handles, action_list& actions);
    void dispatch_service(const std::string& service, std::vector<waiting_piece>& waiting,
                          time_point now, action_list& actions);
    std::vector<called_piece> take_call(std::vector<waiting_piece>& waiting,
                                        const stage_capacity& capacity, const endpoint& target,
                                        time_point now);

    const catalog& view_;
    fleet_retry_budget budget_;
    std::map<job_number, running_job> jobs_;
    std::map<std::string, std::vector<waiting_piece>> waiting_; // by service
    stage_backlog backlog_;
    stage_workers workers_;
    std::map<std::uint64_t, running_call> calls_;
    std::uint64_t next_call_ = 1;
    time_point shared_until_{}; // calls of another conductor may be at the endpoints until then
};

} // namespace quetzal::gateway

#endif
