#ifndef QUETZAL_SERVING_PREFIX_CACHE_MAP_HPP
#define QUETZAL_SERVING_PREFIX_CACHE_MAP_HPP

// Estimates the contents of the prefix caches of a pool's engines. Cache events arrive late and
// with gaps; an entry is removed by evidence (an eviction event, a miss where a hit was expected),
// not by age.

#include <array>
#include <cstdint>
#include <vector>

#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// A fixed-size, set-associative table from prefix hashes to endpoints. Not thread-safe. No function
// but the constructor and `add_endpoint` allocates memory.
class prefix_cache_map
{
public:
    // `prefixes` is the number of prefixes remembered, rounded up to a power of two.
    explicit prefix_cache_map(std::size_t prefixes = 1u << 14);

    // Adds the endpoint and drops what was known about the previous endpoint at its index.
    void add_endpoint(endpoint_index endpoint);

    // Drops all entries of the endpoint, e.g. after a restart.
    void forget(endpoint_index endpoint);

    // Applies an event. Duplicates and old events are ignored; a gap halves the confidence in the
    // endpoint's entries.
    void apply(endpoint_index endpoint, const cache_event& event);

    // Records that a call on the endpoint left its prompt in the cache.
    void note_use(endpoint_index endpoint, prompt_prefix prefix);

    // Records how many tokens of a prompt an engine reported as cached, where the prefix `expected`
    // was assumed to be. Less than half of it removes the entry and lowers the confidence in the
    // endpoint; otherwise the confidence rises.
    void note_result(endpoint_index endpoint, prompt_prefix expected, std::uint32_t cached_tokens);

    // Returns whether the endpoint is assumed to hold the prefix.
    bool holds(endpoint_index endpoint, std::uint64_t prefix) const noexcept;

    // Returns the confidence in [0, 1] that a prefix assumed to be cached there still is.
    double confidence(endpoint_index endpoint) const noexcept;

    // The endpoints assumed to hold a prefix.
    static constexpr std::size_t max_holders = 4;
    struct holders
    {
        std::array<endpoint_index, max_holders> endpoints{};
        std::size_t count = 0;
    };
    holders find(std::uint64_t prefix) const noexcept;

private:
    struct holder
    {
        endpoint_index endpoint = no_endpoint_index;
        std::uint32_t epoch = 0; // of the endpoint's cache when the entry was added
    };

    struct slot
    {
        std::uint64_t prefix = 0;    // 0: unused
        std::uint32_t last_used = 0; // use counter at the last use, for replacement
        std::array<holder, max_holders> holding;
    };

    struct endpoint_cache
    {
        std::uint32_t epoch = 1;
        std::uint64_t last_sequence = 0;
        double confidence = 1.0;
    };

    static constexpr std::size_t ways = 4;

    slot* lookup(std::uint64_t prefix) noexcept;
    const slot* lookup(std::uint64_t prefix) const noexcept;
    void store(endpoint_index endpoint, std::uint64_t prefix);
    void erase(endpoint_index endpoint, std::uint64_t prefix) noexcept;
    bool is_current(const holder& entry) const noexcept;
    std::size_t first_way(std::uint64_t prefix) const noexcept;

    std::vector<slot> slots_;
    std::vector<endpoint_cache> endpoints_;
    std::uint32_t use_counter_ = 0;
};

} // namespace quetzal::serving

#endif
