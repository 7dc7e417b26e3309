#include <quetzal/serving/pool_control.hpp>

#include <algorithm>

namespace quetzal::serving {

namespace {

bool has(const held_engine& engine, const weights& wanted)
{
    return engine.loading == wanted ||
           std::find(engine.loaded.begin(), engine.loaded.end(), wanted) != engine.loaded.end();
}

bool has_base_model(const held_engine& engine, const weights& wanted)
{
    return std::any_of(engine.loaded.begin(), engine.loaded.end(), [&](const weights& loaded) {
        return loaded.model == wanted.model && loaded.adapter.empty();
    });
}

bool satisfied(const held_engine& engine, const control_need& need)
{
    return need.load ? has(engine, *need.load) : engine.role == need.role;
}

// Loads are harmless when repeated or late; role changes are not.
bool may_order(const held_engine& engine, const control_need& need)
{
    if (engine.loading) {
        return false;
    }
    return engine.checks_fence || (need.load && engine.former_lease_over);
}

// Requests in danger per byte; a role change costs as much as a small load.
double value_of(const control_need& need)
{
    constexpr double role_change_cost = 1 << 20;
    const double cost =
        need.load ? std::max<double>(static_cast<double>(need.bytes), 1) : role_change_cost;
    return need.danger * need.requests / cost;
}

control_order order_for(const held_engine& engine, const control_need& need)
{
    if (need.load) {
        return load_order{engine.endpoint, *need.load};
    }
    return role_order{engine.endpoint, need.role};
}

// Returns the best engine for a need: one with the base model of an adapter, then the idlest.
held_engine* best_engine(std::vector<held_engine*>& free, const control_need& need)
{
    held_engine* best = nullptr;
    const auto rank = [&](const held_engine& engine) {
        const bool base =
            need.load && !need.load->adapter.empty() && has_base_model(engine, *need.load);
        return std::pair(base ? 0 : 1, engine.load);
    };
    for (held_engine* engine : free) {
        const bool fits = !satisfied(*engine, need) && may_order(*engine, need);
        if (fits && (best == nullptr || rank(*engine) < rank(*best))) {
            best = engine;
        }
    }
    std::erase(free, best);
    return best;
}

} // namespace

std::vector<control_order> plan_orders(const std::vector<held_engine>& engines,
                                       std::vector<control_need> needs, store_budget store)
{
    std::stable_sort(needs.begin(), needs.end(),
                     [](const auto& a, const auto& b) { return value_of(a) > value_of(b); });
    std::vector<held_engine> copies = engines;
    std::vector<held_engine*> free;
    free.reserve(copies.size());
    for (held_engine& engine : copies) {
        free.push_back(&engine);
    }
    std::vector<control_order> orders;
    for (const control_need& need : needs) {
        auto present = static_cast<std::size_t>(
            std::count_if(engines.begin(), engines.end(),
                          [&](const held_engine& engine) { return satisfied(engine, need); }));
        const std::uint64_t bytes = need.load ? need.bytes : 0;
        while (present < need.engines && value_of(need) > 0 && bytes <= store.available) {
            const held_engine* engine = best_engine(free, need);
            if (engine == nullptr) {
                break;
            }
            store.available -= bytes;
            orders.push_back(order_for(*engine, need));
            ++present;
        }
    }
    return orders;
}

kv_verdict judge_kv_move(const kv_candidate& candidate)
{
    kv_verdict verdict;
    verdict.recompute_tokens = candidate.tokens;
    if (candidate.bytes_per_second <= 0 || candidate.prefill_tokens_per_second <= 0) {
        return verdict;
    }
    const double bytes = static_cast<double>(candidate.bytes_per_token) * candidate.tokens;
    const double seconds = bytes / candidate.bytes_per_second +
                           std::chrono::duration<double>(candidate.round_trip).count();
    verdict.move_tokens = seconds * candidate.prefill_tokens_per_second;
    verdict.move = verdict.move_tokens < verdict.recompute_tokens;
    return verdict;
}

} // namespace quetzal::serving
