#include <set>
#include <string>

#include <quetzal/base/random.hpp>
#include <quetzal/config/chunk_store.hpp>
#include <quetzal/config/published.hpp>

#include "test_documents.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::config;
using namespace quetzal::config::test;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

constexpr document kind = document::configuration;

std::size_t size_of(const std::vector<chunk_ref>& chunks)
{
    std::size_t total = 0;
    for (const auto& chunk : chunks) {
        total += chunk.size;
    }
    return total;
}

} // namespace

// Guards against chunks that lose, reorder or move content, and against a boundary rule with which
// one inserted byte changes all chunks after it.
Test(chunks, local_change_alters_few_chunks)
{
    const std::string text = large_config(100);
    section("the 1 MB document is a valid configuration", [&] {
        const auto config = parse_published(text);
        check(config.has_value(), config ? "" : config.error().message());
        check(text.size() > 900'000 && text.size() <= max_published_size,
              std::to_string(text.size()));
    });
    section("chunks respect the size bounds and their concatenation is the text", [&] {
        std::string joined;
        const auto chunks = split_chunks(text);
        for (std::size_t index = 0; index < chunks.size(); ++index) {
            const bool last = index + 1 == chunks.size();
            check(chunks[index].size() <= chunk_sizes{}.largest,
                  "the chunk does not exceed the largest size");
            check(last || chunks[index].size() > chunk_sizes{}.smallest,
                  "the chunk exceeds the smallest size");
            joined += chunks[index];
        }
        check(joined == text, "the concatenation is the text");
        check(split_chunks("").empty(), "an empty text has no chunks");
        check(split_chunks(std::string(100'000, 'a')).size() < 100,
              "a text of equal bytes has few chunks");
    });
    section("an insertion at a random position changes at most three chunks", [&] {
        chunk_store store;
        store.put(kind, 1, text);
        random_source random(3);
        for (int round = 0; round < 30; ++round) {
            std::string changed = text;
            changed.insert(random.below(changed.size()), "x");
            const auto missing = store.missing(kind, make_manifest(2, changed));
            check(missing.size() <= 3, std::to_string(missing.size()) + " chunks changed, seed 3");
        }
    });
}

// Guards against assembling a document from wrong or missing chunks, and against a peer that makes
// an instance use unbounded memory.
Test(chunk_store, assembles_only_verified_documents)
{
    const std::string previous = large_config(1);
    const std::string next = large_config(2);
    const manifest description = make_manifest(2, next);
    chunk_store source;
    source.put(kind, 2, next);
    chunk_store store;
    store.put(kind, 1, previous);
    section("a store with version 1 lacks few chunks of version 2", [&] {
        const auto missing = store.missing(kind, description);
        check(!missing.empty() && size_of(missing) < 40'000, std::to_string(size_of(missing)));
        check(!store.assemble(kind, description), "an incomplete document is not assembled");
        for (const auto& chunk : missing) {
            const std::string bytes(*source.find(kind, chunk.hash));
            std::string changed = bytes;
            changed[0] ^= 1;
            check(!store.add_fetched(kind, chunk, changed), "changed bytes are rejected");
            check(!store.add_fetched(kind, chunk, bytes + "x"), "a wrong size is rejected");
            check(store.add_fetched(kind, chunk, bytes), "the correct bytes are accepted");
        }
        check(store.missing(kind, description).empty(), "no chunk is missing");
        check(store.assemble(kind, description) == next, "the assembled document is version 2");
    });
    section("a manifest with a different document digest is rejected", [&] {
        manifest wrong = description;
        wrong.document_digest[0] ^= 1;
        check(!store.assemble(kind, wrong), "a wrong digest is rejected");
        wrong = description;
        std::swap(wrong.chunks[3], wrong.chunks[4]);
        check(!store.assemble(kind, wrong), "chunks in a different order are rejected");
    });
    section("storing the new version drops all other chunks", [&] {
        store.put(kind, 2, next);
        check(store.describe(kind)->version == 2 && store.memory() <= next.size(),
              "only version 2 is stored");
    });
    section("the size of fetched chunks is bounded", [&] {
        std::size_t accepted = 0;
        for (std::uint32_t index = 0; index < 1000; ++index) {
            std::string bytes(chunk_sizes{}.largest, 'x');
            bytes.replace(0, 4, std::to_string(1000 + index));
            const auto size = static_cast<std::uint32_t>(bytes.size());
            accepted += store.add_fetched(kind, {hash_chunk(bytes), size}, bytes) ? 1 : 0;
        }
        check(accepted == max_document_size / chunk_sizes{}.largest, std::to_string(accepted));
        store.drop_fetched(kind);
        check(store.memory() <= next.size(), "the fetched chunks are dropped");
    });
    section("a manifest out of bounds is detected", [&] {
        manifest many;
        many.chunks.resize(max_manifest_chunks + 1, {chunk_hash{}, 1});
        check(!is_bounded(many), "too many chunks are rejected");
        manifest large;
        large.chunks.resize(100, {chunk_hash{}, 16u << 10});
        check(!is_bounded(large), "too many bytes are rejected");
        large.chunks.assign(1, {chunk_hash{}, (16u << 10) + 1});
        check(!is_bounded(large), "a chunk that is too large is rejected");
        check(is_bounded(description), "the manifest of the document is accepted");
    });
}
