// Tests that a response reaches the caller whole although its endpoint pauses, another endpoint
// could not finish it, or the endpoint sends interim responses first.

#include "request_flow_fixture.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::seconds;

namespace {

void allow(gateway_fixture& gateway, milliseconds timeout, unsigned attempts)
{
    route& matched = gateway.configuration.routes.front();
    matched.timeout = timeout;
    matched.max_attempts = attempts;
    ++gateway.configuration.version;
    gateway.view.apply(gateway.configuration);
}

// A stream whose endpoint pauses for longer than another endpoint would be waited for.
scripted_response paused_stream()
{
    scripted_response response{stream_response_head("1") + chunk(event(0))};
    response.pause = milliseconds(1800);
    response.rest = chunk(event(1)) + "0\r\n\r\n";
    return response;
}

scripted_response slow_response()
{
    scripted_response response;
    response.pause = milliseconds(700);
    response.rest = response_with("1", "late");
    return response;
}

// An endpoint that begins to read after a pause, and responds to a request that ends with "END".
asio::awaitable<void> read_late(tcp::acceptor& acceptor, milliseconds pause)
{
    boost::system::error_code error;
    tcp::socket socket =
        co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    asio::steady_timer timer(acceptor.get_executor(), pause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    asio::streambuf received;
    co_await asio::async_read_until(socket, received, "END",
                                    asio::redirect_error(asio::use_awaitable, error));
    const std::string response = response_with("1", "x");
    co_await asio::async_write(socket, asio::buffer(response),
                               asio::redirect_error(asio::use_awaitable, error));
}

} // namespace

// Guards against resumable streams that are cut because their endpoint pauses, although no other
// endpoint may resume them and the deadline is far.
Test(incomplete_response, paused_stream_that_cannot_be_resumed)
{
    const std::string whole = event(0) + event(1);
    section("given a stream that has used its attempts", [&] {
        gateway_fixture gateway(route_kind::stream, true, {{paused_stream()}, {paused_stream()}});
        allow(gateway, seconds(4), 1);
        const auto response = gateway.serve("1");
        check(response.complete_ && response.body_ == whole, "the stream is forwarded whole");
    });
    section("given no retry budget", [&] {
        gateway_fixture gateway(route_kind::stream, true, {{paused_stream()}, {paused_stream()}},
                                {0, 0, seconds(10)});
        allow(gateway, seconds(4), 2);
        const auto response = gateway.serve("1");
        check(response.complete_ && response.body_ == whole, "the stream is forwarded whole");
    });
    section("given no other endpoint", [&] {
        gateway_fixture gateway(route_kind::stream, true, {{paused_stream()}});
        allow(gateway, seconds(4), 2);
        const auto response = gateway.serve("1");
        check(response.complete_ && response.body_ == whole, "the stream is forwarded whole");
    });
    section("given an endpoint that can resume it", [&] {
        const scripted_response rest{stream_response_head("1") + chunk(event(1)) + "0\r\n\r\n"};
        gateway_fixture gateway(route_kind::stream, true,
                                {{paused_stream(), rest}, {paused_stream(), rest}});
        allow(gateway, seconds(4), 2);
        const time_point sent = boot_clock::now();
        const auto response = gateway.serve("1");
        check(gateway.received_requests() == 2, "another endpoint receives the request");
        check(response.body_.starts_with(event(0)) && boot_clock::now() - sent < seconds(4),
              "the stream goes on");
    });
}

// Guards against requests that fail because their endpoint is slow, although no other endpoint may
// receive them and the deadline is far.
Test(incomplete_response, slow_response_that_cannot_be_retried)
{
    section("given no retry budget", [] {
        gateway_fixture gateway(route_kind::idempotent, false,
                                {{slow_response()}, {slow_response()}}, {0, 0, seconds(10)});
        allow(gateway, seconds(3), 2);
        const auto response = gateway.serve("1");
        check(response.status_ == 200 && response.body_ == "late", "the response is forwarded");
    });
    section("given no other endpoint", [] {
        gateway_fixture gateway(route_kind::idempotent, false, {{slow_response()}});
        allow(gateway, seconds(3), 2);
        const auto response = gateway.serve("1");
        check(response.status_ == 200 && response.body_ == "late", "the response is forwarded");
    });
    section("given another endpoint", [] {
        const scripted_response fast{response_with("1", "fast")};
        gateway_fixture gateway(route_kind::idempotent, false,
                                {{slow_response(), fast}, {slow_response(), fast}});
        allow(gateway, seconds(3), 2);
        gateway.serve("1");
        check(gateway.received_requests() == 2, "the other endpoint receives the request");
    });
}

// Guards against requests that a stopping instance gives up because their endpoint is slow,
// although it would not send them to another one any more.
Test(incomplete_response, slow_response_during_a_stop)
{
    gateway_fixture gateway(route_kind::idempotent, false, {{slow_response()}, {slow_response()}});
    allow(gateway, seconds(3), 2);
    asio::steady_timer timer(gateway.context, milliseconds(100));
    timer.async_wait([&](const boost::system::error_code&) {
        const time_point now = boot_clock::now();
        gateway.flow.begin_drain({now, now + seconds(2)});
    });
    const auto response = gateway.serve("1");
    check(response.status_ == 200 && response.body_ == "late",
          "the response is forwarded, not status " + std::to_string(response.status_));
}

// Guards against an error response that is written into a stream that has started.
Test(incomplete_response, stream_resumed_by_an_endpoint_that_rejects_it)
{
    const scripted_response interrupted{stream_response_head("1") + chunk(event(0)), true};
    const scripted_response error{response_with("1", "no", "404 Not Found")};
    const std::vector<std::vector<std::vector<scripted_response>>> orders{{{interrupted}, {error}},
                                                                          {{error}, {interrupted}}};
    int started = 0;
    for (const auto& responses : orders) {
        gateway_fixture gateway(route_kind::stream, true, responses);
        const auto response = gateway.serve("1");
        if (!response.stream_started_) {
            continue; // the endpoint that rejects the request was chosen first
        }
        ++started;
        check(gateway.received_requests() == 2, "the stream is resumed");
        check(response.status_ == 200 && response.body_ == event(0),
              "only events are written into the stream, not status " +
                  std::to_string(response.status_) + " " + response.body_);
        check(!response.complete_ && response.connection_aborted_,
              "the connection is closed, so that the stream does not look complete");
    }
    check(started > 0, "a stream is interrupted");
}

// Guards against an interim response that is forwarded as the final one, after which the caller
// waits for a response that never comes.
Test(incomplete_response, interim_responses_are_skipped)
{
    for (const std::string interim :
         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"})
    {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{interim + response_with("1", "x")}}});
        const auto response = gateway.serve("1");
        check(response.status_ == 200 && response.body_ == "x", "the final response is forwarded");
    }
}

