#include <quetzal/peer/transfer.hpp>

#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "authentication.hpp"
#include "bounded_archive.hpp"

namespace quetzal {

template <class Archive>
void serialize(Archive& archive, chunk_ref& value)
{
    archive(value.hash, value.size);
}

template <class Archive>
void serialize(Archive& archive, manifest& value)
{
    archive(value.version, value.document_digest, value.chunks);
}

namespace peer {

template <class Archive>
void serialize(Archive& archive, manifest_request& value)
{
    archive(value.kind);
}

template <class Archive>
void serialize(Archive& archive, manifest_answer& value)
{
    archive(value.kind, value.description);
}

template <class Archive>
void serialize(Archive& archive, chunks_request& value)
{
    archive(value.kind, value.wanted);
}

template <class Archive>
void serialize(Archive& archive, chunk_data& value)
{
    archive(value.hash, value.bytes);
}

template <class Archive>
void serialize(Archive& archive, chunks_answer& value)
{
    archive(value.kind, value.chunks);
}

namespace {

// Header: magic (2 bytes), format version, key identifier, body size (4 bytes, big-endian),
// MAC. The MAC covers the first eight bytes and the body.
constexpr std::string_view magic = "qt";
constexpr std::size_t prefix_size = 8;
static_assert(prefix_size + mac_size == transfer_header_size);

} // namespace

std::string encode_frame(const transfer_message& message, const key_ring& keys)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    const std::string body = std::move(stream).str();
    std::string frame(magic);
    frame += static_cast<char>(format_version);
    frame += static_cast<char>(keys.current.id);
    for (int shift = 24; shift >= 0; shift -= 8) {
        frame += static_cast<char>(body.size() >> shift);
    }
    const mac signature = internal::sign(keys.current.secret, frame, body);
    frame.append(reinterpret_cast<const char*>(signature.data()), signature.size());
    return frame + body;
}

tl::expected<std::size_t, drop_cause> frame_body_size(std::string_view header)
{
    if (header.size() < transfer_header_size || header.substr(0, magic.size()) != magic) {
        return tl::unexpected(drop_cause::too_short);
    }
    if (static_cast<std::uint8_t>(header[2]) != format_version) {
        return tl::unexpected(drop_cause::wrong_version);
    }
    std::size_t size = 0;
    for (const char byte : header.substr(4, 4)) {
        size = size << 8 | static_cast<std::uint8_t>(byte);
    }
    if (size > max_frame_body) {
        return tl::unexpected(drop_cause::undecodable);
    }
    return size;
}

tl::expected<transfer_message, drop_cause> decode_frame(std::string_view frame,
                                                        const key_ring& keys)
{
    const auto size = frame_body_size(frame);
    if (!size) {
        return tl::unexpected(size.error());
    }
    if (frame.size() != transfer_header_size + *size) {
        return tl::unexpected(drop_cause::too_short);
    }
    const auto body = internal::verified_body(frame, prefix_size, keys);
    if (!body) {
        return tl::unexpected(body.error());
    }
    try {
        internal::bounded_archive archive(*body);
        transfer_message message;
        archive(message);
        return message;
    } catch (const std::exception&)
    { // cereal exceptions, bad_alloc and length_error all indicate a malformed body
        return tl::unexpected(drop_cause::undecodable);
    }
}

} // namespace peer

} // namespace quetzal
