#ifndef QUETZAL_NODE_CONTROL_PLANE_HPP
#define QUETZAL_NODE_CONTROL_PLANE_HPP

// The part of an instance that communicates with the other instances: membership, rights and the
// distribution of documents.

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

// Callbacks from the control plane to the serving part. They are called on the control strand.
struct control_events
{
    std::function<void(std::shared_ptr<const config::published>)> config_changed;
    std::function<void(std::shared_ptr<const config::instance_list>)> list_changed;
    std::function<void(const endpoint_id&, std::optional<std::uint64_t> fence)> right_changed;
    std::function<void(const peer::endpoint_observation&)> endpoint_observed;
    std::function<void(const peer::endpoint_declaration&)> endpoint_declared;
    std::function<void(const instance_id& from, const peer::cold_slot_request&)> slot_requested;
    std::function<void(const peer::cold_slot_grant&)> slot_granted;
    std::function<void(const instance_id& from, const peer::cold_slot_return&)> slot_returned;
};

// Values for the status endpoint of the operator API.
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

// Thread-safe. Commands are posted to the control strand; queries that run on the control strand
// say so in their comment.
class control_plane : public std::enable_shared_from_this<control_plane>
{
public:
    control_plane(const boost::asio::any_io_executor& executor, shared_state& state,
                  control_events events);

    // Binds the peer port and starts. Returns an error message when the port cannot be used.
    tl::expected<void, std::string> start();

    // Hands over the rights of this instance and leaves the fleet. `on_left` is called when the
    // handover is complete.
    void begin_leave(std::function<void()> on_left);

    void stop();

    // Admission, exclusive rights and freshness of the view; thread-safe, see `fleet_rights`.
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

    // Sends a message to the probable holder of an endpoint's exclusive right.
    void send_to_holder(const endpoint_id& endpoint, peer::message body);

    // Sends a message to one instance.
    void send_to(const instance_id& instance, peer::message body);

    // Sends an endpoint declaration or observation to all peers that are not suspected.
    // Observations go to all of them because any peer may be the holder while a partition moves.
    void broadcast(peer::message body);

    // Returns the current view of the members; thread-safe.
    std::vector<membership::member_view> members() const;

    // Returns the probable home of a customer, empty when unknown. Runs on the control strand.
    boost::asio::awaitable<instance_id> find_home(customer_id customer);

    // The location of a customer's token bucket in the view of this instance.
    struct customer_home
    {
        instance_id home;      // empty when unknown
        bool is_local = false; // this instance is the home
    };

    // Returns the location of a customer's token bucket. Runs on the control strand.
    boost::asio::awaitable<customer_home> explain_home(customer_id customer);

    // Collects the status values. Runs on the control strand.
    boost::asio::awaitable<control_status> status();

    const net::peer_counters& counters() const noexcept { return socket_.counters(); }

private:
    boost::asio::awaitable<void> run();
    void tick(time_point now);
    void handle_message(const peer::received_message& message);
    void perform(const std::vector<membership::prober_action>& actions, time_point now);
    void send(const std::vector<peer::outgoing_message>& messages);
    void send(const peer::outgoing_message& message);
    void apply_config(const std::shared_ptr<const config::published>& config);
    void apply_list(const std::shared_ptr<const config::instance_list>& list);
    void refresh_members(time_point now);
    void refresh_exclusive_rights(time_point now);
    duration time_until_next_tick(time_point now);

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
    std::map<endpoint_id, std::uint64_t> held_fences_; // fencing tokens of held rights
    time_point next_right_check_{};
    std::function<void()> on_left_;
    bool stopped_ = false;
    mutable std::mutex members_mutex_; // guards `members_`
    std::vector<membership::member_view> members_;
};

// Returns the key ring that signs and verifies peer messages.
peer::key_ring make_key_ring(const config::peer_settings& settings);

} // namespace quetzal::node

#endif
