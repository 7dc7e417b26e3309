#ifndef QUETZAL_BASE_HASH_HPP
#define QUETZAL_BASE_HASH_HPP

// Hashes with the same result in every process and with every compiler. Not for security.

#include <cstdint>
#include <string_view>

namespace quetzal {

// Returns a 64-bit hash of the bytes (FNV-1a with a final avalanche step).
constexpr std::uint64_t stable_hash(std::string_view bytes) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325ull;
    for (const char byte : bytes) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ull;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdull;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ull;
    return hash ^ (hash >> 33);
}

// Combines two hashes. The result depends on their order.
constexpr std::uint64_t combine_hash(std::uint64_t first, std::uint64_t second) noexcept
{
    std::uint64_t mixed = first + 0x9e3779b97f4a7c15ull + (second ^ (second << 6) ^ (second >> 2));
    mixed ^= mixed >> 31;
    mixed *= 0x9fb21c651e98df25ull;
    return mixed ^ (mixed >> 28);
}

// Returns the rendezvous score of a node for a key. The node with the greatest score owns the key.
constexpr std::uint64_t rendezvous_score(std::uint64_t key_hash, std::string_view node) noexcept
{
    return combine_hash(key_hash, stable_hash(node));
}

} // namespace quetzal

#endif
