#ifndef QUETZAL_GATEWAY_STOP_RECORD_HPP
#define QUETZAL_GATEWAY_STOP_RECORD_HPP

// Names in the log the requests that a process serves during a planned stop, and counts how they
// end: each request that was there when the stop began, or has been received since, is counted
// once.

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include <quetzal/base/time.hpp>
#include <quetzal/gateway/caller_request.hpp>

namespace quetzal::gateway {

// How a request ended for its caller.
enum class request_outcome
{
    complete,    // an endpoint's response was written whole
    refused,     // the instance itself has responded
    cut,         // the connection was closed before the response was complete
    caller_left, // the caller closed its connection before the response was complete
    not_written  // the caller did not take all bytes of the response
};

inline constexpr std::array<request_outcome, 5> request_outcomes{
    request_outcome::complete, request_outcome::refused, request_outcome::cut,
    request_outcome::caller_left, request_outcome::not_written};

// Returns the stable lower-case name, e.g. "caller_left".
std::string_view to_string(request_outcome value) noexcept;

// A request of a connection, as far as it has been read, and what its caller was sent.
struct request_state
{
    std::string_view id;
    const running_request* request = nullptr; // null until the request has been read completely
    time_point received;                      // its head
    unsigned status = 0;                      // of the response; 0 if none has started
    std::uint64_t bytes = 0;                  // of the response that the system has taken
    bool complete = false;                    // all of the response was given to be written
    bool write_failed = false;
    bool caller_closed = false; // before the request was read completely
};

// Returns the outcome of a request that has ended.
request_outcome outcome_of(const request_state& ended);

// Numbers of requests of a planned stop. `in_flight` and `received` together are the sum of `ended`
// and of the requests that are still being read or served.
struct stop_counts
{
    std::size_t in_flight = 0; // being read or served when the stop began
    std::size_t received = 0;  // since then
    std::array<std::size_t, request_outcomes.size()> ended{}; // by outcome

    std::size_t with(request_outcome outcome) const
    {
        return ended[static_cast<std::size_t>(outcome)];
    }

    // Returns the number of requests that have not ended.
    std::size_t unfinished() const;
};

class stop_record
{
public:
    // Names the requests that are being read or served. All times in the log are relative to
    // `began`, when the process received the signal to stop.
    stop_record(time_point began, std::vector<request_state> in_flight);

    // Names the requests that are still being read or served. The number of lines of a whole stop
    // is bounded; the oldest requests come first.
    void log_in_flight(std::vector<request_state> requests);

    // Counts a request that was received after the beginning of the stop.
    void count_received() { ++counts_.received; }

    // Counts and logs the end of a request.
    void log_end(const request_state& ended);

    const stop_counts& counts() const noexcept { return counts_; }

private:
    void log_requests(std::vector<request_state> requests, std::size_t max_lines) const;

    time_point began_;
    std::size_t lines_left_;
    stop_counts counts_;
};

} // namespace quetzal::gateway

#endif
