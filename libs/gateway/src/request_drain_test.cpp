// Tests what a planned stop does to requests, against endpoints on raw sockets.

#include "request_drain_steps.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

constexpr milliseconds route_timeout{700}; // of the route of `gateway_fixture`

scripted_response stream_after(milliseconds pause, const std::string& id)
{
    scripted_response response;
    response.pause = pause;
    response.rest = stream_response_head(id) + chunk(event(0)) + "0\r\n\r\n";
    return response;
}

// A port whose queue of connections is full, so that a further connection is never established.
class full_port
{
public:
    explicit full_port(asio::io_context& context)
        : acceptor_(context), waiting_{tcp::socket(context), tcp::socket(context)}
    {
        acceptor_.open(tcp::v4());
        acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor_.listen(0);
        for (tcp::socket& socket : waiting_) {
            socket.async_connect(acceptor_.local_endpoint(), [](boost::system::error_code) {});
        }
    }

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    tcp::acceptor acceptor_;
    std::array<tcp::socket, 2> waiting_;
};

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
    section("when all other instances are stopping too", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{response_with("1", "x")}}});
        member_record other;
        other.address = "127.0.0.2";
        other.incarnation = 1;
        other.ready = true;
        other.leaving = true;
        gateway.members.merge_heartbeat({{other, 0}, {}}, boot_clock::now());
        gateway.flow.begin_drain(stop_in(milliseconds(100)));
        check(gateway.serve("1").headers_.find("Retry-After: 0.500000\r\n") != std::string::npos,
              "callers are asked to wait");
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
    scripted_response lost;
    lost.pause = milliseconds(60);
    lost.rest = "HTTP/1.1";
    lost.close = true;
    const std::vector<scripted_response> responses{lost, {response_with("1", "x")}};
    gateway_fixture gateway(route_kind::idempotent, false, {responses, responses});
    recorded_response response;
    serve_for(gateway, response, milliseconds(20));
    check(gateway.received_requests() == 1, "an endpoint receives the request");
    gateway.flow.begin_drain(stop_in(milliseconds(300)));
    run_stop(gateway, milliseconds(200));
    check(gateway.received_requests() == 1, "the request is not sent again");
    check(response.status_ == 502, "it gets a response that does not claim that it has not run");
}

// Guards against requests that an endpoint has refused, that then wait for another endpoint and are
// sent to it when their responses can no longer be complete before the exit.
Test(request_drain, refused_requests_that_wait_for_another_endpoint)
{
    const scripted_response refusal{
        response_with("1", "", "503 Service Unavailable", "Not-Run: 1\r\n")};
    gateway_fixture gateway(route_kind::stream, false,
                            {{stream_after(milliseconds(100), "0"), refusal}});
    allow(gateway, milliseconds(3000), milliseconds(2000));
    check(gateway.serve("0").complete_, "a response of 100 ms is recorded");
    recorded_response response;
    serve_for(gateway, response, milliseconds(20));
    check(gateway.received_requests() == 2, "an endpoint refuses the request");
    gateway.flow.begin_drain(stop_in(milliseconds(500)));
    run_stop(gateway, milliseconds(400));
    gateway.endpoints.push_back(std::make_unique<fake_endpoint>(
        gateway.context, std::vector{stream_after(milliseconds(300), "1")}));
    quetzal::gateway::endpoint other = *gateway.view.find_endpoint("e1");
    other.id = "e2";
    other.address = gateway.endpoints.back()->address();
    gateway.view.put_endpoint(other);
    gateway.pools.refresh(gateway.view, 1, boot_clock::now());
    run_stop(gateway, milliseconds(60));
    check(gateway.endpoints.back()->requests().empty(), "no other endpoint receives the request");
    check(response.status_ == 503, "it is refused as not run");
}

