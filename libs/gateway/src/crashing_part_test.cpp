// Tests that requests with a part of a prompt that crashes endpoints are kept away from them.

#include "request_flow_fixture.hpp"

#include <quetzal/base/hash.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// A gateway with a resumable stream route and endpoints that crash when they receive the part
// "deadly". All endpoints answer other requests with one event.
struct crashing_fixture : gateway_fixture
{
    static std::vector<std::vector<scripted_response>> responses(std::size_t number)
    {
        const scripted_response answer{"HTTP/1.1 200 OK\r\nSign: s\r\nId: sound\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n" +
                                       chunk(event(1)) + "0\r\n\r\n"};
        return std::vector<std::vector<scripted_response>>(
            number, std::vector<scripted_response>(50, answer));
    }

    explicit crashing_fixture(std::size_t number)
        : gateway_fixture(route_kind::stream, true, responses(number))
    {
        for (const auto& endpoint : endpoints) {
            endpoint->crash_on("deadly");
        }
    }

    static caller_request message_with(const std::string& id, const std::vector<std::string>& parts)
    {
        caller_request message = make_message(id, "key", "/a/x");
        for (const std::string& part : parts) {
            message.quarantine_keys.push_back(stable_hash(part));
            message.forwarded_headers += "Part: " + part + "\r\n";
        }
        return message;
    }

    std::size_t crashes() const
    {
        std::size_t number = 0;
        for (const auto& endpoint : endpoints) {
            number += endpoint->has_crashed() ? 1 : 0;
        }
        return number;
    }
};

} // namespace

// Guards against requests that crash one endpoint after another because they share a part of their
// prompts, and against rejecting sound requests that share the other parts.
Test(crashing_part, requests_with_a_part_that_crashes_endpoints_are_rejected)
{
    crashing_fixture gateway(8);
    for (int number = 0; number < 3; ++number) {
        const auto id = "deadly-" + std::to_string(number);
        gateway.serve(gateway.message_with(id, {"common", "deadly", "session-" + id}));
    }
    check(gateway.crashes() <= 3, "three requests crash at most three endpoints");
    const std::size_t received = gateway.received_requests();
    const auto refused = gateway.serve(gateway.message_with("late", {"common", "deadly"}));
    check(refused.status_ == 503, "a further request with the part is refused as not run");
    check(gateway.received_requests() == received, "and reaches no endpoint");
    const auto served = gateway.serve(gateway.message_with("sound", {"common", "harmless"}));
    check(served.status_ == 200 && served.complete_,
          "a sound request that shares the other parts is served");
}

// Guards against a request that crashes one endpoint after another because it is repeated, while
// sound requests with the same shared parts clear each of these parts again.
Test(crashing_part, repeated_request_that_crashes_endpoints_is_rejected)
{
    crashing_fixture gateway(8);
    const auto serve_sound = [&](int number) {
        const std::string prompt = "prompt-" + std::to_string(number);
        return gateway.serve(gateway.message_with("sound", {"common", "session", prompt}));
    };
    for (int repeat = 0; repeat < 4; ++repeat) {
        check(serve_sound(repeat).status_ == 200,
              "a sound request with the same shared parts is served");
        const auto id = "repeat-" + std::to_string(repeat);
        gateway.serve(gateway.message_with(id, {"common", "session", "deadly prompt"}));
    }
    check(gateway.crashes() <= 3, "four repeats crash at most three endpoints");
    const auto refused =
        gateway.serve(gateway.message_with("late", {"common", "session", "deadly prompt"}));
    check(refused.status_ == 503, "a further repeat is refused as not run");
    check(serve_sound(4).complete_, "a sound request is still served");
}
