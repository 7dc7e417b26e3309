#include <quetzal/serving/cold_ramp.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point start{1h};
const incarnation first{100};
const incarnation second{200};

// Gives as many normal answers as it takes to be warm; returns the limits met on the way.
std::vector<std::uint32_t> ramp_up(cold_ramp& ramp, time_point now)
{
    std::vector<std::uint32_t> limits;
    for (int answer = 0; answer < 100 && !ramp.warm(); ++answer) {
        if (limits.empty() || limits.back() != ramp.allowed()) {
            limits.push_back(ramp.allowed());
        }
        ramp.answered(true, false, now + answer * 10ms, now + (answer + 1) * 10ms);
    }
    return limits;
}

template <class Action>
const Action* only(const std::vector<ramp_action>& actions)
{
    return actions.size() == 1 ? std::get_if<Action>(&actions.front()) : nullptr;
}

} // namespace

// Guards against a freshly started endpoint receiving more than it bears, from the holder or from
// any other instance.
Test(cold_ramp, doubles_on_evidence_and_only_for_the_holder)
{
    cold_ramp holder;
    cold_ramp other;
    warmth_declaration warm;
    section("given a new process", [&] {
        holder.hold(7, start);
        const auto actions = holder.connected(first, start);
        const auto* declared = only<declare_warmth>(actions);
        check(declared && !declared->declaration.warm, "the holder declares it cold");
        other.connected(first, start);
        check(holder.allowed() == 1 && other.allowed() == 0, "only the holder may send, one call");
    });
    section("when no answers come, time alone changes nothing", [&] {
        holder.tick(start + 1h);
        check(holder.allowed() == 1, "still one call");
    });
    section("when answers are slow or belong to an earlier round, there is no doubling", [&] {
        holder.answered(false, true, start, start + 1s);
        check(holder.allowed() == 1, "slow");
        holder.answered(true, false, start, start + 1s);
        holder.answered(true, false, start, start + 1s);
        check(holder.allowed() == 1, "two may be small requests");
        holder.answered(true, false, start, start + 1s);
        check(holder.allowed() == 2, "three normal ones in a row");
        for (int answer = 0; answer < 8; ++answer) {
            holder.answered(true, false, start, start + 2s);
        }
        check(holder.allowed() == 2, "answers to calls that started at the lower limit");
    });
    section("when a round is slow again, the limit falls back and rises again", [&] {
        for (int answer = 0; answer < 3; ++answer) {
            check(holder.allowed() == 2, "not before the round is over");
            holder.answered(false, false, start + 2s, start + 2s);
        }
        check(holder.allowed() == 1, "half");
        for (int answer = 0; answer < 3; ++answer) {
            holder.answered(true, false, start + 2s, start + 2s);
        }
        check(holder.allowed() == 2, "normal again");
    });
    section("when rounds of answers are normal, the limit doubles until it is warm", [&] {
        check(ramp_up(holder, start + 3s) == std::vector<std::uint32_t>{2, 4}, "doubles");
        check(holder.warm() && holder.allowed() == 8, "warm at the concurrency");
        warm = only<declare_warmth>(holder.heard(first, false, start + 3s))->declaration;
        check(warm.warm && warm.fence == 7, "declared under its fencing number");
    });
    section("when the declaration arrives, others may send", [&] {
        other.declared(warm);
        check(other.allowed() == 8, "warm");
    });
    section("when the endpoint restarts, it is cold for all at once", [&] {
        const auto actions = other.connected(second, start + 4s);
        const auto* told = only<tell_holder>(actions);
        check(told && !told->cold && told->process == second, "the holder is asked");
        check(other.allowed() == 0, "and nothing is sent");
        other.declared(warm);
        check(other.allowed() == 0, "an old declaration changes nothing");
        other.declared({first, true, 7, 99});
        check(other.allowed() == 0, "nor does one of the former process");
    });
    section("when an instance starts late, it asks and causes no second ramp", [&] {
        cold_ramp late;
        const auto actions = late.connected(first, start + 1h);
        const auto* asked = only<tell_holder>(actions);
        check(asked && !asked->cold, "it has seen nothing of its own");
        const auto answer = holder.heard(first, asked->cold, start + 1h);
        check(holder.warm(), "the holder keeps the endpoint warm");
        late.declared(only<declare_warmth>(answer)->declaration);
        check(late.allowed() == 8, "and answers");
    });
}

