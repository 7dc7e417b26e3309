#ifndef QUETZAL_PEER_BOUNDED_ARCHIVE_HPP
#define QUETZAL_PEER_BOUNDED_ARCHIVE_HPP

// Input archive for the format of cereal's portable binary archive. Unlike cereal's own archive, it
// rejects an element count that exceeds the remaining bytes before it allocates memory for the
// elements. A damaged count in an authentic message would otherwise allocate and fill gigabytes.

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

namespace quetzal::peer::internal {

// Reads from a buffer that must outlive the archive. Throws `cereal::Exception` if the buffer is
// too short.
class bounded_archive : public cereal::InputArchive<bounded_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_archive(std::string_view bytes) : InputArchive(this), remaining_(bytes)
    {
        std::uint8_t little_endian = 0;
        read(&little_endian, 1, 1);
        swap_bytes_ =
            (little_endian != 0) != (cereal::portable_binary_detail::is_little_endian() != 0);
    }

    // Reads `size` bytes as elements of `element_size` bytes each.
    void read(void* target, std::size_t size, std::size_t element_size)
    {
        if (size > remaining_.size()) {
            throw cereal::Exception("unexpected end of message");
        }
        std::memcpy(target, remaining_.data(), size);
        remaining_.remove_prefix(size);
        if (swap_bytes_) {
            auto* const bytes = static_cast<char*>(target);
            for (std::size_t start = 0; start + element_size <= size; start += element_size) {
                std::reverse(bytes + start, bytes + start + element_size);
            }
        }
    }

    // Reads an element count. Each element takes at least one byte.
    template <class Count>
    void read_count(Count& count)
    {
        cereal::size_type value = 0;
        read(&value, sizeof value, sizeof value);
        if (value > remaining_.size()) {
            throw cereal::Exception("element count exceeds the remaining bytes");
        }
        count = static_cast<Count>(value);
    }

private:
    std::string_view remaining_;
    bool swap_bytes_ = false;
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

// cereal uses this trait to determine how enumerations are encoded.
template <>
struct cereal::traits::detail::get_output_from_input<quetzal::peer::internal::bounded_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

#endif
