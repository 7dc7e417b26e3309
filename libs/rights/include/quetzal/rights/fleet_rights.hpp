#ifndef QUETZAL_RIGHTS_FLEET_RIGHTS_HPP
#define QUETZAL_RIGHTS_FLEET_RIGHTS_HPP

// The rights of an entry instance: which customers' requests it may admit, which endpoints it alone
// may send cold work and orders to, and whether its view is fresh. Rights are acquired by messages
// only and are not persisted, so a restarted process has none.

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include <quetzal/base/sharded.hpp>
#include <quetzal/rights/credit_shard.hpp>
#include <quetzal/rights/handovers.hpp>
#include <quetzal/rights/holder.hpp>
#include <quetzal/rights/voter.hpp>

namespace quetzal::rights {

// Describes this instance and its process.
struct self_description
{
    instance_id id;
    incarnation process;
    zone_id zone;
    time_point started{};
    std::size_t shards = 64; // of the customers; several times the number of threads
};

// Statistics for operators.
struct rights_status
{
    std::uint64_t list_revision = 0;
    std::uint64_t config_version = 0;
    std::size_t members = 0;
    std::size_t committee = 0;
    std::size_t quorum = 0;
    std::size_t held = 0;         // partitions
    std::size_t wanted = 0;       // partitions that this instance ranks first for
    std::size_t granted = 0;      // votes with an unexpired lease
    std::size_t handing_over = 0; // partitions
    std::size_t customers = 0;
    bool fresh = false;
    std::uint64_t greatest_fence = 0;
    std::uint64_t superseded_process_messages = 0; // dropped since the start of this process
};

// `admit`, `holds`, `fence` and `fresh` are thread-safe and wait for the other functions only while
// one shard is locked. The caller must serialize calls of all other functions with a lock, and
// times must not decrease between these calls.
class fleet_rights
{
public:
    explicit fleet_rights(const self_description& self, const options& settings = {});

    // Sets the instance list of the platform. Ignores an older revision than the one in use.
    void set_list(const config::instance_list& list, time_point now);

    // Sets the published configuration. Ignores a version that is not newer than the one in use.
    void set_config(std::shared_ptr<const config::published> config, time_point now);

    // Sets the states of the other instances as reported by membership.
    void set_peers(std::vector<peer_status> peers, time_point now);

    // Sets the wall clock time at the boot clock time `now`. Only fencing tokens use the wall
    // clock.
    void set_wall_clock(wall_time wall, time_point now) noexcept;

    std::vector<peer::outgoing_message> on_message(const peer::received_message& message,
                                                   time_point now);

    // Performs the actions that are due: renewals, credit requests, handovers. Call it at
    // `next_wakeup`, and soon after `admit` has returned `deferred`.
    std::vector<peer::outgoing_message> on_tick(time_point now);

    // Returns when to call `on_tick` next; the time may be in the past.
    time_point next_wakeup(time_point now);

    // Admits and counts one request of the customer if it may run now. Thread-safe.
    admission admit(const customer_id& customer, time_point now);

    // Returns whether this instance alone may send cold work and orders to the endpoint.
    bool holds(const endpoint_id& endpoint, time_point now) const noexcept;

    // Returns the fencing token for the endpoint, or 0 if the right is not held. The token does not
    // change while `holds` stays true.
    std::uint64_t fence(const endpoint_id& endpoint, time_point now) const noexcept;

    // Makes later fencing tokens greater than one that an endpoint reported. Drops the endpoint's
    // partition if its fencing token is less.
    void observe_fence(const endpoint_id& endpoint, std::uint64_t seen);

    // Returns whether a quorum responded recently; otherwise no new stage work may start.
    bool fresh(time_point now) const noexcept;

    // Returns the instance that probably holds the customer's bucket, or an empty id if unknown.
    instance_id preferred_home(const customer_id& customer, time_point now) const;

    // Returns the instance that probably holds the exclusive right to an endpoint, or an empty id
    // if unknown.
    instance_id preferred_holder(const endpoint_id& endpoint, time_point now) const;

