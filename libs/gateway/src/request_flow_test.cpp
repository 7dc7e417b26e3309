// Tests the complete request flow against endpoints on raw sockets that fail in different ways.

#include "request_flow_fixture.hpp"

#include <utility>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// A writer whose connection fails in an unexpected way.
class throwing_response final : public response_writer
{
public:
    asio::awaitable<bool> write_response(unsigned, std::string, std::string) override
    {
        throw std::runtime_error("not written");
        co_return false;
    }

    asio::awaitable<bool> write_stream_part(unsigned, const std::string&, std::string,
                                            bool) override
    {
        co_return false;
    }

    bool has_started_stream() const override { return false; }
    bool caller_disconnected() override { return false; }
    void abort_connection() override {}
};

} // namespace

// Guards against non-idempotent requests that run twice and against responses that wrongly claim
// that a request has not run.
Test(request_flow, non_idempotent_requests_run_at_most_once)
{
    section("given an endpoint that closes the connection after the request was sent", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{"", true}}, {{"", true}}});
        const auto response = gateway.serve("1");
        check(response.status_ == 502, "the response does not claim that the request has not run");
        check(gateway.received_requests() == 1, "the request is sent once");
    });
    section("given an endpoint that states that it has not run the request", [] {
        const std::string refusal =
            response_with("1", "", "503 Service Unavailable", "Not-Run: 1\r\n");
        gateway_fixture gateway(
            route_kind::non_idempotent, false,
            {{{refusal}, {response_with("1", "done")}}, {{refusal}, {response_with("1", "done")}}});
        const auto response = gateway.serve("1");
        check(gateway.received_requests() == 2, "the request is sent to another endpoint");
        check(response.status_ == 503 || response.body_ == "done",
              "the response is a success or states that the request has not run");
    });
    section("given an endpoint that never responds", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{"", false, true}}});
        const auto response = gateway.serve("1");
        check(response.status_ == 504, "the timeout does not claim that the request has not run");
    });
    section("given a caller that disconnects", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{"", false, true}}});
        recorded_response response;
        auto request =
            std::make_shared<running_request>(gateway_fixture::make_message("1", "key", "/a/"));
        asio::co_spawn(gateway.context, gateway.flow.serve(request, response), asio::detached);
        gateway.context.run_for(milliseconds(50));
        const time_point disconnected = boot_clock::now();
        request->abort({verdict::may_have_run, reason::cancelled, "disconnected", {}});
        gateway.context.restart();
        gateway.context.run_for(milliseconds(100));
        check(response.connection_aborted_, "the connection is closed");
        check(boot_clock::now() - disconnected < milliseconds(500),
              "the request ends within half a second");
    });
}

// Guards against requests that a busy process still sends to an endpoint after the caller has
// disconnected.
Test(request_flow, caller_disconnects_before_the_request_is_sent)
{
    gateway_fixture gateway(route_kind::idempotent, false, {{{response_with("1", "x")}}});
    recorded_response response;
    response.caller_disconnected_ = true;
    auto request =
        std::make_shared<running_request>(gateway_fixture::make_message("1", "key", "/a/"));
    asio::co_spawn(gateway.context, gateway.flow.serve(request, response), asio::detached);
    gateway.context.run_for(milliseconds(100));
    check(gateway.received_requests() == 0, "the request reaches no endpoint");
    check(response.connection_aborted_, "the connection is closed");
}

// Guards against retries that are charged to another service of the route than the one that
// receives them, which exceeds the retry budget of one service and leaves that of the other unused.
Test(request_flow, retries_are_charged_to_the_service_that_receives_them)
{
    const std::vector<scripted_response> lost_once{{"", true}, {response_with("1", "x")}};
    gateway_fixture gateway(route_kind::idempotent, false, {lost_once, lost_once},
                            {2, 0, std::chrono::seconds(10)});
    auto& services = gateway.configuration.routes.front().services;
    services.insert(services.begin(), {"rare", 1e-9});
    gateway.configuration.version = 2;
    gateway.view.apply(gateway.configuration);
    gateway.serve("1");
    check(gateway.received_requests() == 2,
          "the request to the second service is retried within that service's budget");
}

