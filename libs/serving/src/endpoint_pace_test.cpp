// Tests how far an endpoint's report of its pace counts in the choice among endpoints.

#include <quetzal/serving/endpoint_chooser.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <vector>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point start{1h};
constexpr std::uint32_t concurrency = 6;

// A pool of warm endpoints in one zone.
struct endpoint_pool
{
    explicit endpoint_pool(std::size_t size) : chooser({.concurrency = concurrency, .choices = 8})
    {
        for (std::size_t index = 0; index < size; ++index) {
            const auto added = chooser.add(endpoint_id("e" + std::to_string(index)), 0, false);
            chooser.exclude(added, exclusion::unconnected, false);
            chooser.exclude(added, exclusion::cold, false);
            chooser.limit(added, concurrency);
        }
    }

    void report(endpoint_index endpoint, std::optional<double> pace, time_point now)
    {
        load_report report;
        report.running = 1;
        report.pace = pace;
        chooser.report(endpoint, report, now);
    }

    // Runs one call, whose response reports the pace.
    void run(endpoint_index endpoint, duration took, std::optional<double> pace,
             time_point now = start)
    {
        chooser.started(endpoint, now);
        report(endpoint, pace, now);
        attempt_outcome outcome;
        outcome.success = true;
        outcome.latency = took;
        outcome.whole = took;
        outcome.pace = pace;
        chooser.finished(endpoint, outcome, now);
    }

    void run_everywhere(duration took, std::optional<double> pace, int times = 1)
    {
        for (endpoint_index index = 0; index < chooser.size(); ++index) {
            for (int call = 0; call < times; ++call) {
                run(index, took, pace);
            }
        }
    }

    // Returns the share of many calls that would go to the endpoint now.
    double share_of(endpoint_index endpoint, time_point now) const
    {
        random_source random(5);
        int hits = 0;
        constexpr int draws = 4000;
        for (int draw = 0; draw < draws; ++draw) {
            hits += chooser.choose({}, random, now)->endpoint == endpoint ? 1 : 0;
        }
        return static_cast<double>(hits) / draws;
    }

    endpoint_chooser chooser;
};

// Instances that send calls to the same endpoints; each sees only the responses to its own calls.
struct fleet
{
    struct running_call
    {
        std::size_t instance = 0;
        endpoint_index endpoint = 0;
        duration took{};
        time_point end;
    };

    fleet(std::size_t instances, std::size_t endpoints)
        : pools(instances, endpoint_pool(endpoints)), paces(endpoints, 1.0), load(endpoints)
    {
    }

    void finish_calls(time_point now)
    {
        std::erase_if(running, [&](const running_call& call) {
            if (call.end > now) {
                return false;
            }
            endpoint_chooser& chooser = pools[call.instance].chooser;
            load_report report;
            report.running = load[call.endpoint];
            if (reports) {
                report.pace = paces[call.endpoint];
            }
            chooser.report(call.endpoint, report, now);
            attempt_outcome outcome;
            outcome.success = true;
            outcome.latency = call.took;
            outcome.whole = call.took;
            outcome.pace = report.pace;
            chooser.finished(call.endpoint, outcome, now);
            --load[call.endpoint];
            return true;
        });
    }

    // Sends calls at equal intervals from random instances, each of which takes `took` at the pace
    // 1. Returns how many of them each endpoint got.
    std::vector<int> send(int calls, duration took, duration interval)
    {
        std::vector<int> counts(paces.size());
        for (int call = 0; call < calls; ++call) {
            now += interval;
            finish_calls(now);
            const std::size_t instance = random.below(pools.size());
            if (const auto chosen = pools[instance].chooser.choose({}, random, now)) {
                const endpoint_index target = chosen->endpoint;
                pools[instance].chooser.started(target, now);
                ++counts[target];
                ++load[target];
                const auto there = std::chrono::duration_cast<duration>(took * paces[target]);
                total_duration += there;
                running.push_back({instance, target, there, now + there});
            }
        }
        return counts;
    }

    std::vector<endpoint_pool> pools;
    std::vector<double> paces; // of each endpoint at this time
    bool reports = true;       // endpoints report their paces
    std::vector<std::uint32_t> load;
    std::vector<running_call> running;
    random_source random{7};
    duration total_duration{};
    time_point now = start;
};

} // namespace

// Guards against calls that take three times as long as they would elsewhere: at low load, the
// queue of an endpoint that says that it is slow is as short as that of any other.
Test(endpoint_pace, slow_endpoint_gets_a_smaller_share)
{
    section("given an idle pool in which one endpoint reports three times the usual", [] {
        endpoint_pool pool(4);
        pool.run_everywhere(60ms, 1.0, 3);
        pool.report(2, 3.0, start);
        // Two calls run at each of the others: their queues cost more than its lower number.
        for (const endpoint_index busy : {0, 1, 3}) {
            pool.chooser.started(busy, start);
            pool.chooser.started(busy, start);
        }
        check(pool.share_of(2, start) == 0, "waiting for one call elsewhere is shorter");
    });
    section("given load that the others can't take alone", [] {
        fleet one(1, 4);
        one.paces[2] = 3;
        const auto counts = one.send(4000, 60ms, 5ms);
        const int most = *std::max_element(counts.begin(), counts.end());
        check(counts[2] > 0 && counts[2] * 2 < most, "the slow endpoint gets its smaller share");
    });
}

