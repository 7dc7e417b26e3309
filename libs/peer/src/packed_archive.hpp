#ifndef QUETZAL_PEER_PACKED_ARCHIVE_HPP
#define QUETZAL_PEER_PACKED_ARCHIVE_HPP

// cereal archives for datagrams. They differ from the portable binary ones in that whole numbers
// and sizes take one byte for each 7 bits in use: a renewal of the rights, which has five sizes and
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

static_assert(std::endian::native == std::endian::little, "numbers are copied as they are");

// Appends to a string.
class packed_output : public cereal::OutputArchive<packed_output, cereal::AllowEmptyClassElision>
{
public:
    explicit packed_output(std::string& target)
        : cereal::OutputArchive<packed_output, cereal::AllowEmptyClassElision>(this),
          target_(target)
    {
    }

    void raw(const void* bytes, std::size_t size)
    {
        target_.append(static_cast<const char*>(bytes), size);
    }

    void number(std::uint64_t value)
    {
        for (; value >= 0x80; value >>= 7) {
            target_ += static_cast<char>(value | 0x80);
        }
        target_ += static_cast<char>(value);
    }

private:
    std::string& target_;
};

// Reads from a text and throws std::runtime_error where it ends early or is malformed.
class packed_input : public cereal::InputArchive<packed_input, cereal::AllowEmptyClassElision>
{
public:
    explicit packed_input(std::string_view source)
        : cereal::InputArchive<packed_input, cereal::AllowEmptyClassElision>(this), source_(source)
    {
    }

    void raw(void* bytes, std::size_t size)
    {
        if (size > source_.size()) {
            throw std::runtime_error("the body ends early");
        }
        source_.copy(static_cast<char*>(bytes), size);
        source_.remove_prefix(size);
    }

    std::uint64_t number()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            std::uint8_t byte = 0;
            raw(&byte, 1);
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80) {
                return value;
            }
        }
        throw std::runtime_error("a number is too long");
    }

    // Every element takes at least one byte, so a greater size is malformed; checked before memory
    // is reserved for it.
    std::uint64_t size()
    {
        const std::uint64_t value = number();
        if (value > source_.size()) {
            throw std::runtime_error("a size exceeds the body");
        }
        return value;
    }

private:
    std::string_view source_;
};

// Signed numbers are the alternatives of variants; they are never negative.
template <class Number>
inline constexpr bool packs = std::is_integral_v<Number> && (sizeof(Number) > 1);

template <class Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_SAVE_FUNCTION_NAME(packed_output& archive,
                                                                         const Number& value)
{
    if constexpr (packs<Number>) {
        archive.number(static_cast<std::uint64_t>(value));
    } else {
        archive.raw(&value, sizeof value);
    }
}

template <class Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_LOAD_FUNCTION_NAME(packed_input& archive,
                                                                         Number& value)
{
    if constexpr (std::is_same_v<Number, bool>) {
        std::uint8_t byte = 0;
        archive.raw(&byte, 1);
        value = byte != 0;
    } else if constexpr (packs<Number>) {
        const std::uint64_t number = archive.number();
        value = static_cast<Number>(number);
        if (static_cast<std::uint64_t>(value) != number) {
            throw std::runtime_error("a number is out of range");
        }
    } else {
        archive.raw(&value, sizeof value);
    }
}

template <class Data>
void CEREAL_SAVE_FUNCTION_NAME(packed_output& archive, const cereal::BinaryData<Data>& value)
{
    archive.raw(value.data, static_cast<std::size_t>(value.size));
}

template <class Data>
void CEREAL_LOAD_FUNCTION_NAME(packed_input& archive, cereal::BinaryData<Data>& value)
{
    archive.raw(value.data, static_cast<std::size_t>(value.size));
}

template <class Size>
void CEREAL_SAVE_FUNCTION_NAME(packed_output& archive, const cereal::SizeTag<Size>& value)
{
    archive.number(value.size);
}

template <class Size>
void CEREAL_LOAD_FUNCTION_NAME(packed_input& archive, cereal::SizeTag<Size>& value)
{
    value.size = archive.size();
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
    archive.number(static_cast<std::uint64_t>(value.count()));
}

inline void CEREAL_LOAD_FUNCTION_NAME(packed_input& archive, std::chrono::milliseconds& value)
{
    value = std::chrono::milliseconds(static_cast<std::int64_t>(archive.number()));
}

} // namespace quetzal::peer::internal

CEREAL_REGISTER_ARCHIVE(quetzal::peer::internal::packed_output)
CEREAL_REGISTER_ARCHIVE(quetzal::peer::internal::packed_input)
CEREAL_SETUP_ARCHIVE_TRAITS(quetzal::peer::internal::packed_input,
                            quetzal::peer::internal::packed_output)

#endif
