#ifndef QUETZAL_BENCH_FLEET_HPP
#define QUETZAL_BENCH_FLEET_HPP

// The installations that the bench measures: their configuration, endpoints, entry instances and
// mix of work.

#include <cstdint>
#include <string>
#include <vector>

#include "stage_model.hpp"
#include <quetzal/config/published.hpp>

namespace quetzal::bench {

// An endpoint with the indexes of its pool and zone in the configuration.
struct endpoint_spec
{
    endpoint_id id;
    std::size_t pool = 0;
    std::size_t zone = 0;
};

struct instance_spec
{
    instance_id id;
    std::size_t zone = 0;
};

// What the requests of a class look like.
struct class_mix
{
    double weight = 1;          // share of the requests
    std::uint32_t chunks = 0;   // mean number of chunks of a stream stage
    std::uint64_t prefixes = 0; // distinct prompt prefixes of one customer
};

// An installation. `profiles` has one entry a pool, `mixes` one a class, `shares` one a customer.
struct fleet
{
    std::string name;
    double thinning = 1; // the real installation is this many times larger
    config::published config;
    std::vector<pool_profile> profiles;
    std::vector<endpoint_spec> endpoints;
    std::vector<instance_spec> instances;
    std::vector<class_mix> mixes;
    std::vector<double> shares; // of the requests
    duration zone_distance{};   // one way, between two zones
    double capacity = 0;        // requests/s that the bottleneck pool completes when all are warm
};

// Order desk assistant: 10 model replicas, four services, 8 instances, 5 customers.
fleet banderas();

// Rug collection: 12 model replicas, four services, 8 instances, 5 customers.
fleet trinidad();

// One of the two regions of the design size, thinned by 10: 30 replicas, 16 instances and 60
// customers in 3 zones.
fleet design_size();

// Returns the requests/s of the fleet's mix that the endpoints of the pool complete, where
// `speed[e]` is the share of its full speed at which endpoint e works now.
double pool_capacity(const fleet& installation, std::size_t pool, const std::vector<double>& speed);

} // namespace quetzal::bench

#endif
