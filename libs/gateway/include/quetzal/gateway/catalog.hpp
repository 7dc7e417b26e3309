#ifndef QUETZAL_GATEWAY_CATALOG_HPP
#define QUETZAL_GATEWAY_CATALOG_HPP

// The published configuration, the endpoints and the evacuated availability zones as known to this
// gateway. An adapter fills the catalog; every decision of the request path reads it. Not
// thread-safe.

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

// Which requests of a route may be retried.
enum class route_kind
{
    idempotent,     // may run more than once
    non_idempotent, // runs at most once
    stream          // server-sent events; retried only if the route is resumable
};

// A processing stage that runs before the request itself.
struct stage_definition
{
    std::string service;
    std::vector<std::size_t> after; // indexes of the stages whose results this one needs
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
    duration timeout{};        // upper bound on the time to serve a request
    duration latency_target{}; // until the response, or the first event of a stream
    int priority = 0;          // 0 is the most urgent
    std::vector<weighted_service> services;
    unsigned max_attempts = 1; // attempts of one request that may run
    std::vector<stage_definition> stages;
    bool open = false;      // requires no key
    bool resumable = false; // a stream may be continued by another endpoint
};

// Capacity of one endpoint that processes the pieces of a stage.
struct stage_capacity
{
    unsigned slots = 1;              // concurrent calls
    unsigned queue = 0;              // waiting calls
    unsigned batch = 1;              // pieces for each call
    duration call_time{};            // approximate fixed time of a call, without its pieces
    duration piece_time{};           // approximate time for each piece
    std::uint64_t result_memory = 0; // bytes that hold results; 0 if unknown
    duration result_lifetime{};      // counted from the end of the call
};

// Capacity of one model inference engine.
struct engine_capacity
{
    unsigned slots = 1;
    std::uint64_t cache_tokens = 0;
};

struct service_definition
{
    std::string name;
    unsigned max_connections = 0; // to one endpoint, from all instances together
    duration cold_period{};       // warm-up time after the start of an endpoint
    double cold_rate = 0;         // requests per second that a cold endpoint can serve; 0: no bound
    std::optional<stage_capacity> stage;
    std::optional<engine_capacity> engine;
};

// Limits on callers' requests and connections.
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
    std::optional<int> priority; // takes precedence over the priority of the route
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

// A back end as listed by the platform. `id` and `started` together identify one incarnation.
struct endpoint
{
    std::string id;
    std::uint64_t started = 0; // Unix time in milliseconds; 0 if unknown
    std::string service;
    boost::asio::ip::tcp::endpoint address;
    std::string zone;
    bool leaving = false;
    time_point cold_until{};
    std::uint64_t sequence = 0; // rises with each report of an incarnation

    bool same_incarnation(const endpoint& other) const noexcept
    {
        return id == other.id && started == other.started && address == other.address;
    }
};

// The customer that a caller's key belongs to.
struct caller_identity
{
    std::string customer;        // empty on open routes
    std::optional<int> priority; // of the customer
};

// Modifying functions replace parts of the catalog; queries never change it.
class catalog
{
public:
    // Applies a configuration unless one of the same or a newer version is in effect. Returns
    // whether it was applied.
    bool apply(published_configuration configuration);

    // Adds or replaces an endpoint.
    void put_endpoint(endpoint value);

    void remove_endpoint(const std::string& id);

    // Marks an availability zone as evacuated (taken out of service) or as returned. The endpoints
    // of a returned zone count as cold for the cold period of their service.
    void set_evacuated(const std::string& zone, bool evacuated, time_point now);

    // Record what an endpoint announces in a response: that it leaves, or that it wants no requests
    // until a time. An incarnation that has announced its leaving gets no more work. Ignored unless
    // that incarnation is listed.
    void record_leaving(const endpoint& value, time_point now);
    void record_pause(const endpoint& value, time_point until, time_point now);

    // Ends the pauses that are over and drops old announcements of endpoints that are no longer
    // listed. Returns whether a pause has ended.
    bool end_pauses(time_point now);

    // Returns when the first pause of an endpoint of the service ends that accepts work otherwise.
    std::optional<time_point> next_pause_end(const std::string& service) const;

    bool configured() const noexcept { return configuration_ != nullptr; }
    std::uint64_t version() const noexcept { return configured() ? configuration_->version : 0; }
    const caller_limits& limits() const noexcept;

    // Returns the route of the host whose prefix is the longest that matches the path, or null. The
    // pointer shares ownership of the configuration.
    std::shared_ptr<const route> find_route(std::string_view host, std::string_view path) const;

    // Returns the customer that owns the key, or no value.
    std::optional<caller_identity> find_customer(std::string_view key) const;

    const service_definition* find_service(const std::string& name) const;

    // Returns the endpoint with that id, or null.
    const endpoint* find_endpoint(const std::string& id) const;

    // Whether new requests may be sent to this incarnation now.
    bool accepts_work(const endpoint& value) const;

    // Returns the endpoints of a service that accept new requests: all of them, or those of one
    // availability zone if `zone` is not empty.
    std::vector<const endpoint*> usable_endpoints(const std::string& service,
                                                  std::string_view zone = {}) const;

    const std::map<std::string, endpoint>& endpoints() const noexcept { return endpoints_; }

private:
    struct announcement
    {
        endpoint source;
        bool leaving = false;
        std::optional<time_point> paused_until;
        time_point received;
    };

    announcement* announcement_of(const endpoint& value, time_point now);
    bool is_listed_for_work(const endpoint& value) const;

    std::shared_ptr<const published_configuration> configuration_;
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
    std::unordered_map<std::string, std::size_t> customers_by_key_;
    std::unordered_map<std::string, std::size_t> services_;
    std::map<std::string, endpoint> endpoints_;
    std::set<std::string> evacuated_;
    std::map<std::string, announcement> announcements_; // by endpoint id
};

} // namespace quetzal::gateway

#endif
