// Decisions of a complete request of three stages, with a given number of requests in flight. The
// baseline is the minimum that any dispatcher does: the same actions for a random endpoint. Counts
// allocations.

#include "dispatcher_harness.hpp"

#include <benchmark/benchmark.h>
#include <cstdlib>
#include <deque>
#include <new>

#include <quetzal/base/random.hpp>

namespace {

std::size_t allocations = 0;

} // namespace

// Not inlined: GCC 12 reports the inlined pair as a mismatch of new and free.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

using namespace quetzal;
using namespace quetzal::serving;
using testing::harness;

void whole_request(benchmark::State& state)
{
    harness fleet(24, {}, {}, 8);
    dispatcher& subject = *fleet.subject;
    time_point now = fleet.now;
    std::uint64_t last = 0;
    std::deque<start_attempt> running;
    const auto take = [&](const actions& all) {
        for (const action& item : all) {
            if (const auto* start = std::get_if<start_attempt>(&item)) {
                running.push_back(*start);
            }
        }
    };
    const auto submit = [&] {
        const auto request = static_cast<request_key>(++last);
        subject.submit_request({request, class_id("book"), customer_id("rugs"), now, {}}, now);
        take(subject.submit_call({request, static_cast<call_key>(last * 10), 0, {}, {}}, now));
    };
    const auto finish_one = [&] {
        const start_attempt attempt = running.front();
        running.pop_front();
        now += std::chrono::microseconds(200);
        take(subject.attempt_succeeded({attempt.call, attempt.attempt, {}}, now));
        const auto key = static_cast<std::uint64_t>(attempt.call);
        if (key % 10 < 2) {
            take(subject.submit_call(
                {attempt.request, static_cast<call_key>(key + 1), key % 10 + 1, {}, {}}, now));
        } else {
            subject.finish_request(attempt.request, true, now);
            submit();
        }
    };
    for (std::int64_t request = 0; request < state.range(0); ++request) {
        submit();
    }
    for (int warm_up = 0; warm_up < 10000; ++warm_up) {
        finish_one();
    }
    const std::size_t before = allocations;
    for (auto _ : state) {
        for (int stage = 0; stage < 3; ++stage) {
            finish_one();
        }
    }
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                       benchmark::Counter::kAvgIterations);
}
BENCHMARK(whole_request)->Arg(8)->Arg(64);

void random_endpoint(benchmark::State& state)
{
    random_source random(1);
    std::vector<endpoint_id> endpoints;
    for (int index = 0; index < 24; ++index) {
        endpoints.emplace_back("generate-" + std::to_string(index));
    }
    const std::size_t before = allocations;
    for (auto _ : state) {
        for (int stage = 0; stage < 3; ++stage) {
            start_attempt attempt;
            attempt.endpoint = endpoints[random.below(endpoints.size())];
            actions all;
            all.emplace_back(attempt);
            benchmark::DoNotOptimize(all.data());
            actions done;
            done.emplace_back(call_done{});
            benchmark::DoNotOptimize(done.data());
        }
    }
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                       benchmark::Counter::kAvgIterations);
}
BENCHMARK(random_endpoint);

} // namespace

BENCHMARK_MAIN();
