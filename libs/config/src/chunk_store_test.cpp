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

// Guards against chunks that lose, reorder or move content, and against a boundary rule under which
// one inserted byte changes all chunks behind it.
Test(chunks, local_changes_stay_local)
{
    const std::string text = large_config(100);
    section("the text of the design size is a valid configuration", [&] {
        const auto config = parse_published(text);
        check(config.has_value(), config ? "" : config.error().message());
        check(text.size() > 900'000 && text.size() <= max_published_size,
              std::to_string(text.size()));
    });
    section("chunks respect their bounds and join to the text", [&] {
        std::string joined;
        const auto chunks = split_chunks(text);
        for (std::size_t index = 0; index < chunks.size(); ++index) {
            const bool last = index + 1 == chunks.size();
            check(chunks[index].size() <= chunk_sizes{}.largest, "largest");
            check(last || chunks[index].size() > chunk_sizes{}.smallest, "smallest");
            joined += chunks[index];
        }
        check(joined == text, "joined");
        check(split_chunks("").empty(), "empty text");
        check(split_chunks(std::string(100'000, 'a')).size() < 100, "a text without variety");
    });
    section("an insertion at any place changes few chunks", [&] {
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

// Guards against a document assembled from wrong or missing parts, and against a peer that makes an
// instance hold any amount of memory.
Test(chunk_store, only_a_verified_document_is_assembled)
{
    const std::string former = large_config(1);
    const std::string next = large_config(2);
    const manifest description = make_manifest(2, next);
    chunk_store source;
    source.put(kind, 2, next);
    chunk_store store;
    store.put(kind, 1, former);
    section("given a store with version 1, few chunks of version 2 are missing", [&] {
        const auto missing = store.missing(kind, description);
        check(!missing.empty() && size_of(missing) < 40'000, std::to_string(size_of(missing)));
        check(!store.assemble(kind, description), "incomplete");
        for (const auto& chunk : missing) {
            const std::string bytes(*source.find(kind, chunk.hash));
            std::string changed = bytes;
            changed[0] ^= 1;
            check(!store.add_fetched(kind, chunk, changed), "wrong bytes");
            check(!store.add_fetched(kind, chunk, bytes + "x"), "wrong size");
            check(store.add_fetched(kind, chunk, bytes), "right bytes");
        }
        check(store.missing(kind, description).empty(), "complete");
        check(store.assemble(kind, description) == next, "assembled");
    });
    section("a manifest whose whole does not match is refused", [&] {
        manifest wrong = description;
        wrong.whole[0] ^= 1;
        check(!store.assemble(kind, wrong), "digest");
        wrong = description;
        std::swap(wrong.chunks[3], wrong.chunks[4]);
        check(!store.assemble(kind, wrong), "order");
    });
    section("putting the new version forgets everything else", [&] {
        store.put(kind, 2, next);
        check(store.describe(kind)->version == 2 && store.memory() <= next.size(), "memory");
    });
    section("fetched chunks are bounded", [&] {
        std::size_t kept = 0;
        for (std::uint32_t index = 0; index < 1000; ++index) {
            std::string bytes(chunk_sizes{}.largest, 'x');
            bytes.replace(0, 4, std::to_string(1000 + index));
            const auto size = static_cast<std::uint32_t>(bytes.size());
            kept += store.add_fetched(kind, {hash_chunk(bytes), size}, bytes) ? 1 : 0;
        }
        check(kept == max_document_size / chunk_sizes{}.largest, std::to_string(kept));
        store.drop_fetched(kind);
        check(store.memory() <= next.size(), "dropped");
    });
    section("a manifest out of bounds is recognised", [&] {
        manifest many;
        many.chunks.resize(max_manifest_chunks + 1, {chunk_hash{}, 1});
        check(!is_bounded(many), "chunks");
        manifest large;
        large.chunks.resize(100, {chunk_hash{}, 16u << 10});
        check(!is_bounded(large), "bytes");
        large.chunks.assign(1, {chunk_hash{}, (16u << 10) + 1});
        check(!is_bounded(large), "one chunk");
        check(is_bounded(description), "a real one");
    });
}
