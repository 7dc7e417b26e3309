#ifndef QUETZAL_GATEWAY_RESUMING_GATEWAY_HPP
#define QUETZAL_GATEWAY_RESUMING_GATEWAY_HPP

// A gateway whose streams are resumed at another endpoint, against endpoints on raw sockets and a
// stage endpoint that keeps its results for a limited time. Used only by tests.

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "request_flow_fixture.hpp"
#include "stage_endpoint_fixture.hpp"

// Last, because macros of Criterion break headers of Boost that follow.
#include <quetzal/testing/section.hpp>

namespace quetzal::gateway::testing {

inline constexpr milliseconds result_lifetime{4000};

// A response that begins a stream, with event 0.
inline std::string stream_start()
{
    return stream_response_head("1") + chunk(event(0));
}

// A response that goes on with event 1 and completes the stream.
inline scripted_response rest_of_stream()
{
    return {stream_response_head("1") + chunk(event(1)) + "0\r\n\r\n"};
}

// A response that stalls after event 0 for longer than an endpoint may be silent before its stream
// is resumed elsewhere, then completes the stream.
inline scripted_response preempted()
{
    scripted_response response{stream_start()};
    response.pause = milliseconds(2200);
    response.rest = chunk(event(1)) + "0\r\n\r\n";
    return response;
}

// A response whose connection ends in the middle of the stream, the given time after event 0.
inline scripted_response broken_off(milliseconds after)
{
    scripted_response response{stream_start(), true};
    response.pause = after;
    response.rest = "x";
    return response;
}

// A gateway with a route of resumable streams and three endpoints that send the given responses in
// turn, whichever is asked first.
class resuming_gateway : public gateway_fixture
{
public:
    resuming_gateway(const std::vector<scripted_response>& responses, milliseconds timeout,
                     retry_budget_options budget = {0.2, 52, std::chrono::seconds(10)})
        : gateway_fixture(route_kind::stream, true,
                          std::vector<std::vector<scripted_response>>(3, responses), budget,
                          test_stage_protocol())
    {
        for (const auto& endpoint : endpoints) {
            endpoint->share_script(*endpoints.front());
        }
        configuration.routes.front().timeout = timeout;
        configuration.routes.front().latency_target = milliseconds(600);
        apply();
    }

    // Adds one stage to the route, whose calls take the given time.
    void add_stage(milliseconds call_time)
    {
        stages = std::make_unique<stage_endpoint>(context, call_time, result_lifetime);
        configuration.routes.front().stages.push_back({"stage", {}, 1});
        service_definition service;
        service.name = "stage";
        service.max_connections = 50;
        service.stage.emplace();
        service.stage->call_time = call_time;
        service.stage->result_lifetime = result_lifetime;
        configuration.services.push_back(service);
        quetzal::gateway::endpoint value;
        value.id = "stage1";
        value.service = "stage";
        value.zone = "z";
        value.address = stages->address();
        view.put_endpoint(value);
        for (const auto& endpoint : endpoints) {
            endpoint->require_inputs([this](const std::string& received) {
                return stages->has_all(header_of(received, "Inputs"));
            });
        }
        apply();
    }

    // From now on the endpoints answer the requests with the given numbers, counted from 0, as if
    // the results of the stages had expired.
    void expire_inputs(const std::set<std::size_t>& numbers)
    {
        for (const auto& endpoint : endpoints) {
            endpoint->require_inputs([this, numbers](const std::string&) {
                return !numbers.contains(received_requests() - 1);
            });
        }
    }

    // Removes all endpoints but the first.
    void keep_one_endpoint()
    {
        removed_ = *view.find_endpoint("e2");
        view.remove_endpoint("e2");
        view.remove_endpoint("e3");
        apply();
    }

    void restore_endpoint()
    {
        view.put_endpoint(removed_);
        apply();
    }

    void apply()
    {
        ++configuration.version;
        view.apply(configuration);
        pools.refresh(view, 1, boot_clock::now());
        coordinator.refresh();
    }

    void begin_request()
    {
        request = std::make_shared<running_request>(make_message("1", "key", "/a/x"));
        asio::co_spawn(context, flow.serve(request, response), asio::detached);
    }

    // Begins to serve a request and runs until its stream has started.
    void start()
    {
        begin_request();
        for (int step = 0; step < 100 && !response.stream_started_; ++step) {
            run(milliseconds(10));
        }
        quetzal::testing::check(response.stream_started_, "the stream has started");
    }

    void begin_stop(milliseconds time)
    {
        const time_point now = boot_clock::now();
        flow.begin_drain({now - milliseconds(1), now + time});
    }

    // Runs until the request has ended, for the given time at most, and checks a stop as often as
    // an instance does.
    void finish(milliseconds time)
    {
        const time_point end = boot_clock::now() + time;
        while (flow.ended() == 0 && boot_clock::now() < end) {
            flow.enforce_drain(boot_clock::now());
            run(milliseconds(20));
        }
    }

    // Checks that the caller has received the whole stream.
    void check_complete(std::string_view message) const
    {
        quetzal::testing::check(response.complete_ && response.body_ == event(0) + event(1),
                                message);
        quetzal::testing::check(!response.connection_aborted_, "the connection is kept");
    }

    recorded_response response;
    std::unique_ptr<stage_endpoint> stages;

private:
    quetzal::gateway::endpoint removed_;

    void run(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }
};

} // namespace quetzal::gateway::testing

#endif
