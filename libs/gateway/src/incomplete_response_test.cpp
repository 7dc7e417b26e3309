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
