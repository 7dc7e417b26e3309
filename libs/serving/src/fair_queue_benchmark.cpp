// Push and pop with a constant backlog. The baseline is one list sorted by urgency, which is not
// fair to customers.

#include <quetzal/serving/fair_queue.hpp>

#include <benchmark/benchmark.h>
#include <map>
#include <string>

namespace {

using namespace quetzal;
using namespace quetzal::serving;

queue_entry make_entry(std::uint64_t key, const std::vector<customer_id>& customers)
{
    queue_entry entry;
    entry.key = key;
    entry.customer = customers[key * 7 % customers.size()];
    entry.urgent_by =
        time_point(std::chrono::hours(1) + std::chrono::microseconds(key * 37 % 5000));
    entry.expires = entry.urgent_by + std::chrono::hours(1);
    entry.deadline = entry.expires;
    return entry;
}

std::vector<customer_id> customers(std::int64_t count)
{
    std::vector<customer_id> names;
    for (std::int64_t index = 0; index < count; ++index) {
        names.emplace_back("customer-" + std::to_string(index));
    }
    return names;
}

void fair(benchmark::State& state)
{
    const auto names = customers(state.range(0));
    fair_queue queue;
    std::vector<removed_entry> removed;
    std::uint64_t key = 0;
    for (; key < 512; ++key) {
        queue.push(make_entry(key, names));
    }
    for (auto _ : state) {
        queue.push(make_entry(++key, names));
        benchmark::DoNotOptimize(queue.pop(time_point(std::chrono::minutes(1)), {}, removed));
    }
}
BENCHMARK(fair)->Arg(5)->Arg(320);

void by_urgency_only(benchmark::State& state)
{
    const auto names = customers(state.range(0));
    std::multimap<time_point, queue_entry> queue;
    std::uint64_t key = 0;
    for (; key < 512; ++key) {
        auto entry = make_entry(key, names);
        queue.emplace(entry.urgent_by, std::move(entry));
    }
    for (auto _ : state) {
        auto entry = make_entry(++key, names);
        queue.emplace(entry.urgent_by, std::move(entry));
        benchmark::DoNotOptimize(queue.extract(queue.begin()));
    }
}
BENCHMARK(by_urgency_only)->Arg(5)->Arg(320);

} // namespace

BENCHMARK_MAIN();