// Guards against requests whose attempt has failed, that then wait for another endpoint and are
// sent to it when their responses can no longer be complete before the exit.
Test(request_drain, failed_requests_that_wait_for_another_endpoint)
{
    scripted_response fast;
    fast.pause = milliseconds(100);
    fast.rest = response_with("0", "x");
    gateway_fixture gateway(route_kind::idempotent, false, {{fast, {"", true}}});
    allow(gateway, milliseconds(3000), milliseconds(2000));
    check(gateway.serve("0").body_ == "x", "a response of 100 ms is recorded");
    recorded_response response;
    serve_for(gateway, response, milliseconds(20));
    check(gateway.received_requests() == 2 && response.status_ == 0, "the first attempt fails");
    gateway.flow.begin_drain(stop_in(milliseconds(500)));
    run_stop(gateway, milliseconds(400));
    gateway.endpoints.push_back(std::make_unique<fake_endpoint>(
        gateway.context, std::vector<scripted_response>{{response_with("1", "x")}}));
    quetzal::gateway::endpoint other = *gateway.view.find_endpoint("e1");
    other.id = "e2";
    other.address = gateway.endpoints.back()->address();
    gateway.view.put_endpoint(other);
    gateway.pools.refresh(gateway.view, 1, boot_clock::now());
    run_stop(gateway, milliseconds(60));
    check(gateway.endpoints.back()->requests().empty(), "no other endpoint receives the request");
    run_stop(gateway, milliseconds(120));
    check(response.status_ == 502, "it gets a response that does not claim that it has not run");
}

// Guards against streams that are sent although they cannot be complete before the exit, because
// their route has recently sent short error responses.
Test(request_drain, error_responses_of_streams)
{
    gateway_fixture gateway(
        route_kind::stream, false,
        {{{response_with("0", "no", "404 Not Found")}, {response_with("1", "x")}}});
    check(gateway.serve("0").status_ == 404, "the error response is forwarded");
    recorded_response response;
    const auto received = boot_clock::now();
    drain_window window = stop_in(route_timeout / 2);
    window.notice_end = received + milliseconds(300);
    gateway.flow.begin_drain(window);
    serve_for(gateway, response, milliseconds(20));
    check(response.status_ == 503, "nothing is known about the time of the route's streams");
}

// Guards against streams that end with a closed connection at the exit although their callers have
// received nothing yet.
Test(request_drain, streams_without_an_event_at_the_end)
{
    scripted_response slow{stream_response_head("1")};
    slow.pause = milliseconds(600);
    slow.rest = chunk(event(0)) + "0\r\n\r\n";
    gateway_fixture gateway(route_kind::stream, false, {{slow}});
    recorded_response response;
    serve_for(gateway, response, milliseconds(20));
    gateway.flow.begin_drain(stop_in(milliseconds(60)));
    run_stop(gateway, milliseconds(120));
    check(response.status_ == 502, "it gets an error response");
    check(!response.stream_started_ && !response.connection_aborted_,
          "its connection is not closed");
}

// Guards against requests that are still connecting to an endpoint when the process exits.
Test(request_drain, connections_to_endpoints_at_the_end)
{
    gateway_fixture gateway(route_kind::non_idempotent, false, {{{response_with("0", "x")}}});
    check(gateway.serve("0").body_ == "x", "a fast response is recorded");
    const full_port silent(gateway.context);
    run_for(gateway, milliseconds(10));
    quetzal::gateway::endpoint unreachable = *gateway.view.find_endpoint("e1");
    unreachable.address = silent.address();
    gateway.view.put_endpoint(unreachable);
    gateway.pools.refresh(gateway.view, 1, boot_clock::now());
    gateway.flow.begin_drain(stop_in(milliseconds(100)));
    recorded_response response;
    serve_for(gateway, response, milliseconds(20));
    check(response.status_ == 0, "the connection is not established");
    run_stop(gateway, milliseconds(140));
    check(response.status_ == 503, "it is refused before the exit");
}

// Guards against a silent endpoint that is given up during the stop although the request may not be
// sent to another one.
Test(request_drain, silent_endpoints_during_the_stop)
{
    scripted_response slow;
    slow.pause = milliseconds(700);
    slow.rest = response_with("1", "late");
    gateway_fixture gateway(route_kind::idempotent, false, {{slow}, {slow}});
    allow(gateway, milliseconds(3000), milliseconds(100));
    recorded_response response;
    serve_for(gateway, response, milliseconds(20));
    gateway.flow.begin_drain(stop_in(milliseconds(1500)));
    run_stop(gateway, milliseconds(900));
    check(response.status_ == 200 && response.body_ == "late",
          "the response is forwarded, not status " + std::to_string(response.status_));
}