// Guards against requests that fail because their body takes long to send, although the endpoint
// reads it and the deadline is far.
Test(incomplete_response, long_body_is_sent_slowly)
{
    gateway_fixture gateway(route_kind::non_idempotent, false, {{}});
    allow(gateway, seconds(4), 1);
    tcp::acceptor acceptor(gateway.context, {asio::ip::make_address("127.0.0.1"), 0});
    asio::co_spawn(gateway.context, read_late(acceptor, milliseconds(2300)), asio::detached);
    quetzal::gateway::endpoint slow = *gateway.view.find_endpoint("e1");
    slow.address = acceptor.local_endpoint();
    gateway.view.put_endpoint(slow);
    gateway.pools.refresh(gateway.view, 1, boot_clock::now());
    caller_request message = gateway_fixture::make_message("1", "key", "/a/x");
    message.method = "POST";
    message.body = std::string(16u << 20, 'x') + "END";
    const auto response = gateway.serve(std::move(message));
    check(response.status_ == 200 && response.body_ == "x",
          "the response is forwarded, not status " + std::to_string(response.status_));
}

// Guards against successes with an empty or short body, framed as whole: their endpoint stopped
// within the head of its response and closed the connection.
Test(incomplete_response, head_that_ends_early, .timeout = 120)
{
    const std::string plain = response_with("1", "whole");
    const std::size_t plain_head = plain.find("\r\n\r\n") + 4;
    const std::string stream = stream_response_head("1");
    const auto cut_at = [](const std::string& text, std::size_t size) {
        return scripted_response{text.substr(0, size), true};
    };
    section("given a request that may run once", [&] {
        for (std::size_t size = 0; size < plain_head; ++size) {
            const scripted_response whole{plain};
            gateway_fixture gateway(route_kind::non_idempotent, false,
                                    {{cut_at(plain, size), whole}, {cut_at(plain, size), whole}});
            const auto response = gateway.serve("1");
            check(response.status_ == 502 && gateway.received_requests() == 1,
                  "a head of " + std::to_string(size) + " bytes is a failure, not a status " +
                      std::to_string(response.status_) + ", and it is not run again");
        }
    });
    section("given an idempotent request", [&] {
        for (std::size_t size = 0; size < plain_head; ++size) {
            const scripted_response whole{plain};
            gateway_fixture gateway(route_kind::idempotent, false,
                                    {{cut_at(plain, size), whole}, {cut_at(plain, size), whole}});
            const auto response = gateway.serve("1");
            const bool failed = response.status_ == 502 || response.status_ == 504;
            check(failed || (response.status_ == 200 && response.body_ == "whole"),
                  "after a head of " + std::to_string(size) +
                      " bytes the caller gets a failure or "
                      "the whole body of another run, not status " +
                      std::to_string(response.status_));
        }
    });
    section("given a stream", [&] {
        for (std::size_t size = 0; size < stream.size(); ++size) {
            gateway_fixture gateway(route_kind::stream, false, {{cut_at(stream, size)}});
            const auto response = gateway.serve("1");
            check(response.status_ == 502 && !response.complete_,
                  "a head of " + std::to_string(size) + " bytes is a failure");
        }
    });
    section("given a stream that another endpoint goes on with", [&] {
        const scripted_response interrupted{stream + chunk(event(0)), true};
        for (std::size_t size = 0; size < stream.size(); ++size) {
            gateway_fixture gateway(route_kind::stream, true, {{interrupted}, {}});
            gateway.endpoints[1]->share_script(*gateway.endpoints[0]);
            gateway.endpoints[0]->append(cut_at(stream, size));
            const auto response = gateway.serve("1");
            check(response.body_ == event(0) && !response.complete_,
                  "after a head of " + std::to_string(size) + " bytes it does not end as whole");
        }
    });
}
