#ifndef QUETZAL_SERVING_POOL_CONTROL_HPP
#define QUETZAL_SERVING_POOL_CONTROL_HPP

// Plans what engines load and which role they have. Only the holder of an endpoint's exclusive
// right gives it orders; the caller passes the endpoints it holds and adds the fencing number.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// A set of weights: a model, or an adapter on top of one.
struct weights
{
    std::string model;
    std::string adapter; // empty: the model itself
    std::string version;

    friend bool operator==(const weights&, const weights&) = default;
};

enum class engine_role
{
    any,
    prefill,
    decode
};

// An engine that this instance may give orders to.
struct held_engine
{
    endpoint_id endpoint;
    std::vector<weights> loaded;
    std::optional<weights> loading; // an order in progress
    engine_role role = engine_role::any;
    double load = 0;                // share of its concurrency in use, for idle engines first
    bool checks_fence = false;      // whether it refuses orders with an old fencing number
    bool former_lease_over = false; // whether no former holder can still send orders
};

// Weights or a role that some targets need.
struct control_need
{
    std::optional<weights> load; // or a role change
    engine_role role = engine_role::any;
    double danger = 0;       // share of the targets' attainment that is missing now, in [0, 1]
    double requests = 0;     // requests a second behind those targets
    std::uint64_t bytes = 0; // size of the weights at the store
    std::size_t engines = 1; // engines that should have it
};

// The weight store's rate.
struct store_budget
{
    std::uint64_t available = 0; // bytes that may be requested now
};

struct load_order
{
    endpoint_id endpoint;
    weights what;
};
struct role_order
{
    endpoint_id endpoint;
    engine_role role = engine_role::any;
};
using control_order = std::variant<load_order, role_order>;

// Returns the orders to give now, most valuable first: value is requests in danger per byte loaded.
// At most one order per engine, none to an engine that is loading, and loads within the store's
// budget. An engine that ignores fencing numbers gets only loads (harmless when repeated or late),
// and only after the former lease is over.
std::vector<control_order> plan_orders(const std::vector<held_engine>& engines,
                                       std::vector<control_need> needs, store_budget store);

// A conversation's KV cache that could move to another engine.
struct kv_candidate
{
    std::uint32_t tokens = 0;             // length of the cached prefix
    std::uint64_t bytes_per_token = 0;    // size of the exported cache
    double bytes_per_second = 0;          // between the two engines
    duration round_trip{};                // fixed cost of export and import
    double prefill_tokens_per_second = 0; // of the receiving engine
};

// The cost of a move in tokens of prefill.
struct kv_verdict
{
    bool move = false;
    double move_tokens = 0;      // prefill that fits into the time of the move
    double recompute_tokens = 0; // prefill that the move saves
};

// Whether to export and import a KV cache rather than recompute it.
kv_verdict judge_kv_move(const kv_candidate& candidate);

} // namespace quetzal::serving

#endif
