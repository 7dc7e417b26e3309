#ifndef QUETZAL_PEER_CODEC_HPP
#define QUETZAL_PEER_CODEC_HPP

// Encoding of peer messages as authenticated datagrams: a fixed header (magic, format version, key
// identifier, MAC) and a cereal body in which integers are varints (one byte for each 7 bits). The
// MAC is verified before any part of the body is decoded.

#include <cstdint>
#include <string>
#include <string_view>

#include <quetzal/base/digest.hpp>
#include <quetzal/peer/messages.hpp>
#include <tl/expected.hpp>

namespace quetzal::peer {

inline constexpr std::size_t max_datagram_size = 1400; // bytes; fits one Ethernet frame
inline constexpr std::uint8_t format_version = 2;

// A secret that all instances share.
struct peer_key
{
    std::uint8_t id = 0;
    std::string secret;
};

// The keys of an instance. The instance signs with `current` and accepts both keys during a key
// rotation.
struct key_ring
{
    peer_key current;
    peer_key previous; // an empty secret matches no message
};

// Why a datagram was dropped. Each cause is counted separately in the metrics.
enum class drop_cause
{
    too_short,
    wrong_version,
    unknown_key,
    wrong_mac,
    undecodable
};

// Returns the stable lower-case name of the cause, such as "wrong_mac".
std::string_view to_string(drop_cause cause) noexcept;

// Encodes and signs a message. The result exceeds `max_datagram_size` if the message contains too
// long lists; senders must split such lists beforehand.
std::string encode(const received_message& message, const key_ring& keys);

// Verifies and decodes a datagram. Does not throw, whatever the input.
tl::expected<received_message, drop_cause> decode(std::string_view datagram, const key_ring& keys);

} // namespace quetzal::peer

#endif
