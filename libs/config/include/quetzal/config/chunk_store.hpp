#ifndef QUETZAL_CONFIG_CHUNK_STORE_HPP
#define QUETZAL_CONFIG_CHUNK_STORE_HPP

// Splits documents into content-defined chunks, so that an instance that has one version fetches
// only the chunks that differ in the next one. A rolling hash sets the chunk boundaries, so a local
// change alters one or two chunks and leaves the others unchanged, even if it shifts all bytes
// after it.

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

// Chunk sizes in bytes. All instances must use the same sizes; otherwise they share few chunks.
struct chunk_sizes
{
    std::size_t smallest = 1u << 10;
    std::size_t mean = 2u << 10; // mean distance from `smallest` to the boundary; a power of two
    std::size_t largest = 16u << 10;
};

inline constexpr std::size_t max_document_size = 1u << 20; // bytes
inline constexpr std::size_t max_manifest_chunks =
    max_document_size / chunk_sizes{}.smallest + 1; // bounds the memory a peer can make us use

// Splits a text into chunks whose concatenation is the text.
std::vector<std::string_view> split_chunks(std::string_view text, const chunk_sizes& sizes = {});

// Returns the hash that identifies a chunk.
chunk_hash hash_chunk(std::string_view bytes);

// Returns the manifest of a text. The manifest of an empty text has no chunks.
manifest make_manifest(std::uint64_t version, std::string_view text, const chunk_sizes& sizes = {});

// Returns whether the manifest respects the bounds above. Check a peer's manifest before using it.
bool is_bounded(const manifest& description);

// Stores the chunks of the documents in force and the chunks fetched for their next versions. Holds
// at most one document in force and one partly fetched document of each kind. Not thread-safe.
class chunk_store
{
public:
    // Replaces the document in force and drops all other chunks of this kind, including the fetched
    // ones. Precondition: `text` has at most `max_document_size` bytes; the parsers reject longer
    // documents.
    void put(document kind, std::uint64_t version, std::string_view text);

    // Returns the manifest of the document in force; null before the first `put`.
    const manifest* describe(document kind) const noexcept;

    // Returns the bytes of a chunk of the document in force, or nothing if it has no such chunk.
    // The view is valid until the next call of a non-const member function.
    std::optional<std::string_view> find(document kind, const chunk_hash& hash) const;

    // Returns the chunks of the manifest that are neither in the document in force nor fetched,
    // each of them once.
    std::vector<chunk_ref> missing(document kind, const manifest& description) const;

    // Stores a chunk fetched for the next version of a document. Returns false and stores nothing
    // if the bytes do not have the hash and size of `chunk` or exceed the largest chunk size, or if
    // the fetched chunks of this kind would exceed `max_document_size` bytes.
    bool add_fetched(document kind, const chunk_ref& chunk, std::string_view bytes);

    // Concatenates the chunks of a manifest and verifies the digest of the document. On error
    // returns a message that says what is missing or wrong.
    tl::expected<std::string, std::string> assemble(document kind,
                                                    const manifest& description) const;

    // Drops the chunks fetched for the next version of a document.
    void drop_fetched(document kind);

    // Returns the size of all stored chunks in bytes.
    std::size_t memory() const noexcept;

private:
    struct stored_document
    {
        std::optional<manifest> description;
        std::map<chunk_hash, std::string> chunks;
        std::map<chunk_hash, std::string> fetched;
        std::size_t fetched_size = 0;
    };

    const std::string* look_up(document kind, const chunk_ref& chunk) const;

    std::array<stored_document, document_count> documents_;
};

} // namespace quetzal::config

#endif
