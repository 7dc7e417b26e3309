// Measures the cost of one change of a 1 MB configuration with 3,200 customers: the bytes that a
// follower fetches, for several chunk sizes, and the processor time of splitting and parsing.

#include <string>

#include <benchmark/benchmark.h>
#include <quetzal/config/chunk_store.hpp>
#include <quetzal/config/published.hpp>

#include "test_documents.hpp"

using namespace quetzal;
using namespace quetzal::config;
using namespace quetzal::config::test;

namespace {

constexpr double changes_per_day = 1200;
constexpr double seconds_per_day = 86'400;
constexpr double manifest_bytes_per_chunk = 20; // hash and size

// Measures the bytes per change over 100 changes of one customer each, for the given chunk sizes.
void bytes_per_change(benchmark::State& state)
{
    const chunk_sizes sizes{static_cast<std::size_t>(state.range(0)),
                            static_cast<std::size_t>(state.range(1)), 16u << 10};
    double manifest_bytes = 0;
    double chunk_bytes = 0;
    constexpr int changes = 100;
    for (auto step : state) {
        manifest_bytes = chunk_bytes = 0;
        manifest previous = make_manifest(1000, large_config(1000), sizes);
        for (int change = 1; change <= changes; ++change) {
            const manifest next = make_manifest(
                1000 + change, large_config(1000 + static_cast<std::uint64_t>(change)), sizes);
            manifest_bytes += manifest_bytes_per_chunk * static_cast<double>(next.chunks.size());
            for (const auto& chunk : next.chunks) {
                if (std::find(previous.chunks.begin(), previous.chunks.end(), chunk) ==
                    previous.chunks.end()) {
                    chunk_bytes += chunk.size;
                }
            }
            previous = next;
        }
    }
    const double per_change = (manifest_bytes + chunk_bytes) / changes;
    state.counters["manifest_B"] = manifest_bytes / changes;
    state.counters["chunks_B"] = chunk_bytes / changes;
    state.counters["B_per_s"] = per_change * changes_per_day / seconds_per_day;
}

void split_and_hash(benchmark::State& state)
{
    const std::string text = large_config(1);
    for (auto step : state) {
        benchmark::DoNotOptimize(make_manifest(1, text));
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
}

void parse(benchmark::State& state)
{
    const std::string text = large_config(1);
    for (auto step : state) {
        benchmark::DoNotOptimize(parse_published(text));
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
}

} // namespace

BENCHMARK(bytes_per_change)
    ->ArgNames({"smallest", "mean"})
    ->Args({512, 512})
    ->Args({512, 1024})
    ->Args({1024, 1024})
    ->Args({1024, 2048})
    ->Args({2048, 2048})
    ->Args({2048, 4096})
    ->Args({4096, 8192})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(split_and_hash)->Unit(benchmark::kMillisecond);
BENCHMARK(parse)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
