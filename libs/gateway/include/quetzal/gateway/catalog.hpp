#ifndef QUETZAL_GATEWAY_CATALOG_HPP
#define QUETZAL_GATEWAY_CATALOG_HPP

// What a gateway knows of the outside world: the published configuration, the endpoints and the
// availability zones that are taken out of service. The catalog is filled by an adapter and read by
// every decision of the request path. It is used by one thread.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

// What may be repeated on a route.
enum class route_kind
{
    idempotent,     // may run more than once
    non_idempotent, // runs at most once
    stream          // server-sent events; repeatable only when the route is resumable
};

// A stage that runs before the request itself.
struct stage_definition
{
    std::string service;
    std::vector<std::size_t> after; // indexes of the stages whose results it needs
    std::uint64_t result_size = 0;  // bytes, approximate
};

struct weighted_service
{
    std::string service;
    double weight = 1;
};

struct route
{
    std::string name;
    std::string host;   // lower case, without port
    std::string prefix; // begins and ends with a slash
    route_kind kind = route_kind::non_idempotent;
    duration timeout{};        // longest time that a request may be kept waiting
    duration latency_target{}; // until the answer, or until the first event of a stream
    int priority = 0;          // 0 is the most urgent
    std::vector<weighted_service> services;
    unsigned max_attempts = 1; // endpoints that one request may run on
    std::vector<stage_definition> stages;
    bool open = false;      // needs no key
    bool resumable = false; // a stream may go on at another endpoint
};

// Capacity of one endpoint that runs pieces of stages.
struct stage_capacity
{
    unsigned slots = 1;            // calls in progress
    unsigned queue = 0;            // calls that may wait
    unsigned batch = 1;            // pieces of one call
    duration call_time{};          // approximate time of a call without its pieces
    duration piece_time{};         // approximate time of each piece
    std::uint64_t result_room = 0; // bytes for results, 0: unknown
    duration result_lifetime{};    // after the end of the call
};

// Capacity of one model engine.
struct engine_capacity
{
    unsigned slots = 1;
    std::uint64_t cache_tokens = 0;
};

struct service_definition
{
    std::string name;
    unsigned max_connections = 0; // of one endpoint, from all callers
    duration cold_period{};       // after the start of an endpoint
    double cold_rate = 0;         // requests per second that a cold endpoint bears; 0: no bound
    std::optional<stage_capacity> stage;
    std::optional<engine_capacity> engine;
};

// Bounds on what a caller may send.
struct caller_limits
{
    std::uint32_t header_size = 16u << 10; // bytes
    std::uint64_t body_size = 4u << 20;    // bytes
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

struct customer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; // goes before the priority of the route
};

// One version of the published configuration.
struct published_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_definition> services;
    std::vector<customer> customers;
    caller_limits limits;
};

// A back end as the platform lists it. `id` and `started` together name one incarnation.
struct endpoint
{
    std::string id;
    std::uint64_t started = 0; // Unix milliseconds, 0 if unknown
    std::string service;
    boost::asio::ip::tcp::endpoint address;
    std::string zone;
    bool leaving = false;
    time_point cold_until{};

    bool same_incarnation(const endpoint& other) const noexcept
    {
        return id == other.id && started == other.started && address == other.address;
    }
};

// Result of looking up a caller's key.
struct caller_identity
{
    std::string customer;        // empty on open routes
    std::optional<int> priority; // of the customer
};

// The current view. Commands replace parts of it; queries never change it.
class catalog
{
public:
    // Takes a configuration unless an equal or newer one is known. Returns whether it was taken.
    bool take(published_configuration configuration);

    // Adds or replaces an endpoint.
    void put_endpoint(endpoint value);

    void remove_endpoint(const std::string& id);

    void set_evacuated(const std::string& zone, bool evacuated, time_point now);

    bool configured() const noexcept { return configuration_ != nullptr; }
    std::uint64_t version() const noexcept { return configured() ? configuration_->version : 0; }
    const caller_limits& limits() const noexcept;

    // Returns the route with the longest prefix of the path among those of the host, or null. The
    // pointer shares ownership of its configuration.
    std::shared_ptr<const route> find_route(std::string_view host, std::string_view path) const;

    // Returns the customer that holds the key, or nothing when no customer does.
    std::optional<caller_identity> find_customer(std::string_view key) const;

    const service_definition* find_service(const std::string& name) const;

    // Returns the endpoint of that id, or null.
    const endpoint* find_endpoint(const std::string& id) const;

    // Whether new work may be sent to this incarnation now.
    bool accepts_work(const endpoint& value) const;

    // Returns the endpoints of a service that accept work.
    std::vector<const endpoint*> usable_endpoints(const std::string& service) const;

    const std::map<std::string, endpoint>& endpoints() const noexcept { return endpoints_; }

private:
    std::shared_ptr<const published_configuration> configuration_;
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
    std::unordered_map<std::string, std::size_t> customers_by_key_;
    std::unordered_map<std::string, std::size_t> services_;
    std::map<std::string, endpoint> endpoints_;
    std::set<std::string> evacuated_;
};

} // namespace quetzal::gateway

#endif
