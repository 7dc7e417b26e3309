// Measures the cost of an admission from a delegate's wallet and how it scales over shards. On a
// machine with ten free cores, ten threads must admit at least six times as many requests as one
// thread; credit_shard_scaling_test.cpp checks the part of this that holds on a busy machine.

#include <benchmark/benchmark.h>

#include <quetzal/base/sharded.hpp>
#include <quetzal/rights/credit_shard.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::rights;

constexpr std::size_t customer_count = 3200;
const time_point now{std::chrono::hours(1)};

customer_id customer(std::size_t index)
{
    return customer_id("customer-" + std::to_string(index));
}

// Returns shards whose wallets do not run out of credits within a benchmark.
sharded<credit_shard>& filled_shards()
{
    static sharded<credit_shard>& shards = *[] {
        auto* made = new sharded<credit_shard>(
            std::size_t{64}, options{},
            std::shared_ptr<const partition_terms>(std::make_shared<partition_terms>()));
        std::uint32_t sequence = 0;
        for (std::size_t index = 0; index < customer_count; ++index) {
            const auto id = customer(index);
            made->with(std::hash<customer_id>{}(id), [&](credit_shard& shard) {
                shard.set_limits(id, {1000, 1000}, now);
                shard.admit(id, now);
                std::vector<outgoing_credit_request> requests;
                shard.collect_requests(
                    requests, sequence, [](partition_index) { return instance_id("home"); },
                    [](partition_index, const instance_id&) {}, now);
                peer::credit_grant grant;
                grant.sequence = requests.at(0).request.sequence;
                grant.customer = id;
                grant.is_home = true;
                grant.tokens = 4'000'000'000u;
                grant.valid_for = std::chrono::hours(1);
                shard.on_grant(instance_id("home"), grant, now);
            });
        }
        return made;
    }();
    return shards;
}

void admit_from_wallet(benchmark::State& state)
{
    auto& shards = filled_shards();
    std::vector<customer_id> ids;
    for (std::size_t index = 0; index < customer_count; ++index) {
        ids.push_back(customer((index * 7 + static_cast<std::size_t>(state.thread_index()) * 311) %
                               customer_count));
    }
    std::size_t next = 0;
    for (auto step : state) {
        static_cast<void>(step);
        const auto& id = ids[next];
        next = next + 1 == ids.size() ? 0 : next + 1;
        benchmark::DoNotOptimize(
            shards.with(std::hash<customer_id>{}(id),
                        [&](credit_shard& shard) { return shard.admit(id, now); }));
    }
    state.SetItemsProcessed(state.iterations());
}

} // namespace

BENCHMARK(admit_from_wallet)->Threads(1)->Threads(2)->Threads(10)->UseRealTime();

BENCHMARK_MAIN();
