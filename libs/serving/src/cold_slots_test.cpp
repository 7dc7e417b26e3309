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

// Guards against overloading a cold endpoint because a request was repeated or overtaken, or a slot
// was never returned.
Test(lent_slots, never_exceed_the_available_calls)
{
    lent_slots lent;
    section("given one available call", [&] {
        check(lent.lend(first, 5, 1, start) == slot_start_window, "the slot is lent");
        check(!lent.lend(second, 9, 0, start), "no other instance gets the slot");
    });
    section("a repeated request gets the remaining start window", [&] {
        check(lent.lend(first, 5, 0, start + 300ms) == slot_start_window - 300ms, "500 ms left");
        check(!lent.lend(first, 5, 0, start + 900ms), "nothing is lent after the window");
        check(lent.count() == 1, "still one call");
    });
    section("an overtaken request gets nothing, a newer one replaces the previous one", [&] {
        check(!lent.lend(first, 4, 3, start + 900ms), "the overtaken request gets no slot");
        check(lent.lend(first, 6, 0, start + 900ms).has_value(), "the newer request gets a slot");
        check(lent.count() == 1, "still one call");
    });
    section("only the current slot can be returned", [&] {
        check(!lent.take_back(first, 5), "a previous sequence number is not accepted");
        check(!lent.take_back(second, 6), "another instance cannot return the slot");
        check(lent.take_back(first, 6) == start + 900ms, "the current slot is returned");
    });
    section("a slot that is not returned counts until no borrower can be running a call", [&] {
        check(lent.lend(first, 7, 1, start).has_value(), "the slot is lent");
        check(!lent.expire(start + slot_start_window + max_slot_call),
              "the slot counts during the drift margin");
        check(lent.expire(start + lent_slot_lifetime),
              "the slot expires at the end of its lifetime");
    });
}

// Guards against starting a call after the holder may have lent the slot again.
Test(borrowed_slot, starts_a_call_only_in_the_window)
{
    borrowed_slot slot;
    const auto sequence = slot.ask(incarnation{1}, start);
    section("a request is repeated with the same number, at a limited rate", [&] {
        check(sequence.has_value(), "the first request is sent");
        check(!slot.ask(incarnation{1}, start + 100ms),
              "no request before the interval has passed");
        check(slot.ask(incarnation{1}, start + 200ms) == sequence,
              "the repeated request has the same number");
    });
    section("the window starts at the first request and excludes the drift margin", [&] {
        slot.granted(incarnation{1}, *sequence, 800ms);
        check(slot.usable(start + 719ms), "usable inside the window");
        check(!slot.usable(start + 720ms), "unusable outside the window");
    });
    section("an unused slot is returned", [&] {
        check(slot.expire(start + 720ms) == sequence, "the slot is returned");
        check(!slot.held(), "no slot is held");
    });
    section("a late grant or one for another process is ignored", [&] {
        const auto next = slot.ask(incarnation{1}, start + 1s);
        check(next && *next != *sequence, "the next request has a new number");
        slot.granted(incarnation{1}, *sequence, 800ms);
        slot.granted(incarnation{2}, *next, 800ms);
        check(!slot.held(), "neither grant has an effect");
    });
}

// Guards against a cold start in which requests wait forever because the holders of all cold
// endpoints have no work of their own (seen in the first run of the quickstart), and against
// lending more than the holder's concurrency limit.
Test(dispatcher, borrowed_slots_warm_up_a_cold_pool)
{
    quetzal::serving::testing::harness fleet(1);
    for (const auto& endpoint : fleet.list.endpoints) {
        fleet.apply(fleet.subject->connection_changed(endpoint.id, incarnation{2}, fleet.now));
    }
    const auto request = fleet.submit("a customer");
    fleet.run_until(fleet.now + 50ms);
    section("given cold endpoints held by others, a slot is requested for the first stage", [&] {
        check(fleet.asked.size() == 1, "one slot is requested, for the stage that is ready");
        check(fleet.log.empty(), "no call is sent without a slot");
    });
    section("when the holder lends the slot, exactly one call starts, within the window", [&] {
        const auto ask = fleet.asked.front();
        fleet.apply(
            fleet.subject->slot_granted(ask.endpoint, ask.process, ask.sequence, 800ms, fleet.now));
        check(fleet.log.size() == 1 && fleet.log[0].attempt.start_by.has_value(),
              "one call starts in the borrowed slot");
    });
    section("the slot is returned after the call, and one is requested for the next stage", [&] {
        fleet.run_until(fleet.now + 300ms);
        check(fleet.returned.size() == 1 && fleet.returned[0].how == slot_result::normal,
              "the slot is returned as normal");
        check(fleet.asked.back().endpoint != fleet.asked.front().endpoint,
              "the next stage requests a slot");
        check(fleet.result(request) == nullptr, "the request is still running");
    });
}

// Guards against lending more slots than the warm-up limit allows beside the holder's own calls.
Test(dispatcher, a_holder_lends_within_its_warm_up_limit)
{
    quetzal::serving::testing::harness fleet(1);
    const auto endpoint = fleet.list.endpoints.front().id;
    fleet.apply(fleet.subject->connection_changed(endpoint, incarnation{2}, fleet.now));
    fleet.apply(fleet.subject->exclusive_right_changed(endpoint, 7, fleet.now));
    fleet.apply(fleet.subject->slot_requested(endpoint, first, incarnation{2}, 1, fleet.now));
    fleet.apply(fleet.subject->slot_requested(endpoint, second, incarnation{2}, 1, fleet.now));
    section("given a limit of one call, one of two borrowers gets the slot", [&] {
        check(fleet.granted.size() == 1 && fleet.granted[0].to == first, "the first borrower");
    });
    section("the holder's own work waits while the slot is lent", [&] {
        fleet.submit("a customer");
        fleet.run_until(fleet.now + 100ms);
        check(fleet.log.empty(), "no call is allowed");
        fleet.apply(
            fleet.subject->slot_returned(endpoint, first, 1, slot_result::normal, fleet.now));
        check(fleet.log.size() == 1, "the call starts when the slot is returned");
    });
}
