#ifndef QUETZAL_GATEWAY_PEER_LINK_HPP
#define QUETZAL_GATEWAY_PEER_LINK_HPP

// Communication between the instances of the fleet. Heartbeats are sent as UDP datagrams. TCP
// carries the stages of requests to the instance that schedules them, the outcomes of these jobs,
// and copies of the published documents to instances that cannot read them from the platform.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/gateway/body_memory.hpp>
#include <quetzal/gateway/document_position.hpp>
#include <quetzal/gateway/listen_options.hpp>
#include <quetzal/gateway/member_table.hpp>
#include <quetzal/gateway/part_quarantine.hpp>
#include <quetzal/gateway/stage_job.hpp>

namespace quetzal::gateway {

// A published document of the platform.
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

// All documents at one position of the platform's store. Documents with revision 0 are of a former
// era: the sender holds them until they are written again.
struct document_snapshot
{
    document_position position; // era 0 if the sender names none
    std::vector<published_document> documents;
    // How much longer entries that are missing may be listed again; none if the sender is of a
    // former commit, 0 if nothing is missing.
    std::optional<std::uint64_t> doubt_ms{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(position.revision, documents);
        std::optional<std::uint64_t> era(position.era);
        serialize_appended(archive, era);
        position.era = era.value_or(0);
        serialize_appended(archive, doubt_ms);
    }
};

// The first message over TCP in each direction of a connection: the process that sends on it.
struct peer_greeting
{
    std::uint64_t process = 0; // see `member_record`

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(process);
    }
};

struct job_submission
{
    submission_id id;
    std::string share; // part of the fleet's stages that schedules the job, see `stage_division`
    stage_job job;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, share, job);
    }
};

// Cancels a job, or releases its results if it is finished.
struct job_release
{
    submission_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id);
    }
};

struct job_answer
{
    submission_id id;
    job_outcome outcome;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, outcome);
    }
};

struct snapshot_request
{
    named_position newer_than;                  // position that the sender has
    std::optional<std::uint64_t> configuration; // version that the sender has; 0: none

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(newer_than.revision);
        serialize_appended(archive, newer_than.era);
        serialize_appended(archive, configuration);
    }
};

// Sent by an instance that does not read the platform's store to one that does, to get all changes
// after a position. It is sent periodically, which shows each of the two that the other is alive.
struct document_subscription
{
    named_position known;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(known.revision);
        serialize_appended(archive, known.era);
    }
};

// Changes between two revisions of one era, and how reliable the sender's view of the store is.
struct document_changes
{
    std::uint64_t after = 0;    // revision
    document_position position; // with the changes; era 0 if the sender names none
    std::vector<published_document> written;
    std::vector<published_document> removed; // without values
    std::uint32_t store_silence_ms = 0;      // time since the store last answered the sender
    bool uncertain = false;                  // removals may be due to an outage of the store
    // How much longer the entries that were removed may be listed again; none if the sender is of a
    // former commit, 0 if removals are certain.
    std::optional<std::uint64_t> doubt_ms{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(after, position.revision, written, removed, store_silence_ms, uncertain);
        std::optional<std::uint64_t> era(position.era);
        serialize_appended(archive, era);
        position.era = era.value_or(0);
        serialize_appended(archive, doubt_ms);
    }
};

using peer_message =
    std::variant<job_submission, job_release, job_answer, snapshot_request, document_snapshot,
                 document_subscription, document_changes, peer_greeting>;

struct peer_link_options
{
    std::string address;             // numeric IP address of this instance
    std::uint16_t datagram_port = 0; // the same on all instances
    std::uint16_t stream_port = 0;   // the same on all instances
    std::vector<std::string> seeds;  // addresses to discover other instances through
    // Bounds the messages that are being received; null: only each one by itself.
    std::shared_ptr<body_memory> memory = {};
    std::size_t max_accepted = 512; // open connections that others have opened
    listen_options listen = {};
};

class peer_link
{
public:
    // Called for each message over TCP. `from` is the address of the sending instance.
    using message_handler = std::function<void(const std::string& from, peer_message message)>;
    // Called when the connection to an instance is lost or cannot be opened. Messages that were
    // sent and not answered may be lost too. `process` is the peer's process at the other end, 0 if
    // it has not greeted. Runs from the event loop, never within `send`.
    using loss_handler = std::function<void(const std::string& address, std::uint64_t process)>;

    peer_link(boost::asio::io_context& context, peer_link_options options, member_table& members);
    ~peer_link();

    // Replaces the addresses to discover other instances through.
    void set_seeds(std::vector<std::string> seeds);

    // Exchanges the evidence of the quarantine with the heartbeats from now on.
    void share(part_quarantine& quarantine);

    void on_message(message_handler handler);
    void on_loss(loss_handler handler);

    // Opens the ports and starts to exchange heartbeats. Returns an error message on failure.
    tl::expected<void, std::string> start();

    // Queues a message to an instance. Messages of one iteration of the event loop are written
    // together. If the connection cannot be opened, the loss handler is called.
    void send(const std::string& address, const peer_message& message);

    // Asks an instance for a sign of life.
    void probe(const std::string& address);

    // Sends a heartbeat now, so that peers learn of a change of this instance's record at once.
    void announce();

private:
    struct implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace quetzal::gateway

#endif
