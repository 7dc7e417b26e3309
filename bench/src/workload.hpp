#ifndef QUETZAL_BENCH_WORKLOAD_HPP
#define QUETZAL_BENCH_WORKLOAD_HPP

// Requests and faults of a run. They depend on the scenario and the seed, never on the policy, so
// that all policies face the same requests.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fleet.hpp"

namespace quetzal::bench {

// One request before anything has been decided about it.
struct arrival
{
    duration at{}; // since the start of the run
    std::uint32_t customer = 0;
    std::uint32_t work = 0;     // class
    std::uint32_t instance = 0; // the one that its caller is connected to
    std::uint64_t prefix = 0;
    double size = 1;          // factor on the service time of its stages
    std::uint32_t chunks = 0; // of its stream stages
};

// What happens to the fleet at a moment.
struct disturbance
{
    enum class kind
    {
        slow_down,   // endpoint, amount: factor
        fail,        // endpoint, amount: share of calls
        stop,        // endpoint
        start,       // endpoint, comes back cold
        turn_cold,   // endpoint
        leave,       // endpoint is listed as leaving
        zone_out,    // zone
        zone_in,     // zone
        service_down, // configuration service and instance list cannot be read
        service_up
    };

    duration at{};
    kind what = kind::slow_down;
    std::size_t target = 0;
    double amount = 0;
};

// A scenario: the load and what goes wrong.
struct scenario
{
    std::string name;
    double load = 0.6; // share of the fleet's capacity
    bool fault = false;
    std::optional<std::size_t> flooding; // customer that sends five times its rate
    std::vector<disturbance> disturbances;
};

// Requests of a run in order of time. Every customer's callers are connected to several instances,
// those of a small customer to two.
std::vector<arrival> make_arrivals(const fleet& installation, const scenario& what, duration length,
                                   std::uint64_t seed);

// All scenarios, with faults placed within a run of this length.
std::vector<scenario> make_scenarios(const fleet& installation, duration length,
                                     std::uint64_t seed);

} // namespace quetzal::bench

#endif
