#ifndef QUETZAL_SERVING_POOL_CONTROL_HPP
#define QUETZAL_SERVING_POOL_CONTROL_HPP

// Plans which weights engines load and which role they have. Only the holder of an endpoint's
// exclusive right sends commands to it; the caller passes the endpoints that it holds and adds the
// fencing token.

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
    std::string adapter; // empty for the model itself
    std::string version;

    friend bool operator==(const weights&, const weights&) = default;
};

enum class engine_role
{
    any,
    prefill,
    decode
};

// An engine that this instance may send commands to.
struct managed_engine
{
    endpoint_id endpoint;
    std::vector<weights> loaded;
    std::optional<weights> loading; // weights of a load in progress
    engine_role role = engine_role::any;
    double load = 0; // fraction of its concurrency in use; the least loaded engine is preferred
    bool checks_fence = false;           // whether it refuses commands with an old fencing token
    bool previous_lease_expired = false; // whether no previous holder can still send commands
};

// Weights or a role that the pool needs to meet some targets.
struct engine_demand
{
    std::optional<weights> load; // absent for a role change
    engine_role role = engine_role::any;
    double shortfall = 0;    // missing fraction of the targets' attainment, in [0, 1]
    double requests = 0;     // requests/s that have these targets
    std::uint64_t bytes = 0; // size of the weights in the store
    std::size_t engines = 1; // number of engines that should have the weights or role
};

// How much may be loaded from the weight store.
struct store_budget
{
    std::uint64_t available = 0; // bytes that may be requested now
};

struct load_command
{
    endpoint_id endpoint;
    weights target;
};
struct role_command
{
    endpoint_id endpoint;
    engine_role role = engine_role::any;
};
using control_command = std::variant<load_command, role_command>;

// Returns the commands to send now, most valuable first; the value is the rate of requests that
// miss their targets per byte loaded. There is at most one command per engine and none to an engine
// that is loading, and loads stay within the store's budget. An engine that ignores fencing tokens
// gets only loads (harmless when repeated or late), and only after the previous lease has expired.
std::vector<control_command> plan_commands(const std::vector<managed_engine>& engines,
                                           std::vector<engine_demand> demands, store_budget store);

// The KV cache of a conversation that could be transferred to another engine.
struct kv_candidate
{
    std::uint32_t tokens = 0;             // length of the cached prefix
    std::uint64_t bytes_per_token = 0;    // size of the exported cache
    double bytes_per_second = 0;          // between the two engines
    duration round_trip{};                // fixed cost of export and import
    double prefill_tokens_per_second = 0; // of the destination engine
};

// The costs of a transfer and of recomputation, in tokens of prefill.
struct kv_transfer_decision
{
    bool worthwhile = false;
    double transfer_tokens = 0;  // tokens that could be prefilled during the transfer
    double recompute_tokens = 0; // tokens of prefill that the transfer saves
};

// Decides whether to transfer a KV cache (export and import) rather than recompute it.
kv_transfer_decision evaluate_kv_transfer(const kv_candidate& candidate);

} // namespace quetzal::serving

#endif
