#ifndef QUETZAL_GATEWAY_PEER_LINK_HPP
#define QUETZAL_GATEWAY_PEER_LINK_HPP

// What instances of the fleet send each other: heartbeats as datagrams, and over TCP the pieces of
// stages for the instance that gathers them, their results, and copies of the published documents
// for instances that cannot read them from the platform.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/gateway/member_table.hpp>
#include <quetzal/gateway/piece_queue.hpp>

namespace quetzal::gateway {

// One document of the platform, as published.
struct published_document
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(key, value, revision);
    }
};

// All documents at one revision of the platform's store.
struct document_snapshot
{
    std::uint64_t revision = 0;
    std::vector<published_document> documents;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(revision, documents);
    }
};

// Messages over TCP.
struct piece_submission
{
    std::uint64_t ticket = 0; // of the sender
    std::string service;
    piece_order order;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ticket, service, order);
    }
};

struct piece_cancellation
{
    std::uint64_t ticket = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ticket);
    }
};

// Result of a piece: a handle, or why there is none.
struct piece_answer
{
    std::uint64_t ticket = 0;
    std::string handle;    // names the result when done
    std::uint8_t fate = 0; // a `piece_fate`

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ticket, handle, fate);
    }
};

struct snapshot_request
{
    std::uint64_t newer_than = 0; // revision that the asker has

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(newer_than);
    }
};

using peer_message = std::variant<piece_submission, piece_cancellation, piece_answer,
                                  snapshot_request, document_snapshot>;

struct peer_link_options
{
    std::string address;             // numeric IP address of this instance
    std::uint16_t datagram_port = 0; // the same on all instances
    std::uint16_t stream_port = 0;   // the same on all instances
    std::vector<std::string> seeds;  // addresses of instances that may be alive
};

class peer_link
{
public:
    // Called for each message; `from` is the address of the sending instance.
    using message_handler = std::function<void(const std::string& from, peer_message message)>;
    // Called when the connection to an instance is lost, with all that was sent and not answered.
    using loss_handler = std::function<void(const std::string& address)>;

    peer_link(boost::asio::io_context& context, peer_link_options options, member_table& members);
    ~peer_link();

    void on_message(message_handler handler);
    void on_loss(loss_handler handler);

    // Opens the ports and starts to exchange heartbeats. Returns an error text on failure.
    tl::expected<void, std::string> start();

    // Sends a message to an instance; messages of one turn of the event loop leave together. If the
    // connection cannot be opened, the loss handler is called.
    void send(const std::string& address, peer_message message);

    // Tells all peers at once of a change of this instance's own record.
    void announce();

private:
    struct implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace quetzal::gateway

#endif
