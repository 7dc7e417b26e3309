#include <quetzal/serving/pool_control.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const weights base{"base", "", "1"};
const weights flags{"base", "flags", "2"};
const weights large{"large", "", "1"};

managed_engine engine(const std::string& name, double load = 0, bool checks_fence = true)
{
    managed_engine held;
    held.endpoint = endpoint_id(name);
    held.load = load;
    held.checks_fence = checks_fence;
    return held;
}

engine_demand demand(const weights& target, double shortfall, std::uint64_t bytes)
{
    engine_demand wanted;
    wanted.load = target;
    wanted.shortfall = shortfall;
    wanted.requests = 10;
    wanted.bytes = bytes;
    return wanted;
}

} // namespace

// Guards against loads that exceed the weight store's budget or serve less urgent demands first.
Test(pool_control, plans_by_shortfall_within_the_store_budget)
{
    section("given two demands and a store budget for one", [] {
        const auto commands =
            plan_commands({engine("e1"), engine("e2")},
                          {demand(large, 0.1, 1000), demand(base, 0.5, 1000)}, {1500});
        check(commands.size() == 1, "one load is planned");
        check(std::get<load_command>(commands[0]).target == base,
              "the load serves the greater shortfall");
    });
    section("when the targets are met, nothing is loaded", [] {
        check(plan_commands({engine("e1")}, {demand(base, 0, 1000)}, {5000}).empty(), "no command");
    });
    section("given an adapter, an engine with its model is preferred", [] {
        auto with_model = engine("e2", 0.9);
        with_model.loaded = {base};
        const auto commands =
            plan_commands({engine("e1"), with_model}, {demand(flags, 0.5, 10)}, {100});
        check(std::get<load_command>(commands[0]).endpoint.name == "e2",
              "the engine with the model is chosen although its load is higher");
    });
    section("an engine that is already loading gets no second command", [] {
        auto loading = engine("e1");
        loading.loading = base;
        check(plan_commands({loading}, {demand(base, 0.5, 10), demand(large, 0.5, 10)}, {100})
                  .empty(),
              "no command");
    });
}

// Guards against a late command of a previous holder taking effect in a pool that ignores fencing
// tokens.
Test(pool_control, unfenced_pools_get_only_harmless_commands)
{
    engine_demand role;
    role.role = engine_role::decode;
    role.shortfall = 0.5;
    role.requests = 10;
    auto unfenced = engine("e1", 0, false);
    section("while the previous lease may be valid, no command is planned", [&] {
        check(plan_commands({unfenced}, {demand(base, 0.5, 10)}, {100}).empty(), "no command");
    });
    section("after the lease has expired, loads are planned but no role changes", [&] {
        unfenced.previous_lease_expired = true;
        check(plan_commands({unfenced}, {demand(base, 0.5, 10)}, {100}).size() == 1,
              "the load is planned");
        check(plan_commands({unfenced}, {role}, {100}).empty(), "no role change is planned");
        check(plan_commands({engine("e2")}, {role}, {100}).size() == 1,
              "an engine that checks fencing tokens may change its role");
    });
}

// Guards against transferring a KV cache that is cheaper to recompute.
Test(pool_control, transfers_a_cache_only_when_that_is_cheaper)
{
    kv_candidate candidate{8000, 100'000, 2e9, 20ms, 10'000};
    const auto far = evaluate_kv_transfer(candidate);
    check(far.worthwhile && far.transfer_tokens > 4100 && far.transfer_tokens < 4300,
          "the transfer takes 0.42 s, recomputation 0.8 s");
    candidate.tokens = 100;
    check(!evaluate_kv_transfer(candidate).worthwhile,
          "for a short prefix, the round trip costs more than recomputation");
    candidate.bytes_per_second = 0;
    check(!evaluate_kv_transfer(candidate).worthwhile, "without bandwidth, no transfer");
}
