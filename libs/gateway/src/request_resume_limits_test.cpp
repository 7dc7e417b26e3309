// Tests that the limits of a first send do not cut a stream that has started.

#include <thread>

#include "resuming_gateway.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// Starts a second request of the fixture.
void start_second(gateway_fixture& gateway, recorded_response& response)
{
    auto request =
        std::make_shared<running_request>(gateway_fixture::make_message("1", "key", "/a/x"));
    asio::co_spawn(gateway.context, gateway.flow.serve(std::move(request), response),
                   asio::detached);
}

void run_for(gateway_fixture& gateway, milliseconds time)
{
    gateway.context.restart();
    gateway.context.run_for(time);
}

// Runs until both requests have ended, for the given time at most.
void finish_both(gateway_fixture& gateway, milliseconds time)
{
    const time_point end = boot_clock::now() + time;
    while (gateway.flow.ended() < 2 && boot_clock::now() < end) {
        run_for(gateway, milliseconds(10));
    }
}

} // namespace

// Guards against a stream that is taken off its endpoint with a retry of the budget that another
// stream uses first, and is cut although its endpoint would have gone on.
Test(request_resume_limits, one_retry_is_left_for_two_streams_that_stall)
{
    resuming_gateway gateway({preempted(), preempted(), rest_of_stream()}, milliseconds(10000),
                             {0.0, 2, std::chrono::seconds(10)});
    recorded_response second;
    start_second(gateway, second);
    gateway.start();
    run_for(gateway, milliseconds(50));
    check(second.stream_started_, "both streams have started");
    run_for(gateway, milliseconds(1300));
    std::this_thread::sleep_for(milliseconds(300)); // both stall for too long in one turn
    finish_both(gateway, milliseconds(5000));
    check(gateway.response.complete_ && second.complete_, "both streams are complete");
}

// Guards against a stream that is cut because the retry budget is used up for the moment.
Test(request_resume_limits, retry_budget_that_returns_before_the_deadline)
{
    resuming_gateway gateway({broken_off(milliseconds(200)), broken_off(milliseconds(300)),
                              rest_of_stream(), rest_of_stream()},
                             milliseconds(8000), {0.0, 2, std::chrono::seconds(1)});
    recorded_response second;
    start_second(gateway, second);
    gateway.start();
    finish_both(gateway, milliseconds(8000));
    check(gateway.response.complete_ && second.complete_, "both streams are complete");
}

// Guards against a stream that is cut because of an error response from before its first event.
Test(request_resume_limits, error_response_before_the_stream)
{
    resuming_gateway gateway(
        {{response_with("1", "no", "500 Error")}, broken_off(milliseconds(200)), rest_of_stream()},
        milliseconds(5000));
    gateway.configuration.routes.front().max_attempts = 3;
    const auto third = *gateway.view.find_endpoint("e3");
    gateway.view.remove_endpoint("e3");
    gateway.apply();
    gateway.start();
    gateway.finish(milliseconds(700));
    check(!gateway.response.connection_aborted_, "the stream waits for an endpoint");
    gateway.view.put_endpoint(third);
    gateway.apply();
    gateway.finish(milliseconds(5000));
    gateway.check_complete("it is resumed as soon as there is one");
}

// Guards against a stream that waits for an endpoint until its deadline although the only one,
// which broke it off, serves again.
Test(request_resume_limits, every_endpoint_was_tried)
{
    resuming_gateway gateway({broken_off(milliseconds(200)), rest_of_stream()}, milliseconds(3000));
    gateway.keep_one_endpoint();
    gateway.start();
    gateway.finish(milliseconds(5000));
    gateway.check_complete("the only endpoint is asked again");
}

// Guards against a stream that is cut because the stages are busy for the moment.
Test(request_resume_limits, stages_that_are_busy_for_the_moment)
{
    resuming_gateway gateway({broken_off(milliseconds(200)), rest_of_stream()}, milliseconds(4000));
    gateway.add_stage(milliseconds(200));
    gateway.start();
    local_job job;
    job.deadline = boot_clock::now() + std::chrono::seconds(60);
    job.latency_deadline = job.deadline;
    job.content.request_id = "other";
    job.content.piece_key = "k";
    job.content.priority = gateway.request->priority;
    job.content.stages.push_back({"stage", {}, 1, 30});
    const auto ticket = gateway.coordinator.submit(std::move(job), [](const job_outcome&) {});
    gateway.finish(milliseconds(600));
    check(!gateway.response.connection_aborted_, "the stream waits");
    gateway.coordinator.release(ticket);
    gateway.finish(milliseconds(5000));
    gateway.check_complete("it is resumed when the stages have room");
}