// Guards against an endpoint that is avoided, or preferred, for a pace that it no longer has.
Test(endpoint_pace, old_report_loses_its_weight)
{
    pool_pace pool;
    endpoint_pace pace;
    for (int report = 0; report < 20; ++report) {
        pool.record_report(1);
    }
    pace.record_report(3, start);
    check(pace.expected(pool, start) > 2.9, "a new report counts in full");
    const double soon = pace.expected(pool, start + 300ms);
    const double later = pace.expected(pool, start + 600ms);
    check(soon < 2.5 && later < soon, "its weight decreases with its age");
    check(pace.expected(pool, start + 10s) < 1.5, "in the end the pool's mean counts");
    section("given a clock that stands still or goes back, the report counts in full", [&] {
        check(pace.expected(pool, start - 5s) == pace.expected(pool, start), "not more than that");
    });
    section("given a report that arrives after a later one, it has no effect", [&] {
        pace.record_report(9, start - 1s);
        check(pace.latest() == 3, "the later report stays");
    });
    section("given an endpoint that is slow whenever it reports, its own mean counts", [&] {
        for (int report = 0; report < 40; ++report) {
            pace.record_report(3, start + report * 10s);
        }
        check(pace.expected(pool, start + 500s) > 2.5, "also after a long time");
    });
}

// Guards against an endpoint that attracts calls by its report while it is slow, and against one
// that keeps them away.
Test(endpoint_pace, observed_durations_correct_false_reports)
{
    section("given an endpoint that reports the usual pace and takes three times as long", [] {
        endpoint_pool pool(4);
        for (int round = 0; round < 3; ++round) {
            for (endpoint_index index = 0; index < 4; ++index) {
                pool.run(index, index == 1 ? 180ms : 60ms, 1.0);
            }
        }
        check(pool.chooser.ejected() == 0, "too few calls for an ejection");
        check(pool.share_of(1, start) == 0, "the others are preferred");
    });
    section("given one that claims to be fast and others that tell the truth", [] {
        endpoint_pool pool(4);
        for (int round = 0; round < 5; ++round) {
            for (endpoint_index index = 0; index < 4; ++index) {
                pool.run(index, index == 1 ? 180ms : 60ms, index == 1 ? 0.25 : 1.0);
            }
        }
        pool.chooser.exclude(1, exclusion::ejected, false);
        check(pool.share_of(1, start) == 0, "the others are preferred");
    });
    section("given figures that are no pace, they count as the nearest bound or the usual", [] {
        pool_pace pool;
        endpoint_pace pace;
        pace.record_report(1e9, start);
        check(pace.latest() == slowest_pace, "too large");
        pace.record_report(0, start);
        check(pace.latest() == fastest_pace, "too small");
        pace.record_report(std::numeric_limits<double>::quiet_NaN(), start);
        check(pace.latest() == 1, "not a number");
    });
}

// Guards against a change for services whose endpoints report no pace.
Test(endpoint_pace, pool_without_reports_is_unchanged)
{
    endpoint_pool pool(3);
    pool.run(0, 80ms, std::nullopt);
    pool.run(1, 240ms, std::nullopt);
    const auto cost = [&](endpoint_index endpoint) {
        return pool.chooser.score(endpoint, {}, start + 10s);
    };
    const double load = pool.chooser.expected_load(0, start + 10s) + 1;
    check(std::abs(cost(0) - load * 80e6 / concurrency) < 1, "load times latency per place");
    check(std::abs(cost(1) - load * 240e6 / concurrency) < 1, "of the endpoint alone");
    section("when one endpoint reports, the others count with their own durations", [&] {
        pool.report(2, 1.0, start + 10s);
        check(cost(1) > cost(0), "the slower one costs more");
        check(cost(2) > cost(0), "the report alone makes no endpoint the best");
    });
}

// Guards against instances that all send to the endpoint that was fast a moment ago, and against
// reports that are worth nothing because the paces change faster than an instance sees them.
Test(endpoint_pace, instances_dont_herd_when_paces_change)
{
    struct result
    {
        int highest = 0; // calls to one endpoint within the time for which the paces last
        duration total{};
    };
    const auto serve = [](bool reports) {
        constexpr int calls_per_epoch = 240;
        fleet many(40, 12);
        many.reports = reports;
        result served;
        for (int epoch = 0; epoch < 50; ++epoch) {
            for (double& pace : many.paces) {
                pace = many.random.below(100) < 15 ? 2.5 : 1.0;
            }
            const auto counts = many.send(calls_per_epoch, 60ms, 600ms / calls_per_epoch);
            served.highest =
                std::max(served.highest, *std::max_element(counts.begin(), counts.end()));
        }
        served.total = many.total_duration;
        return served;
    };
    const result with = serve(true);
    const result without = serve(false);
    check(with.highest < 1.2 * without.highest, "no endpoint gets more calls than without reports");
    check(with.total < 0.99 * without.total, "calls take less time than without reports");
}
