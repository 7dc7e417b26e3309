#ifndef QUETZAL_PEER_TRANSFER_HPP
#define QUETZAL_PEER_TRANSFER_HPP

// Messages by which instances fetch documents from each other over TCP, and their encoding as
// frames: a fixed header (magic, format version, key identifier, body size, MAC) and a cereal
// portable binary body. The MAC is verified before any part of the body is decoded. A connection
// carries one exchange at a time: request, response, request, response.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <quetzal/base/manifest.hpp>
#include <quetzal/peer/codec.hpp>
#include <tl/expected.hpp>

namespace quetzal::peer {

inline constexpr std::size_t transfer_header_size = 2 + 1 + 1 + 4 + mac_size; // bytes
inline constexpr std::size_t max_frame_body = 256u << 10;                     // bytes
inline constexpr std::size_t max_chunks_per_request = 128;
inline constexpr std::size_t max_chunk_bytes_per_answer = 192u << 10; // leaves space for framing

// Requests the manifest of the document in force.
struct manifest_request
{
    document kind = document::configuration;
};

// The manifest in force; version 0 means that the sender has no such document.
struct manifest_answer
{
    document kind = document::configuration;
    manifest description;
};

// Requests at most `max_chunks_per_request` chunks.
struct chunks_request
{
    document kind = document::configuration;
    std::vector<chunk_hash> wanted;
};

// One chunk of a response.
struct chunk_data
{
    chunk_hash hash{};
    std::string bytes;
};

// Chunks in the requested order. The response may hold fewer chunks than requested, if the sender
// no longer has the others or if the response has reached `max_chunk_bytes_per_answer`.
struct chunks_answer
{
    document kind = document::configuration;
    std::vector<chunk_data> chunks;
};

using transfer_message =
    std::variant<manifest_request, manifest_answer, chunks_request, chunks_answer>;

// Encodes and signs a frame.
std::string encode_frame(const transfer_message& message, const key_ring& keys);

// Returns the size of the body that follows a header of `transfer_header_size` bytes, before the
// body is read. A body larger than `max_frame_body` is rejected as undecodable.
tl::expected<std::size_t, drop_cause> frame_body_size(std::string_view header);

// Verifies and decodes a complete frame. Does not throw, whatever the input.
tl::expected<transfer_message, drop_cause> decode_frame(std::string_view frame,
                                                        const key_ring& keys);

} // namespace quetzal::peer

#endif
