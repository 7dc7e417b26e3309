#ifndef QUETZAL_MEMBERSHIP_TRANSFER_HPP
#define QUETZAL_MEMBERSHIP_TRANSFER_HPP

// Both sides of the fetch of a document from a peer. Messages go in and come out; the runtime
// carries them over one TCP connection and ends the fetch at `reader_options::fetch_timeout`.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <quetzal/config/chunk_store.hpp>
#include <quetzal/peer/transfer.hpp>

namespace quetzal::membership {

// Answers a peer's request from the documents in force. Empty for messages that are no request or
// ask for too much; close the connection then.
std::optional<peer::transfer_message> answer_transfer(const config::chunk_store& store,
                                                      const peer::transfer_message& request);

// Send this request and pass its answer to `on_message`.
struct send_request
{
    peer::transfer_message request;
};

// The fetch is complete and its digest verified. Offer the text to the tracker, which decides on
// the version that the text itself declares.
struct document_fetched
{
    std::uint64_t version = 0;
    std::string text;
};

// The fetch ended without a document.
struct fetch_failed
{
    std::string cause;
};

using fetch_step = std::variant<send_request, document_fetched, fetch_failed>;

// One fetch of one document from one peer. Chunks that arrived stay in the store, so that a fetch
// that was cut off resumes where it ended. Not thread-safe; the store must outlive it.
class document_fetch
{
public:
    // Fetches `version` or a higher one.
    document_fetch(config::chunk_store& store, document kind, std::uint64_t version);

    // Returns the first request.
    fetch_step begin();

    // Takes the answer to the last request. Nothing follows `document_fetched` and `fetch_failed`.
    fetch_step on_message(const peer::transfer_message& answer);

private:
    fetch_step on_manifest(const peer::manifest_answer& answer);
    fetch_step on_chunks(const peer::chunks_answer& answer);
    fetch_step next();

    config::chunk_store& store_;
    document kind_;
    std::uint64_t version_;
    std::optional<manifest> description_;
    std::vector<chunk_ref> asked_;
};

} // namespace quetzal::membership

#endif
