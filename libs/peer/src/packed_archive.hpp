#ifndef QUETZAL_PEER_PACKED_ARCHIVE_HPP
#define QUETZAL_PEER_PACKED_ARCHIVE_HPP

// cereal archives for datagrams. Unlike in the portable binary archives, integers and sizes are
// varints with one byte for each 7 significant bits: a renewal request, which has five sizes and
// many small numbers, would otherwise be a third longer. Other numbers are little-endian.

#include <bit>
#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

#include <cereal/cereal.hpp>

namespace quetzal::peer::internal {

static_assert(std::endian::native == std::endian::little,
              "numbers are copied in native byte order");

// Output archive that appends to a string.
class packed_output : public cereal::OutputArchive<packed_output, cereal::AllowEmptyClassElision>
{
public:
    explicit packed_output(std::string& target)
        : cereal::OutputArchive<packed_output, cereal::AllowEmptyClassElision>(this),
          target_(target)
    {
    }

    void write_bytes(const void* bytes, std::size_t size)
    {
        target_.append(static_cast<const char*>(bytes), size);
    }

    void write_varint(std::uint64_t value)
    {
        for (; value >= 0x80; value >>= 7) {
            target_ += static_cast<char>(value | 0x80);
        }
        target_ += static_cast<char>(value);
    }

private:
    std::string& target_;
};

// Input archive that reads from a string. Throws std::runtime_error if the string ends early or is
// malformed.
class packed_input : public cereal::InputArchive<packed_input, cereal::AllowEmptyClassElision>
{
public:
    explicit packed_input(std::string_view source)
        : cereal::InputArchive<packed_input, cereal::AllowEmptyClassElision>(this), source_(source)
    {
    }

    void read_bytes(void* bytes, std::size_t size)
    {
        if (size > source_.size()) {
            throw std::runtime_error("unexpected end of message body");
        }
        source_.copy(static_cast<char*>(bytes), size);
        source_.remove_prefix(size);
    }

    std::uint64_t read_varint()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            std::uint8_t byte = 0;
            read_bytes(&byte, 1);
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80) {
                return value;
            }
        }
        throw std::runtime_error("varint is too long");
    }

    // Reads an element count. Each element takes at least one byte, so a count above the remaining
    // bytes is malformed; it is rejected before memory is reserved.
    std::uint64_t read_size()
    {
        const std::uint64_t value = read_varint();
        if (value > source_.size()) {
            throw std::runtime_error("size exceeds the remaining message body");
        }
        return value;
    }

private:
    std::string_view source_;
};

// True for integers that are encoded as varints. The only signed ones are the indices of variants,
// which are never negative.
template <class Number>
inline constexpr bool is_varint = std::is_integral_v<Number> && (sizeof(Number) > 1);

template <class Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_SAVE_FUNCTION_NAME(packed_output& archive,
                                                                         const Number& value)
{
    if constexpr (is_varint<Number>) {
        archive.write_varint(static_cast<std::uint64_t>(value));
    } else {
        archive.write_bytes(&value, sizeof value);
    }
}

template <class Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_LOAD_FUNCTION_NAME(packed_input& archive,
                                                                         Number& value)
{
    if constexpr (std::is_same_v<Number, bool>) {
        std::uint8_t byte = 0;
        archive.read_bytes(&byte, 1);
        value = byte != 0;
    } else if constexpr (is_varint<Number>) {
        const std::uint64_t number = archive.read_varint();
        value = static_cast<Number>(number);
        if (static_cast<std::uint64_t>(value) != number) {
            throw std::runtime_error("integer is out of range for its type");
        }
    } else {
        archive.read_bytes(&value, sizeof value);
    }
}

template <class Data>
void CEREAL_SAVE_FUNCTION_NAME(packed_output& archive, const cereal::BinaryData<Data>& value)
{
    archive.write_bytes(value.data, static_cast<std::size_t>(value.size));
}

template <class Data>
void CEREAL_LOAD_FUNCTION_NAME(packed_input& archive, cereal::BinaryData<Data>& value)
{
    archive.read_bytes(value.data, static_cast<std::size_t>(value.size));
}

template <class Size>
void CEREAL_SAVE_FUNCTION_NAME(packed_output& archive, const cereal::SizeTag<Size>& value)
{
    archive.write_varint(value.size);
}

template <class Size>
void CEREAL_LOAD_FUNCTION_NAME(packed_input& archive, cereal::SizeTag<Size>& value)
{
    value.size = archive.read_size();
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(packed_output& archive, cereal::NameValuePair<Value>& value)
{
    archive(value.value);
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(packed_input& archive, cereal::NameValuePair<Value>& value)
{
    archive(value.value);
}

inline void CEREAL_SAVE_FUNCTION_NAME(packed_output& archive,
                                      const std::chrono::milliseconds& value)
{
    archive.write_varint(static_cast<std::uint64_t>(value.count()));
}

inline void CEREAL_LOAD_FUNCTION_NAME(packed_input& archive, std::chrono::milliseconds& value)
{
    value = std::chrono::milliseconds(static_cast<std::int64_t>(archive.read_varint()));
}

} // namespace quetzal::peer::internal

CEREAL_REGISTER_ARCHIVE(quetzal::peer::internal::packed_output)
CEREAL_REGISTER_ARCHIVE(quetzal::peer::internal::packed_input)
CEREAL_SETUP_ARCHIVE_TRAITS(quetzal::peer::internal::packed_input,
                            quetzal::peer::internal::packed_output)

#endif
