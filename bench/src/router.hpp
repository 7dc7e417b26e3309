#ifndef QUETZAL_BENCH_ROUTER_HPP
#define QUETZAL_BENCH_ROUTER_HPP

// The interface between the bench and a policy. Every entry instance has a router of its own, which
// sees only the events that reach this instance.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "workload.hpp"
#include <quetzal/base/random.hpp>
#include <quetzal/base/verdict.hpp>

namespace quetzal::bench {

enum class endpoint_status
{
    live,
    leaving,
    gone
};

// What the configuration service and the instance list say, as one instance last read them.
struct platform_view
{
    std::uint64_t config_version = 1;
    std::vector<config::zone_state> zones;
    std::uint64_t list_revision = 1;
    std::vector<endpoint_status> endpoints;
};

// Answer of the rate admission.
enum class rate_answer
{
    taken,
    wait,  // not known yet; ask again
    none,  // there was no token a moment ago; ask again
    beyond // the customer is beyond its rate
};

// What a router can do. All of it takes effect at once at the instance; calls travel from there.
class port
{
public:
    port() = default;
    port(const port&) = delete;
    port& operator=(const port&) = delete;
    virtual ~port() = default;

    virtual time_point now() const = 0;

    // Asks for a token of the rate of the request's customer and takes it when there is one.
    virtual rate_answer take_token(std::uint32_t request) = 0;

    // Returns the fencing number while this instance has the exclusive right to the endpoint.
    virtual std::optional<std::uint64_t> right_to(std::uint32_t endpoint) const = 0;

    // Builds the call of a stage, with a new identifier.
    virtual call make_call(std::uint32_t request, std::uint32_t stage, std::uint32_t endpoint) = 0;
    virtual void send(const call& work) = 0;
    virtual void cancel(const call& work) = 0;

    virtual void refuse(std::uint32_t request, verdict run, reason why) = 0;
    virtual void fail(std::uint32_t request) = 0;
    virtual void complete_stage(std::uint32_t request, std::uint32_t stage) = 0;
    virtual void relay_chunk(std::uint32_t request) = 0;
    virtual void answer(std::uint32_t request) = 0;

    // Calls `router::wake` at this time.
    virtual void wake_at(time_point when) = 0;
};

// The decisions of one entry instance.
class router
{
public:
    router() = default;
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    virtual ~router() = default;

    virtual void update(const platform_view& view) = 0;

    // Takes a request as it arrives from its caller.
    virtual void start(std::uint32_t request, const arrival& what, time_point deadline) = 0;

    // The caller no longer waits for the request.
    virtual void give_up(std::uint32_t request) = 0;

    virtual void on_call(const call& work, call_event event) = 0;
    virtual void on_load(std::uint32_t, const load_report&) {}
    virtual void on_unreachable(std::uint32_t) {}
    virtual void on_cache(std::uint32_t, const cache_event&) {}
    virtual void wake() {}

    // A request for which `take_token` answered `wait` may get its token now.
    virtual void on_token() {}
};

// Policies of the bench.
enum class policy
{
    round_robin,       // static split of rates, no retry after a failure
    least_outstanding, // blind retry, exact rates
    two_choices,       // retry of idempotent stages, exact rates
    quetzallever
};

inline constexpr policy all_policies[] = {policy::round_robin, policy::least_outstanding,
                                          policy::two_choices, policy::quetzallever};

std::string to_string(policy value);

// Builds one of the three baselines. The arguments must outlive the router.
std::unique_ptr<router> make_baseline(policy which, const fleet& installation, port& actions,
                                      std::uint64_t seed);

// Builds the routers of all instances over package `serving`. They exchange messages with a delay.
std::vector<std::unique_ptr<router>> make_dispatcher_routers(const fleet& installation,
                                                             event_queue& events,
                                                             const std::vector<port*>& ports,
                                                             std::uint64_t seed);

} // namespace quetzal::bench

#endif
