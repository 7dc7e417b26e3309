#ifndef QUETZAL_MEMBERSHIP_TRANSFER_HPP
#define QUETZAL_MEMBERSHIP_TRANSFER_HPP

// Client and server side of fetching a document from a peer, without I/O. The runtime exchanges the
// messages over one TCP connection and aborts the fetch after `reader_options::fetch_timeout`.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <quetzal/config/chunk_store.hpp>
#include <quetzal/peer/transfer.hpp>

namespace quetzal::membership {

// Answers a peer's request from the documents in force. Returns nothing if the message is not a
// request or exceeds the request limits; the caller must then close the connection.
std::optional<peer::transfer_message> answer_transfer(const config::chunk_store& store,
                                                      const peer::transfer_message& request);

// The runtime must send this request and pass the answer to `on_message`.
struct send_request
{
    peer::transfer_message request;
};

// The fetch is complete and the digest is verified. Offer the text to the tracker, which decides by
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

// A fetch of one document from one peer. Received chunks stay in the store, so that the next fetch
// resumes where an interrupted one stopped. Not thread-safe. The store must outlive this object.
class document_fetch
{
public:
    // Fetches `version` or a higher version.
    document_fetch(config::chunk_store& store, document kind, std::uint64_t version);

    // Returns the first request.
    fetch_step begin();

    // Handles the answer to the last request. `document_fetched` and `fetch_failed` are final
    // steps.
    fetch_step on_message(const peer::transfer_message& answer);

private:
    fetch_step on_manifest(const peer::manifest_answer& answer);
    fetch_step on_chunks(const peer::chunks_answer& answer);
    fetch_step next_step();

    config::chunk_store& store_;
    document kind_;
    std::uint64_t version_;
    std::optional<manifest> manifest_;
    std::vector<chunk_ref> requested_;
};

} // namespace quetzal::membership

#endif
