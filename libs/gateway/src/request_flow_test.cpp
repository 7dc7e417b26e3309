// Tests the complete request flow against endpoints on raw sockets that fail in different ways.

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <quetzal/gateway/request_flow.hpp>
#include <quetzal/testing/section.hpp>

#include "test_names.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::gateway::testing::test_names;
using quetzal::testing::check;
using quetzal::testing::section;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

// An endpoint's response to one request: the bytes that it sends, and whether it closes the
// connection afterwards.
struct scripted_response
{
    std::string bytes;
    bool close = false;
    bool silent = false; // sends nothing and keeps the connection open
};

std::string response_with(const std::string& id, const std::string& body,
                          const std::string& status = "200 OK",
                          const std::string& more = "Sign: s\r\n")
{
    return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string& data)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", data.size());
    return std::string(size.data()) + "\r\n" + data + "\r\n";
}

std::string stream_response_head(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSign: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

// An endpoint on a raw socket that sends one scripted response per request, in order.
class fake_endpoint
{
public:
    fake_endpoint(asio::io_context& context, std::vector<scripted_response> responses)
        : context_(context), acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
          responses_(responses.begin(), responses.end())
    {
        asio::co_spawn(context_, accept_loop(), asio::detached);
    }

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    const std::vector<std::string>& requests() const { return requests_; }

private:
    asio::awaitable<void> accept_loop()
    {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            asio::co_spawn(context_, serve(std::make_shared<tcp::socket>(std::move(socket))),
                           asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        asio::streambuf buffer;
        while (!responses_.empty()) {
            boost::system::error_code error;
            const std::size_t size = co_await asio::async_read_until(
                *socket, buffer, "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            requests_.emplace_back(asio::buffers_begin(buffer.data()),
                                   asio::buffers_begin(buffer.data()) +
                                       static_cast<std::ptrdiff_t>(size));
            buffer.consume(size);
            const scripted_response next = responses_.front();
            responses_.pop_front();
            if (next.silent) {
                open_sockets_.push_back(socket);
                co_return;
            }
            co_await asio::async_write(*socket, asio::buffer(next.bytes),
                                       asio::redirect_error(asio::use_awaitable, error));
            if (next.close) {
                co_return;
            }
        }
        open_sockets_.push_back(socket);
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    std::deque<scripted_response> responses_;
    std::vector<std::string> requests_;
    std::vector<std::shared_ptr<tcp::socket>> open_sockets_; // kept open without sending
};

// Records the response that the flow writes.
class recorded_response final : public response_writer
{
public:
    asio::awaitable<bool> write_response(unsigned status, std::string, std::string body) override
    {
        status_ = status;
        body_ = std::move(body);
        co_return true;
    }

    asio::awaitable<bool> write_stream_part(unsigned status, const std::string&, std::string bytes,
                                            bool last) override
    {
        status_ = status;
        stream_started_ = true;
        body_ += bytes;
        complete_ = last;
        co_return true;
    }

    bool has_started_stream() const override { return stream_started_; }
    bool caller_disconnected() override { return caller_disconnected_; }
    void abort_connection() override { connection_aborted_ = true; }

    unsigned status_ = 0;
    std::string body_;
    bool stream_started_ = false;
    bool complete_ = false;
    bool connection_aborted_ = false;
    bool caller_disconnected_ = false;
};

// A gateway with one route, one service and an endpoint for each list of responses.
class gateway_fixture
{
public:
    gateway_fixture(route_kind kind, bool resumable,
                    std::vector<std::vector<scripted_response>> endpoint_responses,
                    retry_budget_options budget = {0.2, 52, std::chrono::seconds(10)})
        : members({}, self(), boot_clock::now() - std::chrono::seconds(10)), pools({"z", {}, 1}),
          channels(context.get_executor()), peers(context, {"127.0.0.1", 0, 0, {}}, members),
          coordinator(context, view, channels, members, peers, names, {}, {}),
          flow(context, view, pools, channels, coordinator, members, names, budget, metrics)
    {
        configuration.version = 1;
        route matched;
        matched.name = "r";
        matched.host = "h";
        matched.prefix = "/a/";
        matched.kind = kind;
        matched.resumable = resumable;
        matched.timeout = milliseconds(700);
        matched.latency_target = milliseconds(100);
        matched.max_attempts = 2;
        matched.services.push_back({"s", 1});
        configuration.routes.push_back(matched);
        service_definition service;
        service.name = "s";
        service.max_connections = 50;
        configuration.services.push_back(service);
        configuration.customers.push_back({"c", {"key"}, {}});
        view.apply(configuration);
        for (auto& responses : endpoint_responses) {
            endpoints.push_back(std::make_unique<fake_endpoint>(context, std::move(responses)));
            gateway::endpoint value;
            value.id = "e" + std::to_string(endpoints.size());
            value.service = "s";
            value.zone = "z";
            value.address = endpoints.back()->address();
            view.put_endpoint(value);
        }
        pools.refresh(view, 1, boot_clock::now());
    }

    static member_record self()
    {
        member_record record;
        record.address = "127.0.0.1";
        return record;
    }

    // Serves one request and returns the recorded response.
    recorded_response serve(const std::string& id, const std::string& key = "key",
                            const std::string& target = "/a/x")
    {
        recorded_response response;
        request = std::make_shared<running_request>(make_message(id, key, target));
        asio::co_spawn(context, flow.serve(request, response), asio::detached);
        const auto ended = flow.ended();
        for (int step = 0; step < 200 && flow.ended() == ended; ++step) {
            context.restart();
            context.run_for(milliseconds(10));
        }
        context.restart();
        context.run_for(milliseconds(5));
        return response;
    }

    static caller_request make_message(const std::string& id, const std::string& key,
                                       const std::string& target)
    {
        caller_request message;
        message.method = "GET";
        message.target = target;
        message.host = "h";
        message.id = id;
        message.key = key;
        message.forwarded_headers = "Host: h\r\nId: " + id + "\r\n";
        message.received = boot_clock::now();
        return message;
    }

    std::size_t received_requests() const
    {
        std::size_t number = 0;
        for (const auto& endpoint : endpoints) {
            number += endpoint->requests().size();
        }
        return number;
    }

    asio::io_context context{1};
    header_names names = test_names();
    catalog view;
    published_configuration configuration;
    member_table members;
    telemetry::metrics metrics;
    endpoint_pools pools;
    channel_pool channels;
    peer_link peers;
    stage_coordinator coordinator;
    request_flow flow;
    std::vector<std::unique_ptr<fake_endpoint>> endpoints;
    std::shared_ptr<running_request> request;
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
        const std::string resumed = gateway.endpoints[0]->requests().size() == 1
                                        ? gateway.endpoints[1]->requests().front()
                                        : std::string();
        check(resumed.find("Last-Event-Id: 1\r\n") != std::string::npos,
              "another endpoint resumes after the last complete event");
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
