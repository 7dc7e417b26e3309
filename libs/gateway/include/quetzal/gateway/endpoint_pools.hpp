#ifndef QUETZAL_GATEWAY_ENDPOINT_POOLS_HPP
#define QUETZAL_GATEWAY_ENDPOINT_POOLS_HPP

// Chooses the endpoint of a request among those that the catalog lists for a service, with the
// choice by load, prompt cache and evidence of `serving`, and with the fleet's bound on cold
// endpoints.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/cold_rate_limiter.hpp>
#include <quetzal/gateway/member_table.hpp>
#include <quetzal/serving/endpoint_chooser.hpp>

namespace quetzal::gateway {

struct endpoint_pool_options
{
    std::string zone; // of this instance
    cold_rate_limiter_options cold;
    std::uint64_t seed = 1;
};

// What a request asks of its endpoint.
struct endpoint_wish
{
    std::vector<serving::prompt_prefix> prefixes; // ascending length; empty: no prompt
    std::vector<std::string> avoid;               // ids of endpoints already tried
};

struct chosen_endpoint
{
    endpoint target;
    serving::endpoint_index index = serving::no_endpoint_index;
    serving::prompt_prefix expected_prefix;
    serving::prompt_prefix prompt; // longest prefix of the request
    time_point started;
};

class endpoint_pools
{
public:
    explicit endpoint_pools(endpoint_pool_options options);

    // Follows the catalog. `instances` is the number of instances that share the endpoints.
    void refresh(const catalog& view, std::size_t instances, time_point now);

    // Chooses an endpoint that accepts work and counts the request as started there. Returns
    // nothing when no endpoint has a free place.
    std::optional<chosen_endpoint> start(const catalog& view, const std::string& service,
                                         const endpoint_wish& wish, const member_table& members,
                                         time_point now);

    // The availability zone of the endpoint that a request would get now, or an empty text.
    std::string likely_zone(const catalog& view, const std::string& service,
                            const endpoint_wish& wish, time_point now);

    // Notes the end of a request that was started.
    void finish(const chosen_endpoint& chosen, const serving::attempt_outcome& outcome,
                time_point now);

    // Notes that an endpoint could not be reached: it gets nothing for a second.
    void unreachable(const chosen_endpoint& chosen, time_point now);

    // Notes the load that an endpoint reported with an answer.
    void report(const chosen_endpoint& chosen, std::uint32_t running, std::uint32_t waiting,
                time_point now);

    // Whether the service has an endpoint that accepts work.
    bool any_usable(const catalog& view, const std::string& service) const;

    // Lets ejected endpoints return on trial when their time is over.
    void return_ejected(time_point now);

private:
    struct pool
    {
        explicit pool(const serving::chooser_options& options) : chooser(options) {}

        serving::endpoint_chooser chooser;
        std::map<std::string, std::pair<serving::endpoint_index, endpoint>> members; // by id
        std::map<std::string, time_point> unreachable_until;                         // by id
        std::uint32_t concurrency = 0;
    };

    pool& pool_of(const service_definition& definition, std::uint32_t concurrency);
    std::uint32_t concurrency_of(const service_definition& definition, std::size_t instances) const;
    std::uint32_t zone_number(const std::string& zone);

    endpoint_pool_options options_;
    random_source random_;
    cold_rate_limiter cold_;
    std::map<std::string, std::unique_ptr<pool>> pools_; // by service
    std::map<std::string, std::uint32_t> zones_;
};

} // namespace quetzal::gateway

#endif
