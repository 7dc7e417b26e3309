#ifndef QUETZAL_GATEWAY_COLD_RATE_LIMITER_HPP
#define QUETZAL_GATEWAY_COLD_RATE_LIMITER_HPP

// Bounds the requests that one instance sends to a cold endpoint, so that all instances together
// stay within the request rate that the endpoint can sustain.

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

// The fleet's bound: in any second, requests <= rate * overage + slack.
struct cold_rate_limiter_options
{
    double overage = 1.5;
    double slack = 5;
};

// Each instance may use an equal share of the bound in every sliding second. If that share is less
// than one request, only as many instances as the bound allows may send to the endpoint, one
// request per second each: the first ones in the rendezvous order of the endpoint.
class cold_rate_limiter
{
public:
    explicit cold_rate_limiter(cold_rate_limiter_options options) : options_(options) {}

    // Returns whether a request may be sent to the cold endpoint now, and counts it if so. `rate`
    // is in requests per second (0: unlimited). `instances` is the number of instances in the
    // fleet, and `rank` the number of those ahead of this one in the endpoint's rendezvous order.
    bool try_acquire(const std::string& endpoint_id, double rate, std::size_t instances,
                     std::size_t rank, time_point now);

private:
    cold_rate_limiter_options options_;
    std::unordered_map<std::string, std::deque<time_point>> sent_; // by endpoint, newest last
};

} // namespace quetzal::gateway

#endif
