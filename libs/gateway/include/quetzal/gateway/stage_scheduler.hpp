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
#include <quetzal/gateway/stage_plan.hpp>

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

    // Gives up a job and its results.
    scheduler_actions cancel(job_number job);

    // Another instance conducts now. Hands back the jobs of which no piece has been called yet, and
    // expects its calls at the endpoints for some time.
    scheduler_actions hand_back(time_point now);

    // The request has its inputs: the results of a finished job are needed no more.
    scheduler_actions release(job_number job);

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

    struct held_result
    {
        std::uint64_t size = 0;
        time_point expires;
    };

    // What is known of an endpoint.
    struct worker
    {
        std::string service;
        std::string zone;
        unsigned calls = 0;
        unsigned failures = 0;      // in a row
        unsigned slow_calls = 0;    // in a row; then only small calls try whether it has recovered
        time_point avoided_until{}; // slow or failing: used only when no other endpoint works
        time_point full_until{};    // has refused a call as full: not used at all
        std::uint64_t reserved = 0; // bytes of results being made
        // Bytes of results that this scheduler did not order: those of a conductor that was lost.
        // They expire at their maker; the estimate falls to zero within a result's lifetime.
        std::uint64_t foreign = 0;
        time_point foreign_noted{};
        std::map<std::string, held_result> held; // by handle
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

    struct service_state
    {
        std::vector<waiting_piece> waiting;
        // Work that admitted jobs still need here, by priority, in endpoint time with full calls.
        std::map<std::int32_t, duration> committed;
        // The same by availability zone, for jobs that prefer one.
        std::map<std::string, duration> committed_in_zone;
        // Work that arrives in one second by priority, smoothed.
        std::map<std::int32_t, double> arriving;
        time_point arriving_updated{};
    };

    using action_list = scheduler_actions;

    void queue_ready(job_number number, running_job& job, time_point now);
    std::string choose_zone(const stage_job& content) const;
    void end_job(job_number number, job_fate fate, time_point now, action_list& actions);
    void drop_waiting(job_number number);
    void commit(const running_job& job, std::size_t stage, std::uint32_t pieces, int direction);
    void commit_open(const running_job& job, int direction);
    void note_arrival(const stage_job& content, time_point now);
    // Takes a call out of the list and gives its slot and reserved memory back to its worker.
    std::optional<running_call> take_ended(std::uint64_t number);
    void copy_slow_calls(time_point now);
    void note_slow(worker& used, time_point now);
    // Time after which a running call counts as slow.
    duration slow_after(const running_call& call) const;
    void queue_piece(const called_piece& piece, time_point now);
    void repeat_piece(const called_piece& piece, bool may_have_run, time_point now,
                      action_list& actions);
    void finish_piece(const called_piece& piece, std::string handle, time_point now,
                      action_list& actions);
    void release_handles(std::vector<std::string> handles, action_list& actions);
    void dispatch_service(const std::string& service, service_state& state, time_point now,
                          action_list& actions);
    std::vector<called_piece> take_call(service_state& state, const stage_capacity& capacity,
                                        worker& target, time_point now);
    const endpoint* idle_worker(const std::string& service, const stage_capacity& capacity,
                                time_point now, const std::vector<std::string>& skip);
    // Bytes of results at a worker: those of a lost conductor, and all.
    static std::uint64_t foreign_room(const worker& target, duration lifetime, time_point now);
    static std::uint64_t used_room(const worker& target, duration lifetime, time_point now);
    // Endpoint time that pieces of a service take in full calls.
    duration work_of(const std::string& service, std::uint32_t pieces) const;
    // Time until the endpoints of a service have worked off what is committed to them with that
    // priority or a more urgent one.
    duration backlog(const std::string& service, std::int32_t priority, time_point now) const;
    std::size_t active_workers(const std::string& service, time_point now) const;

    const catalog& view_;
    fleet_retry_budget budget_;
    std::map<job_number, running_job> jobs_;
    std::map<std::string, service_state> services_;
    std::map<std::string, worker> workers_; // by endpoint id
    std::map<std::uint64_t, running_call> calls_;
    std::map<std::string, std::string> makers_; // endpoint id by handle
    std::uint64_t next_call_ = 1;
    time_point shared_until_{}; // calls of another conductor may be at the endpoints until then
};

} // namespace quetzal::gateway

#endif
