// Tests what a planned stop does to requests that wait for an endpoint with free capacity, against
// endpoints on raw sockets.

#include "request_drain_steps.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// Lets the fixture's service have two places, the least possible, and takes both of them.
void fill_places(gateway_fixture& gateway, std::array<recorded_response, 2>& responses)
{
    gateway.configuration.services.front().max_connections = 2;
    ++gateway.configuration.version;
    gateway.view.apply(gateway.configuration);
    gateway.pools.refresh(gateway.view, 1, boot_clock::now());
    for (recorded_response& response : responses) {
        serve_for(gateway, response, milliseconds(20));
    }
}

// Announces another instance that is ready.
void add_ready_instance(gateway_fixture& gateway)
{
    member_record other;
    other.address = "127.0.0.2";
    other.incarnation = 1;
    other.ready = true;
    gateway.members.merge_heartbeat({{other, 0}, {}}, boot_clock::now());
}

} // namespace

// Guards against a request that waits for an endpoint at a stopping instance until there is no time
// left to send it, although another instance could have taken it at once.
Test(request_drain_wait, waiting_requests_that_another_instance_can_take)
{
    const scripted_response fast{response_with("0", "x")};
    const scripted_response silent{"", false, true};
    scripted_response slow;
    slow.pause = milliseconds(200);
    slow.rest = response_with("1", "y");
    section("when another instance is ready", [&] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{fast, silent, silent}});
        allow(gateway, milliseconds(5000), milliseconds(4000));
        check(gateway.serve("0").body_ == "x", "a fast response is recorded");
        std::array<recorded_response, 2> running;
        fill_places(gateway, running);
        recorded_response waiting;
        serve_for(gateway, waiting, milliseconds(20));
        add_ready_instance(gateway);
        gateway.flow.begin_drain(stop_in(milliseconds(1000)));
        run_stop(gateway, milliseconds(60));
        check(waiting.status_ == 503, "a request that waits is refused at once, not status " +
                                          std::to_string(waiting.status_));
        check(waiting.body_.find("\"stopping\"") != std::string::npos, "the reason is given");
        check(waiting.headers_.find("Retry-After: 0.000000\r\n") != std::string::npos,
              "its caller may ask the other instance at once");
        recorded_response later;
        serve_for(gateway, later, milliseconds(0));
        run_stop(gateway, milliseconds(60));
        check(later.status_ == 503, "so is one that is received during the stop, not status " +
                                        std::to_string(later.status_));
        check(gateway.received_requests() == 3, "no endpoint receives them");
        check(running[0].status_ == 0 && running[1].status_ == 0,
              "the requests at the endpoint go on");
    });
    section("when no other instance is ready", [&] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{fast, slow, silent, slow}});
        allow(gateway, milliseconds(5000), milliseconds(4000));
        check(gateway.serve("0").body_ == "x", "a fast response is recorded");
        std::array<recorded_response, 2> running;
        fill_places(gateway, running);
        recorded_response waiting;
        serve_for(gateway, waiting, milliseconds(20));
        gateway.flow.begin_drain(stop_in(milliseconds(1000)));
        run_stop(gateway, milliseconds(600));
        check(waiting.body_ == "y", "a request that waits gets the next free place");
    });
    section("given a request whose wait ends before the stop limits it", [&] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{fast, slow, silent, slow}});
        allow(gateway, milliseconds(5000), milliseconds(600));
        check(gateway.serve("0").body_ == "x", "a fast response is recorded");
        std::array<recorded_response, 2> running;
        fill_places(gateway, running);
        recorded_response waiting;
        serve_for(gateway, waiting, milliseconds(20));
        add_ready_instance(gateway);
        gateway.flow.begin_drain(stop_in(milliseconds(2000)));
        run_stop(gateway, milliseconds(500));
        check(waiting.body_ == "y", "it gets the next free place: the stop takes nothing from it");
    });
}
