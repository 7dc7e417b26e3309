#ifndef QUETZAL_PEER_SRC_AUTHENTICATION_HPP
#define QUETZAL_PEER_SRC_AUTHENTICATION_HPP

// Keyed MAC of datagrams and frames. Both begin with a prefix of two magic bytes, the format
// version, the key identifier and, in frames, the body size. The MAC follows the prefix and covers
// the prefix and the body.

#include <cstddef>
#include <string>
#include <string_view>

#include <quetzal/peer/codec.hpp>

namespace quetzal::peer::internal {

inline constexpr std::size_t key_id_offset = 3; // byte offset in the prefix

inline mac sign(std::string_view secret, std::string_view prefix, std::string_view body)
{
    std::string signed_bytes;
    signed_bytes.reserve(prefix.size() + body.size());
    signed_bytes.append(prefix).append(body);
    return keyed_mac(secret, signed_bytes);
}

// Returns the key with this identifier, or null if it is neither the current nor the previous key.
inline const peer_key* find_key(const key_ring& keys, std::uint8_t id)
{
    for (const peer_key* key : {&keys.current, &keys.previous}) {
        if (key->id == id && !key->secret.empty()) {
            return key;
        }
    }
    return nullptr;
}

// Verifies the MAC of a message and returns its body. The message must have at least
// `prefix_size + mac_size` bytes.
inline tl::expected<std::string_view, drop_cause>
verified_body(std::string_view message, std::size_t prefix_size, const key_ring& keys)
{
    const peer_key* key = find_key(keys, static_cast<std::uint8_t>(message[key_id_offset]));
    if (key == nullptr) {
        return tl::unexpected(drop_cause::unknown_key);
    }
    const std::string_view body = message.substr(prefix_size + mac_size);
    const mac expected_mac = sign(key->secret, message.substr(0, prefix_size), body);
    const std::string_view received_mac = message.substr(prefix_size, mac_size);
    if (!equal_constant_time(
            expected_mac,
            {reinterpret_cast<const std::uint8_t*>(received_mac.data()), received_mac.size()}))
    {
        return tl::unexpected(drop_cause::wrong_mac);
    }
    return body;
}

} // namespace quetzal::peer::internal

#endif
