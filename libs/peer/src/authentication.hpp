#ifndef QUETZAL_PEER_SRC_AUTHENTICATION_HPP
#define QUETZAL_PEER_SRC_AUTHENTICATION_HPP

// The keyed MAC that datagrams and frames share. Both begin with a magic of two bytes, the format
// version and the key identifier; the MAC follows a prefix and covers the prefix and the body.

#include <cstddef>
#include <string>
#include <string_view>

#include <quetzal/peer/codec.hpp>

namespace quetzal::peer::internal {

inline constexpr std::size_t key_id_position = 3; // byte of the prefix

inline mac sign(std::string_view secret, std::string_view prefix, std::string_view body)
{
    std::string covered;
    covered.reserve(prefix.size() + body.size());
    covered.append(prefix).append(body);
    return keyed_mac(secret, covered);
}

// Returns the key with this identifier, or null when it is neither current nor previous.
inline const peer_key* select_key(const key_ring& keys, std::uint8_t id)
{
    for (const peer_key* key : {&keys.current, &keys.previous}) {
        if (key->id == id && !key->secret.empty()) {
            return key;
        }
    }
    return nullptr;
}

// Returns the body of a message of at least `prefix_size + mac_size` bytes if its MAC is right.
inline tl::expected<std::string_view, drop_cause>
authentic_body(std::string_view message, std::size_t prefix_size, const key_ring& keys)
{
    const peer_key* key = select_key(keys, static_cast<std::uint8_t>(message[key_id_position]));
    if (key == nullptr) {
        return tl::unexpected(drop_cause::unknown_key);
    }
    const std::string_view body = message.substr(prefix_size + mac_size);
    const mac expected = sign(key->secret, message.substr(0, prefix_size), body);
    const std::string_view carried = message.substr(prefix_size, mac_size);
    if (!equal_constant_time(
            expected, {reinterpret_cast<const std::uint8_t*>(carried.data()), carried.size()}))
    {
        return tl::unexpected(drop_cause::wrong_mac);
    }
    return body;
}

} // namespace quetzal::peer::internal

#endif
