// Measures the choice and accounting of one call over 600 endpoints, compared with a full scan by
// the same score. Compare results only as ratios within one run.

#include <quetzal/serving/endpoint_chooser.hpp>

#include <benchmark/benchmark.h>

namespace {

using namespace quetzal;
using namespace quetzal::serving;

constexpr std::size_t pool_size = 600;
const time_point start{std::chrono::hours(1)};

endpoint_chooser pool()
{
    endpoint_chooser chooser;
    random_source random(1);
    for (std::size_t index = 0; index < pool_size; ++index) {
        const auto position = chooser.add(endpoint_id("endpoint-" + std::to_string(index)),
                                          static_cast<std::uint32_t>(index % 5), index % 5 != 0);
        chooser.exclude(position, exclusion::unconnected, false);
        chooser.exclude(position, exclusion::cold, false);
        chooser.limit(position, 8);
        load_report report;
        report.running = static_cast<std::uint32_t>(random.below(8));
        chooser.report(position, report, start);
    }
    return chooser;
}

void finish(endpoint_chooser& chooser, endpoint_index endpoint, time_point now)
{
    attempt_outcome outcome;
    outcome.success = true;
    outcome.latency = std::chrono::milliseconds(50);
    chooser.finished(endpoint, outcome, now);
}

void power_of_choices(benchmark::State& state)
{
    auto chooser = pool();
    random_source random(2);
    const prompt_prefix prompt[] = {{1, 500}, {2, 1000}, {3, 2000}};
    choice_request request;
    request.prefixes = std::span(prompt, static_cast<std::size_t>(state.range(0)));
    time_point now = start;
    for (auto _ : state) {
        now += std::chrono::microseconds(50);
        const auto chosen = chooser.choose(request, random, now);
        chooser.started(chosen->endpoint, now);
        finish(chooser, chosen->endpoint, now);
    }
}
BENCHMARK(power_of_choices)->Arg(0)->Arg(3);

void full_scan(benchmark::State& state)
{
    auto chooser = pool();
    time_point now = start;
    for (auto _ : state) {
        now += std::chrono::microseconds(50);
        endpoint_index best = 0;
        double least = chooser.score(0, {}, now);
        for (endpoint_index index = 1; index < pool_size; ++index) {
            const double score = chooser.score(index, {}, now);
            if (score < least) {
                least = score;
                best = index;
            }
        }
        chooser.started(best, now);
        finish(chooser, best, now);
    }
}
BENCHMARK(full_scan);

void all_full(benchmark::State& state)
{
    auto chooser = pool();
    random_source random(2);
    while (const auto chosen = chooser.choose({}, random, start)) {
        chooser.started(chosen->endpoint, start);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(chooser.choose({}, random, start));
    }
}
BENCHMARK(all_full);

// One call at a time can start, at a random endpoint.
void nearly_full(benchmark::State& state)
{
    auto chooser = pool();
    random_source random(2);
    std::vector<endpoint_index> busy;
    while (const auto chosen = chooser.choose({}, random, start)) {
        chooser.started(chosen->endpoint, start);
        busy.push_back(chosen->endpoint);
    }
    for (auto _ : state) {
        const std::size_t ended = random.below(busy.size());
        finish(chooser, busy[ended], start);
        busy[ended] = chooser.choose({}, random, start)->endpoint;
        chooser.started(busy[ended], start);
    }
}
BENCHMARK(nearly_full);

} // namespace

BENCHMARK_MAIN();