// Guards against resent requests that are missing in the retry budget although endpoints received
// them, so that the fleet exceeds it while many endpoints restart.
Test(request_flow, every_arrival_after_the_first_is_charged)
{
    const retry_budget_options no_retries{0, 0, std::chrono::seconds(10)};
    section("given endpoints that were replaced by others at their addresses", [&] {
        const std::string misdirected = response_with("1", "", "421 Misdirected Request");
        gateway_fixture gateway(route_kind::idempotent, false,
                                {{{misdirected}}, {{misdirected}}, {{misdirected}}}, no_retries);
        const auto response = gateway.serve("1");
        check(gateway.received_requests() == 1, "the request is not resent without a budget");
        check(response.status_ == 503, "it is refused as not run");
    });
    section("given an endpoint that misses the results of stages", [&] {
        const std::string conflict = response_with("1", "", "409 Conflict", "Not-Run: 1\r\n");
        gateway_fixture gateway(route_kind::idempotent, false,
                                {{{conflict}, {conflict}}, {{conflict}, {conflict}}}, no_retries);
        gateway.serve("1");
        check(gateway.received_requests() == 1, "the request is not resent without a budget");
    });
    section("given an endpoint that cannot be reached", [&] {
        gateway_fixture gateway(route_kind::idempotent, false,
                                {{{response_with("1", "x")}}, {{response_with("1", "x")}}},
                                no_retries);
        auto absent = *gateway.view.find_endpoint("e1");
        absent.address.port(1);
        gateway.view.put_endpoint(absent);
        gateway.pools.refresh(gateway.view, 1, boot_clock::now());
        const auto response = gateway.serve("1");
        check(response.status_ == 200, "another one gets the request, which none received before");
    });
}

// Guards against responses that are not from the endpoint, incomplete, or to another request.
Test(request_flow, forwards_only_valid_responses)
{
    section("given a repeated response to the previous request", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{response_with("1", "first")},
                                  {response_with("1", "first") + response_with("2", "second")}}});
        check(gateway.serve("1").body_ == "first", "the first request gets its own response");
        check(gateway.serve("2").body_ == "second", "the second request gets its own response");
    });
    section("given bytes after a complete response", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{response_with("1", "first") + "HTTP/1.1 200 OK\r\n"},
                                  {response_with("2", "second")}}});
        check(gateway.serve("1").body_ == "first", "the response is forwarded");
        check(gateway.serve("2").body_ == "second", "the connection is not reused");
    });
    section("given a successful response without signature", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{response_with("1", "x", "200 OK", "")}}});
        check(gateway.serve("1").status_ == 502, "the response is not forwarded");
    });
    section("given a response that ends early", [] {
        gateway_fixture gateway(
            route_kind::non_idempotent, false,
            {{{"HTTP/1.1 200 OK\r\nId: 1\r\nSign: s\r\nContent-Length: 9\r\n\r\nhalf", true}}});
        check(gateway.serve("1").status_ == 502, "the response is not forwarded as complete");
    });
    section("given a response without length", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{"HTTP/1.1 200 OK\r\nId: 1\r\nSign: s\r\n\r\nall", true}}});
        const auto response = gateway.serve("1");
        check(response.status_ == 200 && response.body_ == "all",
              "the response ends with the connection");
    });
    section("given an error response of the endpoint on an idempotent route", [] {
        const scripted_response failure{response_with("1", "no", "500 Error")};
        gateway_fixture gateway(
            route_kind::idempotent, false,
            {{failure, {response_with("1", "yes")}}, {failure, {response_with("1", "yes")}}});
        const auto response = gateway.serve("1");
        check(gateway.received_requests() == 2, "the request is sent to a second endpoint");
        check(response.status_ == 500 && response.body_ == "no",
              "the endpoint's error response is forwarded");
    });
}

