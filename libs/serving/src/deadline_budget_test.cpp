#include <quetzal/serving/deadline_budget.hpp>

#include <algorithm>
#include <cmath>
#include <random>

#include <quetzal/base/random.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point start{1h};

// encode -> (retrieve, lookup) -> rerank -> generate
config::pipeline diamond_pipeline()
{
    config::pipeline pipeline;
    pipeline.id = pipeline_id("proofs");
    for (const auto& [name, after] :
         std::vector<std::pair<const char*, std::vector<std::size_t>>>{{"encode", {}},
                                                                       {"retrieve", {0}},
                                                                       {"lookup", {0}},
                                                                       {"rerank", {1, 2}},
                                                                       {"generate", {3}}})
    {
        pipeline.stages.push_back({stage_id(name), pool_id(name), after, true});
    }
    return pipeline;
}

deadline_budget budget_with_samples(std::vector<duration> latencies, duration first_chunk)
{
    deadline_budget budget(diamond_pipeline());
    for (int sample = 0; sample < 20; ++sample) {
        for (std::size_t stage = 0; stage < latencies.size(); ++stage) {
            budget.record(stage, latencies[stage],
                          stage == 4 ? std::optional(first_chunk) : std::nullopt, start);
        }
    }
    return budget;
}

bool is_near(duration value, duration expected)
{
    return value >= expected * 0.99 && value <= expected * 1.13;
}

} // namespace

// Guards against quantiles that are off by more than the stated 12%, or that keep reflecting old
// samples after a stage slows down.
Test(latency_quantiles, follow_the_exact_quantiles_in_bounded_memory)
{
    section("given lognormal latencies", [] {
        random_source random(7);
        std::lognormal_distribution<double> draw(std::log(0.05), 0.7);
        latency_quantiles quantiles;
        std::vector<duration> all;
        for (int sample = 0; sample < 20000; ++sample) {
            all.push_back(duration(static_cast<duration::rep>(draw(random) * 1e9)));
            quantiles.record(all.back(), start);
        }
        std::sort(all.begin(), all.end());
        for (const double q : {0.1, 0.5, 0.95, 0.99}) {
            const duration exact = all[static_cast<std::size_t>(q * 19999)];
            check(is_near(quantiles.quantile(q), exact), "quantile " + std::to_string(q));
        }
        section("when the stage becomes ten times slower", [&] {
            for (int second = 1; second <= 120; ++second) {
                for (int sample = 0; sample < 100; ++sample) {
                    quantiles.record(500ms, start + std::chrono::seconds(second));
                }
            }
            check(is_near(quantiles.quantile(0.5), 500ms), "the median follows within two minutes");
        });
        section("when a day passes, the weights do not overflow", [&] {
            quantiles.record(20ms, start + 24h);
            check(is_near(quantiles.quantile(0.99), 20ms), "only the new sample has weight");
        });
    });
    section("durations out of range are clamped to the range", [] {
        latency_quantiles quantiles;
        quantiles.record(1us, start);
        check(quantiles.quantile(0.5) == 100us, "lower bound");
        quantiles.record(2h, start);
        check(quantiles.quantile(1) == 1000s, "upper bound");
        check(latency_quantiles().quantile(0.5) == 0ns, "zero without samples");
    });
}

// Guards against a stage that uses up the time of later stages, and against adding up the latencies
// of stages that run in parallel.
Test(deadline_budget, divides_the_remaining_time_among_stages)
{
    const auto budget = budget_with_samples({50ms, 200ms, 100ms, 50ms, 1s}, 300ms);
    section("given a pipeline with two parallel stages", [&] {
        check(is_near(budget.longest_path_after(0, 0.95), 1250ms), "only the slower branch counts");
        check(is_near(budget.longest_path_after(2, 0.95), 1050ms),
              "a branch does not include the parallel branch");
        check(budget.longest_path_after(4, 0.95) == 0ns, "no stage follows the last one");
        check(is_near(budget.longest_path({}, {}, 0.95, false), 1300ms), "path through all stages");
        check(is_near(budget.longest_path({}, {}, 0.95, true), 600ms), "path to the first chunk");
        check(
            is_near(budget.longest_path({true, true, true, false, false}, {}, 0.95, false), 1050ms),
            "finished stages add no time");
    });
    section("when a request starts with 2.6 s left", [&] {
        const config::target objective{2600ms, 0.95, 700ms, std::nullopt};
        const auto limits = budget.limits(0, objective, start, start + 2600ms, start);
        check(limits.target > start + 95ms && limits.target < start + 105ms,
              "with twice the usual time, the first stage gets twice its usual latency");
        check(limits.give_up <= start + 1360ms,
              "the attempt is given up while the later stages still have time");
        check(limits.latest_start < limits.give_up, "the latest start leaves time for the stage");
        check(limits.urgent_by < start + 110ms,
              "the first-token objective is more urgent than the deadline");
    });
}

// Guards against running requests that cannot meet their deadline, and against refusing requests
// that still can.
Test(deadline_budget, detects_unreachable_targets)
{
    const auto budget = budget_with_samples({50ms, 200ms, 100ms, 50ms, 1s}, 300ms);
    config::target objective{2s, 0.95, 1s, std::nullopt};
    section("given enough time", [&] {
        check(budget.assess(objective, start, start + 2s, {}, {}, start).meets_deadline,
              "reachable");
    });
    section("given a wait before one stage that uses up the time", [&] {
        const std::vector<duration> waits{0s, 0s, 0s, 900ms, 0s};
        const auto estimate = budget.assess(objective, start, start + 2s, {}, waits, start);
        check(!estimate.meets_deadline, "the deadline is unreachable");
        check(is_near(estimate.needed, 2200ms) && estimate.available == 2s,
              "needed and available time are returned");
    });
    section("given a wait on the faster branch that is shorter than the slower branch", [&] {
        const std::vector<duration> waits{0s, 0s, 100ms, 0s, 0s};
        check(is_near(budget.assess(objective, start, start + 2s, {}, waits, start).needed, 1300ms),
              "the longest path stays the same");
    });
    section("given an unreachable first-token objective, the deadline is still reachable", [&] {
        const auto estimate =
            budget.assess(objective, start, start + 2500ms, {}, {}, start + 600ms);
        check(estimate.meets_deadline && !estimate.meets_first_token,
              "only the first-token objective is missed");
    });
    section("given no measurements, nothing is refused", [&] {
        const deadline_budget unknown(diamond_pipeline());
        check(unknown.assess(objective, start, start + 1ms, {}, {}, start).meets_deadline,
              "reachable");
    });
}
