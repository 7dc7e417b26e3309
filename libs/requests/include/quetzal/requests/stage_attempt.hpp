#ifndef QUETZAL_REQUESTS_STAGE_ATTEMPT_HPP
#define QUETZAL_REQUESTS_STAGE_ATTEMPT_HPP

// The state machine of one attempt of a stage call. It decides which frames are used, when the
// response is complete and whether the work may have run.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <quetzal/base/verdict.hpp>
#include <quetzal/requests/call_id.hpp>
#include <quetzal/requests/chunk.hpp>
#include <quetzal/requests/frame_parser.hpp>
#include <string>
#include <variant>
#include <vector>

namespace quetzal::requests {

// Maximum number of out-of-order frames held until the gap before them is filled.
inline constexpr std::size_t max_held_frames = 32;

// An attempt fails after more unusable frames than this. One usable frame can keep a block of 16
// KiB that is otherwise filled with unusable frames in memory, so this bounds the excess to 256
// KiB.
inline constexpr std::size_t max_unusable_frames = 16;

// Events.

// Start the attempt: connect to its endpoint.
struct attempt_started
{
};

// A new or reused connection to the known incarnation of the endpoint is available.
struct connected
{
};

// The connection could not be established.
struct connection_refused
{
};

// A final check has failed; the work must not be sent.
struct check_failed
{
    reason why = reason::internal_error;
    std::string detail;
};

// The final checks have passed. The work is handed to the socket next and counts as possibly run
// from now on.
struct checks_passed
{
};

// The endpoint refused the call with `Quetzal-Verdict: not-run`.
struct endpoint_refused
{
    std::optional<std::chrono::milliseconds> retry_after;
};

// The endpoint returned an error response without the verdict "not run".
struct endpoint_error
{
    int status = 0; // HTTP status
};

// The response body or its connection ended, normally or not. Must follow the events of all frames
// received before the end; ignored after a complete response.
struct response_ended
{
};

struct attempt_timed_out
{
};

struct attempt_cancelled
{
};

using attempt_event =
    std::variant<attempt_started, connected, connection_refused, check_failed, checks_passed,
                 endpoint_refused, endpoint_error, data_frame, end_frame, bad_frame, response_ended,
                 attempt_timed_out, attempt_cancelled>;

// Actions.

// Connect to the endpoint, or reuse an idle connection to its current incarnation.
struct open_connection
{
};

// Run the final checks (section 8 of the design), then report `checks_passed` or `check_failed`.
struct run_final_checks
{
};

// Write the work to the connection, with `Quetzal-Offset` if the offset is not 0.
struct send_work
{
    std::uint64_t offset = 0;
};

// The next part of the response, in order.
struct deliver
{
    chunk data;
};

// The response is complete.
struct attempt_finished
{
};

// The attempt has failed or was cancelled; no more data is delivered.
struct attempt_failed
{
    failure why;
};

// The attempt no longer needs the connection. If `reusable`, the connection can serve another call:
// the response ended normally or the work was not sent.
struct release_connection
{
    bool reusable = false;
};

// Tell the endpoint to stop with `DELETE /v1/run/{call}`, as best effort on another connection.
struct cancel_at_endpoint
{
};

using attempt_action =
    std::variant<open_connection, run_final_checks, send_work, deliver, attempt_finished,
                 attempt_failed, release_connection, cancel_at_endpoint>;

enum class attempt_state
{
    idle,
    connecting,
    sent,
    streaming,
    finished,
    failed,
    cancelled
};

// Numbers of frames that were not used or were used out of order, and of truncated streams.
struct frame_counts
{
    std::uint64_t foreign = 0;    // frames of another call
    std::uint64_t late = 0;       // before the work was sent or after the attempt ended
    std::uint64_t duplicated = 0; // frames whose sequence number was received before
    std::uint64_t reordered = 0;  // early frames, held and used in sequence or lost
    std::uint64_t truncated = 0;  // streams that ended without an end frame or with gaps
    std::uint64_t malformed = 0;

    frame_counts& operator+=(const frame_counts& other) noexcept;
};

// Not thread-safe. Movable, not copyable.
class stage_attempt
{
public:
    // `offset` is the sequence number of the first frame to request; it is not 0 if the attempt
    // resumes a stream.
    explicit stage_attempt(const call_id& id, std::uint64_t offset = 0);
    ~stage_attempt();
    stage_attempt(stage_attempt&&) noexcept;
    stage_attempt& operator=(stage_attempt&&) noexcept;

    // Handles an event and appends the actions to perform. Events that are not valid in the current
    // state change nothing, but frames are counted as late.
    void handle(const attempt_event& event, std::vector<attempt_action>& actions);

    attempt_state state() const noexcept;

    // Returns whether the work ran: `not_run` before `checks_passed` and after a refusal by the
    // endpoint, `ran` after a complete response, and `may_have_run` otherwise.
    verdict run() const noexcept;

    // Returns the sequence number of the next frame to deliver, at which the stream can be resumed.
    std::uint64_t next_sequence() const noexcept;

    const frame_counts& counts() const noexcept;
    const call_id& id() const noexcept;

    // Returns the text of the identifier, which frames must echo.
    const std::string& call_text() const noexcept;

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace quetzal::requests

#endif
