// Tests that a stream which its endpoint has broken off does not look complete to its caller,
// however the endpoint's server frames the end of the response.

#include "request_flow_fixture.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

enum class framing
{
    length,
    chunks,
    none // ends with the connection
};

constexpr framing every_framing[] = {framing::length, framing::chunks, framing::none};
constexpr framing explicit_framings[] = {framing::length, framing::chunks};

std::string to_string(framing kind)
{
    switch (kind) {
    case framing::length:
        return "with a length: ";
    case framing::chunks:
        return "in chunks: ";
    case framing::none:
        break;
    }
    return "without a length: ";
}

// A response whose body ends properly for its framing.
scripted_response stream_of(const std::string& events, framing kind)
{
    switch (kind) {
    case framing::length:
        return {response_with("1", events)};
    case framing::chunks:
        return {stream_response_head("1") + (events.empty() ? "" : chunk(events)) + "0\r\n\r\n"};
    case framing::none:
        break;
    }
    return {"HTTP/1.1 200 OK\r\nId: 1\r\nSign: s\r\n\r\n" + events, true};
}

// Serves a resumable stream to which two endpoints send the responses in turn, whichever is asked
// first.
recorded_response serve_resumable(const std::vector<scripted_response>& responses,
                                  std::vector<std::string>* resumed_after = nullptr)
{
    gateway_fixture gateway(route_kind::stream, true, {responses, responses});
    gateway.endpoints[1]->share_script(*gateway.endpoints[0]);
    auto response = gateway.serve("1");
    for (const auto& endpoint : gateway.endpoints) {
        for (const auto& request : endpoint->requests()) {
            const std::string after = header_of(request, "Last-Event-Id");
            if (resumed_after != nullptr && !after.empty()) {
                resumed_after->push_back(after);
            }
        }
    }
    return response;
}

// What an endpoint has sent of event 1 when it breaks off. An event ends with an empty line.
const std::vector<std::string>& parts_of_event()
{
    static const std::vector<std::string> parts{"i",
                                                "id: 1",
                                                "id: 1\n",
                                                "id: 1\nda",
                                                "id: 1\ndata: e1",
                                                "id: 1\ndata: e1\n",
                                                "id: 1\r\ndata: e1\r\n\r"};
    return parts;
}

} // namespace

// Guards against callers that get a 200 with a complete body of which the last events are missing:
// their endpoint stopped inside an event, and its server ended the body properly.
Test(stream_end, inside_an_event)
{
    for (const framing kind : every_framing) {
        for (const std::string& part : parts_of_event()) {
            const std::string where = to_string(kind) + part;
            section("given a stream that may not be resumed", [&] {
                gateway_fixture gateway(route_kind::stream, false,
                                        {{stream_of(event(0) + part, kind)}});
                const auto response = gateway.serve("1");
                check(response.body_ == event(0), "only whole events are forwarded " + where);
                check(!response.complete_ && response.connection_aborted_,
                      "it does not end as complete " + where);
            });
            section("given a stream that another endpoint resumes", [&] {
                std::vector<std::string> resumed_after;
                const auto response = serve_resumable(
                    {stream_of(event(0) + part, kind), stream_of(event(1) + event(2), kind)},
                    &resumed_after);
                check(response.complete_ && response.body_ == event(0) + event(1) + event(2),
                      "every event is forwarded once " + where);
                check(resumed_after == std::vector<std::string>{"0"},
                      "it goes on after the last whole event " + where);
            });
            section("given a resumed stream that ends inside an event again", [&] {
                const auto response =
                    serve_resumable({stream_of(event(0) + part, kind), stream_of(part, kind)});
                check(response.body_ == event(0), "only whole events are forwarded " + where);
                check(!response.complete_ && response.connection_aborted_,
                      "it does not end as complete " + where);
            });
            section("given an end inside the first event", [&] {
                gateway_fixture gateway(route_kind::stream, false, {{stream_of(part, kind)}});
                const auto response = gateway.serve("1");
                check(response.status_ == 502 && !response.stream_started_,
                      "the response is a failure " + where);
            });
        }
    }
}

// Guards against callers that get a 200 without any event: their endpoint stopped before the first
// one, and its server ended the body properly.
Test(stream_end, before_the_first_event)
{
    for (const framing kind : every_framing) {
        for (const std::string empty : {"", "\n"}) {
            section("given a stream that may not be resumed", [&] {
                gateway_fixture gateway(route_kind::stream, false, {{stream_of(empty, kind)}});
                const auto response = gateway.serve("1");
                check(response.status_ == 502 && !response.stream_started_,
                      "the response is a failure " + to_string(kind));
            });
            section("given a stream that may be resumed", [&] {
                const auto response =
                    serve_resumable({stream_of(empty, kind), stream_of(event(0), kind)});
                check(response.complete_ && response.body_ == event(0),
                      "another endpoint serves it " + to_string(kind));
            });
        }
    }
}

// Guards against complete streams that are cut because of the checks above.
Test(stream_end, after_a_whole_event)
{
    for (const framing kind : every_framing) {
        for (const std::string& events :
             {event(0) + event(1), event(0) + event(1) + "\n", event(0) + event(1) + "\r\n",
              std::string("id: 0\r\ndata: e0\r\n\r\n"), std::string("id: 0\ndata: e0\n\r\n"),
              std::string("id: 0\r\ndata: e0\r\n\n")})
        {
            section("given a stream that ends after an event", [&] {
                gateway_fixture gateway(route_kind::stream, false, {{stream_of(events, kind)}});
                const auto response = gateway.serve("1");
                check(response.complete_ && response.body_ == events,
                      "it is forwarded unchanged " + to_string(kind) + events);
            });
        }
    }
    for (const framing kind : explicit_framings) {
        section("given a stream that broke off after its last event", [&] {
            const scripted_response interrupted{stream_response_head("1") + chunk(event(0)), true};
            const auto response = serve_resumable({interrupted, stream_of("", kind)});
            check(response.complete_ && response.body_ == event(0),
                  "an endpoint that has nothing to add completes it " + to_string(kind));
        });
        section("given a caller that resumes after the last event", [&] {
            gateway_fixture gateway(route_kind::stream, true, {{stream_of("", kind)}});
            caller_request message = gateway_fixture::make_message("1", "key", "/a/x");
            message.last_event_id = "9";
            const auto response = gateway.serve(std::move(message));
            check(response.complete_ && response.body_.empty(),
                  "the response without events is complete " + to_string(kind));
        });
    }
    section("given a HEAD request", [] {
        gateway_fixture gateway(
            route_kind::stream, false,
            {{{"HTTP/1.1 200 OK\r\nId: 1\r\nSign: s\r\nContent-Length: 40\r\n\r\n"}}});
        caller_request message = gateway_fixture::make_message("1", "key", "/a/x");
        message.method = "HEAD";
        const auto response = gateway.serve(std::move(message));
        check(response.status_ == 200 && response.complete_, "its response has no events");
    });
}
