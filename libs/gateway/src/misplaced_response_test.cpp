// Tests that bytes of one response are not taken for those of another: refusals that an endpoint
// repeats on a kept connection, errors that follow a stream that broke off, and responses whose end
// only the end of the connection shows.

#include "request_flow_fixture.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const std::string refusal_status = "503 Service Unavailable";

std::string nameless(const std::string& status, const std::string& headers)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 2\r\n\r\nno";
}

scripted_response interrupted_stream()
{
    return {stream_response_head("1") + chunk(event(0) + "id: 1\nda"), true};
}

// The head of a stream without a length, which ends with its connection.
std::string unframed_head(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSign: s\r\n\r\n";
}

} // namespace

// Guards against callers that are told "not run, try again" of a request that an endpoint runs,
// and against a second run of it, when the endpoint writes an earlier refusal once more.
Test(misplaced_response, repeated_refusal_is_not_taken_for_the_next_response)
{
    const std::string refusal = response_with("1", "", refusal_status, "Not-Run: 1\r\n");
    section("given a refusal that names an earlier request", [&] {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{refusal}, {refusal + response_with("2", "second")}}});
        check(gateway.serve("1").status_ == 503, "the first request is refused");
        check(gateway.serve("2").body_ == "second", "the second one gets its own response");
    });
    section("given only the repeated refusal", [&] {
        gateway_fixture gateway(route_kind::non_idempotent, false, {{{refusal}, {refusal, true}}});
        gateway.serve("1");
        check(gateway.serve("2").status_ == 502, "nothing claims that the second one has not run");
    });
    for (const std::string& status : {refusal_status, std::string("421 Misdirected Request"),
                                      std::string("429 Too Many Requests")})
    {
        section("given a refusal without a name on a connection that was used before", [&] {
            const std::vector<scripted_response> script{{response_with("1", "first")},
                                                        {nameless(status, "Not-Run: 1\r\n")},
                                                        {response_with("2", "second")}};
            gateway_fixture gateway(route_kind::non_idempotent, false, {script});
            gateway.serve("1");
            check(gateway.serve("2").status_ == 502,
                  "nothing claims that the request has not run: " + status);
            check(gateway.received_requests() == 2, "and it is not sent again: " + status);
        });
    }
    section("given a signed error without a name on a connection that was used before", [] {
        gateway_fixture gateway(
            route_kind::non_idempotent, false,
            {{{response_with("1", "first")}, {nameless("500 Error", "Sign: old\r\n")}}});
        gateway.serve("1");
        check(gateway.serve("2").body_ != "no", "the error may belong to an earlier request");
    });
    section("given a refusal without a name on a new connection", [] {
        gateway_fixture gateway(route_kind::non_idempotent, false,
                                {{{nameless(refusal_status, "Not-Run: 1\r\n")}}});
        check(gateway.serve("1").status_ == 503, "it can only be meant for the request");
    });
}

// Guards against the text or the head of an error in the middle of a stream, and against a stream
// that ends as if it were complete.
Test(misplaced_response, error_after_a_broken_stream_is_not_forwarded)
{
    const std::vector<std::string> errors{
        response_with("1", "error: overloaded\n\n", "500 Error"),
        response_with("1", "error: full\n\n", refusal_status, "Not-Run: 1\r\n"),
        response_with("1", "data: gone\n\n", "404 Not Found"),
        response_with("1", "data: gone\n\n", "302 Found"),
        response_with("1", "{\"error\":\"full\"}", "200 OK"),
        response_with("1", "", "204 No Content"),
        response_with("1", "plain text", "200 OK"),
        stream_response_head("1") + chunk("HTTP/1.1 500 Error\r\nSign: s\r\n\r\n") + "0\r\n\r\n",
        unframed_head("1") + "HTTP/1.1 500 Error\r\nId: 1\r\n\r\n",
    };
    for (const std::string& error : errors) {
        section("given an error of the endpoint that continues the stream", [&] {
            const std::vector<scripted_response> script{interrupted_stream(), {error, true}};
            gateway_fixture gateway(route_kind::stream, true, {script, script});
            for (const auto& endpoint : gateway.endpoints) {
                endpoint->share_script(*gateway.endpoints.front());
            }
            const auto response = gateway.serve("1");
            check(gateway.received_requests() == 2, "the stream is resumed: " + error);
            check(response.body_ == event(0), "only its own events are forwarded: " + error);
            check(!response.complete_ && response.connection_aborted_,
                  "it does not end as complete: " + error);
        });
    }
}

// Guards against a stream without a length that broke off and is taken for complete.
Test(misplaced_response, responses_without_length_end_with_their_connection)
{
    section("given a stream that ends after an event", [] {
        gateway_fixture gateway(route_kind::stream, true,
                                {{{unframed_head("1") + event(0) + event(1), true}}});
        const auto response = gateway.serve("1");
        check(response.body_ == event(0) + event(1) && response.complete_, "it is complete");
    });
    section("given a stream that ends with additional empty lines", [] {
        gateway_fixture gateway(route_kind::stream, true,
                                {{{unframed_head("1") + event(0) + "\n", true}}});
        const auto response = gateway.serve("1");
        check(response.body_.starts_with(event(0)) && response.complete_, "it is complete");
    });
    for (const std::string& rest : {std::string("id: 1\nda"), std::string("id: 1\ndata: e1\n")}) {
        section("given a stream that ends inside an event", [&] {
            gateway_fixture gateway(route_kind::stream, false,
                                    {{{unframed_head("1") + event(0) + rest, true}}});
            const auto response = gateway.serve("1");
            check(response.body_ == event(0), "only whole events are forwarded: " + rest);
            check(!response.complete_ && response.connection_aborted_,
                  "it has been broken off: " + rest);
        });
    }
    section("given a resumable stream that ends inside an event", [] {
        const std::vector<scripted_response> script{
            {unframed_head("1") + event(0) + "id: 1\nda", true},
            {unframed_head("1") + event(1), true}};
        gateway_fixture gateway(route_kind::stream, true, {script, script});
        for (const auto& endpoint : gateway.endpoints) {
            endpoint->share_script(*gateway.endpoints.front());
        }
        const auto response = gateway.serve("1");
        check(response.body_ == event(0) + event(1) && response.complete_,
              "another endpoint continues it");
    });
    section("given an empty stream without a length", [] {
        gateway_fixture gateway(route_kind::stream, false, {{{unframed_head("1"), true}}});
        const auto response = gateway.serve("1");
        check(!response.complete_, "an endpoint that ended before its first event is not taken for "
                                   "one with nothing to say");
    });
}
