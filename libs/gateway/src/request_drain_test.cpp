// Tests what a planned stop does to requests, against endpoints on raw sockets.

#include "test_gateway.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

constexpr milliseconds route_timeout{700}; // of the route of `gateway_fixture`

// Returns a stop that begins now and whose notice is over at once.
drain_window stop_in(milliseconds time)
{
    const time_point now = boot_clock::now();
    return {now - milliseconds(1), now + time};
}

// Starts to serve a request and runs for the given time.
void serve_for(gateway_fixture& gateway, recorded_response& response, milliseconds time)
{
    gateway.request =
        std::make_shared<running_request>(gateway_fixture::make_message("1", "key", "/a/x"));
    asio::co_spawn(gateway.context, gateway.flow.serve(gateway.request, response), asio::detached);
    gateway.context.restart();
    gateway.context.run_for(time);
}

void run_for(gateway_fixture& gateway, milliseconds time)
{
    gateway.context.restart();
    gateway.context.run_for(time);
}

} // namespace

// Guards against a stopping instance that sends requests to endpoints although it exits before
// their responses can be complete, so that callers get a closed connection.
Test(request_drain, requests_received_during_the_stop)
{
    for (const route_kind kind : {route_kind::non_idempotent, route_kind::stream}) {
        section("given a request whose deadline is after the end of the stop", [&] {
            gateway_fixture gateway(kind, false, {{{response_with("1", "x")}}});
            gateway.flow.begin_drain(stop_in(route_timeout / 2));
            const time_point sent = boot_clock::now();
            const auto response = gateway.serve("1");
            check(response.status_ == 503, "it is refused as not run");
            check(response.body_.find("\"stopping\"") != std::string::npos, "the reason is given");
            check(boot_clock::now() - sent < milliseconds(50), "it is refused at once");
            check(gateway.received_requests() == 0, "no endpoint receives it");
        });
    }
    section("given a request whose deadline is before the end of the stop", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{response_with("1", "x")}}});
        gateway.flow.begin_drain(stop_in(route_timeout + milliseconds(300)));
        check(gateway.serve("1").body_ == "x", "it is served");
    });
    section("given a route whose recent responses were fast", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{response_with("1", "x")}, {response_with("2", "y")}}});
        gateway.serve("1");
        gateway.flow.begin_drain(stop_in(route_timeout / 2));
        check(gateway.serve("2").body_ == "y", "a request that is expected to end is served");
    });
    section("when another instance is ready", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{response_with("1", "x")}}});
        member_record other;
        other.address = "127.0.0.2";
        other.incarnation = 1;
        other.ready = true;
        gateway.members.merge_heartbeat({{other, 0}, {}}, boot_clock::now());
        gateway.flow.begin_drain(stop_in(milliseconds(100)));
        check(gateway.serve("1").headers_.find("Retry-After: 0.000000\r\n") != std::string::npos,
              "callers may retry at once");
    });
}

// Guards against requests that were accepted before the stop and end with a closed connection when
// the process exits.
Test(request_drain, requests_received_before_the_stop)
{
    section("given a request that waits for an endpoint", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{"", false, true}, {"", false, true}, {"", false, true}}});
        gateway.configuration.services.front().max_connections = 2; // also the least possible limit
        gateway.configuration.version = 2;
        gateway.view.apply(gateway.configuration);
        gateway.pools.refresh(gateway.view, 1, boot_clock::now());
        recorded_response first;
        serve_for(gateway, first, milliseconds(20));
        recorded_response second;
        serve_for(gateway, second, milliseconds(20));
        recorded_response waiting;
        serve_for(gateway, waiting, milliseconds(20));
        const std::size_t received = gateway.received_requests();
        gateway.flow.begin_drain(stop_in(milliseconds(300)));
        run_for(gateway, milliseconds(50));
        check(waiting.status_ == 503, "it is refused as not run");
        check(gateway.received_requests() == received, "no endpoint receives it");
    });
    section("given a request whose endpoint does not respond", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{"", false, true}}});
        recorded_response response;
        serve_for(gateway, response, milliseconds(20));
        gateway.flow.begin_drain(stop_in(milliseconds(100)));
        run_for(gateway, milliseconds(50));
        check(response.status_ == 0, "it may go on until the end of the stop");
        run_for(gateway, milliseconds(60));
        gateway.flow.enforce_drain(boot_clock::now());
        run_for(gateway, milliseconds(20));
        check(response.status_ == 502, "it then gets a response that does not claim that the "
                                       "request has not run");
        check(!response.connection_aborted_, "its connection is not closed");
    });
    section("given a stream that has started", [] {
        gateway_fixture gateway(route_kind::stream, false,
                                {{{stream_response_head("1") + chunk(event(0))}}});
        recorded_response response;
        serve_for(gateway, response, milliseconds(20));
        check(response.stream_started_, "the stream has started");
        gateway.flow.begin_drain(stop_in(milliseconds(10)));
        run_for(gateway, milliseconds(50));
        gateway.flow.enforce_drain(boot_clock::now());
        run_for(gateway, milliseconds(20));
        check(!response.connection_aborted_, "it goes on until the process exits");
    });
}

// Guards against a failed attempt that is retried during the stop and then cut off.
Test(request_drain, retries_during_the_stop)
{
    const std::vector<scripted_response> lost{{"", true}, {response_with("1", "x")}};
    gateway_fixture gateway(route_kind::idempotent, false, {lost, lost});
    recorded_response response;
    serve_for(gateway, response, milliseconds(0));
    gateway.request->sent = boot_clock::now(); // so that the stop does not refuse it as waiting
    gateway.flow.begin_drain(stop_in(milliseconds(200)));
    run_for(gateway, milliseconds(100));
    check(gateway.received_requests() <= 1, "the request is not sent again");
    check(response.status_ == 502 || response.status_ == 503, "it gets a complete response");
}
