#include <algorithm>
#include <quetzal/requests/pipeline_run.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::requests;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point start{1h};
constexpr incarnation process{5};

// Encode, then two parallel retrievals, then generate.
std::shared_ptr<config::pipeline> diamond(bool last_idempotent = true)
{
    auto pipeline = std::make_shared<config::pipeline>();
    pipeline->stages.resize(4);
    pipeline->stages[1].after = {0};
    pipeline->stages[2].after = {0};
    pipeline->stages[3].after = {1, 2};
    pipeline->stages[3].idempotent = last_idempotent;
    return pipeline;
}

// A run with the actions that were not inspected yet.
struct run_fixture
{
    pipeline_run run;
    std::vector<run_action> actions;

    explicit run_fixture(config::late_policy late = config::late_policy::refuse,
                         bool idempotent = true)
        : run({1, process, diamond(idempotent), start + 8s, idempotent, late})
    {
        run.start(actions);
    }

    // Returns the stages for which endpoints were requested, and clears the actions.
    std::vector<std::size_t> wanted()
    {
        std::vector<std::size_t> stages;
        for (const auto& action : actions) {
            if (const auto* choose = std::get_if<choose_endpoint>(&action)) {
                stages.push_back(choose->stage);
            }
        }
        actions.clear();
        return stages;
    }

    call_id send(std::uint32_t stage, std::uint32_t attempt = 0)
    {
        const call_id call{process, 1, stage, attempt};
        run.grant(stage, endpoint_id("e"), start + 1min, false, actions);
        run.handle(call, connected{}, actions);
        run.handle(call, checks_passed{}, actions);
        return call;
    }

    void answer(const call_id& call, const std::string& data)
    {
        const auto text = to_string(call);
        run.handle(call, data_frame{text, 0, chunk(data)}, actions);
        run.handle(call, end_frame{text, 1}, actions);
    }

    void finish_stage(std::uint32_t stage) { answer(send(stage), std::to_string(stage)); }

    std::optional<failure> refused() const
    {
        const auto* last = actions.empty() ? nullptr : std::get_if<fail_answer>(&actions.back());
        return last ? std::optional(last->why) : std::nullopt;
    }

    bool finished() const
    {
        return !actions.empty() && std::holds_alternative<finish_answer>(actions.back());
    }

    bool cancels_at_endpoint(const call_id& call) const
    {
        return std::any_of(actions.begin(), actions.end(), [&](const run_action& action) {
            const auto* leave = std::get_if<end_call>(&action);
            return leave && leave->call == call && leave->cancel && !leave->finished;
        });
    }
};

using stages = std::vector<std::size_t>;

} // namespace

// Guards against stages that start without the results they need.
Test(pipeline_story, stages_start_when_their_inputs_are_complete)
{
    run_fixture fixture;
    check(fixture.wanted() == stages{0}, "the first stage starts");
    fixture.finish_stage(0);
    check(fixture.wanted() == stages{1, 2}, "two stages start in parallel");
    fixture.finish_stage(2);
    check(fixture.wanted().empty(), "no stage starts while a result is missing");
    fixture.finish_stage(1);
    check(fixture.wanted() == stages{3}, "the last stage starts after both results");
    const auto inputs = fixture.run.inputs(3);
    check(inputs.size() == 2 && inputs[0].frames[0].view() == "1" &&
              inputs[1].frames[0].view() == "2",
          "inputs are in the declared order");
    fixture.finish_stage(3);
    check(fixture.finished() && fixture.run.run() == verdict::ran, "the answer is complete");
}

