#include <quetzal/serving/cold_slots.hpp>

#include <quetzal/testing/section.hpp>

#include "dispatcher_harness.hpp"

using namespace quetzal;
using namespace quetzal::serving;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const instance_id first("q-1");
const instance_id second("q-2");
constexpr time_point start{1h};

} // namespace

// Guards against a cold endpoint receiving more calls than it bears because a request was repeated,
// overtaken or never answered by a return.
Test(lent_slots, never_exceed_the_free_calls)
{
    lent_slots lent;
    section("given one free call", [&] {
        check(lent.lend(first, 5, 1, start) == slot_start_window, "it is lent");
        check(!lent.lend(second, 9, 0, start), "no other instance gets it");
    });
    section("a repeated request gets what is left of the window", [&] {
        check(lent.lend(first, 5, 0, start + 300ms) == slot_start_window - 300ms, "500 ms left");
        check(!lent.lend(first, 5, 0, start + 900ms), "nothing after the window");
        check(lent.count() == 1, "still one call");
    });
    section("an overtaken request gets nothing, a newer one replaces the former", [&] {
        check(!lent.lend(first, 4, 3, start + 900ms), "overtaken");
        check(lent.lend(first, 6, 0, start + 900ms).has_value(), "newer");
        check(lent.count() == 1, "still one call");
    });
    section("only the present call can be given back", [&] {
        check(!lent.take_back(first, 5), "a former number");
        check(!lent.take_back(second, 6), "another instance");
        check(lent.take_back(first, 6) == start + 900ms, "the present one");
    });
    section("without a return the call counts until no borrower can be running it", [&] {
        check(lent.lend(first, 7, 1, start).has_value(), "lent");
        check(!lent.expire(start + slot_start_window + longest_slot_call),
              "the drift margin is kept");
        check(lent.expire(start + lent_slot_lifetime), "gone");
    });
}

// Guards against a call that starts after the holder may have lent the slot again.
Test(borrowed_slot, starts_only_in_the_window)
{
    borrowed_slot slot;
    const auto sequence = slot.ask(incarnation{1}, start);
    section("a request is repeated under its number, and not too often", [&] {
        check(sequence.has_value(), "first request");
        check(!slot.ask(incarnation{1}, start + 100ms), "too early");
        check(slot.ask(incarnation{1}, start + 200ms) == sequence, "same number");
    });
    section("the window counts from the first request, less the drift margin", [&] {
        slot.granted(incarnation{1}, *sequence, 800ms);
        check(slot.usable(start + 719ms), "inside");
        check(!slot.usable(start + 720ms), "outside");
    });
    section("an unused slot is given back", [&] {
        check(slot.expire(start + 720ms) == sequence, "given back");
        check(!slot.held(), "gone");
    });
    section("a late or foreign grant is ignored", [&] {
        const auto next = slot.ask(incarnation{1}, start + 1s);
        check(next && *next != *sequence, "a new number");
        slot.granted(incarnation{1}, *sequence, 800ms);
        slot.granted(incarnation{2}, *next, 800ms);
        check(!slot.held(), "neither counts");
    });
}

// Guards against a cold start in which requests wait forever because the holder of every cold
// endpoint has no work of its own (seen in the first run of the quickstart), and against a lent
// call beyond the ramp's limit.
Test(dispatcher, work_away_from_the_holder_warms_a_cold_pool)
{
    quetzal::serving::testing::harness fleet(1);
    for (const auto& endpoint : fleet.list.endpoints) {
        fleet.apply(fleet.subject->connection_changed(endpoint.id, incarnation{2}, fleet.now));
    }
    const auto request = fleet.submit("a customer");
    fleet.run_until(fleet.now + 50ms);
    section("given cold endpoints that others hold, the first stage's call is asked for", [&] {
        check(fleet.asked.size() == 1, "one request, for the stage that is ready");
        check(fleet.log.empty(), "nothing is sent without the slot");
    });
    section("when the holder lends it, exactly one call starts, within the window", [&] {
        const auto ask = fleet.asked.front();
        fleet.apply(
            fleet.subject->slot_granted(ask.endpoint, ask.process, ask.sequence, 800ms, fleet.now));
        check(fleet.log.size() == 1 && fleet.log[0].attempt.start_by.has_value(),
              "one borrowed call");
    });
    section("its end is told to the holder, and the next stage asks in turn", [&] {
        fleet.run_until(fleet.now + 300ms);
        check(fleet.returned.size() == 1 && fleet.returned[0].how == slot_result::normal,
              "returned");
        check(fleet.asked.back().endpoint != fleet.asked.front().endpoint, "the next stage");
        check(fleet.result(request) == nullptr, "the request goes on");
    });
}

// Guards against lending more than the ramp allows beside the holder's own calls.
Test(dispatcher, a_holder_lends_within_its_ramp)
{
    quetzal::serving::testing::harness fleet(1);
    const auto endpoint = fleet.list.endpoints.front().id;
    fleet.apply(fleet.subject->connection_changed(endpoint, incarnation{2}, fleet.now));
    fleet.apply(fleet.subject->exclusive_right_changed(endpoint, 7, fleet.now));
    fleet.apply(fleet.subject->slot_requested(endpoint, first, incarnation{2}, 1, fleet.now));
    fleet.apply(fleet.subject->slot_requested(endpoint, second, incarnation{2}, 1, fleet.now));
    section("given a ramp that allows one call, one of two borrowers gets it",
            [&] { check(fleet.granted.size() == 1 && fleet.granted[0].to == first, "the first"); });
    section("the holder's own work waits while the call is lent", [&] {
        fleet.submit("a customer");
        fleet.run_until(fleet.now + 100ms);
        check(fleet.log.empty(), "no place is left");
        fleet.apply(
            fleet.subject->slot_returned(endpoint, first, 1, slot_result::normal, fleet.now));
        check(fleet.log.size() == 1, "it starts when the call comes back");
    });
}
