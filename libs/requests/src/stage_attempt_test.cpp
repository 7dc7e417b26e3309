#include <quetzal/requests/stage_attempt.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::requests;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const call_id call{incarnation{7}, 3, 1, 0};
const std::string own = to_string(call);
const std::string other = to_string(call_id{incarnation{7}, 4, 1, 0});

data_frame data(std::uint64_t sequence, const std::string& echoed = own)
{
    return {echoed, sequence, chunk(std::to_string(sequence))};
}

// An attempt with what it asked for.
struct driven
{
    stage_attempt attempt{call};
    std::vector<attempt_action> actions;

    explicit driven(std::initializer_list<attempt_event> events = {})
    {
        for (const auto& event : events) {
            attempt.handle(event, actions);
        }
    }

    driven& take(const attempt_event& event)
    {
        attempt.handle(event, actions);
        return *this;
    }

    template <class Action>
    int count() const
    {
        int found = 0;
        for (const auto& action : actions) {
            found += std::holds_alternative<Action>(action) ? 1 : 0;
        }
        return found;
    }

    std::string delivered() const
    {
        std::string text;
        for (const auto& action : actions) {
            if (const auto* part = std::get_if<deliver>(&action)) {
                text += part->data.view();
            }
        }
        return text;
    }

    const failure* failed() const
    {
        for (const auto& action : actions) {
            if (const auto* found = std::get_if<attempt_failed>(&action)) {
                return &found->why;
            }
        }
        return nullptr;
    }
};

driven sent()
{
    return driven({attempt_started{}, connected{}, bytes_handed{}});
}

} // namespace

// Guards against wrong names of states, which the state machine's back end numbers by itself.
Test(stage_attempt, passes_through_its_states)
{
    driven story;
    check(story.attempt.state() == attempt_state::idle, "idle");
    story.take(attempt_started{});
    check(story.attempt.state() == attempt_state::connecting, "connecting");
    story.take(connected{});
    check(story.count<check_finally>() == 1 && story.count<send_work>() == 0, "checks come first");
    story.take(bytes_handed{});
    check(story.attempt.state() == attempt_state::sent && story.count<send_work>() == 1, "sent");
    story.take(data(0));
    check(story.attempt.state() == attempt_state::streaming, "streaming");
    story.take(end_frame{own, 1});
    check(story.attempt.state() == attempt_state::finished, "finished");
    check(story.attempt.run() == verdict::ran && story.count<attempt_finished>() == 1, "whole");
    check(sent().take(attempt_timed_out{}).attempt.state() == attempt_state::failed, "failed");
    check(sent().take(attempt_cancelled{}).attempt.state() == attempt_state::cancelled,
          "cancelled");
}

// Guards against a false "not run", after which a caller books a second time.
Test(stage_attempt, not_run_is_said_only_when_no_byte_left_or_the_endpoint_refused)
{
    const attempt_event endings[] = {connection_refused{}, connection_broken{}, attempt_timed_out{},
                                     attempt_cancelled{},  endpoint_error{500}, check_failed{}};
    section("before the work was handed over nothing can have run", [&] {
        int ended = 0;
        for (const auto& ending : endings) {
            driven story({attempt_started{}, connected{}});
            story.take(ending);
            if (const auto* failed = story.failed()) {
                check(failed->run == verdict::not_run, "verdict");
                ++ended;
            }
            check(story.take(bytes_handed{}).count<send_work>() == (story.failed() ? 0 : 1),
                  "an ended attempt is not written afterwards");
        }
        check(ended == 5, "all but an answer to a call that was not sent");
    });
    section("afterwards every ending but the endpoint's refusal leaves it open", [&] {
        int ended = 0;
        for (const auto& ending : endings) {
            auto story = sent();
            if (const auto* failed = story.take(ending).failed()) {
                check(failed->run == verdict::may_have_run, "verdict");
                ++ended;
            }
        }
        check(ended == 4, "all but the endings of a call that was not sent");
        auto refused = sent();
        check(refused.take(endpoint_refused{}).failed()->run == verdict::not_run, "refusal");
    });
    section("a refusal after frames contradicts itself and is not believed", [&] {
        auto early = sent();
        early.take(data(1)).take(endpoint_refused{});
        check(early.failed()->run == verdict::may_have_run, "after a frame that was held");
    });
}

// Guards against answers of other calls, doubled or missing parts in an answer.
Test(stage_attempt, uses_each_frame_of_its_own_call_once_and_in_order)
{
    section("foreign and duplicated frames are counted and dropped", [] {
        auto story = sent();
        story.take(data(0))
            .take(data(1, other))
            .take(data(0))
            .take(data(1))
            .take(end_frame{own, 2});
        check(story.delivered() == "01", "own frames once");
        check(story.attempt.counts().foreign == 1 && story.attempt.counts().duplicated == 1,
              "counts");
    });
    section("a frame before its turn waits for it", [] {
        auto story = sent();
        story.take(data(2)).take(data(1)).take(end_frame{own, 3});
        check(story.delivered().empty(), "held");
        check(story.take(data(0)).delivered() == "012", "in order");
        check(story.attempt.state() == attempt_state::finished, "whole");
        check(story.attempt.counts().reordered == 2, "counted");
    });
    section("a stream without its end frame, or with a wrong one, is truncated", [] {
        auto cut = sent();
        cut.take(data(0)).take(connection_broken{});
        check(cut.failed()->why == reason::answer_truncated, "no end frame");
        auto contradicted = sent();
        contradicted.take(data(0)).take(data(1)).take(end_frame{own, 1});
        check(contradicted.failed()->why == reason::answer_truncated, "too few frames");
        auto gap = sent();
        gap.take(end_frame{own, 1}).take(connection_broken{});
        check(gap.failed() && gap.attempt.counts().truncated == 1, "gap");
    });
    section("frames after the end, and before the work was sent, are late", [] {
        auto story = sent();
        story.take(end_frame{own, 0}).take(data(0)).take(end_frame{own, 1});
        check(story.delivered().empty() && story.attempt.counts().late == 2, "after the end");
        driven early({attempt_started{}, connected{}, data(0)});
        check(early.delivered().empty() && early.attempt.counts().late == 1, "before the work");
    });
    section("an endpoint cannot fill the memory with frames of no use", [] {
        auto flooded = sent();
        for (std::size_t index = 0; index <= max_unusable_frames; ++index) {
            flooded.take(data(index, other));
        }
        check(flooded.failed()->why == reason::answer_mismatch, "foreign frames");
        check(flooded.count<cancel_at_endpoint>() == 1, "the endpoint is told to stop");
        auto held = sent();
        for (std::size_t index = 1; index <= max_held_frames + 1; ++index) {
            held.take(data(index));
        }
        check(held.failed()->why == reason::answer_truncated, "frames that wait");
    });
}