// Guards against endpoints that turn cold without warning keeping their full load.
Test(cold_ramp, warm_endpoints_turn_cold_by_evidence)
{
    const auto warm_holder = [] {
        cold_ramp ramp;
        ramp.hold(7, start);
        ramp.connected(first, start);
        ramp_up(ramp, start);
        return ramp;
    };
    section("given slow answers in a row", [&] {
        auto ramp = warm_holder();
        ramp.answered(false, true, start + 5s, start + 6s);
        ramp.answered(false, true, start + 5s, start + 6s);
        ramp.answered(true, false, start + 5s, start + 6s);
        ramp.answered(false, true, start + 5s, start + 6s);
        check(ramp.warm(), "single slow answers are no evidence");
        ramp.answered(false, true, start + 5s, start + 6s);
        ramp.answered(false, true, start + 5s, start + 6s);
        check(!ramp.warm() && ramp.allowed() == 1, "three in a row are");
    });
    section("given a report or a lost cache", [&] {
        auto ramp = warm_holder();
        const auto actions = ramp.turned_cold(cold_cause::cache_lost, start + 6s);
        check(only<declare_warmth>(actions) && ramp.allowed() == 1, "declared cold");
    });
    section("given what another instance saw", [&] {
        auto ramp = warm_holder();
        ramp.heard(second, true, start + 6s);
        check(ramp.warm(), "of another process: no evidence");
        ramp.heard(first, true, start + 6s);
        check(!ramp.warm(), "of this process: cold");
    });
    section("given a report sent before the declaration arrived", [&] {
        auto ramp = warm_holder();
        const auto actions = ramp.heard(first, true, start + 200ms);
        const auto* declared = only<declare_warmth>(actions);
        check(ramp.warm() && declared && declared->declaration.warm, "the state is declared again");
    });
    section("given an instance that is not the holder", [&] {
        cold_ramp other;
        other.connected(first, start);
        other.declared({first, true, 7, 3});
        const auto actions = other.turned_cold(cold_cause::reported_cold, start);
        check(only<tell_holder>(actions) && other.allowed() == 0, "it stops and tells the holder");
        check(other.tick(start + 500ms).empty(), "it waits for the answer");
        check(only<tell_holder>(other.tick(start + 1s)), "then asks");
        check(other.tick(start + 2s).empty(), "less and less often");
        other.declared({first, true, 7, 4});
        check(other.allowed() == 8 && other.tick(start + 1h).empty(), "until the holder declares");
    });
}

// Guards against full load on the endpoints of a zone that returns, by declarations from before.
Test(cold_ramp, a_returning_zone_ramps_like_a_restart)
{
    cold_ramp holder;
    cold_ramp other;
    warmth_declaration before;
    section("given a warm endpoint", [&] {
        holder.hold(7, start);
        holder.connected(first, start);
        ramp_up(holder, start);
        before = only<declare_warmth>(holder.heard(first, false, start))->declaration;
        other.connected(first, start);
        other.declared(before);
        check(other.allowed() == 8, "warm everywhere");
    });
    section("when its zone leaves and returns", [&] {
        holder.zone_left();
        other.zone_left();
        check(holder.allowed() == 0 && other.allowed() == 0, "not warm while it is out");
        holder.zone_returned(start + 1min);
        other.zone_returned(start + 1min);
        other.declared(before);
        check(holder.allowed() == 1 && other.allowed() == 0, "cold, in spite of old declarations");
    });
    section("when the holder has ramped it up", [&] {
        ramp_up(holder, start + 2min);
        other.declared(only<declare_warmth>(holder.heard(first, false, start + 3min))->declaration);
        check(other.allowed() == 8, "warm again");
    });
}

// Guards against full load by a declaration that arrived before the zone left and was not used yet.
Test(cold_ramp, a_declaration_kept_for_later_ends_with_the_zone)
{
    cold_ramp ramp;
    ramp.declared({first, true, 7, 5});
    ramp.zone_left();
    ramp.zone_returned(start);
    ramp.connected(first, start);
    check(ramp.allowed() == 0, "cold until the holder has ramped it up");
}

// Guards against two holders' statements mixing after a handover.
Test(cold_ramp, a_successor_goes_on_from_what_was_declared)
{
    cold_ramp successor;
    successor.connected(first, start);
    successor.declared({first, true, 7, 5});
    section("given a warm endpoint, the new holder keeps it warm", [&] {
        check(successor.hold(9, start).empty() && successor.allowed() == 8, "no second ramp");
        successor.declared({first, false, 7, 6});
    });
    section("given a cold one, the new holder starts its ramp again", [&] {
        cold_ramp ramp;
        ramp.connected(first, start);
        ramp.declared({first, false, 7, 5});
        const auto actions = ramp.hold(9, start);
        const auto* declared = only<declare_warmth>(actions);
        check(ramp.allowed() == 1 && declared && declared->declaration.fence == 9,
              "under its own fencing number");
        ramp.declared({first, true, 7, 6});
        check(ramp.allowed() == 1, "the predecessor's late declaration is ignored");
    });
}

// Guards against questions and declarations that follow each other without a pause: the
// quickstart's three idle instances sent 309 datagrams a second each.
Test(cold_ramp, a_cold_declaration_does_not_bring_the_next_question_forward)
{
    cold_ramp ramp;
    time_point now{std::chrono::hours(1)};
    ramp.connected(incarnation{1}, now);
    std::size_t questions = 0;
    for (std::uint32_t sequence = 1; sequence <= 100; ++sequence) {
        now += std::chrono::milliseconds(100);
        if (!ramp.tick(now).empty()) {
            ++questions;
            ramp.declared({incarnation{1}, false, 1, sequence});
        }
    }
    check(questions >= 2 && questions <= 5, "a few questions in 10 s, with growing waits");
}
