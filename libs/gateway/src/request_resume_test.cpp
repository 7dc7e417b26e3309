// Tests streams that are resumed at another endpoint, against endpoints on raw sockets and a stage
// endpoint that keeps its results for a limited time.

#include "resuming_gateway.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

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
