#ifndef QUETZAL_GATEWAY_ENDPOINT_POOLS_HPP
#define QUETZAL_GATEWAY_ENDPOINT_POOLS_HPP

// Chooses an endpoint for a request among those that the catalog lists for a service. The choice by
// load, prompt cache and observed failures is made by `serving::endpoint_chooser`; the request rate
// of cold endpoints is bounded for the whole fleet.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/cold_rate_limiter.hpp>
#include <quetzal/gateway/endpoints/load_header.hpp>
#include <quetzal/gateway/member_table.hpp>
#include <quetzal/serving/endpoint_chooser.hpp>

namespace quetzal::gateway {

struct endpoint_pool_options
{
    std::string zone; // of this instance
    cold_rate_limiter_options cold;
    std::uint64_t seed = 1;
};

// Requirements of a request on its endpoint.
struct endpoint_requirements
{
    std::vector<serving::prompt_prefix> prefixes; // shortest first; empty: no prompt
    std::vector<std::string> avoid;               // ids of endpoints tried before
};

struct chosen_endpoint
{
    endpoint target;
    serving::endpoint_index index = serving::no_endpoint_index;
    std::uint64_t entry = 0; // see `endpoint_pools::pool_entry`
    serving::prompt_prefix expected_prefix;
    serving::prompt_prefix prompt; // longest prefix of the request's prompt
    time_point started;
};

// The paces of the endpoints of a service as this instance knows them; 1 is the usual duration of
// work, 2 twice that.
struct service_pace
{
    std::string service;
    double mean = 1;
    std::size_t slow = 0;      // endpoints that are expected to be slow now
    std::uint64_t reports = 0; // so far
};

class endpoint_pools
{
public:
    explicit endpoint_pools(endpoint_pool_options options);

    // Updates the pools from the catalog. `instances` is the number of gateway instances that share
    // the endpoints.
    void refresh(const catalog& view, std::size_t instances, time_point now);

    // Chooses an endpoint that accepts work and counts the request as started there. Returns no
    // value if no endpoint has free capacity.
    std::optional<chosen_endpoint> start_request(const catalog& view, const std::string& service,
                                                 const endpoint_requirements& requirements,
                                                 const member_table& members, time_point now);

    // Whether `start_request` would find an endpoint now. Endpoints that are cold do not count.
    bool has_free_endpoint(const catalog& view, const std::string& service,
                           const endpoint_requirements& requirements, time_point now);

    // Returns the availability zone of the endpoint that a request would get now, or an empty
    // string if there is none.
    std::string likely_zone(const catalog& view, const std::string& service,
                            const endpoint_requirements& requirements, time_point now);

    // Records the end of a request that was started. Has no effect, like the functions below, if
    // the endpoint has restarted since or has been listed anew: its places were all free then.
    void finish_request(const chosen_endpoint& chosen, const serving::attempt_outcome& outcome,
                        time_point now);

    // Records that an endpoint could not be reached. It gets no requests for one second.
    void mark_unreachable(const chosen_endpoint& chosen, time_point now);

    // Records the load that an endpoint reported in a response.
    void report_load(const chosen_endpoint& chosen, const reported_load& load, time_point now);

    // Returns what is known of the paces of the services whose endpoints report one.
    std::vector<service_pace> paces(time_point now) const;

    // Whether the service has an endpoint that accepts work.
    bool has_usable_endpoint(const catalog& view, const std::string& service) const;
    // The same without the endpoints whose ids are in `avoid`.
    bool has_usable_endpoint(const catalog& view, const std::string& service,
                             const std::vector<std::string>& avoid) const;

    // Readmits endpoints whose pause after a connection failure is over, and on probation those
    // whose ejection time is over.
    void readmit_endpoints(time_point now);

private:
    // One incarnation of an endpoint, for as long as it is listed without a break.
    struct pool_entry
    {
        serving::endpoint_index index = serving::no_endpoint_index; // may be used again later
        std::uint64_t number = 0;                                   // is never used again
        endpoint value;
        bool slow = false; // by its latest report
    };

    struct pool
    {
        explicit pool(const serving::chooser_options& options) : chooser(options) {}

        serving::endpoint_chooser chooser;
        std::map<std::string, pool_entry> endpoints;         // by id
        std::map<std::string, time_point> unreachable_until; // by id
        std::uint32_t concurrency = 0;
    };

    static std::vector<serving::endpoint_index> indexes_of(const pool& service_pool,
                                                           const std::vector<std::string>& ids);
    // Returns the pool in which the chosen endpoint is still listed, or null.
    pool* pool_of(const chosen_endpoint& chosen);
    void log_pace(pool& service_pool, const chosen_endpoint& chosen, time_point now);
    pool& pool_for(const service_definition& definition, std::uint32_t concurrency);
    std::uint32_t concurrency_limit(const service_definition& definition,
                                    std::size_t instances) const;
    std::uint32_t zone_index(const std::string& zone);

    endpoint_pool_options options_;
    random_source random_;
    std::uint64_t next_entry_ = 1;
    cold_rate_limiter cold_;
    std::map<std::string, std::unique_ptr<pool>> pools_; // by service
    std::map<std::string, std::uint32_t> zones_;
};

} // namespace quetzal::gateway

#endif
