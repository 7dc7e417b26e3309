#ifndef QUETZAL_GATEWAY_PEER_CODEC_HPP
#define QUETZAL_GATEWAY_PEER_CODEC_HPP

#include <optional>
#include <sstream>
#include <string>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace quetzal::gateway::internal {

// Encodes a message to a peer in cereal's portable binary format.
template <class Message>
std::string encode(const Message& message)
{
    std::ostringstream out(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
    return std::move(out).str();
}

// Decodes a message from a peer. Returns nothing if the bytes are no valid message.
template <class Message>
std::optional<Message> decode(const std::string& bytes)
{
    try {
        std::istringstream in(bytes, std::ios::binary);
        cereal::PortableBinaryInputArchive archive(in);
        Message message;
        archive(message);
        return message;
    } catch (const std::exception&) {
        return std::nullopt; // the caller logs the error and drops the message
    }
}

} // namespace quetzal::gateway::internal

#endif
