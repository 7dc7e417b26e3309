#ifndef QUETZAL_SERVING_ENDPOINT_SUBSET_HPP
#define QUETZAL_SERVING_ENDPOINT_SUBSET_HPP

// Selects the subset of a pool's endpoints that one instance connects to in a large deployment.

#include <cstddef>
#include <vector>

#include <quetzal/base/ids.hpp>

namespace quetzal::serving {

inline constexpr std::size_t max_subset = 24; // endpoints of a pool per instance

// An endpoint or instance and its availability zone.
struct placed_endpoint
{
    endpoint_id id;
    zone_id zone;
};
struct placed_instance
{
    instance_id id;
    zone_id zone;
};

// Returns at most `limit` of the endpoints for the instance `self`, half of them in its own zone if
// that has enough, the others spread over the other zones. All instances with the same lists
// compute the same assignment: an endpoint is in at most 1.25 times the mean number of subsets
// (rounded up), unless no other endpoint is left for an instance. Adding or removing one instance
// or endpoint changes few other subsets (rendezvous hashing with bounded loads). The cost grows
// with instances times endpoints; call it only when a list changes.
std::vector<endpoint_id> choose_subset(const instance_id& self,
                                       const std::vector<placed_instance>& instances,
                                       const std::vector<placed_endpoint>& endpoints,
                                       std::size_t limit = max_subset);

} // namespace quetzal::serving

#endif
