#ifndef QUETZAL_REQUESTS_PIPELINE_RUN_HPP
#define QUETZAL_REQUESTS_PIPELINE_RUN_HPP

// The run of one request through the stages of its pipeline. It decides which stages are ready,
// which attempts may be repeated, and the verdict of the whole; endpoints and the permission to
// retry are decided elsewhere and come in as commands.

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

inline constexpr std::size_t max_stage_result_bytes = 1u << 20; // result of an inner stage
inline constexpr std::uint32_t default_max_attempts = 4;        // of one stage, hedges included

// What a run needs to know of its request.
struct run_request
{
    std::uint64_t sequence = 0; // of the request's identity
    incarnation process;        // own
    std::shared_ptr<const config::pipeline> pipeline;
    time_point deadline{};
    bool idempotent = true; // of the class
    config::late_policy late = config::late_policy::refuse;
    std::uint32_t max_attempts = default_max_attempts;
};

// Choose an endpoint for a stage and answer with `grant` or `deny`, at once or later. `failed_at`
// is the endpoint of the failed attempt that this one would repeat; take another one and ask the
// retry budget first.
struct choose_endpoint
{
    std::size_t stage = 0;
    std::optional<endpoint_id> failed_at;
};

// Connect to the endpoint for a call, then raise `connected` or `connection_refused`.
struct open_call
{
    call_id call;
    endpoint_id endpoint;
};

// Make the final checks (design, section 8), then raise `bytes_handed` if all pass and
// `check_failed` otherwise.
struct check_call
{
    call_id call;
};

// Write the work with `inputs(stage)` to the call's connection now. It may have run from here on.
struct send_call
{
    call_id call;
    std::uint64_t offset = 0; // `Quetzal-Offset`: sequence number of the first frame wanted
};

// The call has no more use for its connection: close it, or keep it for another call when
// `reusable`, which it is after a refusal or a failed check too. `cancel` says to send
// `DELETE /v1/run/{call}` as well. `finished` says that the answer is whole; everything else is a
// failure of the call, with the verdict `run`.
struct leave_call
{
    call_id call;
    bool reusable = false;
    bool cancel = false;
    bool finished = false;
    verdict run = verdict::may_have_run;
};

// Append to the answer log and wake its readers. When the log does not accept it, call `cancel`
// with reason `overloaded`.
struct append_answer
{
    chunk data;
};

// The answer is whole: end it with `request_table::finish`. The last action of a run.
struct finish_answer
{
};

// The request ends without a whole answer. Before the first `append_answer` it is a refusal, after
// it the answer is cut. The last action of a run.
struct refuse_answer
{
    failure why;
};

using run_action = std::variant<choose_endpoint, open_call, check_call, send_call, leave_call,
                                append_answer, finish_answer, refuse_answer>;

// The result of one stage: the data of its frames in order.
struct stage_result
{
    std::size_t stage = 0;
    std::vector<chunk> frames;
};

// Not thread-safe. Every command appends its actions; after `finish_answer` or `refuse_answer` no
// command appends anything. Move-only.
class pipeline_run
{
public:
    explicit pipeline_run(run_request request);
    ~pipeline_run();
    pipeline_run(pipeline_run&&) noexcept;
    pipeline_run& operator=(pipeline_run&&) noexcept;

    // Asks for endpoints of the stages that need no result.
    void start(std::vector<run_action>& actions);

    // Starts an attempt of a stage at the endpoint; it times out at `give_up`. `resumes` says that
    // the pool resumes streams. Ignored when the stage is not waiting for an endpoint.
    void grant(std::size_t stage, const endpoint_id& endpoint, time_point give_up, bool resumes,
               std::vector<run_action>& actions);

    // There is no endpoint, or no permission for another attempt. Ends the request with this
    // failure, or with that of the attempt before; the verdict is that of the whole run.
    void deny(std::size_t stage, failure why, std::vector<run_action>& actions);

    // Starts a second attempt beside the running one. Ignored unless `may_hedge(stage)`. The
    // attempt that delivers first is used and the other one cancelled.
    void hedge(std::size_t stage, const endpoint_id& endpoint, time_point give_up,
               std::vector<run_action>& actions);

    // Passes an event to the attempt of that call; unknown and former calls are counted as late.
    void handle(const call_id& call, const attempt_event& event, std::vector<run_action>& actions);

    // Ends attempts that timed out, and the request when its deadline has passed and its class does
    // not finish late.
    void advance(time_point now, std::vector<run_action>& actions);

    // The last connection of the caller has gone. Idempotent work is cancelled; other work goes on,
    // because the caller may come back for the answer.
    void caller_left(std::vector<run_action>& actions);

    // Ends the request and all its calls, whatever its class.
    void cancel(reason why, std::vector<run_action>& actions);

    // Results of the stages that the stage needs, in the order of `config::stage::after`.
    std::vector<stage_result> inputs(std::size_t stage) const;

    // Whether a stage is idempotent, runs exactly one attempt, and that has delivered nothing.
    bool may_hedge(std::size_t stage) const;

    // When `advance` has something to do next; empty after the end.
    std::optional<time_point> next_deadline() const;

    bool ended() const noexcept;

    // What is known of the whole: `not_run` only if no call of any stage may have run.
    verdict run() const;

    // Frames that were not used, over all attempts.
    frame_counts counts() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace quetzal::requests

#endif
