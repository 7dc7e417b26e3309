#ifndef QUETZAL_NODE_DOCUMENT_FOLLOWER_HPP
#define QUETZAL_NODE_DOCUMENT_FOLLOWER_HPP

// Keeps the published configuration and the instance list up to date: reads the platform's services
// or fetches from peers, as the schedules say, and offers every value to the trackers.

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <quetzal/config/chunk_store.hpp>
#include <quetzal/config/config_tracker.hpp>
#include <quetzal/config/list_tracker.hpp>
#include <quetzal/config/reader_schedule.hpp>
#include <quetzal/config/readiness.hpp>
#include <quetzal/membership/prober.hpp>
#include <quetzal/node/shared_state.hpp>
#include <quetzal/peer/codec.hpp>
#include <quetzal/peer/transfer.hpp>

namespace quetzal::node {

// What the follower tells its owner.
struct follower_events
{
    std::function<void(std::shared_ptr<const config::published>)> config_changed;
    std::function<void(std::shared_ptr<const config::instance_list>)> list_changed;
    std::function<void(const instance_id&)> ask_version; // probe this peer for its versions
};

// Everything runs on `strand`, which the owner also uses for its calls.
class document_follower : public std::enable_shared_from_this<document_follower>
{
public:
    document_follower(boost::asio::any_io_executor strand, shared_state& state, peer::key_ring keys,
                      follower_events events, std::uint64_t seed);

    // Does what is due. Call it at least every 200 ms.
    void tick(time_point now);

    // The members as membership sees them, after every change.
    void set_members(const std::vector<membership::member_view>& view, time_point now);

    // A peer reported its versions.
    void on_versions(const instance_id& from, const peer::versions& known, time_point now);

    // The versions to tell peers.
    peer::versions known(time_point now) const;

    // Answers a peer's fetch.
    std::optional<peer::transfer_message> answer(const peer::transfer_message& request) const;

    // Whether the configuration in force is new enough to serve callers.
    const config::readiness& readiness() const noexcept { return gate_.state(); }

    const config::config_tracker& config() const noexcept { return config_; }
    const config::list_tracker& list() const noexcept { return list_; }
    bool reads_config() const noexcept { return config_schedule_.is_reader(); }

private:
    config::reader_schedule& schedule(document kind) noexcept;
    void perform(document kind, const std::vector<config::reader_action>& actions);
    boost::asio::awaitable<void> read_service(document kind, config::read_service read);
    boost::asio::awaitable<void> fetch(document kind, config::fetch_from_peer fetch);
    config::service_answer offer(document kind, std::string text, config::value_source from);
    config::service_answer take(const config::config_outcome& outcome);
    config::service_answer take(const config::list_outcome& outcome);
    config::service_answer take_unaccepted(std::string_view what,
                                           const config::refused_value* refused);
    void report_refusal(std::string_view what, const config::refused_value& refused);
    void update_gate(time_point now);
    void ask(const std::vector<config::ask_version>& questions);

    boost::asio::any_io_executor strand_;
    shared_state& state_;
    peer::key_ring keys_;
    follower_events events_;
    config::config_tracker config_;
    config::list_tracker list_;
    config::chunk_store chunks_;
    config::reader_schedule config_schedule_;
    config::reader_schedule list_schedule_;
    config::readiness_gate gate_;
    std::vector<membership::member_view> members_;
};

} // namespace quetzal::node

#endif