// Guards against a claim that a request has not run, although an endpoint ran it, when its stages
// would have to run once more and the stop leaves no time for them.
Test(request_drain, request_that_ran_before_its_stages_expired)
{
    const scripted_response failed{response_with("1", "no", "500 Error", "")};
    const scripted_response expired{response_with("1", "", "409 Conflict", "Not-Run: 1\r\n")};
    const std::vector<scripted_response> script{failed, expired, expired};
    gateway_fixture gateway(route_kind::idempotent, false, {script, script, script});
    for (const auto& endpoint : gateway.endpoints) {
        endpoint->share_script(*gateway.endpoints.front());
    }
    route& matched = gateway.configuration.routes.front();
    matched.stages.push_back({"stage", {}, 1});
    matched.max_attempts = 3;
    service_definition stages;
    stages.name = "stage";
    stages.stage.emplace();
    gateway.configuration.services.push_back(stages);
    ++gateway.configuration.version;
    gateway.view.apply(gateway.configuration);
    gateway.coordinator.refresh();
    recorded_response response;
    auto message = gateway_fixture::make_message("1", "key", "/a/x");
    message.piece_counts = "0"; // its stages are done at once
    gateway.request = std::make_shared<running_request>(std::move(message));
    asio::co_spawn(gateway.context, gateway.flow.serve(gateway.request, response), asio::detached);
    for (int step = 0; step < 400 && gateway.received_requests() < 2; ++step) {
        gateway.context.restart();
        gateway.context.run_one_for(milliseconds(5));
    }
    check(gateway.received_requests() == 2, "the request ran, then the results had expired");
    gateway.flow.begin_drain(stop_in(milliseconds(0)));
    run_for(gateway, milliseconds(800));
    check(response.status_ == 502 || response.status_ == 500,
          "the response does not claim that the request has not run: " +
              std::to_string(response.status_));
}

// Guards against a stop that judges new streams by responses from before their endpoints became
// slower.
Test(request_drain, streams_beside_one_that_takes_long)
{
    scripted_response running{stream_response_head("1") + chunk(event(0))};
    gateway_fixture gateway(
        route_kind::stream, false,
        {{stream_after(milliseconds(1), "0"), running, {response_with("2", "")}}});
    allow(gateway, milliseconds(3000), milliseconds(2000));
    check(gateway.serve("0").complete_, "a fast stream is recorded");
    recorded_response slow;
    serve_for(gateway, slow, milliseconds(300));
    check(slow.stream_started_ && !slow.complete_, "another one has run for 300 ms");
    gateway.flow.begin_drain(stop_in(milliseconds(500)));
    check(gateway.serve("2").status_ == 503, "a further one is refused");
    check(gateway.received_requests() == 2, "no endpoint receives it");
}

// Guards against a stop that refuses every request of a route because of one silent endpoint, or a
// retry because of the time that its own first attempt took.
Test(request_drain, requests_beside_a_silent_endpoint)
{
    section("given a request that hangs at an endpoint", [] {
        gateway_fixture gateway(
            route_kind::non_idempotent, false,
            {{{response_with("0", "x")}, {"", false, true}, {response_with("2", "y")}}});
        allow(gateway, milliseconds(3000), milliseconds(2000));
        check(gateway.serve("0").body_ == "x", "a fast response is recorded");
        recorded_response hanging;
        serve_for(gateway, hanging, milliseconds(500));
        gateway.flow.begin_drain(stop_in(milliseconds(600)));
        check(gateway.serve("2").body_ == "y", "other requests of its route are served");
    });
    section("given a request whose first attempt fails after some time", [] {
        scripted_response lost;
        lost.pause = milliseconds(300);
        lost.rest = "HTTP/1.1";
        lost.close = true;
        const std::vector<scripted_response> responses{
            {response_with("0", "x")}, lost, {response_with("1", "y")}};
        gateway_fixture gateway(route_kind::idempotent, false, {responses, responses});
        gateway.endpoints[1]->share_script(*gateway.endpoints[0]);
        allow(gateway, milliseconds(3000), milliseconds(2000));
        check(gateway.serve("0").body_ == "x", "a fast response is recorded");
        recorded_response response;
        serve_for(gateway, response, milliseconds(20));
        gateway.flow.begin_drain(stop_in(milliseconds(600)));
        run_stop(gateway, milliseconds(450));
        check(response.body_ == "y", "it is sent to another endpoint");
    });
}
