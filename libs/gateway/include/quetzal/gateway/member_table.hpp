#ifndef QUETZAL_GATEWAY_MEMBER_TABLE_HPP
#define QUETZAL_GATEWAY_MEMBER_TABLE_HPP

// Gossip-based membership: tracks which instances of the fleet are alive from heartbeats alone,
// without a configured list of instances. A heartbeat carries records of other instances that its
// sender knows, each with its age, so that a fleet of any size converges with a constant number of
// messages per instance.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/gateway/document_position.hpp>
#include <quetzal/gateway/suspect_record.hpp>

namespace quetzal::gateway {

// What an instance publishes about itself. `serial` increases with each change, so that the record
// of a leaving instance replaces older records of the same process.
struct member_record
{
    std::string address;           // numeric IP address; identifies the instance
    std::uint64_t incarnation = 0; // start of the process, wall clock in milliseconds
    std::uint64_t serial = 0;
    // Random number that differs between any two processes, even if the wall clock was set back in
    // between. Unlike the incarnation it never changes while the process runs. 0: unknown.
    std::uint64_t process = 0;
    std::string zone;
    std::uint16_t caller_port = 0;
    bool ready = false;   // accepts callers
    bool leaving = false; // is shutting down
    // Relative capacity of its machine, see `machine_capacity_score`: the scarcer of CPU and
    // network.
    std::uint32_t capacity_score = 1;
    bool settled = false;            // has run for long enough to take over roles
    std::string role;                // key of the role that it has taken, if any
    document_position position;      // of the newest published documents that it has seen
    std::uint64_t configuration = 0; // version of its active configuration; 0: none

    // The era of the position is appended to the whole heartbeat.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(address, incarnation, serial, zone, caller_port, ready, leaving, settled, role,
                capacity_score, position.revision, configuration, process);
    }
};

// A record in a heartbeat, and how long ago its instance was known to be alive.
struct aged_record
{
    member_record record;
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(record, age_ms);
    }
};

struct heartbeat
{
    aged_record sender;
    std::vector<aged_record> others;
    std::vector<suspect_record> suspects{}; // see `part_quarantine`
    bool wants_reply = false; // the sender has not heard of the receiver for some time

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sender, others, suspects, wants_reply);
        std::optional<std::vector<std::uint64_t>> eras(collect_eras());
        serialize_appended(archive, eras);
        distribute_eras(eras.value_or(std::vector<std::uint64_t>()));
    }

private:
    // Return and set the eras of the sender's position and of those of the other records, in their
    // order. Records without one are of era 0.
    std::vector<std::uint64_t> collect_eras() const;
    void distribute_eras(const std::vector<std::uint64_t>& eras);
};

// Returns the relative capacity of a machine for roles, from its CPU cores (may be a fraction) and
// the bandwidth of its network link in Mbit/s. A quarter of a core and 50 Mbit/s give 4.
std::uint32_t machine_capacity_score(double cores, double link_mbps);

struct member_table_options
{
    // An instance counts as failed when nothing has shown for this long that it is alive. In fleets
    // of more than eight instances, records need further rounds to spread: the timeout is longer by
    // the second value for each doubling of the size.
    duration failure_timeout = std::chrono::milliseconds(1300);
    duration failure_timeout_per_doubling = std::chrono::milliseconds(400);
    // A failed instance still counts in `recent_size` for this long, so that the shares of
    // fleet-wide limits do not grow while an instance may only be partitioned.
    duration retention = std::chrono::seconds(30);
    // Time from the start after which an instance that has heard a peer has the records of all
    // peers, and after which an instance that has heard none counts itself as the only one.
    duration join_delay = std::chrono::milliseconds(400);
    duration discovery_timeout = std::chrono::milliseconds(800);
    // An instance takes over roles this long after its start, or earlier if no other instance can.
    // A restarted instance thus does not take over roles that its peers still carry out.
    duration settling_delay = std::chrono::seconds(2);
    // An instance to which a connection was lost gets no roles for this long, and not before there
    // is a sign of life that is newer than the loss.
    duration unreliable_period = std::chrono::milliseconds(1000);
    std::size_t fanout = 6;       // peers that each heartbeat is sent to
    std::size_t max_records = 32; // records of other instances in one heartbeat
    // Instances of which nothing was heard for this share of their timeout are asked for a reply:
    // records that are passed on reach every instance of a large fleet too rarely to tell a silent
    // instance from one whose records have not come by.
    double suspicion_share = 0.5;
    // While the whole fleet starts, instances that started within this time of each other take each
    // other for ready to carry out roles: what heartbeats tell of their progress is outdated, and
    // each instance would otherwise choose itself.
    duration fleet_start_time = std::chrono::seconds(3);
    std::size_t max_probes = 16; // instances that are asked in one round
    // A process that has met no peer although it should have counts the fleet as this large for the
    // retention time after its start, so that it takes only a small share of fleet-wide limits.
    std::size_t unknown_fleet_size = 16;
};

class member_table
{
public:
    // `now` is the start of this process.
    member_table(member_table_options options, member_record self, time_point now);

    // Returns whether this instance has had the time to discover its peers: a peer was heard and
    // the records of the others have had time to arrive, or no peer was heard until the timeout.
    bool joined(time_point now) const;