// Guards against a non-idempotent request that is sent to a second endpoint after an unusable
// response of the first one, as if the result of a stage had expired.
Test(request_flow, unusable_responses_are_not_followed_by_a_second_run)
{
    const std::string stray = response_with("other", "x");
    for (const std::string& unusable : {response_with("1", "x", "200 OK", ""), // without signature
                                        stray + stray + stray})
    {
        const std::vector<scripted_response> responses{{unusable}, {response_with("1", "second")}};
        gateway_fixture gateway(route_kind::non_idempotent, false, {responses, responses});
        const auto response = gateway.serve("1");
        check(gateway.received_requests() == 1, "the request is sent once");
        check(response.status_ == 502, "the response does not claim that the request has not run");
    }
}

// Guards against a retry that finds no endpoint and discards the response of the first one, and
// against crashed endpoints that use up the attempts of a request.
Test(request_flow, unavailable_endpoints)
{
    section("given an error response of the only endpoint", [] {
        gateway_fixture gateway(route_kind::idempotent, false,
                                {{{response_with("1", "no", "500 Error")}}});
        const time_point sent = boot_clock::now();
        const auto response = gateway.serve("1");
        check(response.status_ == 500 && response.body_ == "no", "the error response is forwarded");
        check(boot_clock::now() - sent < milliseconds(80),
              "it is forwarded without waiting for another endpoint");
    });
    section("given four endpoints that are down and one that works", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{response_with("1", "x")}}});
        for (int down = 0; down < 4; ++down) {
            asio::ip::tcp::acceptor port(gateway.context, {asio::ip::make_address("127.0.0.1"), 0});
            gateway::endpoint value;
            value.id = "down" + std::to_string(down);
            value.service = "s";
            value.zone = "z";
            value.address = port.local_endpoint(); // closed at the end of this iteration
            gateway.view.put_endpoint(value);
        }
        gateway.pools.refresh(gateway.view, 1, boot_clock::now());
        check(gateway.serve("1").body_ == "x", "the request reaches the working endpoint");
    });
}

// Guards against streams that lose, duplicate or merge events.
Test(request_flow, streams)
{
    section("given a resumable stream that ends in the middle of an event", [] {
        const scripted_response interrupted{
            stream_response_head("1") + chunk(event(0) + event(1) + "id: 2\nda"), true};
        const scripted_response rest{stream_response_head("1") + chunk(event(2)) + chunk(event(3)) +
                                     "0\r\n\r\n"};
        gateway_fixture gateway(route_kind::stream, true,
                                {{interrupted, rest}, {interrupted, rest}});
        // The second endpoint fails too; a third attempt would exceed the limit of the route.
        const auto response = gateway.serve("1");
        check(response.body_.starts_with(event(0) + event(1)), "complete events are forwarded");
        check(response.body_.find("da\n") == std::string::npos,
              "the partial event is not forwarded");
        int resumed = 0;
        for (const auto& endpoint : gateway.endpoints) {
            check(endpoint->requests().size() == 1, "each endpoint gets one attempt");
            const auto& request = endpoint->requests().front();
            resumed += request.find("Last-Event-Id: 1\r\n") != std::string::npos ? 1 : 0;
        }
        check(resumed == 1, "another endpoint resumes after the last complete event");
    });
    section("given a stream that may not be resumed", [] {
        gateway_fixture gateway(route_kind::stream, false,
                                {{{stream_response_head("1") + chunk(event(0)), true}}});
        const auto response = gateway.serve("1");
        check(response.body_ == event(0) && !response.complete_ && response.connection_aborted_,
              "the connection is closed and the stream is not complete");
        check(gateway.received_requests() == 1, "the request runs once");
    });
    section("given a complete stream", [] {
        gateway_fixture gateway(route_kind::stream, false,
                                {{{stream_response_head("1") + chunk(event(0)) + "0\r\n\r\n"}}});
        const auto response = gateway.serve("1");
        check(response.body_ == event(0) && response.complete_,
              "the stream is forwarded and ends as complete");
    });
}

