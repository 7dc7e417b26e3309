#ifndef QUETZAL_REQUESTS_PIPELINE_RUN_HPP
#define QUETZAL_REQUESTS_PIPELINE_RUN_HPP

// Runs one request through the stages of its pipeline. A run decides which stages are ready, which
// attempts may be retried, and the verdict of the request. Its user chooses endpoints, decides
// whether a retry is permitted, and passes these decisions in as commands.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/config/published.hpp>
#include <quetzal/requests/answer_log.hpp>
#include <quetzal/requests/call_id.hpp>
#include <quetzal/requests/stage_attempt.hpp>
#include <variant>
#include <vector>

namespace quetzal::requests {

inline constexpr std::size_t max_stage_result_bytes =
    1u << 20; // bytes; result of a stage that is not the last
inline constexpr std::uint32_t default_max_attempts = 4; // of one stage, including hedges

// The properties of a request that its run depends on.
struct run_request
{
    std::uint64_t sequence = 0; // sequence number in the request's identity
    incarnation process;        // of this instance
    std::shared_ptr<const config::pipeline> pipeline;
    time_point deadline{};
    bool idempotent = true; // whether the request's class is idempotent
    config::late_policy late = config::late_policy::refuse;
    std::uint32_t max_attempts = default_max_attempts;
};

// Choose an endpoint for a stage and call `grant` or `deny`, immediately or later.
// `failed_endpoint` is set for a retry: it is the endpoint of the failed attempt. Choose a
// different endpoint, and only if the retry budget permits the retry.
struct choose_endpoint
{
    std::size_t stage = 0;
    std::optional<endpoint_id> failed_endpoint;
};

// Connect to the endpoint for a call, then pass `connected` or `connection_refused` to `handle`.
struct open_call
{
    call_id call;
    endpoint_id endpoint;
};

// Run the final checks (section 8 of the design), then pass `checks_passed` to `handle` if all of
// them pass, and `check_failed` otherwise.
struct check_call
{
    call_id call;
};

// Write the work with `inputs(stage)` to the call's connection now. From now on the work counts as
// possibly run.
struct send_call
{
    call_id call;
    std::uint64_t offset = 0; // sent as `Quetzal-Offset`: sequence number of the first frame
};

// The call no longer needs its connection: close the connection, or keep it for another call if
// `reusable`, which is also set after a refusal by the endpoint or a failed check. If `cancel` is
// set, send `DELETE /v1/run/{call}` as well. `finished` is set if the response is complete;
// otherwise the call has failed. `run` is the verdict of the call.
struct end_call
{
    call_id call;
    bool reusable = false;
    bool cancel = false;
    bool finished = false;
    verdict run = verdict::may_have_run;
};

// Append the chunk to the answer log and wake its readers. If the log does not accept the chunk,
// call `cancel` with reason `overloaded`.
struct append_answer
{
    chunk data;
};

// The answer is complete: end it with `request_table::finish`. The last action of a run.
struct finish_answer
{
};

// The request ends without a complete answer. If no `append_answer` came before, the request is
// refused; otherwise its answer is truncated. The last action of a run.
struct fail_answer
{
    failure why;
};

using run_action = std::variant<choose_endpoint, open_call, check_call, send_call, end_call,
                                append_answer, finish_answer, fail_answer>;

// The result of one stage: the data of its frames, in order.
struct stage_result
{
    std::size_t stage = 0;
    std::vector<chunk> frames;
};

// Every command appends the actions that its caller must perform, in order. After `finish_answer`
// or `fail_answer` no command appends anything. Move-only. Not thread-safe.
class pipeline_run
{
public:
    explicit pipeline_run(run_request request);
    ~pipeline_run();
    pipeline_run(pipeline_run&&) noexcept;
    pipeline_run& operator=(pipeline_run&&) noexcept;

    // Requests endpoints for the stages that need no results of other stages.
    void start(std::vector<run_action>& actions);

    // Starts an attempt of a stage at the endpoint; the attempt times out at `give_up`. `resumes`
    // tells whether the endpoint pool supports resuming streams. Ignored if the stage is not
    // waiting for an endpoint.
    void grant(std::size_t stage, const endpoint_id& endpoint, time_point give_up, bool resumes,
               std::vector<run_action>& actions);

    // Reports that no endpoint is available or that a retry is not permitted. Ends the request with
    // the failure of the previous attempt if there is one, otherwise with `why`; the verdict is
    // that of the whole run. Ignored if the stage is not waiting for an endpoint.
    void deny(std::size_t stage, failure why, std::vector<run_action>& actions);

    // Starts a second attempt in parallel to the running one. Ignored unless `may_hedge(stage)`.
    // The attempt that delivers data first is used, and the other one is cancelled.
    void hedge(std::size_t stage, const endpoint_id& endpoint, time_point give_up,
               std::vector<run_action>& actions);

    // Passes an event to the attempt of the call. Frames of unknown or ended calls are counted as
    // late; other events of such calls are ignored.
    void handle(const call_id& call, const attempt_event& event, std::vector<run_action>& actions);

    // Fails the attempts that have timed out. Ends the request if its deadline has passed and its
    // class refuses late work.
    void advance(time_point now, std::vector<run_action>& actions);

    // Reports that the last connection of the caller has closed. Cancels idempotent work; other
    // work continues, because the caller may reconnect to read the answer.
    void caller_disconnected(std::vector<run_action>& actions);

    // Ends the request and all its calls, regardless of its class.
    void cancel(reason why, std::vector<run_action>& actions);

    // Returns the results that the stage needs as inputs, in the order of `config::stage::after`.
    std::vector<stage_result> inputs(std::size_t stage) const;

    // Whether a hedge may start: the stage is idempotent, exactly one attempt runs, it has
    // delivered nothing, and the maximum number of attempts is not reached.
    bool may_hedge(std::size_t stage) const;

    // Returns the next time at which `advance` must be called; empty if there is none.
    std::optional<time_point> next_deadline() const;

    bool ended() const noexcept;

    // Returns the verdict of the request: `not_run` only if no call of any stage may have run.
    verdict run() const;

    // Returns the sums of the frame counts of all attempts.
    frame_counts counts() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace quetzal::requests

#endif
