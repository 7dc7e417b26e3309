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

held_engine engine(const std::string& name, double load = 0, bool checks_fence = true)
{
    held_engine held;
    held.endpoint = endpoint_id(name);
    held.load = load;
    held.checks_fence = checks_fence;
    return held;
}

control_need need(const weights& what, double danger, std::uint64_t bytes)
{
    control_need wanted;
    wanted.load = what;
    wanted.danger = danger;
    wanted.requests = 10;
    wanted.bytes = bytes;
    return wanted;
}

} // namespace

// Guards against loads that exceed the weight store's rate or serve lesser needs first.
Test(pool_control, orders_by_danger_within_the_stores_rate)
{
    section("given two needs and a store that allows one", [] {
        const auto orders = plan_orders({engine("e1"), engine("e2")},
                                        {need(large, 0.1, 1000), need(base, 0.5, 1000)}, {1500});
        check(orders.size() == 1, "one load");
        check(std::get<load_order>(orders[0]).what == base, "of the targets in greater danger");
    });
    section("given targets that are met, nothing is loaded", [] {
        check(plan_orders({engine("e1")}, {need(base, 0, 1000)}, {5000}).empty(), "no order");
    });
    section("given an adapter, an engine with its model is preferred", [] {
        auto with_model = engine("e2", 0.9);
        with_model.loaded = {base};
        const auto orders = plan_orders({engine("e1"), with_model}, {need(flags, 0.5, 10)}, {100});
        check(std::get<load_order>(orders[0]).endpoint.name == "e2", "although it is busier");
    });
    section("given an engine that loads already, it gets no second order", [] {
        auto loading = engine("e1");
        loading.loading = base;
        check(plan_orders({loading}, {need(base, 0.5, 10), need(large, 0.5, 10)}, {100}).empty(),
              "no order");
    });
}

// Guards against a late order of a former holder taking effect in a pool that ignores fencing.
Test(pool_control, unfenced_pools_get_only_harmless_orders)
{
    control_need role;
    role.role = engine_role::decode;
    role.danger = 0.5;
    role.requests = 10;
    auto unfenced = engine("e1", 0, false);
    section("while the former lease may run, no order is given",
            [&] { check(plan_orders({unfenced}, {need(base, 0.5, 10)}, {100}).empty(), "none"); });
    section("after it, loads are given but no role changes", [&] {
        unfenced.former_lease_over = true;
        check(plan_orders({unfenced}, {need(base, 0.5, 10)}, {100}).size() == 1, "a load");
        check(plan_orders({unfenced}, {role}, {100}).empty(), "no role change");
        check(plan_orders({engine("e2")}, {role}, {100}).size() == 1, "but with fencing");
    });
}

// Guards against moving a cache that is cheaper to compute again.
Test(pool_control, moves_a_cache_only_when_that_is_cheaper)
{
    kv_candidate candidate{8000, 100'000, 2e9, 20ms, 10'000};
    const auto far = judge_kv_move(candidate);
    check(far.move && far.move_tokens > 4100 && far.move_tokens < 4300, "0.42 s against 0.8 s");
    candidate.tokens = 100;
    check(!judge_kv_move(candidate).move, "a short prefix does not repay the round trip");
    candidate.bytes_per_second = 0;
    check(!judge_kv_move(candidate).move, "no connection");
}
