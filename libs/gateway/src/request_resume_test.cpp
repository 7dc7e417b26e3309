// Tests streams that are resumed at another endpoint, against endpoints on raw sockets and a stage
// endpoint that keeps its results for a limited time.

#include <set>

#include "request_flow_fixture.hpp"
#include "stage_endpoint_fixture.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

constexpr milliseconds result_lifetime{4000};

// A response that begins a stream, with event 0.
std::string stream_start()
{
    return stream_response_head("1") + chunk(event(0));
}

// A response that goes on with event 1 and completes the stream.
scripted_response rest_of_stream()
{
    return {stream_response_head("1") + chunk(event(1)) + "0\r\n\r\n"};
}

// A response that stalls after event 0 for longer than an endpoint may be silent before its stream
// is resumed elsewhere, then completes the stream.
scripted_response preempted()
{
    scripted_response response{stream_start()};
    response.pause = milliseconds(2200);
    response.rest = chunk(event(1)) + "0\r\n\r\n";
    return response;
}

// A response whose connection ends in the middle of the stream, the given time after event 0.
scripted_response broken_off(milliseconds after)
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
    resuming_gateway(const std::vector<scripted_response>& responses, milliseconds timeout)
        : gateway_fixture(route_kind::stream, true,
                          std::vector<std::vector<scripted_response>>(3, responses),
                          {0.2, 52, std::chrono::seconds(10)}, test_stage_protocol())
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
        check(response.stream_started_, "the stream has started");
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
        check(response.complete_ && response.body_ == event(0) + event(1), message);
        check(!response.connection_aborted_, "the connection is kept");
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

} // namespace

// Guards against a stopping instance that takes a silent stream off its endpoint, finds that the
// results of its stages are gone, and closes the caller's connection instead of making them again.
Test(request_resume, staged_stream_that_stalls_during_a_stop)
{
    resuming_gateway gateway({{stream_start()}, rest_of_stream()}, milliseconds(10000));
    gateway.add_stage(milliseconds(20));
    gateway.start();
    gateway.begin_stop(milliseconds(6000));
    gateway.finish(milliseconds(5000));
    gateway.check_complete("the stream is resumed and complete before the end of the stop");
}

// Guards against a stopping instance that closes the caller's connection after the endpoint of a
// started stream has broken off, although the stages can be run again in time.
Test(request_resume, staged_stream_whose_endpoint_breaks_off_during_a_stop)
{
    resuming_gateway gateway({broken_off(milliseconds(200)), rest_of_stream()},
                             milliseconds(10000));
    gateway.add_stage(milliseconds(20));
    gateway.start();
    gateway.begin_stop(milliseconds(6000));
    gateway.finish(milliseconds(5000));
    gateway.check_complete("the stream is resumed and complete before the end of the stop");
}

// Guards against a stopping instance that takes a stream off an endpoint that would have gone on
// with it, although its stages cannot be run again for another endpoint.
Test(request_resume, staged_stream_that_cannot_be_resumed_elsewhere_during_a_stop)
{
    resuming_gateway gateway({preempted(), rest_of_stream()}, milliseconds(10000));
    gateway.add_stage(milliseconds(20));
    gateway.start();
    gateway.view.remove_endpoint("stage1");
    gateway.begin_stop(milliseconds(4000));
    gateway.finish(milliseconds(4000));
    gateway.check_complete("the first endpoint completes it");
}

// Guards against a stopping instance that takes a stream off its endpoint so late that the rest
// cannot be expected from another one before the exit.
Test(request_resume, stream_that_stalls_late_in_a_stop)
{
    resuming_gateway gateway({preempted(), rest_of_stream()}, milliseconds(10000));
    gateway.start();
    gateway.begin_stop(milliseconds(2600));
    gateway.finish(milliseconds(2600));
    gateway.check_complete("the first endpoint completes it");
    check(gateway.received_requests() == 1, "no other endpoint receives it");
}

// Guards against the same fault at an instance that does not stop.
Test(request_resume, staged_stream_that_cannot_be_resumed_elsewhere)
{
    resuming_gateway gateway({preempted(), rest_of_stream()}, milliseconds(4000));
    gateway.add_stage(milliseconds(20));
    gateway.start();
    gateway.view.remove_endpoint("stage1");
    gateway.finish(milliseconds(4000));
    gateway.check_complete("the first endpoint completes it");
}

