// Tests that a job of the stages ends when a call fails that was slow before.

#include <quetzal/gateway/stage_scheduler.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A job of one piece whose call has become slow, without a retry budget to run the piece elsewhere.
struct slow_call
{
    slow_call() : scheduler(view, {0, 0, seconds(10)})
    {
        service_definition service;
        service.name = "s";
        service.stage.emplace();
        service.stage->call_time = milliseconds(100);
        published_configuration configuration;
        configuration.version = 1;
        configuration.services.push_back(service);
        view.apply(std::move(configuration));
        for (const char* id : {"e0", "e1"}) {
            endpoint value;
            value.id = id;
            value.service = "s";
            view.put_endpoint(value);
        }
        stage_job job;
        job.request_id = "r";
        job.stages.push_back({"s", {}, 0, 1});
        job.latency_budget_ms = job.remaining_ms = 60'000;
        count(scheduler.add(1, job, now));
        count(scheduler.dispatch(now));
        now += seconds(5);
        count(scheduler.dispatch(now));
    }

    void count(const scheduler_actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* call = std::get_if<start_call>(&action)) {
                ++started;
                last_call = call->call;
            } else if (std::holds_alternative<job_ended>(action)) {
                ++ended;
            }
        }
    }

    catalog view;
    stage_scheduler scheduler;
    time_point now{seconds(100)};
    int started = 0;
    int ended = 0;
    std::uint64_t last_call = 0;
};

} // namespace

// Guards against requests that wait for their stages until the deadline, because the pieces of a
// failed call are neither waiting nor running.
Test(stage_job_end, slow_call_that_fails)
{
    section("given a slow call", [] {
        slow_call call;
        check(call.started == 1, "its piece is not run elsewhere without a retry budget");
    });
    section("when its connection is lost", [] {
        slow_call call;
        call.count(
            call.scheduler.call_failed(call.last_call, verdict::may_have_run, false, call.now));
        check(call.ended == 1, "the job ends");
    });
    section("when it was not run", [] {
        slow_call call;
        call.count(call.scheduler.call_failed(call.last_call, verdict::not_run, true, call.now));
        call.now += seconds(1);
        call.count(call.scheduler.dispatch(call.now));
        check(call.started == 2, "the piece is run again");
    });
    section("when its piece fails", [] {
        slow_call call;
        call.count(
            call.scheduler.call_ended(call.last_call, {{piece_status::failed, {}}}, call.now));
        check(call.ended == 1, "the job ends");
    });
}
