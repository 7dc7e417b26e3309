#ifndef QUETZAL_GATEWAY_DRAIN_PLAN_HPP
#define QUETZAL_GATEWAY_DRAIN_PLAN_HPP

// Decides which requests a stopping instance may still send to an endpoint. A response that has
// started cannot be replaced by a refusal, so a request is sent only if its response is expected to
// be complete before the process exits; all others are refused at once, and another instance can
// run them. Expectations come from the recent responses of the same route, for a stream also from
// those that are running, which show sooner that endpoints are getting slower. Does no I/O.

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

// The times of a planned stop.
struct drain_window
{
    // Until then, callers may not have learnt that this instance is stopping.
    time_point notice_end;
    // When all responses have to be complete.
    time_point responses_end;
};

// What the decision about a request depends on.
struct drain_candidate
{
    std::string route;
    bool is_stream = false; // a response that has started cannot end with an error status
    time_point received;
    time_point deadline;
    // How long the longest stream of the route that is running has taken so far; 0 for a request
    // that is no stream.
    duration longest_running{0};
};

class drain_plan
{
public:
    // Begins the stop. Only the first call has an effect.
    void begin(drain_window window);

    // Returns the times of the stop, or nothing before it has begun.
    const std::optional<drain_window>& window() const noexcept { return window_; }

    // Records the time from sending a request of the route to its complete response.
    void record_response(const std::string& route, duration took);

    // Returns the longest of the recent response times of the route, or nothing if there is none.
    std::optional<duration> slowest_recent(const std::string& route) const;

    // Returns the latest time at which the request may be sent to an endpoint:
    // `time_point::max()` if no stop limits it, and `time_point::min()` if it must not be sent. A
    // request whose deadline is not after the end of the stop is not limited. Otherwise its
    // response has to be expected in time, with more room for a stream, which cannot be taken back
    // once it has started. A stream that is received after `notice_end` is not sent on an
    // expectation, because it would be cut off if the expectation fails.
    time_point latest_send(const drain_candidate& request) const;

private:
    // The most recent response times of one route.
    struct recent_responses
    {
        static constexpr std::size_t capacity = 32;

        std::array<duration, capacity> times{}; // unused entries are zero
        std::size_t next = 0;
    };

    std::map<std::string, recent_responses> responses_; // by route
    std::optional<drain_window> window_;
};

} // namespace quetzal::gateway

#endif
