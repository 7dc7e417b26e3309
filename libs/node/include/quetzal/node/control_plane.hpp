#ifndef QUETZAL_NODE_CONTROL_PLANE_HPP
#define QUETZAL_NODE_CONTROL_PLANE_HPP

// The part of an instance that talks to the other instances: membership, rights and the spread of
// documents.

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/strand.hpp>
#include <quetzal/membership/prober.hpp>
#include <quetzal/net/peer_socket.hpp>
#include <quetzal/net/transfer.hpp>
#include <quetzal/node/document_follower.hpp>
#include <quetzal/node/shared_state.hpp>
#include <quetzal/node/wakeup.hpp>
#include <quetzal/rights/fleet_rights.hpp>

namespace quetzal::node {

// What the control plane tells the serving part. Called on the control strand.
struct control_events
{
    std::function<void(std::shared_ptr<const config::published>)> config_changed;
    std::function<void(std::shared_ptr<const config::instance_list>)> list_changed;
    std::function<void(const endpoint_id&, std::optional<std::uint64_t> fence)> hold_changed;
    std::function<void(const peer::endpoint_observation&)> endpoint_observed;
    std::function<void(const peer::endpoint_declaration&)> endpoint_declared;
    std::function<void(const instance_id& from, const peer::cold_slot_request&)> slot_requested;
    std::function<void(const peer::cold_slot_grant&)> slot_granted;
    std::function<void(const instance_id& from, const peer::cold_slot_return&)> slot_returned;
};

// Figures for the status page.
struct control_status
{
    rights::rights_status rights;
    std::vector<membership::member_view> members;
    config::readiness readiness;
    std::uint64_t config_version = 0;
    std::uint64_t list_revision = 0;
    std::optional<config::refused_value> last_refusal;
    bool reads_service = false;
};

// Thread-safe: commands are posted to the control strand; queries that name it say so.
class control_plane : public std::enable_shared_from_this<control_plane>
{
public:
    control_plane(const boost::asio::any_io_executor& executor, shared_state& state,
                  control_events events);

    // Binds the peer port and starts. Returns an error text when the port cannot be used.
    tl::expected<void, std::string> start();

    // Hands over what this instance holds and leaves; `left` is called once nothing is left to do.
    void begin_leave(std::function<void()> left);

    void stop();

    // Admission, rights and freshness; thread-safe, see `fleet_rights`.
    rights::admission admit(const customer_id& customer, time_point now);
    bool holds(const endpoint_id& endpoint, time_point now) const
    {
        return rights_.holds(endpoint, now);
    }
    std::uint64_t fence(const endpoint_id& endpoint, time_point now) const
    {
        return rights_.fence(endpoint, now);
    }
    bool fresh(time_point now) const { return rights_.fresh(now); }

    // Sends to the probable holder of an endpoint's exclusive right.
    void send_to_holder(const endpoint_id& endpoint, peer::message body);

    // Sends to one instance.
    void send_to(const instance_id& instance, peer::message body);

    // Sends an endpoint message: declarations to all live peers, observations too, because the
    // holder may be any of them while a partition moves.
    void broadcast(peer::message body);

    // Members as last seen; thread-safe.
    std::vector<membership::member_view> members() const;

    // Asks the strand for the probable home of a customer; empty when unknown.
    boost::asio::awaitable<instance_id> home_of(customer_id customer);

    // Where a customer's bucket is, as this instance sees it.
    struct customer_home
    {
        instance_id home; // empty when unknown
        bool here = false;
    };
    boost::asio::awaitable<customer_home> explain_home(customer_id customer);

    // Collects the figures on the strand.
    boost::asio::awaitable<control_status> status();

    const net::peer_counters& counters() const noexcept { return socket_.counters(); }

private:
    boost::asio::awaitable<void> run();
    void tick(time_point now);
    void on_message(const peer::received_message& message);
    void apply(const std::vector<membership::prober_action>& actions, time_point now);
    void send(const std::vector<peer::outgoing_message>& messages);
    void send(const peer::outgoing_message& message);
    void accept_config(const std::shared_ptr<const config::published>& config);
    void accept_list(const std::shared_ptr<const config::instance_list>& list);
    void refresh_members(time_point now);
    void refresh_holds(time_point now);
    duration until_next(time_point now);

    boost::asio::strand<boost::asio::any_io_executor> strand_;
    shared_state& state_;
    control_events events_;
    peer::key_ring keys_;
    net::peer_socket socket_;
    net::transfer_server transfers_;
    membership::prober prober_;
    rights::fleet_rights rights_;
    std::shared_ptr<document_follower> documents_;
    std::shared_ptr<wakeup> wakeup_;
    std::map<endpoint_id, std::uint64_t> held_; // endpoints and their fencing numbers
    time_point next_hold_check_{};
    std::function<void()> on_left_;
    bool stopped_ = false;
    mutable std::mutex members_mutex_; // guards `members_`
    std::vector<membership::member_view> members_;
};

// Returns the keys that sign and verify datagrams.
peer::key_ring make_key_ring(const config::peer_settings& settings);

} // namespace quetzal::node

#endif
