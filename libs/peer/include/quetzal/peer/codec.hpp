#ifndef QUETZAL_PEER_CODEC_HPP
#define QUETZAL_PEER_CODEC_HPP

// Encoding of peer messages as authenticated datagrams: a fixed header (magic, format version, key
// identifier, MAC) and a packed cereal body (numbers of one byte for each 7 bits). The MAC is
// checked before anything of the body is decoded.

#include <cstdint>
#include <string>
#include <string_view>

#include <quetzal/base/digest.hpp>
#include <quetzal/peer/messages.hpp>
#include <tl/expected.hpp>

namespace quetzal::peer {

inline constexpr std::size_t max_datagram_size = 1400; // bytes; fits one Ethernet frame
inline constexpr std::uint8_t format_version = 2;

// One secret shared by all instances.
struct peer_key
{
    std::uint8_t id = 0;
    std::string secret;
};

// The keys of an instance: it signs with `current` and accepts both during a rotation.
struct key_ring
{
    peer_key current;
    peer_key previous; // an empty secret accepts nothing
};

// Why a datagram was dropped; each is counted by its own metric.
enum class drop_cause
{
    too_short,
    wrong_version,
    unknown_key,
    wrong_mac,
    undecodable
};

// Returns the stable lower-case code, e.g. "wrong_mac".
std::string_view to_string(drop_cause cause) noexcept;

// Encodes and signs a message. The result may exceed `max_datagram_size` for long lists; the sender
// splits them before.
std::string encode(const received& message, const key_ring& keys);

// Verifies and decodes a datagram. Never throws, whatever the bytes.
tl::expected<received, drop_cause> decode(std::string_view datagram, const key_ring& keys);

} // namespace quetzal::peer

#endif
