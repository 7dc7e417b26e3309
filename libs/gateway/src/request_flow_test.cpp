// Requests through the whole flow against endpoints that misbehave on raw sockets.

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

// What an endpoint does with one request: the bytes that it sends and whether it closes after them.
struct reaction
{
    std::string bytes;
    bool close = false;
    bool silent = false; // never answers
};

std::string answer_of(const std::string& id, const std::string& body,
                      const std::string& status = "200 OK", const std::string& more = "Sign: s\r\n")
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

std::string stream_head(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSign: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

// An endpoint on a raw socket. It answers requests with its reactions in turn.
class fake_endpoint
{
public:
    fake_endpoint(asio::io_context& context, std::vector<reaction> reactions)
        : context_(context), acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
          reactions_(reactions.begin(), reactions.end())
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
        while (!reactions_.empty()) {
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
            const reaction next = reactions_.front();
            reactions_.pop_front();
            if (next.silent) {
                open_.push_back(socket);
                co_return;
            }
            co_await asio::async_write(*socket, asio::buffer(next.bytes),
                                       asio::redirect_error(asio::use_awaitable, error));
            if (next.close) {
                co_return;
            }
        }
        open_.push_back(socket);
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    std::deque<reaction> reactions_;
    std::vector<std::string> requests_;
    std::vector<std::shared_ptr<tcp::socket>> open_; // kept open in silence
};

// Keeps what the flow answers.
class kept_answer final : public answer_writer
{
public:
    asio::awaitable<bool> whole(unsigned status, std::string, std::string body) override
    {
        status_ = status;
        body_ = std::move(body);
        co_return true;
    }

    asio::awaitable<bool> part(unsigned status, const std::string&, std::string bytes,
                               bool last) override
    {
        status_ = status;
        begun_ = true;
        body_ += bytes;
        complete_ = last;
        co_return true;
    }

    bool begun() const override { return begun_; }
    bool caller_gone() override { return gone_; }
    void cut() override { cut_ = true; }

    unsigned status_ = 0;
    std::string body_;
    bool begun_ = false;
    bool complete_ = false;
    bool cut_ = false;
    bool gone_ = false;
};

// A gateway with one route and some endpoints.
class gateway_fixture
{
public:
    gateway_fixture(route_kind kind, bool resumable,
                    std::vector<std::vector<reaction>> endpoint_reactions,
                    retry_budget_options budget = {0.2, 52, std::chrono::seconds(10)})
        : members({}, self(), boot_clock::now() - std::chrono::seconds(10)), pools({"z", {}, 1}),
          channels(context.get_executor()), peers(context, {"127.0.0.1", 0, 0, {}}, members),
          coordinator(context, view, channels, members, peers, names, {}, {}),
          flow(context, view, pools, channels, coordinator, members, names, budget, figures)
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
        view.take(configuration);
        for (auto& reactions : endpoint_reactions) {
            endpoints.push_back(std::make_unique<fake_endpoint>(context, std::move(reactions)));
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

    // Serves one request to its end.
    kept_answer serve(const std::string& id, const std::string& key = "key",
                      const std::string& target = "/a/x")
    {
        kept_answer answer;
        request = std::make_shared<running_request>(make_message(id, key, target));
        asio::co_spawn(context, flow.serve(request, answer), asio::detached);
        const auto ended = flow.ended();
        for (int step = 0; step < 200 && flow.ended() == ended; ++step) {
            context.restart();
            context.run_for(milliseconds(10));
        }
        context.restart();
        context.run_for(milliseconds(5));
        return answer;
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

    std::size_t arrivals() const
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
    telemetry::metrics figures;
    endpoint_pools pools;
    channel_pool channels;
    peer_link peers;
    stage_coordinator coordinator;
    request_flow flow;
    std::vector<std::unique_ptr<fake_endpoint>> endpoints;
    std::shared_ptr<running_request> request;
};

} // namespace

// Guards against non-idempotent requests that run twice and refusals that are not true.
Test(request_flow, requests_that_may_run_once)
{
    section("given an endpoint that resets after the request was sent", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{"", true}}, {{"", true}}});
        const auto answer = gateway.serve("1");
        check(answer.status_ == 502, "the answer promises nothing");
        check(gateway.arrivals() == 1, "it is sent once");
    });
    section("given an endpoint that says it has not run the request", [] {
        const std::string refusal = answer_of("1", "", "503 Service Unavailable", "Not-Run: 1\r\n");
        gateway_fixture gateway(
            route_kind::non_idempotent, false,
            {{{refusal}, {answer_of("1", "done")}}, {{refusal}, {answer_of("1", "done")}}});
        const auto answer = gateway.serve("1");
        check(gateway.arrivals() == 2, "another endpoint is tried");
        check(answer.status_ == 503 || answer.body_ == "done", "a refusal stays not run");
    });
    section("given an endpoint that never answers", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{"", false, true}}});
        const auto answer = gateway.serve("1");
        check(answer.status_ == 504, "the timeout promises nothing");
    });
    section("given a caller that leaves", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{"", false, true}}});
        kept_answer answer;
        auto request =
            std::make_shared<running_request>(gateway_fixture::make_message("1", "key", "/a/"));
        asio::co_spawn(gateway.context, gateway.flow.serve(request, answer), asio::detached);
        gateway.context.run_for(milliseconds(50));
        const time_point left = boot_clock::now();
        request->abort({verdict::may_have_run, reason::cancelled, "left", {}});
        gateway.context.restart();
        gateway.context.run_for(milliseconds(100));
        check(answer.cut_, "the connection is given up");
        check(boot_clock::now() - left < milliseconds(500), "within half a second");
    });
}

