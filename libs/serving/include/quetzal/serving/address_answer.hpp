#ifndef QUETZAL_SERVING_ADDRESS_ANSWER_HPP
#define QUETZAL_SERVING_ADDRESS_ANSWER_HPP

// Selects the entry instance that a caller should connect to. There is no load balancer: any
// instance resolves the address, and the caller caches the result for a limited time.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::serving {

// An entry instance as the resolving instance sees it.
struct address_candidate
{
    instance_id id;
    std::string address; // "ip:port" that callers connect to
    zone_id zone;
    bool leaving = false;
    bool suspected = false;
    bool zone_evacuated = false;
    double weight = 1.0; // relative capacity, > 0
};

// The customer and the caller that the address is for.
struct address_query
{
    customer_id customer;
    std::uint64_t caller = 0;        // hash of the caller's address or name
    std::optional<instance_id> home; // holder of the customer's partition, if known
    double rate = 0;                 // request rate of the customer, requests/s
};

// Parameters of the address resolution.
struct address_options
{
    double rate_per_instance = 50; // requests/s of one customer that one instance serves
    duration ttl = std::chrono::seconds(30);
    // Fraction by which `ttl` varies by caller, which avoids bursts of queries.
    double ttl_jitter = 0.2;
};

struct address_answer
{
    std::string address;
    instance_id instance;
    std::optional<std::string> fallback; // in another availability zone, if there is one
    duration ttl{};
};

// Returns the address, or nothing when no instance is eligible. All callers of a customer whose
// rate fits one instance get its home. The callers of a larger customer are spread by weighted
// rendezvous hashing over as many instances as its rate needs, preferably in the home's zone.
// Leaving and suspected instances and those in evacuated zones are never returned.
std::optional<address_answer> resolve_address(const address_query& query,
                                              const std::vector<address_candidate>& candidates,
                                              const address_options& options = {});

} // namespace quetzal::serving

#endif
