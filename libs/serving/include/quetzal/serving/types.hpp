#ifndef QUETZAL_SERVING_TYPES_HPP
#define QUETZAL_SERVING_TYPES_HPP

// Keys and records that several serving decisions share.

#include <cstdint>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>

namespace quetzal::serving {

// Number of a request, unique within one dispatcher. The caller of the dispatcher chooses it.
enum class request_key : std::uint64_t
{
};

// Number of a stage call, unique within one dispatcher. The caller of the dispatcher chooses it.
enum class call_key : std::uint64_t
{
};

// Position of an endpoint within its pool's chooser. It stays the same until the endpoint is
// removed; positions of removed endpoints are used again.
using endpoint_index = std::uint32_t;
inline constexpr endpoint_index no_endpoint_index = ~endpoint_index{0};

// What an endpoint says about itself, as `GET /v1/load` gives it.
struct load_report
{
    incarnation process;
    bool warm = true;
    std::uint32_t running = 0; // calls in execution, of all instances
    std::uint32_t waiting = 0; // calls in the endpoint's own queue
    duration age{};            // time since the endpoint measured it
    std::uint64_t fence = 0;   // highest fencing number it has seen
    std::vector<std::string> models;
};

// One change of an engine's prefix cache. A gap in `sequence` means that events were lost.
struct cache_event
{
    enum class kind_type
    {
        stored,
        evicted,
        cleared // everything was evicted; `prefix` has no meaning
    };

    std::uint64_t sequence = 0;
    kind_type kind = kind_type::stored;
    std::uint64_t prefix = 0; // hash of the prompt up to and including the block
    std::uint32_t tokens = 0; // length of that prefix
};

// A prefix of a call's prompt, by the same hash that the engine's events use.
struct prompt_prefix
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0; // length of the prefix

    friend bool operator==(const prompt_prefix&, const prompt_prefix&) = default;
};

} // namespace quetzal::serving

#endif
