#ifndef QUETZAL_GATEWAY_STAGES_PLACE_ORDER_HPP
#define QUETZAL_GATEWAY_STAGES_PLACE_ORDER_HPP

// Decides who gets a scarce place first, e.g. in the next call of a stage. While every claim can
// start in time, the claims are ordered by the time at which they have to start. When some of them
// can't, those with the weakest claims wait for what the others leave.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

// Something that waits for one place. Of two claims, the one with the higher customer priority is
// stronger, then the one of the customer that was served less, then the one with the higher route
// priority, then the one that has to start earlier. Claims of one group are only useful together.
struct place_claim
{
    std::int32_t customer_priority = 0; // 0 is the highest
    std::int32_t route_priority = 0;    // 0 is the highest
    double customer_share = 0;          // served recently; 1 is an equal share
    time_point latest_start;            // a later start misses the latency target
    duration handicap{}; // among claims that all start in time, ordered as if due later by this
    std::uint64_t group = 0;
};

// The places that become free: `at_once` now, and as many again after each `interval`. Starts are
// planned `reserve` ahead of the latest start, as stronger claims may arrive meanwhile.
struct place_supply
{
    std::size_t at_once = 1;
    duration interval{};
    duration reserve{};
};

// Work done for each customer in the recent past, in any unit.
class customer_usage
{
public:
    void record(const std::string& customer, double work, time_point now);

    // Returns the customer's part of the recent work as a multiple of an equal share.
    double share_of(const std::string& customer, time_point now) const;

private:
    struct decaying_sum
    {
        double value = 0;
        time_point updated{};
    };

    static double value_at(const decaying_sum& sum, time_point now);

    std::map<std::string, decaying_sum> customers_;
};

// Returns the indexes of the claims in the order in which they get places. Claims whose latest
// start has passed come last. Takes time proportional to n log n.
std::vector<std::size_t> order_claims(const std::vector<place_claim>& claims,
                                      const place_supply& supply, time_point now);

} // namespace quetzal::gateway

#endif
