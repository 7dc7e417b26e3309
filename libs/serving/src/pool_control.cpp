#include <quetzal/serving/pool_control.hpp>

#include <algorithm>

namespace quetzal::serving {

namespace {

bool has_weights(const managed_engine& engine, const weights& wanted)
{
    return engine.loading == wanted ||
           std::find(engine.loaded.begin(), engine.loaded.end(), wanted) != engine.loaded.end();
}

bool has_base_model(const managed_engine& engine, const weights& wanted)
{
    return std::any_of(engine.loaded.begin(), engine.loaded.end(), [&](const weights& loaded) {
        return loaded.model == wanted.model && loaded.adapter.empty();
    });
}

bool satisfies(const managed_engine& engine, const engine_demand& demand)
{
    return demand.load ? has_weights(engine, *demand.load) : engine.role == demand.role;
}

// Loads are harmless when repeated or late; role changes are not.
bool may_command(const managed_engine& engine, const engine_demand& demand)
{
    if (engine.loading) {
        return false;
    }
    return engine.checks_fence || (demand.load && engine.previous_lease_expired);
}

// Returns the rate of requests that miss their targets per byte. A role change is assigned the cost
// of a small load.
double value_of(const engine_demand& demand)
{
    constexpr double role_change_cost = 1 << 20;
    const double cost =
        demand.load ? std::max<double>(static_cast<double>(demand.bytes), 1) : role_change_cost;
    return demand.shortfall * demand.requests / cost;
}

control_command command_for(const managed_engine& engine, const engine_demand& demand)
{
    if (demand.load) {
        return load_command{engine.endpoint, *demand.load};
    }
    return role_command{engine.endpoint, demand.role};
}

// Removes the best engine for a demand from `free` and returns it: for an adapter, an engine with
// its base model; then the least loaded one.
managed_engine* best_engine(std::vector<managed_engine*>& free, const engine_demand& demand)
{
    managed_engine* best = nullptr;
    const auto rank = [&](const managed_engine& engine) {
        const bool base =
            demand.load && !demand.load->adapter.empty() && has_base_model(engine, *demand.load);
        return std::pair(base ? 0 : 1, engine.load);
    };
    for (managed_engine* engine : free) {
        const bool fits = !satisfies(*engine, demand) && may_command(*engine, demand);
        if (fits && (best == nullptr || rank(*engine) < rank(*best))) {
            best = engine;
        }
    }
    std::erase(free, best);
    return best;
}

} // namespace

std::vector<control_command> plan_commands(const std::vector<managed_engine>& engines,
                                           std::vector<engine_demand> demands, store_budget store)
{
    std::stable_sort(demands.begin(), demands.end(),
                     [](const auto& a, const auto& b) { return value_of(a) > value_of(b); });
    std::vector<managed_engine> copies = engines;
    std::vector<managed_engine*> free;
    free.reserve(copies.size());
    for (managed_engine& engine : copies) {
        free.push_back(&engine);
    }
    std::vector<control_command> commands;
    for (const engine_demand& demand : demands) {
        auto present = static_cast<std::size_t>(
            std::count_if(engines.begin(), engines.end(),
                          [&](const managed_engine& engine) { return satisfies(engine, demand); }));
        const std::uint64_t bytes = demand.load ? demand.bytes : 0;
        while (present < demand.engines && value_of(demand) > 0 && bytes <= store.available) {
            const managed_engine* engine = best_engine(free, demand);
            if (engine == nullptr) {
                break;
            }
            store.available -= bytes;
            commands.push_back(command_for(*engine, demand));
            ++present;
        }
    }
    return commands;
}

kv_transfer_decision evaluate_kv_transfer(const kv_candidate& candidate)
{
    kv_transfer_decision decision;
    decision.recompute_tokens = candidate.tokens;
    if (candidate.bytes_per_second <= 0 || candidate.prefill_tokens_per_second <= 0) {
        return decision;
    }
    const double bytes = static_cast<double>(candidate.bytes_per_token) * candidate.tokens;
    const double seconds = bytes / candidate.bytes_per_second +
                           std::chrono::duration<double>(candidate.round_trip).count();
    decision.transfer_tokens = seconds * candidate.prefill_tokens_per_second;
    decision.worthwhile = decision.transfer_tokens < decision.recompute_tokens;
    return decision;
}

} // namespace quetzal::serving
