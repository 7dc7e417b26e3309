#ifndef QUETZAL_GATEWAY_PEER_CODEC_HPP
#define QUETZAL_GATEWAY_PEER_CODEC_HPP

#include <cstdint>
#include <cstring>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
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

// Reads cereal's portable binary format from a byte string. A count of elements that exceeds the
// bytes that are left is an error: cereal's own archive allocates memory for the count first, so
// that a few malformed bytes could use up the memory of the process.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_input_archive(std::string_view bytes)
        : cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>(this),
          left_(bytes)
    {
        std::uint8_t little_endian = 0; // written by the output archive before anything else
        read(&little_endian, sizeof(little_endian));
        if (little_endian != 1) {
            throw cereal::Exception("the message has another byte order");
        }
    }

    void read(void* into, std::size_t size)
    {
        if (size > left_.size()) {
            throw cereal::Exception("the message is truncated");
        }
        std::memcpy(into, left_.data(), size);
        left_.remove_prefix(size);
    }

    std::size_t left() const noexcept { return left_.size(); }

private:
    std::string_view left_;
};

} // namespace quetzal::gateway::internal

// Names the archive that writes what `bounded_input_archive` reads.
template <>
struct cereal::traits::detail::get_output_from_input<
    quetzal::gateway::internal::bounded_input_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

namespace quetzal::gateway::internal {

template <class Value>
requires std::is_arithmetic_v<Value>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, Value& value)
{
    if constexpr (std::is_same_v<Value, bool>) {
        std::uint8_t byte = 0;
        archive.read(&byte, sizeof(byte));
        value = byte != 0;
    } else {
        archive.read(&value, sizeof(value));
    }
}

template <class Value>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, cereal::BinaryData<Value>& data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive& archive,
                                    cereal::NameValuePair<Value>& pair)
{
    archive(pair.value);
}

template <class Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive& archive, cereal::SizeTag<Size>& count)
{
    archive(count.size);
    if (count.size > archive.left()) {
        throw cereal::Exception("the message announces more elements than it has bytes");
    }
}

// Decodes a message from a peer. Returns nothing if the bytes are no valid message.
template <class Message>
std::optional<Message> decode(const std::string& bytes)
{
    try {
        bounded_input_archive archive(bytes);
        Message message;
        archive(message);
        return message;
    } catch (const std::exception&) {
        return std::nullopt; // the caller logs the error and drops the message
    }
}

} // namespace quetzal::gateway::internal

#endif
