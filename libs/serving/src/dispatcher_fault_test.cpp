#include "dispatcher_harness.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace quetzal::serving::testing;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against work in an evacuated zone. Queued, retried and hedged calls choose an endpoint
// again, and a zone that returns must not get full load at once.
Test(dispatcher_fault, an_evacuated_zone_gets_no_new_work)
{
    harness fleet;
    fleet.serve = [](const start_attempt& attempt) {
        // Some endpoints fail and some are slow, so that retries and hedges occur too.
        const auto number = attempt.endpoint.name.back() - '0';
        const bool fails = number == 1 && static_cast<std::uint64_t>(attempt.call) % 3 == 0;
        return harness::behaviour{
            number == 2 && static_cast<std::uint64_t>(attempt.call) % 7 == 0 ? 300ms : 30ms,
            fails ? std::optional(verdict::may_have_run) : std::nullopt, false};
    };
    const time_point out = fleet.now + 2s;
    fleet.load("rugs", 500, 4s);
    fleet.at(out, [&] { fleet.set_zone("b", config::zone_state::out); });
    fleet.run_until(out + 3s);
    section("given a zone that is evacuated while work is queued", [&] {
        std::size_t retries = 0;
        for (const auto& entry : fleet.log) {
            const bool in_zone = (entry.endpoint.back() - '0') % 3 == 1;
            check(!in_zone || entry.at <= out, "no attempt starts in the evacuated zone");
            retries += entry.attempt.attempt > 1 && entry.at > out ? 1 : 0;
        }
        check(retries > 0, "retries and hedges started after the evacuation");
        check(fleet.attempts_on("rank-1") > 0, "the zone had work before the evacuation");
    });
    section("when the zone returns and another instance holds the exclusive right", [&] {
        fleet.set_zone("b", config::zone_state::in);
        const time_point back = fleet.now;
        fleet.load("rugs", 200, 1s);
        fleet.run_until(back + 2s);
        check(fleet.attempts_on("rank-1", back) == 0, "no attempt before the holder's declaration");
        fleet.apply(fleet.subject->declared(endpoint_id("rank-1"), {incarnation{1}, true, 1, 9},
                                            fleet.now));
        fleet.load("rugs", 200, 1s);
        fleet.run_until(fleet.now + 2s);
        check(fleet.attempts_on("rank-1", back) > 0, "attempts after the holder's declaration");
    });
}

// Guards against a leaving endpoint that receives new work, or whose running work is cancelled.
Test(dispatcher_fault, a_leaving_endpoint_finishes_its_running_work)
{
    harness fleet;
    fleet.load("rugs", 300, 2s);
    fleet.run_until(fleet.now + 1s);
    for (auto& endpoint : fleet.list.endpoints) {
        endpoint.state = endpoint.id.name == "rank-0" ? config::listed_state::leaving
                                                      : config::listed_state::live;
    }
    const time_point leaves = fleet.now;
    fleet.apply(fleet.subject->update(fleet.list, leaves));
    fleet.run_until(leaves + 3s);
    check(fleet.attempts_on("rank-0", leaves) == 0, "the leaving endpoint gets no new work");
    check(fleet.completed() >= 600 && fleet.completed() == fleet.ended.size(),
          "every request is completed");
}

// Guards against a retry storm. Without the budget, each call would get four attempts, which
// multiplies the load of a pool that is already failing.
Test(dispatcher_fault, failing_endpoints_cause_no_retry_storm)
{
    section("given a pool where every call fails", [] {
        harness fleet;
        fleet.serve = [](const start_attempt& attempt) {
            const bool fails = attempt.endpoint.name.starts_with("rank");
            return harness::behaviour{
                20ms, fails ? std::optional(verdict::may_have_run) : std::nullopt, false};
        };
        fleet.load("rugs", 100, 5s);
        fleet.run_until(fleet.now + 8s);
        std::size_t attempts = 0;
        for (const auto& entry : fleet.log) {
            attempts += entry.endpoint.starts_with("rank") ? 1 : 0;
        }
        check(attempts <= 501, "at most one retry, with the initial token");
        check(fleet.ended.size() == 500, "every request ends");
        for (const auto& [key, request] : fleet.ended) {
            check(request.why && request.why->run == verdict::may_have_run,
                  "the verdict says that it may have run");
        }
    });
    section("given a failing endpoint in each pool, the endpoint is ejected", [] {
        harness fleet;
        fleet.serve = [](const start_attempt& attempt) {
            const bool fails = attempt.endpoint.name.ends_with("-2");
            return harness::behaviour{
                20ms, fails ? std::optional(verdict::may_have_run) : std::nullopt, false};
        };
        fleet.load("rugs", 100, 10s);
        fleet.run_until(fleet.now + 12s);
        check(fleet.probes > 0, "an ejected endpoint is probed");
        check(fleet.attempts_on("rank-2") < 40, "the failing endpoint gets few calls");
        check(fleet.completed() >= 950, "the other endpoints complete nearly all requests");
    });
    section("given an endpoint that never answers", [] {
        harness fleet;
        fleet.serve = [&](const start_attempt& attempt) -> std::optional<harness::behaviour> {
            if (attempt.endpoint.name == "rank-2" && fleet.now > time_point(1h + 1s)) {
                return std::nullopt;
            }
            return harness::behaviour{};
        };
        fleet.load("rugs", 100, 10s);
        fleet.run_until(fleet.now + 13s);
        check(fleet.completed() >= 990, "hedged calls are answered");
        check(fleet.subject->figures(pool_id("rank")).hedges > 0, "calls are hedged");
        check(fleet.attempts_on("rank-2", time_point(1h + 2s)) < 60, "the endpoint is ejected");
    });
}

