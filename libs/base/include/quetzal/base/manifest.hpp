#ifndef QUETZAL_BASE_MANIFEST_HPP
#define QUETZAL_BASE_MANIFEST_HPP

// Describes a document as a sequence of chunks. Shared by the chunk store (`config`) and the
// transfer messages (`peer`), which do not depend on each other.

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <quetzal/base/digest.hpp>

namespace quetzal {

// A document that instances fetch from each other.
enum class document : std::uint8_t
{
    configuration, // the published configuration
    instance_list  // the platform's instance list
};

inline constexpr std::size_t document_count = 2;

// The SHA-256 digest of a chunk, truncated to 16 bytes. It only identifies chunks; the digest of
// the document decides whether the assembled bytes are used.
using chunk_hash = std::array<std::uint8_t, 16>;

// One chunk of a document.
struct chunk_ref
{
    chunk_hash hash{};
    std::uint32_t size = 0; // bytes

    friend bool operator==(const chunk_ref&, const chunk_ref&) = default;
};

// A document as the ordered list of its chunks.
struct manifest
{
    std::uint64_t version = 0; // version of the configuration or revision of the instance list
    digest document_digest{};  // SHA-256 of the whole document
    std::vector<chunk_ref> chunks;

    friend bool operator==(const manifest&, const manifest&) = default;
};

} // namespace quetzal

#endif
