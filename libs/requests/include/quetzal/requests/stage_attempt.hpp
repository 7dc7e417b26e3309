#ifndef QUETZAL_REQUESTS_STAGE_ATTEMPT_HPP
#define QUETZAL_REQUESTS_STAGE_ATTEMPT_HPP

// One attempt of one stage call as a state machine. It decides which frames are used, when the
// answer is whole and what may have run.

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

// Early frames held until the gap before them is filled.
inline constexpr std::size_t max_held_frames = 32;

// Unusable frames after which an attempt fails. A block of 16 KiB that an endpoint fills with such
// frames can stay in memory for one good frame, so this bounds the excess to 256 KiB.
inline constexpr std::size_t max_unusable_frames = 16;

// Events.

// The work shall be done; connect to its endpoint.
struct attempt_started
{
};

// A connection to the endpoint's known incarnation is there, new or reused.
struct connected
{
};

// No connection could be made.
struct connection_refused
{
};

// A final check has failed; the work is not sent.
struct check_failed
{
    reason why = reason::internal_error;
    std::string detail;
};

// The final checks have passed and the work may be handed to the socket. From here on it may run.
struct bytes_handed
{
};

// The endpoint refused with `Quetzal-Verdict: not-run`.
struct endpoint_refused
{
    std::optional<std::chrono::milliseconds> retry_after;
};

// The endpoint answered with an error that does not say "not run".
struct endpoint_error
{
    int status = 0; // HTTP
};

// The answer's body or its connection ended, in order or not. Raised after the frames received
// before it; ignored after a whole answer.
struct connection_broken
{
};

struct attempt_timed_out
{
};

struct attempt_cancelled
{
};

using attempt_event =
    std::variant<attempt_started, connected, connection_refused, check_failed, bytes_handed,
                 endpoint_refused, endpoint_error, data_frame, end_frame, bad_frame,
                 connection_broken, attempt_timed_out, attempt_cancelled>;

// Actions.

// Connect to the endpoint, or take a free connection to its present incarnation.
struct open_connection
{
};

// Make the final checks (design, section 8), then raise `bytes_handed` or `check_failed`.
struct check_finally
{
};

// Write the work to the connection, with `Quetzal-Offset` when the offset is not 0.
struct send_work
{
    std::uint64_t offset = 0;
};

// The next part of the answer, in order.
struct deliver
{
    chunk data;
};

// The answer is whole.
struct attempt_finished
{
};

// The attempt has failed or was cancelled; nothing more is delivered.
struct attempt_failed
{
    failure why;
};

// The connection has no more to do with this attempt. When `reusable`, the answer ended in order.
struct leave_connection
{
    bool reusable = false;
};

// Tell the endpoint to stop, `DELETE /v1/run/{call}`, best effort on another connection.
struct cancel_at_endpoint
{
};

using attempt_action =
    std::variant<open_connection, check_finally, send_work, deliver, attempt_finished,
                 attempt_failed, leave_connection, cancel_at_endpoint>;

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

// Frames that were not used, or not in the order of their arrival.
struct frame_counts
{
    std::uint64_t foreign = 0;    // of another call
    std::uint64_t late = 0;       // after the end of the attempt
    std::uint64_t duplicated = 0; // a sequence number seen before
    std::uint64_t reordered = 0;  // before its turn; held and used in its place, or lost
    std::uint64_t truncated = 0;  // streams that ended without their end frame or with gaps
    std::uint64_t malformed = 0;

    frame_counts& operator+=(const frame_counts& other) noexcept;
};

// Not thread-safe. Movable, not copyable.
class stage_attempt
{
public:
    // `offset` is the sequence number of the first frame wanted, not 0 when a stream is resumed.
    explicit stage_attempt(const call_id& id, std::uint64_t offset = 0);
    ~stage_attempt();
    stage_attempt(stage_attempt&&) noexcept;
    stage_attempt& operator=(stage_attempt&&) noexcept;

    // Takes an event and appends what to do. Events that do not fit the state change nothing;
    // frames after the end are counted.
    void handle(const attempt_event& event, std::vector<attempt_action>& actions);

    attempt_state state() const noexcept;

    // What is known of the work: `not_run` until bytes were handed over or after the endpoint's
    // refusal, `ran` after a whole answer.
    verdict run() const noexcept;

    // Sequence number of the next frame to deliver; where a stream can be resumed.
    std::uint64_t next_sequence() const noexcept;

    const frame_counts& counts() const noexcept;
    const call_id& id() const noexcept;

    // The form of the identifier that frames must echo.
    const std::string& call_text() const noexcept;

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace quetzal::requests

#endif
