#ifndef QUETZAL_GATEWAY_PEER_LINK_HPP
#define QUETZAL_GATEWAY_PEER_LINK_HPP

// What instances of the fleet send each other: heartbeats as datagrams, and over TCP the stages
// of requests for the instance that conducts them, their results, and copies of the published
// documents for instances that cannot read them from the platform.

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
#include <quetzal/gateway/stage_job.hpp>

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

// Messages over TCP. Tickets are those of the instance that serves the request.
struct job_submission
{
    std::uint64_t ticket = 0;
    stage_job job;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ticket, job);
    }
};

// The job is given up, or its results are needed no more.
struct job_release
{
    std::uint64_t ticket = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ticket);
    }
};

struct job_answer
{
    std::uint64_t ticket = 0;
    job_outcome outcome;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ticket, outcome);
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

// An instance that does not read the platform's store asks one that does for all that comes after a
// revision. It asks again and again, which shows both that the other one is alive.
struct document_subscription
{
    std::uint64_t revision = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(revision);
    }
};

// Changes between two revisions, and how well the sender knows the store.
struct document_changes
{
    std::uint64_t after = 0;
    std::uint64_t revision = 0;
    std::vector<published_document> written;
    std::vector<published_document> removed; // without values
    std::uint32_t store_silence_ms = 0;      // since the store last answered the sender
    bool uncertain = false;                  // removals may be due to an outage of the store

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(after, revision, written, removed, store_silence_ms, uncertain);
    }
};

using peer_message = std::variant<job_submission, job_release, job_answer, snapshot_request,
                                  document_snapshot, document_subscription, document_changes>;

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
    void send(const std::string& address, const peer_message& message);

    // Tells all peers at once of a change of this instance's own record.
    void announce();

private:
    struct implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace quetzal::gateway

#endif