// Guards against requests that a busy process sends on although their caller has left.
Test(request_flow, a_caller_that_left_before_the_send)
{
    gateway_fixture gateway(route_kind::idempotent, false, {{{answer_of("1", "x")}}});
    kept_answer answer;
    answer.gone_ = true;
    auto request =
        std::make_shared<running_request>(gateway_fixture::make_message("1", "key", "/a/"));
    asio::co_spawn(gateway.context, gateway.flow.serve(request, answer), asio::detached);
    gateway.context.run_for(milliseconds(100));
    check(gateway.arrivals() == 0, "nothing reaches an endpoint");
    check(answer.cut_, "the connection is given up");
}

// Guards against repeats that are charged to another service of the route than the one that gets
// them, which exceeds the budget of one service and wastes that of the other.
Test(request_flow, repeats_of_a_route_with_two_services)
{
    const std::vector<reaction> lost_once{{"", true}, {answer_of("1", "x")}};
    gateway_fixture gateway(route_kind::idempotent, false, {lost_once, lost_once},
                            {2, 0, std::chrono::seconds(10)});
    auto& services = gateway.configuration.routes.front().services;
    services.insert(services.begin(), {"rare", 1e-9});
    gateway.configuration.version = 2;
    gateway.view.take(gateway.configuration);
    gateway.serve("1");
    check(gateway.arrivals() == 2, "the request for the second service pays for its repeat");
}

// Guards against answers that are not the endpoint's, or not to this request.
Test(request_flow, answers)
{
    section("given an extra answer to the request before", [] {
        gateway_fixture gateway(
            route_kind::non_idempotent, false,
            {{{answer_of("1", "first")}, {answer_of("1", "first") + answer_of("2", "second")}}});
        check(gateway.serve("1").body_ == "first", "the first request gets its own answer");
        check(gateway.serve("2").body_ == "second", "the second one too");
    });
    section("given bytes behind a complete answer", [] {
        gateway_fixture gateway(
            route_kind::non_idempotent, false,
            {{{answer_of("1", "first") + "HTTP/1.1 200 OK\r\n"}, {answer_of("2", "second")}}});
        check(gateway.serve("1").body_ == "first", "the answer is delivered");
        check(gateway.serve("2").body_ == "second", "the connection is not used again");
    });
    section("given a success without signature", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{answer_of("1", "x", "200 OK", "")}}});
        check(gateway.serve("1").status_ == 502, "it is not passed on");
    });
    section("given an answer that ends early", [] {
        gateway_fixture gateway(
            route_kind::non_idempotent, false,
            {{{"HTTP/1.1 200 OK\r\nId: 1\r\nSign: s\r\nContent-Length: 9\r\n\r\nhalf", true}}});
        check(gateway.serve("1").status_ == 502, "it does not look complete");
    });
    section("given an answer without length", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{"HTTP/1.1 200 OK\r\nId: 1\r\nSign: s\r\n\r\nall", true}}});
        const auto answer = gateway.serve("1");
        check(answer.status_ == 200 && answer.body_ == "all", "its end is that of the connection");
    });
    section("given a failure of the endpoint on a repeatable route", [] {
        const reaction failure{answer_of("1", "no", "500 Error")};
        gateway_fixture gateway(
            route_kind::idempotent, false,
            {{failure, {answer_of("1", "yes")}}, {failure, {answer_of("1", "yes")}}});
        const auto answer = gateway.serve("1");
        check(gateway.arrivals() == 2, "a second endpoint is tried");
        check(answer.status_ == 500 && answer.body_ == "no", "its own failure is passed on");
    });
}

