#include <quetzal/gateway/drain_plan.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

constexpr time_point stop_began{100s};

drain_window eight_second_stop()
{
    return {stop_began + 2500ms, stop_began + 7500ms};
}

drain_candidate request_at(duration received, duration time_limit, bool is_stream)
{
    return {"r", is_stream, stop_began + received, stop_began + received + time_limit};
}

} // namespace

// Guards against requests that a stopping instance sends to an endpoint although it exits before
// they can end, so that callers lose their responses.
Test(drain_plan, sends_only_what_ends_before_the_exit)
{
    drain_plan plan;
    for (const duration took : {2000ms, 800ms}) {
        plan.record_response("r", took);
    }
    section("before the stop nothing is limited", [&] {
        check(plan.latest_send(request_at(0s, 60s, true)) == time_point::max(),
              "a request with a long deadline may be sent at any time");
    });
    plan.begin(eight_second_stop());
    section("given a deadline before the end of the stop", [&] {
        check(plan.latest_send(request_at(6s, 1500ms, true)) == time_point::max(),
              "a stream may be sent at any time, however late it is received");
    });
    section("given a deadline after the end of the stop", [&] {
        check(plan.latest_send(request_at(1s, 20s, true)) == stop_began + 3500ms,
              "an early stream may be sent while twice the slowest recent response fits");
        check(plan.latest_send(request_at(-3s, 20s, true)) == stop_began + 3500ms,
              "the same holds for a request that was received before the stop");
        check(plan.latest_send(request_at(2501ms, 20s, true)) == time_point::min(),
              "a stream received after the notice must not be sent");
        check(plan.latest_send(request_at(4s, 20s, false)) == stop_began + 4500ms,
              "another request may be while one and a half times the slowest recent response fits, "
              "because it can still be answered with an error");
    });
    section("given a route without recorded responses", [&] {
        drain_candidate unknown = request_at(0s, 20s, false);
        unknown.route = "unknown";
        check(plan.latest_send(unknown) == time_point::min(),
              "a request whose deadline does not fit must not be sent");
    });
    section("when the stop is requested again", [&] {
        plan.begin({stop_began + 5s, stop_began + 60s});
        check(plan.window()->responses_end == stop_began + 7500ms, "its times do not change");
    });
}

// Guards against an expectation that stays pessimistic after one slow response, or that forgets a
// slow response at once.
Test(drain_plan, expects_what_recent_responses_took)
{
    drain_plan plan;
    plan.begin(eight_second_stop());
    plan.record_response("r", 4s);
    const drain_candidate request = request_at(0s, 20s, false);
    for (int count = 0; count < 31; ++count) {
        plan.record_response("r", 1s);
        check(plan.latest_send(request) == stop_began + 1500ms, "the slow response counts");
    }
    plan.record_response("r", 1s);
    check(plan.latest_send(request) == stop_began + 6s,
          "after 32 further responses it no longer counts");
}

// Guards against streams that are sent to an endpoint that is getting slower, and are cut off at
// the exit: the responses that have ended are from before.
Test(drain_plan, expects_at_least_what_running_responses_have_taken)
{
    drain_plan plan;
    plan.begin(eight_second_stop());
    plan.record_response("r", 1s);
    drain_candidate stream = request_at(0s, 20s, true);
    stream.longest_running = 500ms;
    check(plan.latest_send(stream) == stop_began + 5500ms,
          "a running response that is no slower than the recent ones changes nothing");
    stream.longest_running = 3s;
    check(plan.latest_send(stream) == stop_began + 1500ms, "one that is slower counts");
}

// Guards against memory that grows with every route that a configuration has ever had.
Test(drain_plan, keeps_a_bounded_number_of_routes)
{
    drain_plan plan;
    plan.begin(eight_second_stop());
    for (int number = 0; number < 5000; ++number) {
        plan.record_response("old-" + std::to_string(number), 1s);
    }
    drain_candidate oldest = request_at(0s, 20s, true);
    oldest.route = "old-0";
    check(plan.latest_send(oldest) == time_point::min(), "the oldest route is forgotten");
    oldest.route = "old-4999";
    check(plan.latest_send(oldest) == stop_began + 5500ms, "the newest route is known");
}
