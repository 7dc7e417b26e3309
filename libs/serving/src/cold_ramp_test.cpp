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

// Records normal responses until the endpoint is warm; returns the concurrency limits in between.
std::vector<std::uint32_t> ramp_up(cold_ramp& ramp, time_point now)
{
    std::vector<std::uint32_t> limits;
    for (int answer = 0; answer < 100 && !ramp.warm(); ++answer) {
        if (limits.empty() || limits.back() != ramp.allowed_calls()) {
            limits.push_back(ramp.allowed_calls());
        }
        ramp.answered(true, false, now + answer * 10ms, now + (answer + 1) * 10ms);
    }
    return limits;
}

template <class Action>
const Action* single_action(const std::vector<ramp_action>& actions)
{
    return actions.size() == 1 ? std::get_if<Action>(&actions.front()) : nullptr;
}

} // namespace

// Guards against overloading a newly started endpoint, by the holder or by any other instance.
Test(cold_ramp, doubles_on_evidence_and_only_for_the_holder)
{
    cold_ramp holder;
    cold_ramp other;
    warmth_declaration warm;
    section("given a new process", [&] {
        holder.hold(7, start);
        const auto actions = holder.connected(first, start);
        const auto* declared = single_action<declare_warmth>(actions);
        check(declared && !declared->declaration.warm, "the holder declares the process cold");
        other.connected(first, start);
        check(holder.allowed_calls() == 1 && other.allowed_calls() == 0,
              "only the holder may send, and only one call");
    });
    section("without responses, elapsed time does not raise the limit", [&] {
        holder.tick(start + 1h);
        check(holder.allowed_calls() == 1, "the limit is still one call");
    });
    section("slow responses and those of an earlier round do not double the limit", [&] {
        holder.answered(false, true, start, start + 1s);
        check(holder.allowed_calls() == 1, "a slow response does not raise the limit");
        holder.answered(true, false, start, start + 1s);
        holder.answered(true, false, start, start + 1s);
        check(holder.allowed_calls() == 1, "two normal responses may belong to small requests");
        holder.answered(true, false, start, start + 1s);
        check(holder.allowed_calls() == 2, "three consecutive normal responses double the limit");
        for (int answer = 0; answer < 8; ++answer) {
            holder.answered(true, false, start, start + 2s);
        }
        check(holder.allowed_calls() == 2,
              "responses to calls that started at the lower limit do not count");
    });
    section("after a round without normal responses, the limit is halved and can rise again", [&] {
        for (int answer = 0; answer < 3; ++answer) {
            check(holder.allowed_calls() == 2, "the limit stays until the round is over");
            holder.answered(false, false, start + 2s, start + 2s);
        }
        check(holder.allowed_calls() == 1, "the limit is halved");
        for (int answer = 0; answer < 3; ++answer) {
            holder.answered(true, false, start + 2s, start + 2s);
        }
        check(holder.allowed_calls() == 2, "normal responses double the limit again");
    });
    section("with rounds of normal responses, the limit doubles until the endpoint is warm", [&] {
        check(ramp_up(holder, start + 3s) == std::vector<std::uint32_t>{2, 4}, "the limit doubles");
        check(holder.warm() && holder.allowed_calls() == 8,
              "the endpoint is warm at the full concurrency");
        warm = single_action<declare_warmth>(holder.peer_reported(first, false, start + 3s))
                   ->declaration;
        check(warm.warm && warm.fence == 7, "the declaration has the holder's fencing token");
    });
    section("when the declaration arrives, other instances may send", [&] {
        other.declared(warm);
        check(other.allowed_calls() == 8, "the full concurrency is allowed");
    });
    section("when the endpoint restarts, it is cold for all instances immediately", [&] {
        const auto actions = other.connected(second, start + 4s);
        const auto* told = single_action<notify_holder>(actions);
        check(told && !told->cold && told->process == second, "the holder is queried");
        check(other.allowed_calls() == 0, "no call is allowed");
        other.declared(warm);
        check(other.allowed_calls() == 0, "an old declaration has no effect");
        other.declared({first, true, 7, 99});
        check(other.allowed_calls() == 0, "a declaration for the previous process has no effect");
    });
    section("an instance that starts late queries the holder without causing another warm-up", [&] {
        cold_ramp late;
        const auto actions = late.connected(first, start + 1h);
        const auto* asked = single_action<notify_holder>(actions);
        check(asked && !asked->cold, "the instance reports no evidence of its own");
        const auto answer = holder.peer_reported(first, asked->cold, start + 1h);
        check(holder.warm(), "the endpoint stays warm at the holder");
        late.declared(single_action<declare_warmth>(answer)->declaration);
        check(late.allowed_calls() == 8, "the holder's response makes the endpoint warm");
    });
}