// Guards against a repeat that finds no endpoint and hides the answer of the first one, and against
// crashed endpoints that use up the attempts of a request.
Test(request_flow, endpoints_that_are_gone)
{
    section("given a failure of the only endpoint", [] {
        gateway_fixture gateway(route_kind::idempotent, false,
                                {{{answer_of("1", "no", "500 Error")}}});
        const time_point sent = boot_clock::now();
        const auto answer = gateway.serve("1");
        check(answer.status_ == 500 && answer.body_ == "no", "its answer is passed on");
        check(boot_clock::now() - sent < milliseconds(80), "at once");
    });
    section("given four endpoints that are down and one that works", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{answer_of("1", "x")}}});
        for (int down = 0; down < 4; ++down) {
            asio::ip::tcp::acceptor port(gateway.context, {asio::ip::make_address("127.0.0.1"), 0});
            gateway::endpoint value;
            value.id = "down" + std::to_string(down);
            value.service = "s";
            value.zone = "z";
            value.address = port.local_endpoint(); // closed at the end of this step
            gateway.view.put_endpoint(value);
        }
        gateway.pools.refresh(gateway.view, 1, boot_clock::now());
        check(gateway.serve("1").body_ == "x", "the request reaches it");
    });
}

// Guards against streams that lose, double or join events.
Test(request_flow, streams)
{
    section("given a resumable stream that breaks off in the middle of an event", [] {
        const reaction broken{stream_head("1") + chunk(event(0) + event(1) + "id: 2\nda"), true};
        const reaction rest{stream_head("1") + chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n"};
        gateway_fixture gateway(route_kind::stream, true, {{broken, rest}, {broken, rest}});
        // The second endpoint breaks off too; the third attempt is one too many for the route.
        const auto answer = gateway.serve("1");
        check(answer.body_.starts_with(event(0) + event(1)), "whole events are passed on");
        check(answer.body_.find("da\n") == std::string::npos, "the broken one is not");
        const std::string resumed = gateway.endpoints[0]->requests().size() == 1
                                        ? gateway.endpoints[1]->requests().front()
                                        : std::string();
        check(resumed.find("Last-Event-Id: 1\r\n") != std::string::npos,
              "another endpoint goes on after the last whole event");
    });
    section("given a stream that may not be resumed", [] {
        gateway_fixture gateway(route_kind::stream, false,
                                {{{stream_head("1") + chunk(event(0)), true}}});
        const auto answer = gateway.serve("1");
        check(answer.body_ == event(0) && !answer.complete_ && answer.cut_,
              "it is cut and does not look complete");
        check(gateway.arrivals() == 1, "it runs once");
    });
    section("given a whole stream", [] {
        gateway_fixture gateway(route_kind::stream, false,
                                {{{stream_head("1") + chunk(event(0)) + "0\r\n\r\n"}}});
        const auto answer = gateway.serve("1");
        check(answer.body_ == event(0) && answer.complete_, "it ends as complete");
    });
}

// Guards against requests that run with a key or route that is no longer in force.
Test(request_flow, what_is_in_force)
{
    gateway_fixture gateway(route_kind::idempotent, false, {{{answer_of("1", "x")}}});
    check(gateway.serve("1", "unknown").status_ == 401, "an unknown key");
    check(gateway.serve("1", "key", "/b/").status_ == 404, "no route");
    section("when the key is withdrawn", [&] {
        gateway.configuration.version = 2;
        gateway.configuration.customers.front().keys = {"other"};
        gateway.view.take(gateway.configuration);
        check(gateway.serve("1").status_ == 401, "it stops working");
        check(gateway.arrivals() == 0, "nothing reaches an endpoint");
    });
    section("without any configuration", [] {
        gateway_fixture empty(route_kind::idempotent, false, {});
        empty.view = catalog();
        check(empty.serve("1").status_ == 503, "the instance says so");
    });
}
