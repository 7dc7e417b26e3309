#ifndef QUETZAL_GATEWAY_COLD_GATE_HPP
#define QUETZAL_GATEWAY_COLD_GATE_HPP

// Bounds the requests that one instance sends to a cold endpoint, so that all instances together
// stay within the rate that the endpoint bears.

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

// The fleet's bound: in any second, requests <= rate * overage + slack.
struct cold_gate_options
{
    double overage = 1.5;
    double slack = 5;
};

// Every instance takes an equal part of the bound in each sliding second. When the parts are
// smaller than one request, only so many instances may send to the endpoint, one request a second
// each, as the bound allows: those that come first in the endpoint's rendezvous order.
class cold_gate
{
public:
    explicit cold_gate(cold_gate_options options) : options_(options) {}

    // Whether a request may be sent to the cold endpoint now; if so it is counted. `rate` is in
    // requests per second; `instances` is the number of instances in the fleet, and `rank` that of
    // those that come before this one in the endpoint's rendezvous order.
    bool try_send(const std::string& endpoint_id, double rate, std::size_t instances,
                  std::size_t rank, time_point now);

private:
    cold_gate_options options_;
    std::unordered_map<std::string, std::deque<time_point>> sent_; // by endpoint, newest last
};

} // namespace quetzal::gateway

#endif
