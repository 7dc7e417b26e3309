#ifndef QUETZAL_NODE_DOCUMENT_FOLLOWER_HPP
#define QUETZAL_NODE_DOCUMENT_FOLLOWER_HPP

// Keeps the published configuration and the instance list up to date. Reads them from the
// platform's services or fetches them from peers, as the reader schedules determine, and offers
// every value to the trackers.

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

// Callbacks to the owner of the follower.
struct follower_events
{
    std::function<void(std::shared_ptr<const config::published>)> config_changed;
    std::function<void(std::shared_ptr<const config::instance_list>)> list_changed;
    std::function<void(const instance_id&)> ask_version; // probe this peer for its versions
};

// All work runs on `strand`. The owner must call all functions on the same strand.
class document_follower : public std::enable_shared_from_this<document_follower>
{
public:
    document_follower(boost::asio::any_io_executor strand, shared_state& state, peer::key_ring keys,
                      follower_events events, std::uint64_t seed);

    // Runs the actions that are due. Must be called at least every 200 ms.
    void tick(time_point now);

    // Sets the current view of the members. Must be called after every change.
    void set_members(const std::vector<membership::member_view>& view, time_point now);

    // Handles the document versions that a peer reported.
    void on_versions(const instance_id& from, const peer::versions& known, time_point now);

    // Returns the document versions and ages to report to peers.
    peer::versions known_versions(time_point now) const;

    // Returns the response to a peer's transfer request; nothing when the request is invalid.
    std::optional<peer::transfer_message> answer(const peer::transfer_message& request) const;

    // Returns whether the configuration in force is recent enough to serve callers.
    const config::readiness& readiness() const noexcept { return readiness_gate_.state(); }

    const config::config_tracker& config() const noexcept { return config_; }
    const config::list_tracker& list() const noexcept { return list_; }
    bool reads_config() const noexcept { return config_schedule_.is_reader(); }

private:
    config::reader_schedule& schedule(document kind) noexcept;
    void perform(document kind, const std::vector<config::reader_action>& actions);
    boost::asio::awaitable<void> read_service(document kind, config::read_service read);
    boost::asio::awaitable<void> fetch(document kind, config::fetch_from_peer fetch);
    config::service_answer offer(document kind, std::string text, config::value_source from);
    config::service_answer apply(const config::config_outcome& outcome);
    config::service_answer apply(const config::list_outcome& outcome);
    config::service_answer handle_unaccepted(std::string_view what,
                                             const config::refused_value* refused);
    void report_refusal(std::string_view what, const config::refused_value& refused);
    void update_readiness(time_point now);
    void request_versions(const std::vector<config::ask_version>& questions);

    boost::asio::any_io_executor strand_;
    shared_state& state_;
    peer::key_ring keys_;
    follower_events events_;
    config::config_tracker config_;
    config::list_tracker list_;
    config::chunk_store chunks_;
    config::reader_schedule config_schedule_;
    config::reader_schedule list_schedule_;
    config::readiness_gate readiness_gate_;
    std::vector<membership::member_view> members_;
};

} // namespace quetzal::node

#endif