// Guards against an endpoint that restarts under load and receives more calls than a cold endpoint
// can handle.
Test(dispatcher_fault, an_endpoint_restarting_at_full_load_ramps_up)
{
    harness fleet;
    fleet.load("rugs", 500, 6s);
    fleet.run_until(fleet.now + 1s);
    section("when it restarts, an instance that is not the holder sends nothing", [&] {
        const time_point restarted = fleet.now;
        fleet.apply(fleet.subject->connection_changed(endpoint_id("rank-0"), {}, restarted));
        fleet.apply(
            fleet.subject->connection_changed(endpoint_id("rank-0"), incarnation{2}, restarted));
        fleet.run_until(restarted + 1s);
        check(fleet.attempts_on("rank-0", restarted) == 0, "no attempt after the restart");
        check(!fleet.told.empty() && !fleet.told.back().cold,
              "the holder is asked for its declaration");
    });
    section("when this instance becomes the holder, normal answers double the limit", [&] {
        const time_point held = fleet.now;
        fleet.most_in_flight.clear();
        fleet.apply(fleet.subject->exclusive_right_changed(endpoint_id("rank-0"), 5, held));
        check(!fleet.declarations.back().declaration.warm, "the endpoint is declared cold");
        fleet.run_until(held + 19ms);
        check(fleet.most_in_flight["rank-0"] == 1, "one call in flight until the first answer");
        fleet.run_until(held + 39ms);
        check(fleet.most_in_flight["rank-0"] <= 2, "two calls in flight until the next answers");
        fleet.run_until(held + 1s);
        const auto& last = fleet.declarations.back().declaration;
        check(last.warm && last.process == incarnation{2} && last.fence == 5,
              "the endpoint is declared warm");
    });
}

// Guards against a retry in the zone where the call has just failed while another zone has free
// capacity.
Test(dispatcher_fault, retries_in_another_zone)
{
    dispatcher_options options;
    options.retries = {.ratio = 0.1, .initial = 50, .capacity = 50};
    harness fleet(6, options);
    fleet.serve = [](const start_attempt& attempt) {
        const bool fails = attempt.endpoint.name.starts_with("rank") && attempt.attempt == 1;
        return harness::behaviour{20ms, fails ? std::optional(verdict::not_run) : std::nullopt,
                                  fails};
    };
    for (int request = 0; request < 30; ++request) {
        fleet.submit("rugs", "book");
        fleet.run_until(fleet.now + 1s);
    }
    int same_zone_retries = 0;
    for (std::size_t index = 1; index < fleet.log.size(); ++index) {
        const bool retry = fleet.log[index].attempt.attempt == 2;
        const char tried = fleet.log[index - 1].endpoint.back();
        same_zone_retries += retry && (fleet.log[index].endpoint.back() - tried) % 3 == 0 ? 1 : 0;
        check(!retry || fleet.log[index].endpoint.back() != tried, "a retry uses another endpoint");
    }
    check(fleet.completed() == 30 && same_zone_retries == 0,
          "every retry uses another zone and succeeds");
    section("given only one zone, retries use another endpoint", [&] {
        harness small(6, options);
        small.serve = [](const start_attempt& attempt) {
            // Only every fourth request fails: too few to eject an endpoint, which would leave only
            // one.
            const bool fails = attempt.endpoint.name.starts_with("rank") && attempt.attempt == 1 &&
                               static_cast<std::uint64_t>(attempt.request) % 4 == 0;
            return harness::behaviour{
                20ms, fails ? std::optional(verdict::may_have_run) : std::nullopt, false};
        };
        small.set_zone("b", config::zone_state::out);
        small.set_zone("c", config::zone_state::out);
        for (int request = 0; request < 30; ++request) {
            small.submit("rugs");
            small.run_until(small.now + 1s);
        }
        for (std::size_t index = 1; index < small.log.size(); ++index) {
            check(small.log[index].attempt.attempt != 2 ||
                      small.log[index].endpoint != small.log[index - 1].endpoint,
                  "a retry does not use the same endpoint");
        }
        check(small.completed() == 30, "all requests are completed");
    });
}

// Guards against treating all endpoints of a pool as cold because the whole pool became slower, and
// against a cold endpoint that keeps its load.
Test(dispatcher_fault, distinguishes_a_cold_endpoint_from_a_slow_pool)
{
    std::string slow = "rank-1";
    harness fleet;
    bool slowed = false;
    fleet.serve = [&](const start_attempt& attempt) {
        const bool hit = slowed && attempt.endpoint.name.starts_with(slow);
        return harness::behaviour{hit ? 100ms : 20ms, {}, false};
    };
    fleet.load("rugs", 600, 8s, "book"); // half of each pool's capacity
    fleet.run_until(fleet.now + 2s);
    section("given one endpoint that becomes slow", [&] {
        slowed = true;
        fleet.run_until(fleet.now + 1s);
        const auto cold = [](const notify_endpoint_holder& told) { return told.cold; };
        check(std::count_if(fleet.told.begin(), fleet.told.end(), cold) == 1,
              "the holder is notified once");
        const auto told = std::find_if(fleet.told.begin(), fleet.told.end(), cold);
        check(told->endpoint.name == "rank-1", "the notification names the slow endpoint");
        check(fleet.subject->figures(pool_id("rank")).usable == 5,
              "the slow endpoint is not usable");
    });
    section("given a whole pool that becomes slow", [&] {
        slow = "generate";
        fleet.run_until(fleet.now + 3s);
        check(fleet.subject->figures(pool_id("generate")).usable >= 4,
              "at least two thirds of the endpoints stay usable");
    });
}
