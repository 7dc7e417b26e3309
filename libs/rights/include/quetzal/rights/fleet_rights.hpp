#ifndef QUETZAL_RIGHTS_FLEET_RIGHTS_HPP
#define QUETZAL_RIGHTS_FLEET_RIGHTS_HPP

// Everything that an entry instance needs to know about its rights: which customers' requests it
// may admit, which endpoints it alone may send cold work and orders to, and whether its view is
// fresh. Nothing is granted by anything but messages; a restart forgets all.

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

// Who this instance is and when it started.
struct self_description
{
    instance_id id;
    incarnation process;
    zone_id zone;
    time_point started{};
    std::size_t shards = 64; // of the credits; several times the number of threads
};

// Figures for operators.
struct rights_status
{
    std::uint64_t list_revision = 0;
    std::uint64_t config_version = 0;
    std::size_t members = 0;
    std::size_t committee = 0;
    std::size_t quorum = 0;
    std::size_t held = 0;         // partitions
    std::size_t wanted = 0;       // partitions that this instance ranks first for
    std::size_t granted = 0;      // votes whose lease runs
    std::size_t handing_over = 0; // partitions
    std::size_t customers = 0;
    bool fresh = false;
    std::uint64_t greatest_fence = 0;
    std::uint64_t dead_process_messages = 0; // dropped since the start
};

// `admit`, `holds`, `fence` and `fresh` are thread-safe and never wait for the other functions
// longer than for one shard. All other functions need the caller's lock. Times must not go back
// between calls under that lock.
class fleet_rights
{
public:
    explicit fleet_rights(const self_description& self, const options& settings = {});

    // Sets the platform's list. An older revision than the one in use is ignored.
    void set_list(const config::instance_list& list, time_point now);

    // Sets the published configuration. An older version than the one in use is ignored.
    void set_config(std::shared_ptr<const config::published> config, time_point now);

    // Sets what membership knows about the other instances.
    void set_peers(std::vector<peer_status> peers, time_point now);

    // Relates the boot clock to the wall clock, which only fencing numbers use.
    void set_wall(wall_time wall, time_point now) noexcept;

    std::vector<peer::outgoing_message> on_message(const peer::received_message& message,
                                                   time_point now);

    // Does what is due: renewals, credit requests, handovers. Call it at `next_wake`, and soon
    // after `admit` has answered `wait`.
    std::vector<peer::outgoing_message> on_tick(time_point now);

    // Returns when `on_tick` has something to do; it may be in the past.
    time_point next_wake(time_point now);

    // Counts one request of the customer if it may run. Thread-safe.
    admission admit(const customer_id& customer, time_point now);

    // Returns whether this instance alone may send cold work and orders to the endpoint.
    bool holds(const endpoint_id& endpoint, time_point now) const noexcept;

    // Returns the fencing number for the endpoint, 0 when it is not held. The number stays the same
    // while `holds` stays true.
    std::uint64_t fence(const endpoint_id& endpoint, time_point now) const noexcept;

    // Raises the next fencing numbers above one that an endpoint reported.
    void note_fence(const endpoint_id& endpoint, std::uint64_t seen);

    // Returns whether a quorum answered lately; without it no new stage work may start.
    bool fresh(time_point now) const noexcept;

    // Returns the instance that probably holds the customer's bucket; empty when unknown.
    instance_id preferred_home(const customer_id& customer, time_point now) const;

    // Returns the instance that probably holds the exclusive right to an endpoint; empty when
    // unknown.
    instance_id preferred_holder(const endpoint_id& endpoint, time_point now) const;

    // Returns whether the customer's bucket is at this instance.
    bool is_home(const customer_id& customer, time_point now) const noexcept;

    // Starts to hand all partitions over and to get no new ones.
    void begin_leave(time_point now);

    // Returns whether a started leave has nothing left to hand over.
    bool left(time_point now) const;

    rights_status status(time_point now);

    // Returns whether this instance holds the partition; for tests and the status page.
    bool holds(partition_index partition, time_point now) const noexcept;

    // Returns the fencing number of a partition, 0 when it is not held.
    std::uint64_t partition_fence(partition_index partition, time_point now) const noexcept;

private:
    using messages = std::vector<peer::outgoing_message>;

    void rebuild(time_point now);
    void rerank();
    void publish_limits(time_point now);
    void note_process(const instance_id& instance, incarnation process, time_point now);
    void begin_term(const acquisition& acquired, time_point now);
    void publish_terms();
    void lose(partition_index partition);
    void expire(time_point now);
    void update_wants(time_point now);
    void append_requests(messages& out, time_point now);
    void start_handovers(time_point now);
    void hand_over(partition_index partition, const instance_id& successor, time_point now);
    void append_releases(messages& out, time_point now);
    void append_credit_asks(messages& out, time_point now);
    duration acquisition_pause(time_point now) const;
    messages deliver(messages produced, time_point now);
    void dispatch(messages& out, const peer::received_message& message, time_point now);
    instance_id home_of(partition_index partition) const;
    std::size_t shard_of(const customer_id& customer) const noexcept;
    peer::versions known() const noexcept;
    std::uint64_t wall_at(time_point now) const noexcept;

    void handle(messages& out, const peer::received_message& from, const peer::renew_request& body,
                time_point now);
    void handle(messages& out, const peer::received_message& from, const peer::renew_grant& body,
                time_point now);
    void handle(messages& out, const peer::received_message& from,
                const peer::release_partitions& body, time_point now);
    void handle(messages& out, const peer::received_message& from, const peer::credit_request& body,
                time_point now);
    void handle(messages& out, const peer::received_message& from, const peer::credit_grant& body,
                time_point now);
    void handle(messages& out, const peer::received_message& from, const peer::handover& body,
                time_point now);
    void handle(messages& out, const peer::received_message& from, const peer::handover_ack& body,
                time_point now);
    template <class Other>
    void handle(messages&, const peer::received_message&, const Other&, time_point)
    {
        // Messages of other packages.
    }

    self_description self_;
    options settings_;
    config::instance_list list_;
    std::shared_ptr<const config::published> config_;
    std::vector<peer_status> peers_;
    std::unordered_map<instance_id, incarnation> processes_; // greatest seen, of listed instances
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
    std::array<time_point, peer::partition_count> published_until_{}; // greatest of this process
    std::array<instance_id, peer::partition_count> homes_; // last instance that answered as home
    std::array<std::uint8_t, peer::partition_count> home_tries_{};
    std::map<instance_id, std::vector<partition_index>> releases_; // by successor, not sent yet
    time_point release_at_ = time_point::max();
    std::uint32_t credit_sequence_ = 0;
    duration wall_offset_{};
    time_point next_renewal_{};
    time_point next_acquisition_{};
    time_point wants_changed_{};
    bool leaving_ = false;
    std::uint64_t dead_process_messages_ = 0;
};

} // namespace quetzal::rights

#endif
