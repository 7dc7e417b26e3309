#ifndef QUETZAL_GATEWAY_MEMBER_TABLE_HPP
#define QUETZAL_GATEWAY_MEMBER_TABLE_HPP

// Which instances of the fleet are alive, learnt from heartbeats alone: there is no instance list.
// A heartbeat carries what its sender knows of all others with the age of that knowledge, so that
// a fleet of any size converges with a constant number of messages for each instance.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

// What an instance says about itself. `serial` rises with each change, so that news about a leaving
// instance goes before older news of the same process.
struct member_record
{
    std::string address;           // numeric IP address; names the instance
    std::uint64_t incarnation = 0; // wall clock milliseconds at the start of the process
    std::uint64_t serial = 0;
    std::string zone;
    std::uint16_t caller_port = 0;
    bool ready = false;   // takes callers
    bool leaving = false; // is stopping
    // How much its machine can carry: the scarcer of processor and link, see `machine_strength`.
    std::uint32_t strength = 1;
    bool settled = false;            // has run for long enough to take over duties
    std::string duty;                // key of the duty that it has taken, if any
    std::uint64_t revision = 0;      // of the published documents that it has seen
    std::uint64_t configuration = 0; // version of the configuration in force there

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(address, incarnation, serial, zone, caller_port, ready, leaving, settled, duty,
                strength, revision, configuration);
    }
};

// One line of a heartbeat: a record and how long ago its instance was known to be alive.
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

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sender, others);
    }
};

// Returns how much a machine can carry in duties for the fleet, from its cores (a share of one, or
// several) and its link in megabits a second. A quarter of a core and 50 Mbit/s count as 4.
std::uint32_t machine_strength(double cores, double link_mbps);

struct member_table_options
{
    // An instance is taken for dead when nothing proves it alive for this long. In fleets of more
    // than eight, news takes further rounds: this much longer for each doubling.
    duration silence = std::chrono::milliseconds(1300);
    duration silence_per_doubling = std::chrono::milliseconds(400);
    // A dead instance still counts in `recent_size` for this long, so that shares of fleet-wide
    // bounds do not grow while an instance may only be cut off.
    duration remembered = std::chrono::seconds(30);
    // Time from the start until news of all peers has arrived, if one is heard, and until an
    // instance that hears nobody is alone.
    duration joining = std::chrono::milliseconds(400);
    duration alone = std::chrono::milliseconds(800);
    // An instance takes over duties this long after its start, unless nobody else could. So one
    // that was restarted does not pull duties to itself while its peers still work on them.
    duration settling = std::chrono::seconds(2);
    // An instance with which a connection broke gets no duties for this long.
    duration distrust = std::chrono::milliseconds(1000);
    std::size_t fanout = 6;         // peers that get each heartbeat
    std::size_t records_limit = 32; // others described by one heartbeat
};

class member_table
{
public:
    // `now` is the start of this process.
    member_table(member_table_options options, member_record self, time_point now);

    // Whether this instance has had the time to learn of its peers: some peer was heard and the
    // news of the others could arrive, or nobody has answered for long enough to be alone.
    bool joined(time_point now) const;

    // Changes what this instance says about itself.
    void set_ready(bool ready);
    void set_leaving();
    void set_known(std::uint64_t revision, std::uint64_t configuration);

    // Takes what a peer reported. Records of this instance itself are ignored. Returns whether the
    // sender's process was not known before, so that it should be told at once who is alive.
    bool take(const heartbeat& message, time_point now);

    // Notes that the connection to an instance broke.
    void distrust(const std::string& address, time_point now);

    // Lets this instance take over duties when it has been ready for long enough.
    void settle(time_point now);

    // Forgets instances that have been silent for longer than `remembered`.
    void expire(time_point now);

    heartbeat make_heartbeat(time_point now, random_source& random) const;

    // A heartbeat for a process that has just been heard of. It tells that process of a former one
    // at its address whose wall clock was ahead, so that it can outnumber it.
    heartbeat make_reply(const std::string& address, time_point now, random_source& random) const;

    // Addresses of the peers that the next heartbeat goes to.
    std::vector<std::string> choose_peers(time_point now, random_source& random) const;

    const member_record& self() const noexcept { return self_; }

    // Live instances, this one included, ordered by address.
    std::vector<member_record> live(time_point now) const;

    // Number of live instances, this one included.
    std::size_t live_size(time_point now) const;

    // Number of instances that were alive within `remembered`, this one included.
    std::size_t recent_size(time_point now) const;

    bool is_live(const std::string& address, time_point now) const;

    // Number of live instances that go before this one for the key, by rendezvous score.
    std::size_t rank_for(std::string_view key, time_point now) const;

    // The instance that has the duty named by the key: of the live instances that are settled, or
    // of all if none is, one on the strongest machine. Among equals the one that has taken the duty
    // keeps it, so that a restart elsewhere does not move it; otherwise the rendezvous score
    // decides. This instance if it knows no other.
    std::string owner_of(std::string_view key, time_point now) const;

    // Takes the duty if this settled instance is its owner, and gives it up if another one is.
    void take_duty(std::string_view key, time_point now);

    // Addresses of up to `count` live instances of this one's availability zone, this one included,
    // that come first in the rendezvous order of the key.
    std::vector<std::string> first_in_zone(std::string_view key, std::size_t count,
                                           time_point now) const;

    // The peer that has seen the newest documents, if any has seen newer ones than this instance.
    std::optional<member_record> most_advanced(time_point now) const;

private:
    struct known_member
    {
        member_record record;
        time_point alive; // latest moment at which it is known to have been alive
    };

    void merge(const aged_record& news, time_point now);
    bool alive(const known_member& member, time_point now) const;
    duration silence() const;
    bool trusted(const std::string& address, time_point now) const;

    member_table_options options_;
    member_record self_;
    std::map<std::string, known_member> others_; // by address
    std::map<std::string, time_point> distrusted_until_;
    time_point started_;
};

} // namespace quetzal::gateway

#endif
