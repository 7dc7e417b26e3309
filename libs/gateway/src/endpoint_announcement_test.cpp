// Tests that an endpoint that announces its leaving, or asks for a pause, gets no further requests.

#include "request_flow_fixture.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// A gateway with two endpoints. Both begin with the announcing response; all others are plain.
struct announcing_fixture : gateway_fixture
{
    explicit announcing_fixture(const std::string& announcing)
        : gateway_fixture(route_kind::idempotent, false, scripts(announcing))
    {
    }

    static std::vector<std::vector<scripted_response>> scripts(const std::string& announcing)
    {
        std::vector<scripted_response> script(40, {response_with("1", "ok")});
        script.front() = {announcing};
        return {script, script};
    }

    // Returns the requests that each of the endpoints has received.
    std::pair<std::size_t, std::size_t> received() const
    {
        return {endpoints[0]->requests().size(), endpoints[1]->requests().size()};
    }
};

} // namespace

// Guards against requests that reach an endpoint that has announced in a response that it leaves.
Test(endpoint_announcement, leaving_endpoints_get_no_further_requests)
{
    section("given responses with the announcement", [] {
        announcing_fixture gateway(
            response_with("1", "last", "200 OK", "Sign: s\r\nLeaving: 1\r\n"));
        const auto first = gateway.serve("1");
        check(first.status_ == 200 && first.body_ == "last", "the response itself is forwarded");
        check(gateway.serve("1").status_ == 200, "the other endpoint gets the next request");
        for (int number = 0; number < 5; ++number) {
            const auto refused = gateway.serve("1");
            check(refused.status_ == 503, "further ones are refused as not run");
        }
        check(gateway.received() == std::pair<std::size_t, std::size_t>(1, 1),
              "each endpoint got no request after its announcement");
        auto restarted = *gateway.view.find_endpoint("e1");
        restarted.started = 7;
        gateway.view.put_endpoint(restarted);
        gateway.pools.refresh(gateway.view, 1, boot_clock::now());
        check(gateway.serve("1").status_ == 200, "the next incarnation gets requests");
    });
    section("given a refusal with the announcement", [] {
        announcing_fixture gateway(
            response_with("1", "", "503 Service Unavailable", "Not-Run: 1\r\nLeaving: 1\r\n"));
        gateway.serve("1");
        gateway.serve("1");
        check(gateway.received() == std::pair<std::size_t, std::size_t>(1, 1),
              "each endpoint got no request after its announcement");
    });
    section("given a response of another endpoint at the address", [] {
        announcing_fixture gateway(
            response_with("1", "", "421 Misdirected Request", "Leaving: 1\r\n"));
        gateway.serve("1");
        check(gateway.view.accepts_work(*gateway.view.find_endpoint("e1")) &&
                  gateway.view.accepts_work(*gateway.view.find_endpoint("e2")),
              "the announcement is not taken for one of the endpoint that was meant");
    });
}

// Guards against requests that reach an endpoint during the pause that it asked for, and against
// requests that wait for a pause that is too long for them.
Test(endpoint_announcement, endpoints_get_no_requests_during_a_pause)
{
    const auto refusal = [](const std::string& seconds) {
        return response_with("1", "", "503 Service Unavailable",
                             "Not-Run: 1\r\nRetry-After: " + seconds + "\r\n");
    };
    section("given a pause that exceeds the time of a request", [&] {
        announcing_fixture gateway(refusal("20"));
        const auto first = gateway.serve("1");
        check(first.status_ == 503, "the request is refused by both endpoints");
        const time_point asked = boot_clock::now();
        const auto second = gateway.serve("1");
        check(second.status_ == 503 && boot_clock::now() - asked < milliseconds(60),
              "the next one is refused at once");
        check(second.headers_.find("Retry-After: 19.") != std::string::npos,
              "and told when the pause ends");
        check(gateway.received() == std::pair<std::size_t, std::size_t>(1, 1),
              "no endpoint got a request in its pause");
        gateway.view.end_pauses(boot_clock::now() + std::chrono::seconds(21));
        check(gateway.serve("1").status_ == 200, "after the pause it is served");
    });
    section("given something else than a number of seconds", [&] {
        for (const char* text :
             {"", "soon", "-1", "nan", "0", "1e999", "2x", "Wed, 21 Oct 2026 07:28:00 GMT"})
        {
            announcing_fixture gateway(refusal(text));
            gateway.serve("1");
            const auto end = gateway.view.next_pause_end("s");
            check(!end || *end < boot_clock::now() + std::chrono::minutes(6),
                  std::string("no pause without end: ") + text);
        }
    });
}
