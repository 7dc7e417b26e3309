// Tests the places that requests take at endpoints while endpoints restart, leave and return.

#include <optional>
#include <string>
#include <vector>

#include <quetzal/gateway/endpoint_pools.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start{seconds(1000)};
// Of one endpoint: the instances use 0.85 of its connections.
constexpr unsigned connections = 10;
constexpr std::size_t places = 8;

// An instance that is alone before the endpoints of one service.
struct instance
{
    instance() : members({}, self(), start), pools({"a", {}, 1})
    {
        published_configuration configuration;
        configuration.version = 1;
        service_definition service;
        service.name = "s";
        service.max_connections = connections;
        configuration.services.push_back(service);
        view.apply(configuration);
    }

    static member_record self()
    {
        member_record record;
        record.address = "127.0.0.1";
        return record;
    }

    // Lists the endpoint as the incarnation that started at `started`.
    void list(const std::string& id, std::uint64_t started)
    {
        endpoint value;
        value.id = id;
        value.started = started;
        value.service = "s";
        value.zone = "a";
        view.put_endpoint(value);
        pools.refresh(view, 1, now);
    }

    void remove(const std::string& id)
    {
        view.remove_endpoint(id);
        pools.refresh(view, 1, now);
    }

    std::optional<chosen_endpoint> begin()
    {
        return pools.start_request(view, "s", {}, members, now);
    }

    // Starts requests until no endpoint has a free place.
    std::vector<chosen_endpoint> fill()
    {
        std::vector<chosen_endpoint> open;
        while (auto chosen = begin()) {
            open.push_back(std::move(*chosen));
        }
        now += milliseconds(10); // a full pool is not searched again at once
        return open;
    }

    void finish(const std::vector<chosen_endpoint>& requests)
    {
        for (const chosen_endpoint& request : requests) {
            serving::attempt_outcome outcome;
            outcome.counts = false;
            pools.finish_request(request, outcome, now);
        }
    }

    time_point now = start;
    catalog view;
    member_table members;
    endpoint_pools pools;
};

} // namespace

// Guards against a service that is refused for good although its endpoints are idle: requests that
// were open at an endpoint when it restarted under its id kept their places at it.
Test(endpoint_pools, restart_frees_the_places_of_open_requests)
{
    instance gateway;
    gateway.list("e", 1);
    auto open = gateway.fill();
    check(open.size() == places, "all places are taken");
    for (std::uint64_t restart = 2; restart < 6; ++restart) {
        gateway.list("e", restart);
        gateway.finish(open);
        open = gateway.fill();
        check(open.size() == places, "after a restart all places are free again");
    }
    gateway.finish(open);
    check(gateway.fill().size() == places, "after their end too");
}

// Guards against more requests at an endpoint than it bears: requests of a former incarnation, or
// from before its entry was missing for a time, freed places that they do not have.
Test(endpoint_pools, late_end_frees_no_place_of_another_request)
{
    section("given requests that were open when the endpoint restarted", [] {
        instance gateway;
        gateway.list("e", 1);
        const auto former = gateway.fill();
        gateway.list("e", 2);
        check(gateway.fill().size() == places, "the new incarnation is full");
        gateway.finish(former);
        check(!gateway.begin(), "their end frees none of its places");
    });
    section("given requests that were open when the entry of the endpoint was missing", [] {
        instance gateway;
        gateway.list("e", 1);
        const auto former = gateway.fill();
        gateway.remove("e");
        gateway.list("e", 1);
        const auto later = gateway.fill();
        gateway.finish(former);
        check(!gateway.begin(), "their end frees no place of the later ones");
        gateway.finish(later);
        check(gateway.fill().size() == places, "the end of the later ones does");
    });
}

// Guards against an endpoint that is never used again: a late failure of a request to an endpoint
// that has left excluded the one that has taken its position since.
Test(endpoint_pools, late_failure_excludes_no_other_endpoint)
{
    instance gateway;
    gateway.list("former", 1);
    const auto open = gateway.begin();
    check(open.has_value(), "a request is open");
    gateway.remove("former");
    gateway.list("other", 1);
    gateway.list("former", 2);
    gateway.pools.mark_unreachable(*open, gateway.now);
    check(gateway.fill().size() == 2 * places, "both endpoints are used");
}

// Guards against a pace that is read from a response and reaches no choice, and against one that an
// operator can't see.
Test(endpoint_pools, reported_pace_counts_in_the_choice)
{
    instance gateway;
    gateway.list("slow", 1);
    gateway.list("usual", 1);
    check(gateway.pools.paces(gateway.now).empty(), "without reports there are no paces");
    for (const auto& request : gateway.fill()) {
        const bool slow = request.target.id == "slow";
        gateway.pools.report_load(request, {0, 0, slow ? 3.0 : 1.0}, gateway.now);
        serving::attempt_outcome outcome;
        outcome.counts = false;
        gateway.pools.finish_request(request, outcome, gateway.now);
    }
    const auto first = gateway.begin();
    check(first && first->target.id == "usual", "the endpoint with the usual pace is chosen");
    const auto paces = gateway.pools.paces(gateway.now);
    check(paces.size() == 1 && paces[0].service == "s" && paces[0].slow == 1 && paces[0].mean > 1 &&
              paces[0].reports == 2 * places,
          "the paces of the service are known");
    section("when the endpoint restarts, the pace of the former incarnation is gone", [&] {
        gateway.list("slow", 2);
        check(gateway.pools.paces(gateway.now)[0].slow == 0, "no endpoint is slow");
    });
}

// Guards against requests to an endpoint that just failed to answer: its next incarnation inherited
// the pause of the former one, or the pause of the next one ended with that of the former.
Test(endpoint_pools, restart_ends_the_pause_of_an_unreachable_endpoint)
{
    instance gateway;
    gateway.list("e", 1);
    const auto first = gateway.begin();
    gateway.pools.mark_unreachable(*first, gateway.now);
    check(!gateway.begin(), "an unreachable endpoint gets no requests");
    gateway.now += milliseconds(900);
    gateway.list("e", 2);
    const auto second = gateway.begin();
    check(second.has_value(), "its next incarnation does");
    gateway.pools.mark_unreachable(*second, gateway.now);
    gateway.now += milliseconds(200);
    gateway.pools.readmit_endpoints(gateway.now);
    check(!gateway.begin(), "the pause of the next incarnation is its own");
}
