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

// Encode, then two retrievals side by side, then generate.
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

// A run with the actions that were not looked at yet.
struct driven
{
    pipeline_run run;
    std::vector<run_action> actions;

    explicit driven(config::late_policy late = config::late_policy::refuse, bool idempotent = true)
        : run({1, process, diamond(idempotent), start + 8s, idempotent, late})
    {
        run.start(actions);
    }

    // Returns the stages for which endpoints are wanted, and forgets the actions.
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
        run.handle(call, bytes_handed{}, actions);
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
        const auto* last = actions.empty() ? nullptr : std::get_if<refuse_answer>(&actions.back());
        return last ? std::optional(last->why) : std::nullopt;
    }

    bool finished() const
    {
        return !actions.empty() && std::holds_alternative<finish_answer>(actions.back());
    }

    bool tells_to_stop(const call_id& call) const
    {
        return std::any_of(actions.begin(), actions.end(), [&](const run_action& action) {
            const auto* leave = std::get_if<leave_call>(&action);
            return leave && leave->call == call && leave->cancel && !leave->finished;
        });
    }
};

using stages = std::vector<std::size_t>;

} // namespace

// Guards against stages that start without the results they need.
Test(pipeline_story, stages_run_in_the_order_of_their_results)
{
    driven story;
    check(story.wanted() == stages{0}, "the first stage");
    story.finish_stage(0);
    check(story.wanted() == stages{1, 2}, "two side by side");
    story.finish_stage(2);
    check(story.wanted().empty(), "one result is missing");
    story.finish_stage(1);
    check(story.wanted() == stages{3}, "both are there");
    const auto inputs = story.run.inputs(3);
    check(inputs.size() == 2 && inputs[0].frames[0].view() == "1" &&
              inputs[1].frames[0].view() == "2",
          "in the declared order");
    story.finish_stage(3);
    check(story.finished() && story.run.run() == verdict::ran, "whole");
}

// Guards against endpoints that go on working for nobody, and against late work cut off although
// its class finishes late.
Test(pipeline_story, the_deadline_and_the_caller_end_what_they_should)
{
    section("a deadline cancels the calls of a class that refuses late work", [] {
        driven story;
        const auto call = story.send(0);
        story.run.advance(start + 8s - 1ns, story.actions);
        check(!story.run.ended() && story.run.next_deadline() == start + 8s, "not yet");
        story.run.advance(start + 8s, story.actions);
        check(story.refused()->why == reason::deadline_passed, "refused");
        check(story.refused()->run == verdict::may_have_run && story.tells_to_stop(call),
              "stopped");
    });
    section("before anything was sent the deadline means not_run", [] {
        driven story;
        story.run.advance(start + 8s, story.actions);
        check(story.refused()->run == verdict::not_run, "nothing was sent");
    });
    section("a class that finishes late goes on", [] {
        driven story(config::late_policy::finish);
        story.run.advance(start + 9s, story.actions);
        for (const std::uint32_t stage : {0, 1, 2, 3}) {
            story.finish_stage(stage);
        }
        check(story.finished(), "whole");
    });
    section("a caller that leaves ends idempotent work only", [] {
        driven lookup;
        const auto call = lookup.send(0);
        lookup.run.caller_left(lookup.actions);
        check(lookup.refused()->why == reason::cancelled && lookup.tells_to_stop(call), "lookup");
        driven booking(config::late_policy::refuse, false);
        booking.run.caller_left(booking.actions);
        check(!booking.run.ended(), "booking");
        booking.run.cancel(reason::cancelled, booking.actions);
        check(booking.refused()->run == verdict::not_run, "its cancellation");
    });
}

// Guards against retries without end, a repeated booking, and a refusal for the wrong reason.
Test(pipeline_story, attempts_are_repeated_within_bounds)
{
    section("an idempotent stage is tried four times", [] {
        driven story;
        for (std::uint32_t attempt = 0; attempt < default_max_attempts; ++attempt) {
            check(story.wanted() == stages{0}, "wanted");
            story.run.handle(story.send(0, attempt), connection_broken{}, story.actions);
        }
        check(story.refused()->run == verdict::may_have_run, "given up");
    });
    section("a booking is repeated only if it certainly did not run", [] {
        driven story(config::late_policy::refuse, false);
        for (const std::uint32_t stage : {0, 1, 2}) {
            story.finish_stage(stage);
        }
        story.wanted();
        story.run.handle(story.send(3), endpoint_refused{}, story.actions);
        check(story.wanted() == stages{3} && !story.run.may_hedge(3), "refused by the endpoint");
        story.run.handle(story.send(3, 1), connection_broken{}, story.actions);
        check(story.wanted().empty() && story.run.ended(), "not repeated");
        check(story.run.run() == verdict::may_have_run, "outcome unknown");
    });
    section("without an endpoint the reason given is passed on", [] {
        driven story;
        story.run.deny(0, failure{verdict::may_have_run, reason::no_endpoint, "", 500ms},
                       story.actions);
        check(story.refused()->why == reason::no_endpoint &&
                  story.refused()->run == verdict::not_run && story.refused()->retry_after == 500ms,
              "refused before the first call");
    });
    section("a result too large for memory ends the request", [] {
        driven story;
        const auto call = story.send(0);
        const auto text = to_string(call);
        const std::string part(max_frame_size, 'x');
        for (std::uint64_t sequence = 0; sequence <= max_stage_result_bytes / part.size();
             ++sequence) {
            story.run.handle(call, data_frame{text, sequence, chunk(part)}, story.actions);
        }
        check(story.refused()->why == reason::endpoint_failed && story.tells_to_stop(call),
              "stopped");
    });
}
