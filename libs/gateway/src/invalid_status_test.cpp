// Tests that a response whose status is none of HTTP's final ones is no answer.

#include "request_flow_fixture.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// A 101 is none either: the gateway never asks for another protocol.
const std::vector<std::string> invalid_statuses{
    "000 Error", "000 ",      "001 Error", "099 Error", "101 Switching Protocols",
    "600 Error", "999 Error", "20 OK",     "2000 OK",   "-20 OK"};

// Responses with the status: as a success, as a refusal, and with a whole response in its body.
std::vector<std::string> responses_with(const std::string& status)
{
    return {response_with("1", "odd", status), response_with("1", "", status, "Not-Run: 1\r\n"),
            response_with("1", response_with("1", "hidden"), status)};
}

// A gateway whose endpoints together send the responses in turn.
struct scripted_gateway
{
    scripted_gateway(route_kind kind, const std::vector<scripted_response>& script)
        : gateway(kind, kind == route_kind::stream, {script, {}})
    {
        gateway.endpoints[1]->share_script(*gateway.endpoints[0]);
    }

    gateway_fixture gateway;
};

} // namespace

// Guards against an answer with a status that callers cannot know, against the bytes after such a
// status that are taken for the answer, and against "not run" of a request that may have run.
Test(invalid_status, response_is_no_answer, .timeout = 120)
{
    for (const std::string& status : invalid_statuses) {
        for (const std::string& odd : responses_with(status)) {
            section("given a request that may run once", [&] {
                scripted_gateway played(route_kind::non_idempotent,
                                        {{odd}, {response_with("1", "whole")}});
                const auto response = played.gateway.serve("1");
                check(response.status_ == 502, "the caller gets a failure, not status " +
                                                   std::to_string(response.status_) + ": " + odd);
                check(response.body_.find("may_have_run") != std::string::npos,
                      "which says that it may have run: " + response.body_);
                check(played.gateway.received_requests() == 1, "it is not run again: " + odd);
            });
            section("given an idempotent request", [&] {
                scripted_gateway played(route_kind::idempotent,
                                        {{odd}, {response_with("1", "whole")}});
                const auto response = played.gateway.serve("1");
                check(response.status_ == 200 && response.body_ == "whole",
                      "the caller gets the response of another run: " + odd);
            });
            section("given a stream", [&] {
                const std::string events =
                    stream_response_head("1") + chunk(event(0)) + chunk(event(1)) + "0\r\n\r\n";
                scripted_gateway played(route_kind::stream, {{odd}, {events}});
                const auto response = played.gateway.serve("1");
                check(response.complete_ && response.body_ == event(0) + event(1),
                      "the caller gets the stream of another run: " + odd);
            });
            section("given a stream that has started", [&] {
                const scripted_response interrupted{stream_response_head("1") + chunk(event(0)),
                                                    true};
                scripted_gateway played(route_kind::stream, {interrupted, {odd}, {odd}, {odd}});
                const auto response = played.gateway.serve("1");
                check(response.body_ == event(0) && !response.complete_ &&
                          response.connection_aborted_,
                      "it ends neither as whole nor with other bytes: " + odd);
            });
        }
    }
}

// Guards against valid statuses that count as lost.
Test(invalid_status, statuses_of_http_are_forwarded)
{
    for (const std::string status : {"200 ", "200 OK", "299 Other", "304 Not Modified",
                                     "404 Not Found", "499 Other", "500 Error", "599 Other"})
    {
        scripted_gateway played(route_kind::non_idempotent, {{response_with("1", "", status)}});
        const auto response = played.gateway.serve("1");
        check(std::to_string(response.status_) == status.substr(0, 3),
              "the status is forwarded, not " + std::to_string(response.status_));
    }
}