    // Records that the settings name other instances, so that this one is probably not alone even
    // if it meets none of them.
    void expect_peers() noexcept { expects_peers_ = true; }

    // Update the record of this instance.
    void set_ready(bool ready);
    void set_leaving();
    void set_versions(document_position position, std::uint64_t configuration);

    // Merges the records that a peer sent. Of a record of this instance, only a higher incarnation
    // is used. Returns whether the sender's process is new to this table and should at once get a
    // reply with the live instances.
    bool merge_heartbeat(const heartbeat& message, time_point now);

    // Excludes an instance from roles for some time because a connection to it was lost.
    void mark_unreliable(const std::string& address, time_point now);

    // Lets this instance take over roles once it has joined and has a configuration, and either has
    // run for long enough or knows no live peer that is settled and has as much capacity.
    void settle(time_point now);

    // Removes instances that have not been known to be alive for longer than the retention time.
    void expire(time_point now);

    heartbeat make_heartbeat(time_point now, random_source& random) const;

    // Returns a heartbeat for a process that has just been heard for the first time. The heartbeat
    // includes the known record of that address, so that the process can raise its incarnation
    // above that of a former process whose wall clock was ahead.
    heartbeat make_reply(const std::string& address, time_point now, random_source& random) const;

    // Returns how long ago the instance was known to be alive; zero for this instance, and the
    // retention time for an unknown one.
    duration silence(const std::string& address, time_point now) const;

    // Records that a message of the instance at that address has arrived.
    void record_contact(const std::string& address, time_point now);

    // Returns a heartbeat that carries the record of this instance alone.
    heartbeat make_probe(bool wants_reply) const;

    // Returns the addresses of the live peers to ask for a reply now, those that were silent for
    // the longest time first. Each of them is asked at most twice before it counts as failed.
    std::vector<std::string> start_probes(time_point now);

    // Returns the addresses of random live peers to send the next heartbeat to.
    std::vector<std::string> choose_peers(time_point now, random_source& random) const;

    const member_record& self() const noexcept { return self_; }

    // Returns the live instances, including this one, ordered by address.
    std::vector<member_record> live(time_point now) const;

    // Returns the number of live instances, including this one.
    std::size_t live_size(time_point now) const;

    // Returns the number of instances known to be alive within the retention time, including this
    // one; a larger number if it should have met a peer and has not (see `unknown_fleet_size`).
    std::size_t recent_size(time_point now) const;

    bool is_live(const std::string& address, time_point now) const;

    // Returns the process that was last heard at the address; 0 if none is known.
    std::uint64_t process_at(const std::string& address) const;

    // Returns the number of live instances whose rendezvous score for the key is above this one's.
    std::size_t rank_for(std::string_view key, time_point now) const;

    // The same among the instances that `recent_size` counts. For fleet-wide limits: instances that
    // are out of touch must not all take themselves for the first.
    std::size_t recent_rank_for(std::string_view key, time_point now) const;

    // Returns the address of the instance that has the role named by the key. Candidates are the
    // live instances that have a configuration, are not leaving and are not excluded after a lost
    // connection; settled ones go first, then those on the machine with the highest capacity. Among
    // equals, the current holder keeps the role, so that a restart elsewhere does not move it, and
    // otherwise the rendezvous score decides. If `zone` is not empty, the instances of that
    // availability zone go before all others. Returns this instance if there is no candidate.
    std::string role_owner(std::string_view key, time_point now, std::string_view zone = {}) const;

    // Takes the role if this instance is settled and owns the role, and gives it up if another one
    // owns it. An instance announces one role at a time.
    void update_role(std::string_view key, time_point now, std::string_view zone = {});

    // Returns up to `count` live instances that are not leaving, spread evenly over the
    // availability zones: of each zone those with the highest capacity, and among equals those with
    // the highest rendezvous score for the key.
    std::vector<member_record> first_across_zones(std::string_view key, std::size_t count,
                                                  time_point now) const;

    // Returns the live peer that has seen the newest documents, if they are newer than those that
    // this instance has seen.
    std::optional<member_record> most_up_to_date_peer(time_point now) const;

    // Returns a live peer whose configuration is newer than that of this instance, if there is one.
    std::optional<member_record> peer_with_newer_configuration(time_point now) const;

private:
    struct known_member
    {
        member_record record;
        time_point last_alive;    // latest time at which the instance is known to have been alive
        time_point last_probed{}; // when it was last asked for a reply
    };

    void merge_record(const aged_record& update, time_point now);
    bool is_alive(const known_member& member, time_point now) const;
    duration current_failure_timeout() const;
    // Whether this instance has started recently and knows no settled instance that is older.
    bool fleet_is_starting(time_point now) const;
    // Whether the process of the record started at about the same time as this one.
    bool started_together(const member_record& record) const;
    bool is_reliable(const std::string& address, const known_member& member, time_point now) const;

    member_table_options options_;
    member_record self_;
    std::map<std::string, known_member> others_;         // by address
    std::map<std::string, time_point> lost_connections_; // time of the last loss, by address
    bool expects_peers_ = false;
    bool met_peer_ = false;
    time_point started_;
};

} // namespace quetzal::gateway

#endif
