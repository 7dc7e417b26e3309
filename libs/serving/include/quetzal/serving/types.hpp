#ifndef QUETZAL_SERVING_TYPES_HPP
#define QUETZAL_SERVING_TYPES_HPP

// Keys and records shared by the components of the serving library.

#include <cstdint>
#include <optional>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>

namespace quetzal::serving {

// Number of a request, unique within one dispatcher. Chosen by the caller of the dispatcher.
enum class request_key : std::uint64_t
{
};

// Number of a stage call, unique within one dispatcher. Chosen by the caller of the dispatcher.
enum class call_key : std::uint64_t
{
};

// Index of an endpoint in its pool's chooser. Stable until the endpoint is removed; the indexes of
// removed endpoints are reused.
using endpoint_index = std::uint32_t;
inline constexpr endpoint_index no_endpoint_index = ~endpoint_index{0};

// Load of an endpoint, as the endpoint reports it at `GET /v1/load`.
struct load_report
{
    incarnation process;
    bool warm = true;
    std::uint32_t running = 0; // calls in execution, from all instances
    std::uint32_t waiting = 0; // calls in the endpoint's own queue
    duration age{};            // time since the endpoint measured its load
    std::uint64_t fence = 0;   // highest fencing token that the endpoint has seen
    std::vector<std::string> models;
    std::optional<double> pace; // duration of work relative to the usual one, if reported
};

// A change of an engine's prefix cache. A gap in `sequence` means that events were lost.
struct cache_event
{
    enum class kind_type
    {
        stored,
        evicted,
        cleared // every prefix was evicted; `prefix` is unused
    };

    std::uint64_t sequence = 0;
    kind_type kind = kind_type::stored;
    std::uint64_t prefix = 0; // hash of the prompt up to and including the block
    std::uint32_t tokens = 0; // length of the prefix
};

// A prefix of a call's prompt, identified by the same hash as in the engine's cache events.
struct prompt_prefix
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0; // length of the prefix

    friend bool operator==(const prompt_prefix&, const prompt_prefix&) = default;
};

} // namespace quetzal::serving

#endif
