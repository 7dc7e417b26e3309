#include <quetzal/serving/prefix_cache_map.hpp>

#include <algorithm>
#include <bit>

namespace quetzal::serving {

namespace {

// The hash 0 marks an unused slot.
std::uint64_t nonzero_hash(std::uint64_t prefix)
{
    return prefix == 0 ? 1 : prefix;
}

constexpr double gap_factor = 0.5;   // factor of the confidence after lost events
constexpr double miss_factor = 0.8;  // factor of the confidence after a miss
constexpr double hit_recovery = 0.2; // fraction of the lost confidence that a hit restores

} // namespace

prefix_cache_map::prefix_cache_map(std::size_t prefixes)
    : slots_(prefixes == 0 ? 0 : std::bit_ceil(std::max(prefixes, ways)))
{
}

void prefix_cache_map::add_endpoint(endpoint_index endpoint)
{
    if (endpoint >= endpoints_.size()) {
        endpoints_.resize(endpoint + 1);
    }
    forget(endpoint);
}

void prefix_cache_map::forget(endpoint_index endpoint)
{
    endpoint_cache& cache = endpoints_[endpoint];
    ++cache.epoch;
    cache.last_sequence = 0;
    cache.confidence = 1.0;
}

void prefix_cache_map::apply(endpoint_index endpoint, const cache_event& event)
{
    endpoint_cache& cache = endpoints_[endpoint];
    if (event.sequence <= cache.last_sequence) {
        return;
    }
    if (cache.last_sequence != 0 && event.sequence != cache.last_sequence + 1) {
        cache.confidence *= gap_factor;
    }
    cache.last_sequence = event.sequence;
    switch (event.kind) {
    case cache_event::kind_type::stored:
        store(endpoint, nonzero_hash(event.prefix));
        return;
    case cache_event::kind_type::evicted:
        erase(endpoint, nonzero_hash(event.prefix));
        return;
    case cache_event::kind_type::cleared:
        ++cache.epoch;
        return;
    }
}

void prefix_cache_map::note_use(endpoint_index endpoint, prompt_prefix prefix)
{
    if (prefix.tokens > 0) {
        store(endpoint, nonzero_hash(prefix.hash));
    }
}

void prefix_cache_map::note_result(endpoint_index endpoint, prompt_prefix expected,
                                   std::uint32_t cached_tokens)
{
    if (expected.tokens == 0) {
        return;
    }
    double& confidence = endpoints_[endpoint].confidence;
    if (cached_tokens < expected.tokens / 2) {
        erase(endpoint, nonzero_hash(expected.hash));
        confidence *= miss_factor;
    } else {
        confidence += (1 - confidence) * hit_recovery;
    }
}

bool prefix_cache_map::holds(endpoint_index endpoint, std::uint64_t prefix) const noexcept
{
    const auto known = find(prefix);
    const auto end = known.endpoints.begin() + static_cast<std::ptrdiff_t>(known.count);
    return std::find(known.endpoints.begin(), end, endpoint) != end;
}

double prefix_cache_map::confidence(endpoint_index endpoint) const noexcept
{
    return endpoints_[endpoint].confidence;
}

prefix_cache_map::holders prefix_cache_map::find(std::uint64_t prefix) const noexcept
{
    holders known;
    if (const slot* found = lookup(nonzero_hash(prefix))) {
        for (const holder& entry : found->holding) {
            if (is_current(entry)) {
                known.endpoints[known.count++] = entry.endpoint;
            }
        }
    }
    return known;
}

bool prefix_cache_map::is_current(const holder& entry) const noexcept
{
    return entry.endpoint < endpoints_.size() && endpoints_[entry.endpoint].epoch == entry.epoch;
}

std::size_t prefix_cache_map::first_way(std::uint64_t prefix) const noexcept
{
    return (prefix * 0x9e3779b97f4a7c15ull >> 32) & (slots_.size() - ways);
}

const prefix_cache_map::slot* prefix_cache_map::lookup(std::uint64_t prefix) const noexcept
{
    if (slots_.empty()) {
        return nullptr;
    }
    const std::size_t first = first_way(prefix);
    for (std::size_t way = 0; way < ways; ++way) {
        if (slots_[first + way].prefix == prefix) {
            return &slots_[first + way];
        }
    }
    return nullptr;
}

prefix_cache_map::slot* prefix_cache_map::lookup(std::uint64_t prefix) noexcept
{
    return const_cast<slot*>(std::as_const(*this).lookup(prefix));
}

void prefix_cache_map::store(endpoint_index endpoint, std::uint64_t prefix)
{
    if (slots_.empty()) {
        return;
    }
    slot* target = lookup(prefix);
    if (target == nullptr) {
        const auto first = slots_.begin() + static_cast<std::ptrdiff_t>(first_way(prefix));
        target = &*std::min_element(first, first + ways, [](const slot& a, const slot& b) {
            return a.last_used < b.last_used;
        });
        *target = slot{};
        target->prefix = prefix;
    }
    target->last_used = ++use_counter_;
    holder* replaced = nullptr;
    for (holder& entry : target->holding) {
        if (is_current(entry) && entry.endpoint == endpoint) {
            return;
        }
        if (!is_current(entry)) {
            replaced = &entry;
        }
    }
    if (replaced == nullptr) {
        replaced = &target->holding[use_counter_ % max_holders];
    }
    *replaced = {endpoint, endpoints_[endpoint].epoch};
}

void prefix_cache_map::erase(endpoint_index endpoint, std::uint64_t prefix) noexcept
{
    if (slot* target = lookup(prefix)) {
        for (holder& entry : target->holding) {
            if (entry.endpoint == endpoint) {
                entry = holder{};
            }
        }
    }
}

} // namespace quetzal::serving
