#ifndef QUETZAL_CONFIG_CHUNK_STORE_HPP
#define QUETZAL_CONFIG_CHUNK_STORE_HPP

// Documents as content-defined chunks, so that an instance that has one version fetches only what
// differs in the next. A rolling hash sets the boundaries, so a local change alters one or two
// chunks and leaves the others as they were, even when it moves all bytes behind it.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <quetzal/base/manifest.hpp>
#include <tl/expected.hpp>

namespace quetzal::config {

// Sizes of chunks in bytes. All instances use the same, or they share few chunks.
struct chunk_sizes
{
    std::size_t smallest = 1u << 10;
    std::size_t mean = 2u << 10; // distance of boundaries beyond `smallest`; a power of two
    std::size_t largest = 16u << 10;
};

inline constexpr std::size_t max_document_size = 1u << 20; // bytes
inline constexpr std::size_t max_manifest_chunks =
    max_document_size / chunk_sizes{}.smallest + 1; // bounds what a peer can make us hold

// Splits a text into chunks; their concatenation is the text.
std::vector<std::string_view> split_chunks(std::string_view text, const chunk_sizes& sizes = {});

// Returns the selector of a chunk.
chunk_hash hash_chunk(std::string_view bytes);

// Describes a text. An empty text has no chunks.
manifest make_manifest(std::uint64_t version, std::string_view text, const chunk_sizes& sizes = {});

// Whether the manifest respects the bounds above; a peer's manifest is checked before use.
bool is_bounded(const manifest& description);

// The chunks of the documents in force and those fetched for a next version. Holds at most the
// documents in force plus one partly fetched document for each kind. Not thread-safe.
class chunk_store
{
public:
    // Replaces the document in force and forgets all other chunks of this kind, including the
    // fetched ones. `text` may have up to `max_document_size` bytes; longer ones are a fault of the
    // caller, because the parsers refuse them.
    void put(document kind, std::uint64_t version, std::string_view text);

    // The description of the document in force; null before the first `put`.
    const manifest* describe(document kind) const noexcept;

    // The bytes of a chunk of the document in force; empty when it has no such chunk. Valid until
    // the next command.
    std::optional<std::string_view> find(document kind, const chunk_hash& hash) const;

    // Returns the chunks of the description that neither the document in force nor the fetched
    // chunks provide, each once.
    std::vector<chunk_ref> missing(document kind, const manifest& description) const;

    // Keeps a chunk fetched for the next version of a document. Returns false, and keeps nothing,
    // when the bytes do not have this hash or exceed the largest size, or when the fetched chunks
    // of this kind would exceed `max_document_size`.
    bool add_fetched(document kind, const chunk_ref& chunk, std::string_view bytes);

    // Joins the chunks of a description and verifies the digest of the whole. On error returns what
    // was missing or wrong.
    tl::expected<std::string, std::string> assemble(document kind,
                                                    const manifest& description) const;

    // Forgets the chunks fetched for the next version of a document.
    void drop_fetched(document kind);

    // Bytes of all chunks held.
    std::size_t memory() const noexcept;

private:
    struct held_document
    {
        std::optional<manifest> description;
        std::map<chunk_hash, std::string> chunks;
        std::map<chunk_hash, std::string> fetched;
        std::size_t fetched_size = 0;
    };

    const std::string* look_up(document kind, const chunk_ref& chunk) const;

    std::array<held_document, document_count> documents_;
};

} // namespace quetzal::config

#endif