// Guards against requests that run with a key or route that is no longer valid.
Test(request_flow, rejects_unknown_keys_and_routes)
{
    gateway_fixture gateway(route_kind::idempotent, false, {{{response_with("1", "x")}}});
    check(gateway.serve("1", "unknown").status_ == 401, "an unknown key is rejected");
    check(gateway.serve("1", "key", "/b/").status_ == 404, "an unknown path is rejected");
    section("when the key is revoked", [&] {
        gateway.configuration.version = 2;
        gateway.configuration.customers.front().keys = {"other"};
        gateway.view.apply(gateway.configuration);
        check(gateway.serve("1").status_ == 401, "the key is rejected");
        check(gateway.received_requests() == 0, "the request reaches no endpoint");
    });
    section("without any configuration", [] {
        gateway_fixture empty(route_kind::idempotent, false, {});
        empty.view = catalog();
        check(empty.serve("1").status_ == 503, "the request is rejected as unavailable");
    });
}

// Guards against requests that count as being served for ever because writing their responses
// threw.
Test(request_flow, requests_whose_response_cannot_be_written)
{
    gateway_fixture gateway(route_kind::non_idempotent, false, {{{response_with("1", "x")}}});
    throwing_response response;
    gateway.request =
        std::make_shared<running_request>(gateway_fixture::make_message("1", "key", "/a/x"));
    bool thrown = false;
    asio::co_spawn(gateway.context, gateway.flow.serve(gateway.request, response),
                   [&](const std::exception_ptr& error) { thrown = error != nullptr; });
    gateway.context.restart();
    gateway.context.run_for(milliseconds(50));
    check(thrown, "the exception reaches the caller of serve");
    check(gateway.flow.running() == 0, "the request is no longer being served");
}

// Guards against a restart of the whole fleet in which callers are refused, and spend their
// retries, because the instances have accepted connections before they know the configuration.
Test(request_flow, requests_wait_for_the_first_configuration)
{
    section("given an instance that gets its configuration soon after its start", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{response_with("1", "x")}}});
        const catalog configured = std::exchange(gateway.view, catalog());
        asio::steady_timer arrival(gateway.context, milliseconds(150));
        arrival.async_wait([&](const boost::system::error_code&) { gateway.view = configured; });
        const auto response = gateway.serve("1");
        check(response.status_ == 200 && response.body_ == "x", "the request is served");
    });
    section("given an instance that gets none", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{response_with("1", "x")}}});
        gateway.view = catalog();
        const time_point started = boot_clock::now();
        const auto first = gateway.serve("1");
        check(first.status_ == 503, "the request is refused as not run");
        check(boot_clock::now() - started < std::chrono::seconds(3), "the wait is bounded");
        const time_point later = boot_clock::now();
        check(gateway.serve("2").status_ == 503, "later requests are refused");
        check(boot_clock::now() - later < milliseconds(700), "they are refused at once");
    });
    section("given a caller that waits for a short time only", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{response_with("1", "x")}}});
        gateway.view = catalog();
        auto message = gateway_fixture::make_message("1", "key", "/a/x");
        message.caller_timeout = milliseconds(600);
        const time_point started = boot_clock::now();
        check(gateway.serve(std::move(message)).status_ == 503, "the request is refused");
        check(boot_clock::now() - started < milliseconds(550),
              "most of its time is left for another instance");
    });
}

// Guards against a late copy of another caller's response that names no request and is taken for
// the response to this one.
Test(request_flow, success_without_the_id_of_the_request_is_not_forwarded)
{
    const std::string anonymous = "HTTP/1.1 200 OK\r\nSign: s\r\nContent-Length: 5\r\n\r\nother";
    for (const route_kind kind : {route_kind::non_idempotent, route_kind::stream}) {
        gateway_fixture gateway(kind, false, {{{anonymous}}});
        const auto response = gateway.serve("1");
        check(response.status_ == 502, "the request may have run");
        check(response.body_.find("other") == std::string::npos, "no byte of it is forwarded");
        check(gateway.received_requests() == 1, "the request is sent once");
    }
}
