#ifndef QUETZAL_GATEWAY_STAGE_BROKER_HPP
#define QUETZAL_GATEWAY_STAGE_BROKER_HPP

// Runs pieces of stages. For each service one instance, chosen by rendezvous hashing over the live
// instances, gathers the pieces of the whole fleet, since a call costs nearly the same however few
// pieces it carries. When that instance is lost, its pieces go to the next one.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/channel_pool.hpp>
#include <quetzal/gateway/fleet_retry_budget.hpp>
#include <quetzal/gateway/header_names.hpp>
#include <quetzal/gateway/member_table.hpp>
#include <quetzal/gateway/peer_link.hpp>
#include <quetzal/gateway/stage_protocol.hpp>

namespace quetzal::gateway {

class stage_broker
{
public:
    using completion = std::function<void(piece_outcome outcome)>;

    stage_broker(boost::asio::io_context& context, const catalog& view, channel_pool& channels,
                 member_table& members, peer_link& peers, header_names names,
                 stage_protocol protocol, fleet_budget_options budget);

    // Runs a piece; `done` is called once unless the piece is cancelled. Returns its ticket.
    std::uint64_t submit(const std::string& service, piece_order order, time_point useful_until,
                         time_point deadline, completion done);

    // Gives up a piece. Its result, if one is made, is released.
    void cancel(std::uint64_t ticket);

    // Tells the makers that the results are no longer needed.
    void release(std::vector<std::string> handles);

    // Takes a message of a peer that concerns pieces.
    void take(const std::string& from, const piece_submission& submission);
    void take(const std::string& from, const piece_cancellation& cancellation);
    void take(const std::string& from, const piece_answer& answer);

    // Runs the pieces again that were sent to a peer which is lost, and drops those it had sent.
    void peer_lost(const std::string& address);

    // Follows changes of the catalog and of the live instances.
    void refresh();

    // Time until a new piece of that priority would be done if it were submitted now, as far as
    // this instance knows.
    duration expected_wait(const std::string& service, int priority) const;

private:
    // A piece that this instance runs, for itself or for a peer.
    struct local_piece
    {
        std::string service;
        waiting_piece piece;
        completion done;
        unsigned tries = 0; // calls that may have worked on it
    };

    // A piece that a peer gathers.
    struct remote_piece
    {
        std::string owner;
        std::string service;
        waiting_piece piece;
        completion done;
        time_point sent;
    };

    // What is known of an endpoint's calls.
    struct worker
    {
        unsigned calls = 0;
        time_point avoided_until{};
        unsigned failures = 0; // in a row
    };

    struct service_state
    {
        explicit service_state(boost::asio::io_context& context) : timer(context) {}

        piece_queue queue;
        std::map<std::string, worker> workers; // by endpoint id
        boost::asio::steady_timer timer;
        bool timer_set = false;
    };

    service_state& state_of(const std::string& service);
    void submit_local(const std::string& service, waiting_piece piece, completion done);
    void submit_remote(const std::string& owner, const std::string& service, waiting_piece piece,
                       completion done);
    void resubmit(remote_piece moved);
    void schedule_dispatch(const std::string& service, duration delay);
    void dispatch(const std::string& service);
    const endpoint* idle_worker(const std::string& service, service_state& state,
                                const service_definition& definition, time_point now);
    boost::asio::awaitable<void> run_call(std::string service, endpoint target,
                                          std::vector<waiting_piece> pieces);
    boost::asio::awaitable<result<std::vector<piece_outcome>>>
    exchange(const endpoint& target, const std::vector<waiting_piece>& pieces, duration timeout);
    void settle(const std::string& service, const waiting_piece& piece,
                const piece_outcome& outcome);
    void repeat(const std::string& service, std::uint64_t ticket, bool may_have_run);
    void finish(std::uint64_t ticket, piece_outcome outcome);
    boost::asio::awaitable<void> send_releases(std::string maker, std::vector<std::string> handles);
    boost::asio::awaitable<void> watch_remote_pieces();

    boost::asio::io_context& context_;
    const catalog& view_;
    channel_pool& channels_;
    member_table& members_;
    peer_link& peers_;
    header_names names_;
    stage_protocol protocol_;
    fleet_retry_budget budget_;
    std::uint64_t next_ticket_ = 1;
    std::map<std::string, std::unique_ptr<service_state>> services_;
    std::map<std::uint64_t, local_piece> local_;
    std::map<std::uint64_t, remote_piece> remote_;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> from_peers_; // to local tickets
    std::map<std::string, std::vector<std::string>> releases_; // by maker
    boost::asio::steady_timer release_timer_;
    bool release_scheduled_ = false;
    boost::asio::steady_timer watch_timer_;
};

} // namespace quetzal::gateway

#endif
