#ifndef QUETZAL_BASE_DIGEST_HPP
#define QUETZAL_BASE_DIGEST_HPP

// Cryptographic digests and MACs (OpenSSL) for customer keys, request identities and datagrams.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace quetzal {

inline constexpr std::size_t digest_size = 32; // bytes, SHA-256
inline constexpr std::size_t mac_size = 16;    // bytes, HMAC-SHA256 truncated (RFC 2104, section 5)

using digest = std::array<std::uint8_t, digest_size>;
using mac = std::array<std::uint8_t, mac_size>;

// Returns the SHA-256 digest of the bytes. Thread-safe.
digest sha256(std::string_view bytes);

// Returns the truncated HMAC-SHA256 of the bytes under the key. Thread-safe.
mac keyed_mac(std::string_view key, std::string_view bytes);

// Returns whether the bytes are equal, in time that depends only on the sizes.
bool equal_constant_time(std::span<const std::uint8_t> first,
                         std::span<const std::uint8_t> second) noexcept;

// Returns the bytes as lower-case hexadecimal digits, two per byte.
std::string to_hex(std::span<const std::uint8_t> bytes);

// Parses exactly 64 hexadecimal digits of either case; returns nothing for any other text.
std::optional<digest> parse_digest(std::string_view hex);

// Returns 64 random bits from OpenSSL's cryptographic generator. Aborts if it fails.
std::uint64_t secure_random();

} // namespace quetzal

#endif
