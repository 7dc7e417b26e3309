#ifndef QUETZAL_GATEWAY_REQUEST_PRIORITY_HPP
#define QUETZAL_GATEWAY_REQUEST_PRIORITY_HPP

#include <algorithm>

#include <quetzal/gateway/catalog.hpp>

namespace quetzal::gateway::internal {

inline constexpr int route_priorities = 16; // more urgent ones are told apart

// The customer's priority goes before the route's, which orders the requests of customers that have
// the same one.
inline int effective_priority(const caller_identity& caller, const route& matched)
{
    const int route_priority = std::clamp(matched.priority, 0, route_priorities - 1);
    const int customer_priority = caller.priority.value_or(route_priority);
    return customer_priority * route_priorities + route_priority;
}

// The same order in the few levels that endpoints know.
inline int endpoint_priority(int effective)
{
    constexpr int levels_of_routes = 3;
    constexpr int least_urgent_priority = 9;
    const int customer_priority = effective / route_priorities;
    const int route_priority = std::min(effective % route_priorities, levels_of_routes - 1);
    return std::clamp(customer_priority * levels_of_routes + route_priority, 0,
                      least_urgent_priority);
}

} // namespace quetzal::gateway::internal

#endif
