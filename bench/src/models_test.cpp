#include "ledger.hpp"
#include "report.hpp"
#include "stage_model.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::bench;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;

namespace {

struct endpoint_bench
{
    pool_profile profile{milliseconds(100), {}, 0, 4, 1, 3, 2, 0.5};
    event_queue events;
    std::vector<std::pair<std::uint64_t, call_event>> seen;
    stage_model model{profile, events, 1,
                      [this](const call& work, call_event event) {
                          seen.emplace_back(work.id, event);
                      },
                      [](const cache_event&) {}};

    void send(std::uint64_t id, std::int32_t priority = 0)
    {
        call work;
        work.id = id;
        work.priority = priority;
        work.prefix = id;
        model.receive(work);
    }

    void pass(duration time) { events.run_until(events.now() + time); }
};

} // namespace

// Guards against a model in which cold endpoints cost nothing, which would hide a missing ramp.
Test(models, cold_endpoints_are_slow_and_suffer_from_load)
{
    endpoint_bench bench;
    section("given a warm endpoint, four calls at once take their time together", [&] {
        for (std::uint64_t id = 1; id <= 4; ++id) {
            bench.send(id);
        }
        bench.pass(milliseconds(101));
        check(bench.seen.size() == 4, "four answers after 100 ms");
        check(bench.model.cold_overloads() == 0, "no overload while warm");
    });
    section("when it turns cold", [&] {
        bench.seen.clear();
        bench.model.turn_cold();
        section("one call takes three times as long", [&] {
            bench.send(11);
            bench.pass(milliseconds(299));
            check(bench.seen.empty(), "no answer before 300 ms");
            bench.pass(milliseconds(2));
            check(bench.seen.size() == 1, "one answer after 300 ms");
            check(bench.model.cold_overloads() == 0, "one call is borne");
        });
        section("a second call at once is an overload, once a report has shown the coldness", [&] {
            bench.pass(milliseconds(200));
            bench.send(12);
            bench.send(13);
            check(bench.model.cold_overloads() == 1, "the second call counts");
        });
    });
    section("when it stops, its calls fail and new ones are refused", [&] {
        bench.seen.clear();
        bench.model.stop();
        bench.send(14);
        check(bench.seen.size() == 3, "two failures and a refusal");
        check(bench.seen.back().second == call_event::refused, "the new call did not run");
    });
}

// Guards against an engine model that ignores priorities, which would hide a missing priority.
Test(models, waiting_calls_start_by_priority)
{
    endpoint_bench bench;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        bench.send(id);
    }
    bench.send(5, 2);
    bench.send(6, 1);
    bench.model.cancel(1);
    bench.pass(milliseconds(50));
    check(bench.model.report().running == 4, "the place of the cancelled call is filled");
    bench.pass(milliseconds(151));
    check(bench.seen.size() == 5 && bench.seen[3].first == 6, "the urgent call ends first");
}

// Guards against a ledger that misses an admission beyond burst + rate * window.
Test(models, the_exact_bucket_follows_rate_and_burst)
{
    exact_bucket bucket(10, 2);
    bucket.take(start_of_run);
    bucket.take(start_of_run);
    check(bucket.level(start_of_run) < 1, "the burst is spent");
    check(bucket.level(start_of_run + milliseconds(99)) < 1, "no token before 100 ms");
    check(bucket.level(start_of_run + milliseconds(101)) >= 1, "one token after 100 ms");
    check(bucket.level(start_of_run + std::chrono::seconds(9)) == 2, "never more than the burst");
}

// Guards against results that depend on anything but the seed.
Test(models, a_seed_gives_the_same_result_every_time)
{
    const auto installation = banderas();
    run_options options;
    options.length = std::chrono::seconds(8);
    options.warm_up = std::chrono::seconds(1);
    const auto scenarios = make_scenarios(installation, options.length, options.seed);
    for (const auto which : all_policies) {
        const auto first = run(installation, scenarios.back(), which, options);
        const auto second = run(installation, scenarios.back(), which, options);
        check(first.within_rate > 0 && first.met == second.met &&
                  first.cold_overloads == second.cold_overloads &&
                  first.worst_customer == second.worst_customer,
              to_string(which));
    }
}