// Guards against resumed streams that are sent with the handles of results that the instance itself
// has released, which costs an arrival of the retry budget and the time of a rejection.
Test(request_resume, released_results_are_not_sent)
{
    resuming_gateway gateway({broken_off(milliseconds(200)), rest_of_stream()},
                             milliseconds(10000));
    gateway.add_stage(milliseconds(20));
    gateway.start();
    gateway.finish(milliseconds(5000));
    gateway.check_complete("the stream is resumed and complete");
    check(gateway.stages->calls() == 2, "the stages have run twice");
    check(gateway.received_requests() == 2, "no endpoint receives the released results");
}

// Guards against a request that avoids an endpoint because the results of its stages had expired,
// which is no fault of the endpoint, and finds no other one.
Test(request_resume, endpoint_that_found_expired_results_is_asked_again)
{
    resuming_gateway gateway({{stream_start() + chunk(event(1)) + "0\r\n\r\n"}},
                             milliseconds(3000));
    gateway.add_stage(milliseconds(20));
    gateway.expire_inputs({0});
    gateway.keep_one_endpoint();
    gateway.start();
    gateway.finish(milliseconds(1000));
    gateway.check_complete("the endpoint receives the new results");
    check(gateway.stages->calls() == 2, "the stages have run twice");
}

// Guards against a claim that a request has not run, although an endpoint ran it, when the results
// of its stages expire twice afterwards.
Test(request_resume, request_that_ran_before_its_results_expired_twice)
{
    resuming_gateway gateway({{response_with("1", "no", "500 Error", "")}, rest_of_stream()},
                             milliseconds(3000));
    gateway.add_stage(milliseconds(20));
    gateway.expire_inputs({1, 2, 3, 4});
    gateway.begin_request();
    gateway.finish(milliseconds(3500));
    check(gateway.received_requests() > 1, "the request is sent again after it has run");
    check(gateway.response.status_ == 502, "the response does not claim that it has not run: " +
                                               std::to_string(gateway.response.status_));
}

// Guards against a started stream that is not resumed because its latency target has passed.
Test(request_resume, staged_stream_whose_latency_target_has_passed)
{
    section("given an endpoint that stalls", [] {
        resuming_gateway gateway({{stream_start()}, rest_of_stream()}, milliseconds(10000));
        gateway.add_stage(milliseconds(20));
        gateway.start();
        gateway.finish(milliseconds(5000));
        gateway.check_complete("the stream is resumed and complete");
    });
    section("given an endpoint that breaks off", [] {
        resuming_gateway gateway({broken_off(milliseconds(700)), rest_of_stream()},
                                 milliseconds(10000));
        gateway.add_stage(milliseconds(20));
        gateway.start();
        gateway.finish(milliseconds(5000));
        gateway.check_complete("the stream is resumed and complete");
    });
}

// Guards against a started stream that is not resumed because its stages take more than half of the
// time until its deadline.
Test(request_resume, staged_stream_whose_stages_take_most_of_its_time)
{
    resuming_gateway gateway({broken_off(milliseconds(600)), rest_of_stream()}, milliseconds(2000));
    gateway.configuration.routes.front().latency_target = milliseconds(1000);
    gateway.add_stage(milliseconds(500));
    gateway.start();
    gateway.finish(milliseconds(2500));
    gateway.check_complete("the stream is resumed and complete");
}

// Guards against a started stream that is cut off because no other endpoint is free at the moment
// at which it has to be resumed, although its deadline is far.
Test(request_resume, stream_that_waits_for_another_endpoint)
{
    resuming_gateway gateway({broken_off(milliseconds(700)), rest_of_stream()},
                             milliseconds(10000));
    gateway.keep_one_endpoint();
    gateway.start();
    gateway.finish(milliseconds(900));
    gateway.restore_endpoint();
    gateway.finish(milliseconds(1000));
    gateway.check_complete("the stream is resumed when another endpoint is free");
}

// Guards against the same fault at a stopping instance.
Test(request_resume, stream_that_waits_for_another_endpoint_during_a_stop)
{
    resuming_gateway gateway({broken_off(milliseconds(700)), rest_of_stream()},
                             milliseconds(10000));
    gateway.keep_one_endpoint();
    gateway.start();
    gateway.begin_stop(milliseconds(6000));
    gateway.finish(milliseconds(900));
    gateway.restore_endpoint();
    gateway.finish(milliseconds(1000));
    gateway.check_complete("the stream is resumed when another endpoint is free");
}
