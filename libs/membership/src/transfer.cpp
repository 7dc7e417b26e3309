#include <quetzal/membership/transfer.hpp>

#include <algorithm>

namespace quetzal::membership {

namespace {

peer::manifest_answer answer_manifest(const config::chunk_store& store,
                                      const peer::manifest_request& request)
{
    const manifest* description = store.describe(request.kind);
    return {request.kind, description == nullptr ? manifest{} : *description};
}

std::optional<peer::transfer_message> answer_chunks(const config::chunk_store& store,
                                                    const peer::chunks_request& request)
{
    if (request.wanted.size() > peer::max_chunks_per_request) {
        return std::nullopt;
    }
    peer::chunks_answer answer{request.kind, {}};
    std::size_t size = 0;
    for (const auto& hash : request.wanted) {
        const auto bytes = store.find(request.kind, hash);
        if (!bytes) {
            continue;
        }
        size += bytes->size();
        if (size > peer::max_chunk_bytes_per_answer) {
            break;
        }
        answer.chunks.push_back({hash, std::string(*bytes)});
    }
    return answer;
}

} // namespace

std::optional<peer::transfer_message> answer_transfer(const config::chunk_store& store,
                                                      const peer::transfer_message& request)
{
    if (const auto* manifest_request = std::get_if<peer::manifest_request>(&request)) {
        if (static_cast<std::size_t>(manifest_request->kind) < document_count) {
            return answer_manifest(store, *manifest_request);
        }
    }
    if (const auto* chunks = std::get_if<peer::chunks_request>(&request)) {
        if (static_cast<std::size_t>(chunks->kind) < document_count) {
            return answer_chunks(store, *chunks);
        }
    }
    return std::nullopt;
}

document_fetch::document_fetch(config::chunk_store& store, document kind, std::uint64_t version)
    : store_(store), kind_(kind), version_(version)
{
}

fetch_step document_fetch::begin()
{
    return send_request{peer::manifest_request{kind_}};
}

fetch_step document_fetch::on_message(const peer::transfer_message& answer)
{
    if (const auto* manifest_answer = std::get_if<peer::manifest_answer>(&answer);
        manifest_answer != nullptr && !manifest_ && manifest_answer->kind == kind_)
    {
        return on_manifest(*manifest_answer);
    }
    if (const auto* chunks = std::get_if<peer::chunks_answer>(&answer);
        chunks != nullptr && manifest_ && chunks->kind == kind_)
    {
        return on_chunks(*chunks);
    }
    return fetch_failed{"the answer does not match the request"};
}

fetch_step document_fetch::on_manifest(const peer::manifest_answer& answer)
{
    const manifest& description = answer.description;
    if (description.version < version_) {
        return fetch_failed{"the peer has version " + std::to_string(description.version) +
                            " instead of " + std::to_string(version_)};
    }
    if (!config::is_bounded(description)) {
        return fetch_failed{"the manifest exceeds the bounds"};
    }
    manifest_ = description;
    return next_step();
}

fetch_step document_fetch::on_chunks(const peer::chunks_answer& answer)
{
    for (const auto& chunk : answer.chunks) {
        const auto requested =
            std::find_if(requested_.begin(), requested_.end(),
                         [&chunk](const chunk_ref& entry) { return entry.hash == chunk.hash; });
        if (requested == requested_.end()) {
            return fetch_failed{"received a chunk that was not requested"};
        }
        if (!store_.add_fetched(kind_, *requested, chunk.bytes)) {
            // Chunks of abandoned versions may have used up the size limit. Dropping them lets the
            // next fetch start from scratch.
            store_.drop_fetched(kind_);
            return fetch_failed{
                "a received chunk does not match the manifest or exceeds the size limit"};
        }
    }
    if (answer.chunks.empty()) {
        return fetch_failed{"the peer no longer has the requested chunks"};
    }
    return next_step();
}

fetch_step document_fetch::next_step()
{
    requested_ = store_.missing(kind_, *manifest_);
    if (requested_.empty()) {
        auto text = store_.assemble(kind_, *manifest_);
        if (!text) {
            store_.drop_fetched(kind_);
            return fetch_failed{std::move(text.error())};
        }
        return document_fetched{manifest_->version, std::move(*text)};
    }
    requested_.resize(std::min(requested_.size(), peer::max_chunks_per_request));
    peer::chunks_request request{kind_, {}};
    std::transform(requested_.begin(), requested_.end(), std::back_inserter(request.wanted),
                   [](const chunk_ref& chunk) { return chunk.hash; });
    return send_request{std::move(request)};
}

} // namespace quetzal::membership
