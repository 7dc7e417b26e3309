#ifndef QUETZAL_GATEWAY_REQUEST_PRIORITY_HPP
#define QUETZAL_GATEWAY_REQUEST_PRIORITY_HPP

#include <algorithm>

#include <quetzal/gateway/catalog.hpp>

namespace quetzal::gateway::internal {

inline constexpr int route_priority_levels = 16; // larger route priorities count as the last level

// Combines both priorities; 0 is the most urgent. The customer's priority takes precedence; the
// route's orders requests of customers with the same priority. A customer without a priority gets
// that of the route.
inline int effective_priority(const caller_identity& caller, const route& matched)
{
    const int route_priority = std::clamp(matched.priority, 0, route_priority_levels - 1);
    const int customer_priority = caller.priority.value_or(route_priority);
    return customer_priority * route_priority_levels + route_priority;
}

// Maps an effective priority to the levels 0 to 9 that endpoints support, keeping the order.
inline int endpoint_priority(int effective)
{
    constexpr int endpoint_route_levels = 3;
    constexpr int lowest_priority = 9;
    const int customer_priority = effective / route_priority_levels;
    const int route_priority =
        std::min(effective % route_priority_levels, endpoint_route_levels - 1);
    return std::clamp(customer_priority * endpoint_route_levels + route_priority, 0,
                      lowest_priority);
}

} // namespace quetzal::gateway::internal

#endif
