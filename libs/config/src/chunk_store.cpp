#include <quetzal/config/chunk_store.hpp>

#include <algorithm>
#include <set>

#include <quetzal/base/random.hpp>

namespace quetzal::config {

namespace {

// Returns a random value for each byte, for the rolling hash. The seed is part of the format:
// instances with different tables would share no chunks.
std::array<std::uint64_t, 256> make_gear_table()
{
    std::array<std::uint64_t, 256> table{};
    random_source random(0x71756574);
    std::generate(table.begin(), table.end(), [&random] { return random(); });
    return table;
}

// Returns the length of the first chunk. The gear hash shifts each byte out after 64 steps, so a
// boundary depends only on the 64 bytes before it, and the boundaries after a change are found
// again. The mask selects the upper bits, which depend on the most bytes.
std::size_t first_chunk_length(std::string_view text, const chunk_sizes& sizes)
{
    static const auto table = make_gear_table();
    const std::uint64_t mask = ~(~std::uint64_t{0} / sizes.mean);
    const std::size_t end = std::min(text.size(), sizes.largest);
    std::uint64_t hash = 0;
    for (std::size_t at = std::min(end, sizes.smallest); at < end; ++at) {
        hash = (hash << 1) + table[static_cast<unsigned char>(text[at])];
        if ((hash & mask) == 0) {
            return at + 1;
        }
    }
    return end;
}

std::size_t index_of(document kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

std::vector<std::string_view> split_chunks(std::string_view text, const chunk_sizes& sizes)
{
    std::vector<std::string_view> chunks;
    while (!text.empty()) {
        const std::size_t length = first_chunk_length(text, sizes);
        chunks.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return chunks;
}

chunk_hash hash_chunk(std::string_view bytes)
{
    const digest full = sha256(bytes);
    chunk_hash hash{};
    std::copy_n(full.begin(), hash.size(), hash.begin());
    return hash;
}

manifest make_manifest(std::uint64_t version, std::string_view text, const chunk_sizes& sizes)
{
    manifest description{version, sha256(text), {}};
    for (const auto chunk : split_chunks(text, sizes)) {
        description.chunks.push_back({hash_chunk(chunk), static_cast<std::uint32_t>(chunk.size())});
    }
    return description;
}

bool is_bounded(const manifest& description)
{
    if (description.chunks.size() > max_manifest_chunks) {
        return false;
    }
    std::size_t total = 0;
    for (const auto& chunk : description.chunks) {
        if (chunk.size == 0 || chunk.size > chunk_sizes{}.largest) {
            return false;
        }
        total += chunk.size;
    }
    return total <= max_document_size;
}

void chunk_store::put(document kind, std::uint64_t version, std::string_view text)
{
    stored_document next;
    next.description = manifest{version, sha256(text), {}};
    for (const auto chunk : split_chunks(text)) {
        const chunk_hash hash = hash_chunk(chunk);
        next.description->chunks.push_back({hash, static_cast<std::uint32_t>(chunk.size())});
        next.chunks.try_emplace(hash, chunk);
    }
    documents_[index_of(kind)] = std::move(next);
}

const manifest* chunk_store::describe(document kind) const noexcept
{
    const auto& description = documents_[index_of(kind)].description;
    return description ? &*description : nullptr;
}

std::optional<std::string_view> chunk_store::find(document kind, const chunk_hash& hash) const
{
    const auto& chunks = documents_[index_of(kind)].chunks;
    const auto found = chunks.find(hash);
    return found == chunks.end() ? std::nullopt : std::optional<std::string_view>(found->second);
}

const std::string* chunk_store::look_up(document kind, const chunk_ref& chunk) const
{
    const auto& stored = documents_[index_of(kind)];
    for (const auto* chunks : {&stored.chunks, &stored.fetched}) {
        const auto found = chunks->find(chunk.hash);
        if (found != chunks->end() && found->second.size() == chunk.size) {
            return &found->second;
        }
    }
    return nullptr;
}

std::vector<chunk_ref> chunk_store::missing(document kind, const manifest& description) const
{
    std::vector<chunk_ref> chunks;
    std::set<chunk_hash> listed;
    for (const auto& chunk : description.chunks) {
        if (look_up(kind, chunk) == nullptr && listed.insert(chunk.hash).second) {
            chunks.push_back(chunk);
        }
    }
    return chunks;
}

bool chunk_store::add_fetched(document kind, const chunk_ref& chunk, std::string_view bytes)
{
    auto& stored = documents_[index_of(kind)];
    if (bytes.size() != chunk.size || bytes.size() > chunk_sizes{}.largest ||
        stored.fetched_size + bytes.size() > max_document_size || hash_chunk(bytes) != chunk.hash)
    {
        return false;
    }
    if (stored.fetched.try_emplace(chunk.hash, bytes).second) {
        stored.fetched_size += bytes.size();
    }
    return true;
}

tl::expected<std::string, std::string> chunk_store::assemble(document kind,
                                                             const manifest& description) const
{
    if (!is_bounded(description)) {
        return tl::unexpected<std::string>("the manifest exceeds the bounds");
    }
    std::string text;
    for (const auto& chunk : description.chunks) {
        const std::string* bytes = look_up(kind, chunk);
        if (bytes == nullptr) {
            return tl::unexpected("chunk " + to_hex(chunk.hash) + " is missing");
        }
        text += *bytes;
    }
    if (sha256(text) != description.document_digest) {
        return tl::unexpected<std::string>(
            "the digest of the assembled document does not match the manifest");
    }
    return text;
}

void chunk_store::drop_fetched(document kind)
{
    auto& stored = documents_[index_of(kind)];
    stored.fetched.clear();
    stored.fetched_size = 0;
}

std::size_t chunk_store::memory() const noexcept
{
    std::size_t total = 0;
    for (const auto& stored : documents_) {
        total += stored.fetched_size;
        for (const auto& [hash, bytes] : stored.chunks) {
            total += bytes.size();
        }
    }
    return total;
}

} // namespace quetzal::config
