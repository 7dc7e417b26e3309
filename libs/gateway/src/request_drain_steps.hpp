#ifndef QUETZAL_GATEWAY_REQUEST_DRAIN_STEPS_HPP
#define QUETZAL_GATEWAY_REQUEST_DRAIN_STEPS_HPP

// Steps of the tests of a planned stop. Used only by tests.

#include "request_flow_fixture.hpp"

namespace quetzal::gateway::testing {

// Returns a stop that begins now and whose notice is over at once.
inline drain_window stop_in(milliseconds time)
{
    const time_point now = boot_clock::now();
    return {now - milliseconds(1), now + time};
}

// Starts to serve a request and runs for the given time.
inline void serve_for(gateway_fixture& gateway, recorded_response& response, milliseconds time)
{
    gateway.request =
        std::make_shared<running_request>(gateway_fixture::make_message("1", "key", "/a/x"));
    asio::co_spawn(gateway.context, gateway.flow.serve(gateway.request, response), asio::detached);
    gateway.context.restart();
    gateway.context.run_for(time);
}

inline void run_for(gateway_fixture& gateway, milliseconds time)
{
    gateway.context.restart();
    gateway.context.run_for(time);
}

// Runs for the given time and checks the stop as often as an instance does.
inline void run_stop(gateway_fixture& gateway, milliseconds time)
{
    constexpr milliseconds interval{20};
    for (milliseconds passed{0}; passed < time; passed += interval) {
        gateway.flow.enforce_drain(boot_clock::now());
        run_for(gateway, interval);
    }
}

inline void allow(gateway_fixture& gateway, milliseconds timeout, milliseconds latency_target)
{
    route& matched = gateway.configuration.routes.front();
    matched.timeout = timeout;
    matched.latency_target = latency_target;
    ++gateway.configuration.version;
    gateway.view.apply(gateway.configuration);
}

} // namespace quetzal::gateway::testing

#endif
