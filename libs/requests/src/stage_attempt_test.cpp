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

// An attempt with the actions that it requested.
struct attempt_fixture
{
    stage_attempt attempt{call};
    std::vector<attempt_action> actions;

    explicit attempt_fixture(std::initializer_list<attempt_event> events = {})
    {
        for (const auto& event : events) {
            attempt.handle(event, actions);
        }
    }

    attempt_fixture& handle(const attempt_event& event)
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

attempt_fixture sent()
{
    return attempt_fixture({attempt_started{}, connected{}, checks_passed{}});
}

} // namespace

// Guards against wrong names of states, because the back end of the state machine numbers them.
Test(stage_attempt, reports_the_state_after_each_event)
{
    attempt_fixture fixture;
    check(fixture.attempt.state() == attempt_state::idle, "idle");
    fixture.handle(attempt_started{});
    check(fixture.attempt.state() == attempt_state::connecting, "connecting");
    fixture.handle(connected{});
    check(fixture.count<run_final_checks>() == 1 && fixture.count<send_work>() == 0,
          "final checks precede the sending");
    fixture.handle(checks_passed{});
    check(fixture.attempt.state() == attempt_state::sent && fixture.count<send_work>() == 1,
          "sent");
    fixture.handle(data(0));
    check(fixture.attempt.state() == attempt_state::streaming, "streaming");
    fixture.handle(end_frame{own, 1});
    check(fixture.attempt.state() == attempt_state::finished, "finished");
    check(fixture.attempt.run() == verdict::ran && fixture.count<attempt_finished>() == 1,
          "the response is complete");
    check(sent().handle(attempt_timed_out{}).attempt.state() == attempt_state::failed, "failed");
    check(sent().handle(attempt_cancelled{}).attempt.state() == attempt_state::cancelled,
          "cancelled");
}

// Guards against a false `not_run`, after which a caller would submit the work a second time.
Test(stage_attempt, reports_not_run_only_if_nothing_was_sent_or_the_endpoint_refused)
{
    const attempt_event endings[] = {connection_refused{}, response_ended{},    attempt_timed_out{},
                                     attempt_cancelled{},  endpoint_error{500}, check_failed{}};
    section("before the work is sent the verdict is not_run", [&] {
        int ended = 0;
        for (const auto& ending : endings) {
            attempt_fixture fixture({attempt_started{}, connected{}});
            fixture.handle(ending);
            if (const auto* failed = fixture.failed()) {
                check(failed->run == verdict::not_run, "the verdict is not_run");
                ++ended;
            }
            check(fixture.handle(checks_passed{}).count<send_work>() == (fixture.failed() ? 0 : 1),
                  "an ended attempt is not sent");
        }
        check(ended == 5, "every event except endpoint_error ends the attempt");
    });
    section("after the work is sent only a refusal by the endpoint means not_run", [&] {
        int ended = 0;
        for (const auto& ending : endings) {
            auto fixture = sent();
            if (const auto* failed = fixture.handle(ending).failed()) {
                check(failed->run == verdict::may_have_run, "the verdict is may_have_run");
                ++ended;
            }
        }
        check(ended == 4,
              "every event except connection_refused and check_failed ends the attempt");
        auto refused = sent();
        check(refused.handle(endpoint_refused{}).failed()->run == verdict::not_run,
              "a refusal means not_run");
    });
    section("a refusal after frames of the call does not mean not_run", [&] {
        auto early = sent();
        early.handle(data(1)).handle(endpoint_refused{});
        check(early.failed()->run == verdict::may_have_run,
              "the verdict after a held frame is may_have_run");
    });
}

// Guards against data of other calls and against duplicated or missing data in a response.
Test(stage_attempt, uses_each_frame_of_its_own_call_once_and_in_order)
{
    section("foreign and duplicated frames are counted and dropped", [] {
        auto fixture = sent();
        fixture.handle(data(0))
            .handle(data(1, other))
            .handle(data(0))
            .handle(data(1))
            .handle(end_frame{own, 2});
        check(fixture.delivered() == "01", "each own frame is delivered once");
        check(fixture.attempt.counts().foreign == 1 && fixture.attempt.counts().duplicated == 1,
              "foreign and duplicated frames are counted");
    });
    section("an early frame is held until its turn", [] {
        auto fixture = sent();
        fixture.handle(data(2)).handle(data(1)).handle(end_frame{own, 3});
        check(fixture.delivered().empty(), "early frames are held");
        check(fixture.handle(data(0)).delivered() == "012", "frames are delivered in order");
        check(fixture.attempt.state() == attempt_state::finished, "the response is complete");
        check(fixture.attempt.counts().reordered == 2, "early frames are counted");
    });
    section("a stream without its end frame, or with a wrong one, is truncated", [] {
        auto cut = sent();
        cut.handle(data(0)).handle(response_ended{});
        check(cut.failed()->why == reason::answer_truncated, "a missing end frame is truncation");
        auto contradicted = sent();
        contradicted.handle(data(0)).handle(data(1)).handle(end_frame{own, 1});
        check(contradicted.failed()->why == reason::answer_truncated,
              "a too small frame count is truncation");
        auto gap = sent();
        gap.handle(end_frame{own, 1}).handle(response_ended{});
        check(gap.failed() && gap.attempt.counts().truncated == 1, "a gap is truncation");
    });
    section("frames after the end or before the work is sent are late", [] {
        auto fixture = sent();
        fixture.handle(end_frame{own, 0}).handle(data(0)).handle(end_frame{own, 1});
        check(fixture.delivered().empty() && fixture.attempt.counts().late == 2,
              "frames after the end are late");
        attempt_fixture early({attempt_started{}, connected{}, data(0)});
        check(early.delivered().empty() && early.attempt.counts().late == 1,
              "frames before the work is sent are late");
    });
    section("an endpoint cannot exhaust the memory with unusable frames", [] {
        auto flooded = sent();
        for (std::size_t index = 0; index <= max_unusable_frames; ++index) {
            flooded.handle(data(index, other));
        }
        check(flooded.failed()->why == reason::answer_mismatch,
              "too many foreign frames fail the attempt");
        check(flooded.count<cancel_at_endpoint>() == 1, "the endpoint is told to stop");
        auto held = sent();
        for (std::size_t index = 1; index <= max_held_frames + 1; ++index) {
            held.handle(data(index));
        }
        check(held.failed()->why == reason::answer_truncated,
              "too many held frames fail the attempt");
    });
}
