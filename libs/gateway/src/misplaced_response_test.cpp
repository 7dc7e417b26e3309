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