// Guards against full load on endpoints that turn cold without a restart.
Test(cold_ramp, warm_endpoints_turn_cold_by_evidence)
{
    const auto warm_holder = [] {
        cold_ramp ramp;
        ramp.hold(7, start);
        ramp.connected(first, start);
        ramp_up(ramp, start);
        return ramp;
    };
    section("given consecutive slow responses", [&] {
        auto ramp = warm_holder();
        ramp.answered(false, true, start + 5s, start + 6s);
        ramp.answered(false, true, start + 5s, start + 6s);
        ramp.answered(true, false, start + 5s, start + 6s);
        ramp.answered(false, true, start + 5s, start + 6s);
        check(ramp.warm(), "single slow responses are no evidence");
        ramp.answered(false, true, start + 5s, start + 6s);
        ramp.answered(false, true, start + 5s, start + 6s);
        check(!ramp.warm() && ramp.allowed_calls() == 1,
              "three consecutive slow responses make the endpoint cold");
    });
    section("given a lost cache", [&] {
        auto ramp = warm_holder();
        const auto actions = ramp.mark_cold(cold_cause::cache_lost, start + 6s);
        check(single_action<declare_warmth>(actions) && ramp.allowed_calls() == 1,
              "the endpoint is declared cold");
    });
    section("given a report of another instance", [&] {
        auto ramp = warm_holder();
        ramp.peer_reported(second, true, start + 6s);
        check(ramp.warm(), "a report on another process is no evidence");
        ramp.peer_reported(first, true, start + 6s);
        check(!ramp.warm(), "a report on this process makes the endpoint cold");
    });
    section("given a report sent before the declaration arrived", [&] {
        auto ramp = warm_holder();
        const auto actions = ramp.peer_reported(first, true, start + 200ms);
        const auto* declared = single_action<declare_warmth>(actions);
        check(ramp.warm() && declared && declared->declaration.warm,
              "the warm state is declared again");
    });
    section("given an instance that is not the holder", [&] {
        cold_ramp other;
        other.connected(first, start);
        other.declared({first, true, 7, 3});
        const auto actions = other.mark_cold(cold_cause::reported_cold, start);
        check(single_action<notify_holder>(actions) && other.allowed_calls() == 0,
              "the instance stops sending and notifies the holder");
        check(other.tick(start + 500ms).empty(), "the instance waits for the declaration");
        check(single_action<notify_holder>(other.tick(start + 1s)),
              "after the first wait, the instance queries the holder");
        check(other.tick(start + 2s).empty(), "the wait between queries grows");
        other.declared({first, true, 7, 4});
        check(other.allowed_calls() == 8 && other.tick(start + 1h).empty(),
              "a declaration ends the queries");
    });
}

// Guards against full load on the endpoints of a zone that returns to service, caused by
// declarations from before its evacuation.
Test(cold_ramp, a_returning_zone_warms_up_like_a_restart)
{
    cold_ramp holder;
    cold_ramp other;
    warmth_declaration before;
    section("given a warm endpoint", [&] {
        holder.hold(7, start);
        holder.connected(first, start);
        ramp_up(holder, start);
        before =
            single_action<declare_warmth>(holder.peer_reported(first, false, start))->declaration;
        other.connected(first, start);
        other.declared(before);
        check(other.allowed_calls() == 8, "the endpoint is warm at both instances");
    });
    section("when its zone is evacuated and returns", [&] {
        holder.zone_evacuated();
        other.zone_evacuated();
        check(holder.allowed_calls() == 0 && other.allowed_calls() == 0,
              "no calls are allowed during the evacuation");
        holder.zone_returned(start + 1min);
        other.zone_returned(start + 1min);
        other.declared(before);
        check(holder.allowed_calls() == 1 && other.allowed_calls() == 0,
              "the endpoint is cold despite old declarations");
    });
    section("when the holder has warmed the endpoint up", [&] {
        ramp_up(holder, start + 2min);
        other.declared(
            single_action<declare_warmth>(holder.peer_reported(first, false, start + 3min))
                ->declaration);
        check(other.allowed_calls() == 8, "the endpoint is warm again");
    });
}

// Guards against full load caused by a declaration that arrived before the zone was evacuated and
// before the instance connected to the endpoint.
Test(cold_ramp, evacuation_invalidates_an_unused_declaration)
{
    cold_ramp ramp;
    ramp.declared({first, true, 7, 5});
    ramp.zone_evacuated();
    ramp.zone_returned(start);
    ramp.connected(first, start);
    check(ramp.allowed_calls() == 0, "the endpoint is cold until the holder has warmed it up");
}

// Guards against mixing the declarations of two holders after a handover.
Test(cold_ramp, a_new_holder_continues_from_the_last_declaration)
{
    cold_ramp successor;
    successor.connected(first, start);
    successor.declared({first, true, 7, 5});
    section("given a warm endpoint, the new holder keeps it warm", [&] {
        check(successor.hold(9, start).empty() && successor.allowed_calls() == 8,
              "the endpoint does not warm up again");
        successor.declared({first, false, 7, 6});
    });
    section("given a cold endpoint, the new holder restarts the warm-up", [&] {
        cold_ramp ramp;
        ramp.connected(first, start);
        ramp.declared({first, false, 7, 5});
        const auto actions = ramp.hold(9, start);
        const auto* declared = single_action<declare_warmth>(actions);
        check(ramp.allowed_calls() == 1 && declared && declared->declaration.fence == 9,
              "the declaration has the new holder's fencing token");
        ramp.declared({first, true, 7, 6});
        check(ramp.allowed_calls() == 1, "a late declaration of the previous holder is ignored");
    });
}

// Guards against queries and declarations that trigger each other without a pause: the three idle
// instances of the quickstart sent 309 datagrams per second each.
Test(cold_ramp, a_cold_declaration_does_not_advance_the_next_query)
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
    check(questions >= 2 && questions <= 5, "a few queries in 10 s, with growing waits");
}
