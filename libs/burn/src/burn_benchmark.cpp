// Measures the recording of finished requests at the design size, with the allocations per request
// and the bytes per pair that the allocator reports.

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>
#include <quetzal/base/random.hpp>
#include <quetzal/burn/recorder.hpp>
#include <quetzal/burn/report.hpp>

namespace {

std::atomic<std::uint64_t> allocations{0};
std::atomic<std::int64_t> allocated_bytes{0};

} // namespace

// Not inlined, because GCC 12 otherwise reports mismatched allocation and deallocation functions.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    void* const memory = std::malloc(size);
    if (!memory) {
        throw std::bad_alloc();
    }
    allocated_bytes.fetch_add(static_cast<std::int64_t>(malloc_usable_size(memory)),
                              std::memory_order_relaxed);
    return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    if (memory) {
        allocated_bytes.fetch_sub(static_cast<std::int64_t>(malloc_usable_size(memory)),
                                  std::memory_order_relaxed);
    }
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace {

using namespace quetzal;
using namespace quetzal::burn;

constexpr int customers = 3200;
constexpr int classes = 18;

config::published published()
{
    config::published value;
    for (int index = 0; index < classes; ++index) {
        config::work_class work_class;
        work_class.id = class_id("class-with-a-long-name-" + std::to_string(index));
        work_class.objective = {std::chrono::seconds(8), 0.95, std::chrono::milliseconds(1300), {}};
        value.classes.push_back(work_class);
    }
    value.index();
    return value;
}

std::vector<observation> observations()
{
    std::vector<observation> all;
    random_source random(1);
    for (int customer = 0; customer < customers; ++customer) {
        for (int index = 0; index < classes; ++index) {
            observation request;
            request.customer = customer_id("customer-" + std::to_string(customer));
            request.work_class = class_id("class-with-a-long-name-" + std::to_string(index));
            request.took = std::chrono::milliseconds(random.below(9000));
            request.first_token = std::chrono::milliseconds(random.below(1400));
            all.push_back(request);
        }
    }
    return all;
}

void record_requests(benchmark::State& state)
{
    const auto config = published();
    const auto requests = observations();
    const time_point start{std::chrono::hours(100)};
    const auto bytes_before = allocated_bytes.load();
    recorder burn_recorder(start);
    burn_recorder.configure(config);
    for (const auto& one : requests) {
        burn_recorder.record(one, start);
    }
    const auto bytes = allocated_bytes.load() - bytes_before;
    const auto allocations_before = allocations.load();
    time_point now = start;
    random_source random(2);
    for (auto _ : state) {
        now += std::chrono::milliseconds(125); // 8 requests a second
        burn_recorder.record(requests[random.below(requests.size())], now);
    }
    const auto allocated = allocations.load() - allocations_before;
    state.counters["requests/s"] =
        benchmark::Counter(static_cast<double>(state.iterations()), benchmark::Counter::kIsRate);
    state.counters["pairs"] = static_cast<double>(burn_recorder.pairs());
    state.counters["bytes/pair"] =
        static_cast<double>(bytes) / static_cast<double>(burn_recorder.pairs());
    state.counters["MB"] = static_cast<double>(bytes) / 1e6;
    if (allocated > 0) {
        state.SkipWithError("recording for a known pair allocates");
    }
}
BENCHMARK(record_requests);

void snapshot_and_render(benchmark::State& state)
{
    const auto config = published();
    const auto requests = observations();
    const time_point start{std::chrono::hours(100)};
    recorder burn_recorder(start);
    burn_recorder.configure(config);
    const auto pairs = static_cast<std::size_t>(state.range(0));
    for (std::size_t index = 0; index < pairs; ++index) {
        burn_recorder.record(requests[index], start);
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto taken = burn_recorder.take(instance_id("q-1"), incarnation{1}, start);
        const auto text = to_json(taken);
        bytes = text.size();
        const auto read = parse_snapshot(text);
        const auto page = render_html(merge({&*read, 1}, {}));
        benchmark::DoNotOptimize(page.data());
    }
    state.counters["snapshot bytes/pair"] = static_cast<double>(bytes) / static_cast<double>(pairs);
}
BENCHMARK(snapshot_and_render)->Arg(100)->Arg(3200)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