    // Returns whether the customer's bucket is at this instance.
    bool is_home(const customer_id& customer, time_point now) const noexcept;

    // Starts to hand over all partitions and stops acquiring new ones.
    void begin_leave(time_point now);

    // Returns whether a started leave has completed, with nothing left to hand over.
    bool has_left(time_point now) const;

    rights_status status(time_point now);

    // Returns whether this instance holds the partition; for tests and the status page.
    bool holds(partition_index partition, time_point now) const noexcept;

    // Returns the fencing token of a partition, or 0 if it is not held.
    std::uint64_t partition_fence(partition_index partition, time_point now) const noexcept;

private:
    using messages = std::vector<peer::outgoing_message>;

    void rebuild_committees(time_point now);
    void update_ranking();
    void publish_limits(time_point now);
    void observe_process(const instance_id& instance, incarnation process, time_point now);
    void begin_term(const acquisition& acquired, time_point now);
    void publish_terms();
    void drop_partition(partition_index partition);
    void expire_leases(time_point now);
    void update_wanted(time_point now);
    void append_requests(messages& out, time_point now);
    void start_handovers(time_point now);
    void hand_over(partition_index partition, const instance_id& successor, time_point now);
    void append_releases(messages& out, time_point now);
    void append_credit_requests(messages& out, time_point now);
    duration acquisition_interval(time_point now) const;
    messages process_own_messages(messages produced, time_point now);
    void dispatch(messages& out, const peer::received_message& message, time_point now);
    instance_id home_of(partition_index partition) const;
    std::size_t shard_of(const customer_id& customer) const noexcept;
    peer::versions known_versions() const noexcept;
    std::uint64_t wall_clock_ms(time_point now) const noexcept;

    void handle_message(messages& out, const peer::received_message& from,
                        const peer::renew_request& body, time_point now);
    void handle_message(messages& out, const peer::received_message& from,
                        const peer::renew_grant& body, time_point now);
    void handle_message(messages& out, const peer::received_message& from,
                        const peer::release_partitions& body, time_point now);
    void handle_message(messages& out, const peer::received_message& from,
                        const peer::credit_request& body, time_point now);
    void handle_message(messages& out, const peer::received_message& from,
                        const peer::credit_grant& body, time_point now);
    void handle_message(messages& out, const peer::received_message& from,
                        const peer::handover& body, time_point now);
    void handle_message(messages& out, const peer::received_message& from,
                        const peer::handover_ack& body, time_point now);
    template <class Other>
    void handle_message(messages&, const peer::received_message&, const Other&, time_point)
    {
        // Other packages handle the remaining messages.
    }

    self_description self_;
    options settings_;
    config::instance_list list_;
    std::shared_ptr<const config::published> config_;
    std::vector<peer_status> peers_;
    std::unordered_map<instance_id, incarnation> processes_; // greatest seen per instance
    std::shared_ptr<const committee_table> committees_;
    ranking ranks_;
    voter voter_;
    holder holder_;
    handovers handovers_;
    std::shared_ptr<partition_terms> terms_;
    sharded<credit_shard> shards_;
    std::atomic<duration::rep> fresh_until_{0};
    time_point last_active_{};
    std::array<time_point, peer::partition_count> outranked_since_{};
    // Latest lease end that this process has published.
    std::array<time_point, peer::partition_count> published_until_{};
    std::array<instance_id, peer::partition_count> homes_; // last instance that responded as home
    std::array<std::uint8_t, peer::partition_count> home_attempts_{};
    std::map<instance_id, std::vector<partition_index>> pending_releases_; // by successor
    time_point release_at_ = time_point::max();
    std::uint32_t credit_sequence_ = 0;
    duration wall_offset_{};
    time_point next_renewal_{};
    time_point next_acquisition_{};
    time_point wanted_changed_at_{};
    bool leaving_ = false;
    std::uint64_t superseded_process_messages_ = 0;
};

} // namespace quetzal::rights

#endif