// Guards against endpoints that continue work that nobody needs, and against late work that is
// ended although its class finishes late.
Test(pipeline_story, deadline_and_caller_disconnect_end_only_cancellable_work)
{
    section("a deadline cancels the calls of a class that refuses late work", [] {
        run_fixture fixture;
        const auto call = fixture.send(0);
        fixture.run.advance(start + 8s - 1ns, fixture.actions);
        check(!fixture.run.ended() && fixture.run.next_deadline() == start + 8s,
              "the run continues before the deadline");
        fixture.run.advance(start + 8s, fixture.actions);
        check(fixture.refused()->why == reason::deadline_passed,
              "the request fails at the deadline");
        check(fixture.refused()->run == verdict::may_have_run && fixture.cancels_at_endpoint(call),
              "the call is cancelled at the endpoint");
    });
    section("if nothing was sent the verdict at the deadline is not_run", [] {
        run_fixture fixture;
        fixture.run.advance(start + 8s, fixture.actions);
        check(fixture.refused()->run == verdict::not_run, "the verdict is not_run");
    });
    section("a class that finishes late continues after the deadline", [] {
        run_fixture fixture(config::late_policy::finish);
        fixture.run.advance(start + 9s, fixture.actions);
        for (const std::uint32_t stage : {0, 1, 2, 3}) {
            fixture.finish_stage(stage);
        }
        check(fixture.finished(), "the answer is complete");
    });
    section("a disconnected caller ends idempotent work only", [] {
        run_fixture lookup;
        const auto call = lookup.send(0);
        lookup.run.caller_disconnected(lookup.actions);
        check(lookup.refused()->why == reason::cancelled && lookup.cancels_at_endpoint(call),
              "an idempotent request is cancelled");
        run_fixture booking(config::late_policy::refuse, false);
        booking.run.caller_disconnected(booking.actions);
        check(!booking.run.ended(), "a non-idempotent request continues");
        booking.run.cancel(reason::cancelled, booking.actions);
        check(booking.refused()->run == verdict::not_run,
              "its cancellation before any call reports not_run");
    });
}

// Guards against unlimited retries, a retry of non-idempotent work that may have run, and a failure
// with the wrong reason.
Test(pipeline_story, attempts_are_retried_within_bounds)
{
    section("an idempotent stage is attempted four times", [] {
        run_fixture fixture;
        for (std::uint32_t attempt = 0; attempt < default_max_attempts; ++attempt) {
            check(fixture.wanted() == stages{0}, "an endpoint is requested");
            fixture.run.handle(fixture.send(0, attempt), response_ended{}, fixture.actions);
        }
        check(fixture.refused()->run == verdict::may_have_run,
              "the request fails after the last attempt");
    });
    section("non-idempotent work is retried only if it did not run", [] {
        run_fixture fixture(config::late_policy::refuse, false);
        for (const std::uint32_t stage : {0, 1, 2}) {
            fixture.finish_stage(stage);
        }
        fixture.wanted();
        fixture.run.handle(fixture.send(3), endpoint_refused{}, fixture.actions);
        check(fixture.wanted() == stages{3} && !fixture.run.may_hedge(3),
              "a call refused by the endpoint is retried");
        fixture.run.handle(fixture.send(3, 1), response_ended{}, fixture.actions);
        check(fixture.wanted().empty() && fixture.run.ended(),
              "a call that may have run is not retried");
        check(fixture.run.run() == verdict::may_have_run, "the verdict is may_have_run");
    });
    section("without an endpoint the given reason is reported", [] {
        run_fixture fixture;
        fixture.run.deny(0, failure{verdict::may_have_run, reason::no_endpoint, "", 500ms},
                         fixture.actions);
        check(fixture.refused()->why == reason::no_endpoint &&
                  fixture.refused()->run == verdict::not_run &&
                  fixture.refused()->retry_after == 500ms,
              "reason, verdict not_run and retry time are reported");
    });
    section("a stage result beyond the size limit ends the request", [] {
        run_fixture fixture;
        const auto call = fixture.send(0);
        const auto text = to_string(call);
        const std::string part(max_frame_size, 'x');
        for (std::uint64_t sequence = 0; sequence <= max_stage_result_bytes / part.size();
             ++sequence) {
            fixture.run.handle(call, data_frame{text, sequence, chunk(part)}, fixture.actions);
        }
        check(fixture.refused()->why == reason::endpoint_failed &&
                  fixture.cancels_at_endpoint(call),
              "the call is cancelled at the endpoint");
    });
}
