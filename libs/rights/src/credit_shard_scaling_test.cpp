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
constexpr std::size_t admissions = 200'000; // per thread
const time_point now{std::chrono::hours(1)};

using shards_type = sharded<credit_shard>;

std::vector<customer_id> make_customer_ids()
{
    std::vector<customer_id> ids;
    for (std::size_t index = 0; index < customers; ++index) {
        ids.emplace_back("customer-" + std::to_string(index));
    }
    return ids;
}

// Returns shards whose wallets hold more credits than a test spends.
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
            std::vector<outgoing_credit_request> requests;
            shard.collect_requests(
                requests, sequence, [](partition_index) { return instance_id("home"); },
                [](partition_index, const instance_id&) {}, now);
            peer::credit_grant grant{requests.at(0).request.sequence, 0, id, true, 4'000'000'000u,
                                     std::chrono::hours(1),           {}};
            shard.on_grant(instance_id("home"), grant, now);
        });
    }
    return shards;
}

struct usage
{
    double cpu_seconds = 0;        // sum of all threads
    double voluntary_switches = 0; // per admission, by threads that had to wait
};

double thread_cpu_seconds()
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
        const auto result = shards.with(std::hash<customer_id>{}(id),
                                        [&](credit_shard& shard) { return shard.admit(id, now); });
        admitted_count += std::holds_alternative<admitted>(result) ? 1 : 0;
    }
    return admitted_count;
}

using customers_of_threads = std::array<std::vector<customer_id>, threads>;

// Assigns to each thread the customers of a distinct set of shards.
customers_of_threads customers_by_shard(const std::vector<customer_id>& ids)
{
    customers_of_threads parts;
    for (const auto& id : ids) {
        parts[std::hash<customer_id>{}(id) % shard_count % threads].push_back(id);
    }
    return parts;
}

// Runs ten threads; thread t works on ids[t] in shards[t % shards.size()].
usage run_threads(std::vector<std::unique_ptr<shards_type>>& shards,
                  const customers_of_threads& ids)
{
    std::array<usage, threads> used;
    std::latch ready(threads);
    std::vector<std::thread> running;
    for (std::size_t index = 0; index < threads; ++index) {
        running.emplace_back([&, index] {
            ready.arrive_and_wait();
            rusage before{};
            getrusage(RUSAGE_THREAD, &before);
            const double start = thread_cpu_seconds();
            admit_all(*shards[index % shards.size()], ids[index], index * 31);
            rusage after{};
            getrusage(RUSAGE_THREAD, &after);
            used[index] = {thread_cpu_seconds() - start,
                           static_cast<double>(after.ru_nvcsw - before.ru_nvcsw)};
        });
    }
    usage sum;
    for (std::size_t index = 0; index < threads; ++index) {
        running[index].join();
        sum.cpu_seconds += used[index].cpu_seconds;
        sum.voluntary_switches += used[index].voluntary_switches / (threads * admissions);
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

// Guards against a memory allocation in the path of every request.
Test(scaling, an_admission_from_the_wallet_allocates_nothing)
{
    const auto ids = make_customer_ids();
    auto shards = filled_shards(ids);
    const auto before = allocations.load();
    check(admit_all(*shards, ids, 0) == admissions, "all requests are admitted");
    check(allocations.load() == before, "no allocation");
}

// Guards against a lock or a cache line that all shards share. Ten threads do at least six times
// the work of one if sharing costs them at most four tenths. The test compares the CPU time of ten
// threads on distinct shards of one object with that of ten threads on separate objects, so that
// other processes on the machine slow both sides alike. When all threads serve all customers
// without pause, the cache lines of locks and wallets move between cores with every admission; this
// time is only printed, and only the number of waits is bounded.
Test(scaling, ten_threads_on_shards_do_the_work_of_six)
{
    const auto ids = make_customer_ids();
    const auto parts = customers_by_shard(ids);
    customers_of_threads all_customers;
    all_customers.fill(ids);
    std::vector<std::unique_ptr<shards_type>> shared;
    shared.push_back(filled_shards(ids));
    std::vector<std::unique_ptr<shards_type>> separate;
    for (std::size_t index = 0; index < threads; ++index) {
        separate.push_back(filled_shards(ids));
    }
    usage shared_usage{1e9, 1e9};
    usage separate_usage{1e9, 1e9};
    usage mixed_usage{1e9, 1e9};
    const auto keep_minimum = [](usage& minimum, const usage& value) {
        minimum.cpu_seconds = std::min(minimum.cpu_seconds, value.cpu_seconds);
        minimum.voluntary_switches = std::min(minimum.voluntary_switches, value.voluntary_switches);
    };
    for (int round = 0; round < 7; ++round) {
        keep_minimum(shared_usage, run_threads(shared, parts));
        keep_minimum(separate_usage, run_threads(separate, parts));
        keep_minimum(mixed_usage, run_threads(shared, all_customers));
    }
    const double nanoseconds = 1e9 / (threads * admissions);
    std::printf("CPU time per admission: distinct shards of one object %.0f ns, separate objects "
                "%.0f ns, all customers by all threads %.0f ns; waits %.4f\n",
                shared_usage.cpu_seconds * nanoseconds, separate_usage.cpu_seconds * nanoseconds,
                mixed_usage.cpu_seconds * nanoseconds, mixed_usage.voluntary_switches);
    check(separate_usage.cpu_seconds / shared_usage.cpu_seconds >= 0.6,
          "sharing costs at most four tenths");
    check(mixed_usage.voluntary_switches < 0.01, "threads rarely wait for each other");
}
