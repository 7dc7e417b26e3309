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
config::pipeline diamond()
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

deadline_budget measured(std::vector<duration> latencies, duration first_chunk)
{
    deadline_budget budget(diamond());
    for (int sample = 0; sample < 20; ++sample) {
        for (std::size_t stage = 0; stage < latencies.size(); ++stage) {
            budget.record(stage, latencies[stage],
                          stage == 4 ? std::optional(first_chunk) : std::nullopt, start);
        }
    }
    return budget;
}

bool near(duration value, duration expected)
{
    return value >= expected * 0.99 && value <= expected * 1.13;
}

} // namespace

// Guards against quantiles that are off by more than their stated 12%, or that stick to the past
// after a stage slows down.
Test(latency_quantiles, follow_the_true_quantiles_in_bounded_memory)
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
            const duration truth = all[static_cast<std::size_t>(q * 19999)];
            check(near(quantiles.quantile(q), truth), "quantile " + std::to_string(q));
        }
        section("when the stage becomes ten times slower", [&] {
            for (int second = 1; second <= 120; ++second) {
                for (int sample = 0; sample < 100; ++sample) {
                    quantiles.record(500ms, start + std::chrono::seconds(second));
                }
            }
            check(near(quantiles.quantile(0.5), 500ms), "the median follows within two minutes");
        });
        section("when a day passes, weights do not overflow", [&] {
            quantiles.record(20ms, start + 24h);
            check(near(quantiles.quantile(0.99), 20ms), "only the new sample counts");
        });
    });
    section("durations out of range count as the nearest edge", [] {
        latency_quantiles quantiles;
        quantiles.record(1us, start);
        check(quantiles.quantile(0.5) == 100us, "lower edge");
        quantiles.record(2h, start);
        check(quantiles.quantile(1) == 1000s, "upper edge");
        check(latency_quantiles().quantile(0.5) == 0ns, "nothing recorded");
    });
}

// Guards against a stage that uses time which later stages need, and against adding up stages that
// run side by side.
Test(deadline_budget, divides_the_time_by_what_follows)
{
    const auto budget = measured({50ms, 200ms, 100ms, 50ms, 1s}, 300ms);
    section("given a pipeline with two stages side by side", [&] {
        check(near(budget.tail(0, 0.95), 1250ms), "the slower branch counts once");
        check(near(budget.tail(2, 0.95), 1050ms), "a branch does not wait for its sibling");
        check(budget.tail(4, 0.95) == 0ns, "nothing follows the last stage");
        check(near(budget.longest_path({}, {}, 0.95, false), 1300ms), "whole path");
        check(near(budget.longest_path({}, {}, 0.95, true), 600ms), "path to the first chunk");
        check(near(budget.longest_path({true, true, true, false, false}, {}, 0.95, false), 1050ms),
              "finished stages take no more time");
    });
    section("when a request starts with 2.6 s left", [&] {
        const config::target objective{2600ms, 0.95, 700ms, std::nullopt};
        const auto limits = budget.limits(0, objective, start, start + 2600ms, start);
        check(limits.target > start + 95ms && limits.target < start + 105ms,
              "twice the usual time gives the first stage twice its usual latency");
        check(limits.give_up <= start + 1360ms, "it gives up while the rest can still be met");
        check(limits.latest_start < limits.give_up, "the latest start leaves time to run");
        check(limits.urgent_by < start + 110ms, "the first token is more urgent than the end");
    });
}

// Guards against work on requests that must miss their deadline, and against refusals of requests
// that could still meet it.
Test(deadline_budget, recognises_what_cannot_be_met)
{
    const auto budget = measured({50ms, 200ms, 100ms, 50ms, 1s}, 300ms);
    config::target objective{2s, 0.95, 1s, std::nullopt};
    section("given enough time", [&] {
        check(budget.judge(objective, start, start + 2s, {}, {}, start).deadline, "reachable");
    });
    section("given a wait ahead of one stage that uses up the time", [&] {
        const std::vector<duration> waits{0s, 0s, 0s, 900ms, 0s};
        const auto verdict = budget.judge(objective, start, start + 2s, {}, waits, start);
        check(!verdict.deadline, "recognised before the first stage");
        check(near(verdict.needed, 2200ms) && verdict.available == 2s, "the figures say why");
    });
    section("given a wait on the faster branch that the slower one hides", [&] {
        const std::vector<duration> waits{0s, 0s, 100ms, 0s, 0s};
        check(near(budget.judge(objective, start, start + 2s, {}, waits, start).needed, 1300ms),
              "no longer path");
    });
    section("given only the first token in danger, the deadline still counts as reachable", [&] {
        const auto verdict = budget.judge(objective, start, start + 2500ms, {}, {}, start + 600ms);
        check(verdict.deadline && !verdict.first_token, "told apart");
    });
    section("given no measurements, nothing is refused", [&] {
        const deadline_budget unknown(diamond());
        check(unknown.judge(objective, start, start + 1ms, {}, {}, start).deadline, "reachable");
    });
}
