#include <array>
#include <atomic>
#include <cstdlib>
#include <ctime>
#include <latch>
#include <new>
#include <thread>

#include <sys/resource.h>

#include <quetzal/base/sharded.hpp>
#include <quetzal/rights/credit_shard.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::rights;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

std::atomic<std::uint64_t> allocations{0};

constexpr std::size_t threads = 10;
constexpr std::size_t customers = 3200;
constexpr std::size_t shard_count = 64;
constexpr std::size_t admissions = 200'000; // by each thread
const time_point now{std::chrono::hours(1)};

using shards_type = sharded<credit_shard>;

std::vector<customer_id> names()
{
    std::vector<customer_id> ids;
    for (std::size_t index = 0; index < customers; ++index) {
        ids.emplace_back("customer-" + std::to_string(index));
    }
    return ids;
}

// Shards whose wallets hold more credits than a test uses.
std::unique_ptr<shards_type> filled_shards(const std::vector<customer_id>& ids)
{
    auto shards = std::make_unique<shards_type>(
        shard_count, options{},
        std::shared_ptr<const partition_terms>(std::make_shared<partition_terms>()));
    std::uint32_t sequence = 0;
    for (const auto& id : ids) {
        shards->with(std::hash<customer_id>{}(id), [&](credit_shard& shard) {
            shard.set_limits(id, {1000, 1000}, now);
            shard.admit(id, now);
            std::vector<credit_ask> asks;
            shard.collect(
                asks, sequence, [](partition_index) { return instance_id("home"); },
                [](partition_index, const instance_id&) {}, now);
            peer::credit_grant grant{asks.at(0).request.sequence, 0, id, true, 4'000'000'000u,
                                     std::chrono::hours(1),       {}};
            shard.on_grant(instance_id("home"), grant, now);
        });
    }
    return shards;
}

struct usage
{
    double processor = 0; // seconds of all threads
    double switches = 0;  // of threads that waited, for each admission
};

double processor_seconds()
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

std::size_t admit_all(shards_type& shards, const std::vector<customer_id>& ids, std::size_t offset)
{
    std::size_t admitted_count = 0;
    for (std::size_t turn = 0; turn < admissions; ++turn) {
        const auto& id = ids[(turn * 7 + offset) % ids.size()];
        const auto answer = shards.with(std::hash<customer_id>{}(id),
                                        [&](credit_shard& shard) { return shard.admit(id, now); });
        admitted_count += std::holds_alternative<admitted>(answer) ? 1 : 0;
    }
    return admitted_count;
}

using names_of_threads = std::array<std::vector<customer_id>, threads>;

// Gives each thread the customers of shards of its own.
names_of_threads names_by_shard(const std::vector<customer_id>& ids)
{
    names_of_threads parts;
    for (const auto& id : ids) {
        parts[std::hash<customer_id>{}(id) % shard_count % threads].push_back(id);
    }
    return parts;
}

// Runs ten threads; thread t works on ids[t] in shards[t % shards.size()].
usage run_threads(std::vector<std::unique_ptr<shards_type>>& shards, const names_of_threads& ids)
{
    std::array<usage, threads> used;
    std::latch ready(threads);
    std::vector<std::thread> running;
    for (std::size_t index = 0; index < threads; ++index) {
        running.emplace_back([&, index] {
            ready.arrive_and_wait();
            rusage before{};
            getrusage(RUSAGE_THREAD, &before);
            const double start = processor_seconds();
            admit_all(*shards[index % shards.size()], ids[index], index * 31);
            rusage after{};
            getrusage(RUSAGE_THREAD, &after);
            used[index] = {processor_seconds() - start,
                           static_cast<double>(after.ru_nvcsw - before.ru_nvcsw)};
        });
    }
    usage sum;
    for (std::size_t index = 0; index < threads; ++index) {
        running[index].join();
        sum.processor += used[index].processor;
        sum.switches += used[index].switches / (threads * admissions);
    }
    return sum;
}

} // namespace

void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

// Guards against an allocation on the path of every request.
Test(scaling, an_admission_from_the_wallet_allocates_nothing)
{
    const auto ids = names();
    auto shards = filled_shards(ids);
    const auto before = allocations.load();
    check(admit_all(*shards, ids, 0) == admissions, "all are admitted");
    check(allocations.load() == before, "no allocation");
}

// Guards against a lock or a cache line that all shards share. Ten threads reach six times the work
// of one if working beside each other costs them at most four tenths. The test compares the
// processor time of ten threads on shards of one object with that of ten threads on objects of
// their own, so that other processes on the machine slow both sides alike. When all threads serve
// all customers without pause, the lines of locks and wallets move between cores with every
// admission; that figure is printed, and only waiting is bounded.
Test(scaling, ten_threads_on_shards_do_the_work_of_six)
{
    const auto ids = names();
    const auto parts = names_by_shard(ids);
    names_of_threads everybody;
    everybody.fill(ids);
    std::vector<std::unique_ptr<shards_type>> shared;
    shared.push_back(filled_shards(ids));
    std::vector<std::unique_ptr<shards_type>> apart;
    for (std::size_t index = 0; index < threads; ++index) {
        apart.push_back(filled_shards(ids));
    }
    usage beside{1e9, 1e9};
    usage alone{1e9, 1e9};
    usage mixed{1e9, 1e9};
    const auto keep_least = [](usage& least, const usage& value) {
        least.processor = std::min(least.processor, value.processor);
        least.switches = std::min(least.switches, value.switches);
    };
    for (int round = 0; round < 7; ++round) {
        keep_least(beside, run_threads(shared, parts));
        keep_least(alone, run_threads(apart, parts));
        keep_least(mixed, run_threads(shared, everybody));
    }
    const double nanoseconds = 1e9 / (threads * admissions);
    std::printf("processor time of an admission: on shards of one object %.0f ns, on objects apart "
                "%.0f ns, all customers by all threads %.0f ns; waits %.4f\n",
                beside.processor * nanoseconds, alone.processor * nanoseconds,
                mixed.processor * nanoseconds, mixed.switches);
    check(alone.processor / beside.processor >= 0.6, "sharing costs at most four tenths");
    check(mixed.switches < 0.01, "threads seldom wait for each other");
}
