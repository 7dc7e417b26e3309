#ifndef QUETZAL_PEER_BOUNDED_ARCHIVE_HPP
#define QUETZAL_PEER_BOUNDED_ARCHIVE_HPP

// Input archive for the format of cereal's portable binary archive. Unlike that one, it refuses a
// count of elements that the remaining bytes cannot hold, before anything is allocated for them: a
// damaged count in an authentic message would otherwise allocate and fill gigabytes.

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

namespace quetzal::peer::internal {

// Reads from bytes that must outlive it. Throws `cereal::Exception` when they are too short.
class bounded_archive : public cereal::InputArchive<bounded_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_archive(std::string_view bytes) : InputArchive(this), rest_(bytes)
    {
        std::uint8_t little_endian = 0;
        read(&little_endian, 1, 1);
        swap_ = (little_endian != 0) != (cereal::portable_binary_detail::is_little_endian() != 0);
    }

    // Reads `size` bytes as elements of `width` bytes each.
    void read(void* to, std::size_t size, std::size_t width)
    {
        if (size > rest_.size()) {
            throw cereal::Exception("message too short");
        }
        std::memcpy(to, rest_.data(), size);
        rest_.remove_prefix(size);
        if (swap_) {
            auto* const bytes = static_cast<char*>(to);
            for (std::size_t start = 0; start + width <= size; start += width) {
                std::reverse(bytes + start, bytes + start + width);
            }
        }
    }

    // Reads a count of elements; each takes at least one byte.
    template <class Count>
    void read_count(Count& count)
    {
        cereal::size_type value = 0;
        read(&value, sizeof value, sizeof value);
        if (value > rest_.size()) {
            throw cereal::Exception("more elements than bytes");
        }
        count = static_cast<Count>(value);
    }

private:
    std::string_view rest_;
    bool swap_ = false;
};

template <class Value>
requires std::is_arithmetic_v<Value>
void CEREAL_LOAD_FUNCTION_NAME(bounded_archive& archive, Value& value)
{
    archive.read(&value, sizeof value, sizeof value);
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_archive& archive, cereal::NameValuePair<Value>& pair)
{
    archive(pair.value);
}

template <class Count>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_archive& archive, cereal::SizeTag<Count>& tag)
{
    archive.read_count(tag.size);
}

template <class Data>
void CEREAL_LOAD_FUNCTION_NAME(bounded_archive& archive, cereal::BinaryData<Data>& data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size),
                 sizeof(std::remove_pointer_t<std::remove_reference_t<Data>>));
}

} // namespace quetzal::peer::internal

// Cereal derives from this how enumerations are written.
template <>
struct cereal::traits::detail::get_output_from_input<quetzal::peer::internal::bounded_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

#endif
