#include "dispatcher_harness.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace quetzal::serving::testing;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against work in a zone out of service: queued, retried and hedged calls are placed anew,
// and the zone's return must not bring full load at once.
Test(dispatcher_fault, a_zone_out_of_service_gets_no_new_work)
{
    harness fleet;
    fleet.serve = [](const start_attempt& attempt) {
        // Some endpoints fail, some crawl, so that there are retries and hedges too.
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
    section("given a zone that leaves while work is queued", [&] {
        std::size_t retries = 0;
        for (const auto& entry : fleet.log) {
            const bool in_zone = (entry.endpoint.back() - '0') % 3 == 1;
            check(!in_zone || entry.at <= out, "no attempt starts there after it left");
            retries += entry.attempt.attempt > 1 && entry.at > out ? 1 : 0;
        }
        check(retries > 0, "there were retries and hedges");
        check(fleet.attempts_on("rank-1") > 0, "there was work before");
    });
    section("when it returns, another instance holds the right", [&] {
        fleet.set_zone("b", config::zone_state::in);
        const time_point back = fleet.now;
        fleet.load("rugs", 200, 1s);
        fleet.run_until(back + 2s);
        check(fleet.attempts_on("rank-1", back) == 0, "nothing before the holder's declaration");
        fleet.apply(fleet.subject->declared(endpoint_id("rank-1"), {incarnation{1}, true, 1, 9},
                                            fleet.now));
        fleet.load("rugs", 200, 1s);
        fleet.run_until(fleet.now + 2s);
        check(fleet.attempts_on("rank-1", back) > 0, "work after it");
    });
}

// Guards against a leaving endpoint receiving new work while its running work is cut off.
Test(dispatcher_fault, a_leaving_endpoint_only_finishes)
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
    check(fleet.attempts_on("rank-0", leaves) == 0, "no new work");
    check(fleet.completed() >= 600 && fleet.completed() == fleet.ended.size(),
          "every request is complete");
}

// Guards against a retry storm. Without the budget each call is tried four times, and the attempts
// multiply the load of a pool that fails already.
Test(dispatcher_fault, an_endpoint_failing_everywhere_causes_no_storm)
{
    section("given one pool where everything fails", [] {
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
        check(attempts <= 501, "one retry in all, by the initial token");
        check(fleet.ended.size() == 500, "every request ends");
        for (const auto& [key, request] : fleet.ended) {
            check(request.why && request.why->run == verdict::may_have_run, "truthfully");
        }
    });
    section("given one failing endpoint in each pool, it is ejected", [] {
        harness fleet;
        fleet.serve = [](const start_attempt& attempt) {
            const bool fails = attempt.endpoint.name.ends_with("-2");
            return harness::behaviour{
                20ms, fails ? std::optional(verdict::may_have_run) : std::nullopt, false};
        };
        fleet.load("rugs", 100, 10s);
        fleet.run_until(fleet.now + 12s);
        check(fleet.probes > 0, "and probed before its return");
        check(fleet.attempts_on("rank-2") < 40, "it gets few calls");
        check(fleet.completed() >= 950, "the others answer nearly all");
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
        check(fleet.completed() >= 990, "hedges answer");
        check(fleet.subject->figures(pool_id("rank")).hedges > 0, "within the budget");
        check(fleet.attempts_on("rank-2", time_point(1h + 2s)) < 60, "and it is ejected");
    });
}

// Guards against an endpoint that restarts under load receiving more than a cold one bears.
Test(dispatcher_fault, an_endpoint_restarting_at_full_load_ramps_up)
{
    harness fleet;
    fleet.load("rugs", 500, 6s);
    fleet.run_until(fleet.now + 1s);
    section("when it restarts, nobody but the holder sends to it", [&] {
        const time_point restarted = fleet.now;
        fleet.apply(fleet.subject->connection_changed(endpoint_id("rank-0"), {}, restarted));
        fleet.apply(
            fleet.subject->connection_changed(endpoint_id("rank-0"), incarnation{2}, restarted));
        fleet.run_until(restarted + 1s);
        check(fleet.attempts_on("rank-0", restarted) == 0, "nothing");
        check(!fleet.told.empty() && !fleet.told.back().cold, "the holder is asked");
    });
    section("when this instance becomes the holder, it doubles on evidence", [&] {
        const time_point held = fleet.now;
        fleet.most_in_flight.clear();
        fleet.apply(fleet.subject->exclusive_right_changed(endpoint_id("rank-0"), 5, held));
        check(!fleet.declarations.back().declaration.warm, "declared cold");
        fleet.run_until(held + 19ms);
        check(fleet.most_in_flight["rank-0"] == 1, "one call until the first answer");
        fleet.run_until(held + 39ms);
        check(fleet.most_in_flight["rank-0"] <= 2, "two in the second round");
        fleet.run_until(held + 1s);
        const auto& last = fleet.declarations.back().declaration;
        check(last.warm && last.process == incarnation{2} && last.fence == 5, "declared warm");
    });
}

// Guards against a retry in the zone that has just failed while another zone has places.
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
    int same_zone = 0;
    for (std::size_t index = 1; index < fleet.log.size(); ++index) {
        const bool retry = fleet.log[index].attempt.attempt == 2;
        const char tried = fleet.log[index - 1].endpoint.back();
        same_zone += retry && (fleet.log[index].endpoint.back() - tried) % 3 == 0 ? 1 : 0;
        check(!retry || fleet.log[index].endpoint.back() != tried, "never the same endpoint");
    }
    check(fleet.completed() == 30 && same_zone == 0, "another zone each time");
    section("given only one zone, at least another endpoint is taken", [&] {
        harness small(6, options);
        small.serve = [](const start_attempt& attempt) {
            // Every fourth request: too few for an ejection, which would leave one endpoint.
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
                  "never the same");
        }
        check(small.completed() == 30, "all complete");
    });
}

// Guards against a pool that takes itself out of service because all of it became slower, and
// against one cold endpoint keeping its load.
Test(dispatcher_fault, tells_a_cold_endpoint_from_a_slow_pool)
{
    std::string slow = "rank-1";
    harness fleet;
    bool slowed = false;
    fleet.serve = [&](const start_attempt& attempt) {
        const bool hit = slowed && attempt.endpoint.name.starts_with(slow);
        return harness::behaviour{hit ? 100ms : 20ms, {}, false};
    };
    fleet.load("rugs", 600, 8s, "book"); // half of what each pool bears
    fleet.run_until(fleet.now + 2s);
    section("given one endpoint that turns slow", [&] {
        slowed = true;
        fleet.run_until(fleet.now + 1s);
        const auto cold = [](const notify_endpoint_holder& told) { return told.cold; };
        check(std::count_if(fleet.told.begin(), fleet.told.end(), cold) == 1, "told once");
        const auto told = std::find_if(fleet.told.begin(), fleet.told.end(), cold);
        check(told->endpoint.name == "rank-1", "the holder learns of that endpoint");
        check(fleet.subject->figures(pool_id("rank")).usable == 5, "it gets nothing more");
    });
    section("given a whole pool that turns slow", [&] {
        slow = "generate";
        fleet.run_until(fleet.now + 3s);
        check(fleet.subject->figures(pool_id("generate")).usable >= 4, "two thirds stay");
    });
}
