// Tests that requests that were accepted are answered whole when the configuration, the endpoints
// or the evacuated zones change while they wait, run or stream.

#include "request_flow_fixture.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

using change = std::function<void(gateway_fixture& gateway)>;

void publish(gateway_fixture& gateway)
{
    ++gateway.configuration.version;
    gateway.view.apply(gateway.configuration);
}

void apply_to_endpoints(gateway_fixture& gateway)
{
    gateway.pools.refresh(gateway.view, 1, boot_clock::now());
    gateway.channels.prune(gateway.view, boot_clock::now());
}

void remove_route(gateway_fixture& gateway)
{
    gateway.configuration.routes.clear();
    publish(gateway);
}

void revoke_key(gateway_fixture& gateway)
{
    gateway.configuration.customers.front().keys = {"other"};
    publish(gateway);
}

void lower_timeout(gateway_fixture& gateway)
{
    gateway.configuration.routes.front().timeout = milliseconds(10);
    publish(gateway);
}

void remove_service(gateway_fixture& gateway)
{
    gateway.configuration.services.clear();
    gateway.configuration.routes.clear();
    publish(gateway);
    apply_to_endpoints(gateway);
}

void remove_endpoints(gateway_fixture& gateway)
{
    gateway.view.remove_endpoint("e1");
    apply_to_endpoints(gateway);
}

void let_endpoints_leave(gateway_fixture& gateway)
{
    quetzal::gateway::endpoint leaving = *gateway.view.find_endpoint("e1");
    leaving.leaving = true;
    gateway.view.put_endpoint(leaving);
    apply_to_endpoints(gateway);
}

void evacuate_zone(gateway_fixture& gateway)
{
    gateway.view.set_evacuated("z", true, boot_clock::now());
    apply_to_endpoints(gateway);
}

const std::vector<std::pair<std::string, change>> changes{
    {"route removed", remove_route},        {"key revoked", revoke_key},
    {"timeout lowered", lower_timeout},     {"service removed", remove_service},
    {"endpoint removed", remove_endpoints}, {"endpoint leaves", let_endpoints_leave},
    {"zone evacuated", evacuate_zone}};

// Serves a request and makes the change 80 ms after it was accepted.
recorded_response serve_during(gateway_fixture& gateway, const change& apply)
{
    asio::steady_timer timer(gateway.context, milliseconds(80));
    timer.async_wait([&](const boost::system::error_code&) { apply(gateway); });
    return gateway.serve("1");
}

} // namespace

// Guards against responses that are cut by a change that holds only for later requests.
Test(configuration_change, running_requests_are_answered)
{
    for (const auto& [name, apply] : changes) {
        section("when, while an endpoint runs the request: " + name, [&apply = apply] {
            scripted_response later;
            later.pause = milliseconds(250);
            later.rest = response_with("1", "x");
            gateway_fixture gateway(route_kind::non_idempotent, false, {{later}});
            const auto response = serve_during(gateway, apply);
            check(response.status_ == 200 && response.body_ == "x", "the response is forwarded");
        });
        section("when, within a stream: " + name, [&apply = apply] {
            scripted_response stream{stream_response_head("1") + chunk(event(0))};
            stream.pause = milliseconds(250);
            stream.rest = chunk(event(1)) + "0\r\n\r\n";
            gateway_fixture gateway(route_kind::stream, false, {{stream}});
            const auto response = serve_during(gateway, apply);
            check(response.complete_ && response.body_ == event(0) + event(1),
                  "the stream is forwarded whole");
        });
    }
}

// Guards against requests without an answer when a change ends their wait for stages or endpoints.
Test(configuration_change, waiting_requests_are_answered)
{
    for (const auto& [name, apply] : changes) {
        section("when, while no endpoint is free: " + name, [&apply = apply] {
            gateway_fixture gateway(route_kind::non_idempotent, false, {{}});
            gateway.configuration.routes.front().latency_target = milliseconds(600);
            publish(gateway);
            // Takes all capacity of the endpoint.
            while (gateway.pools.start_request(gateway.view, "s", {}, gateway.members,
                                               boot_clock::now())) {
            }
            const auto response = serve_during(gateway, apply);
            check(response.status_ == 503 || response.status_ == 404 || response.status_ == 401,
                  "the request is refused: " + std::to_string(response.status_));
            check(gateway.received_requests() == 0, "the refusal is true");
        });
        section("when, while its stages do not end: " + name, [&apply = apply] {
            gateway_fixture gateway(route_kind::non_idempotent, false, {{}});
            stage_definition stage;
            stage.service = "unknown";
            gateway.configuration.routes.front().stages.push_back(stage);
            publish(gateway);
            const time_point sent = boot_clock::now();
            const auto response = serve_during(gateway, apply);
            check(response.status_ == 503,
                  "the request is refused: " + std::to_string(response.status_));
            check(boot_clock::now() - sent < milliseconds(900), "it is refused at its deadline");
        });
    }
}
