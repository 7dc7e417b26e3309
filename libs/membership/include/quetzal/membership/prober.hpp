#ifndef QUETZAL_MEMBERSHIP_PROBER_HPP
#define QUETZAL_MEMBERSHIP_PROBER_HPP

// Finds out which members of the instance list answer, at a cost per node that does not depend on
// their number, and spreads suspicions, leaving states, incarnations and the newest versions with
// the probes.
//
// The platform's list alone decides who is a member. What peers say only removes an instance from
// address answers and rankings, and a suspected instance refutes the suspicion by itself.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/base/random.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/config/instance_list.hpp>
#include <quetzal/peer/messages.hpp>

namespace quetzal::membership {

// Timing and sizes of probing.
struct prober_options
{
    duration interval = std::chrono::milliseconds(500); // one probe in each
    // After this, the probe goes through other peers: 100 times the latency between zones.
    duration ack_timeout = std::chrono::milliseconds(150);
    std::size_t indirect_peers = 2;
    std::size_t updates_per_message = 8; // with names of 64 bytes about 720 bytes
    // Each update is sent this many times log2(members + 1).
    std::size_t spread_factor = 3;
    // Peers that hear of a raised version at once, before the next round.
    std::size_t announce_peers = 4;
    // A gap between ticks beyond this means that the process was paused: probes under way prove
    // nothing about their targets.
    duration pause = std::chrono::seconds(1);
};

// What is known about a member's process.
enum class member_state
{
    live,      // answers, or not yet probed
    suspected, // did not answer, directly or through others, and has not refuted it
    leaving    // says or is listed as leaving; it keeps this state while it answers or not
};

// Returns the stable lower-case code, e.g. "suspected".
std::string_view to_string(member_state state) noexcept;

// Convert `reader_schedule::service_age` to and from the ages in `peer::versions`. An age that does
// not fit counts as unknown.
std::uint16_t encode_age(std::optional<std::chrono::seconds> age) noexcept;
std::optional<std::chrono::seconds> decode_age(std::uint16_t age) noexcept;

// One member as this instance sees it.
struct member_view
{
    instance_id instance;
    zone_id zone;
    member_state state = member_state::live;
    incarnation process;    // 0: not heard of yet
    bool suspected = false; // also while leaving
    bool leaving = false;
    peer::versions known;                 // as it last reported itself
    std::optional<time_point> last_heard; // last message from it
};

// Send this message.
struct send_message
{
    peer::outgoing_message message;
};

// A member's state differs from before; `now_seen.state` is the new one.
struct member_changed
{
    member_state former = member_state::live;
    member_view now_seen;
};

// A member runs as a new process, which proves that the former one is dead. `directly` tells
// whether the new process itself sent the message or a peer that heard of it.
struct member_restarted
{
    instance_id instance;
    incarnation former;
    incarnation current;
    bool directly = false;
};

// An instance joined or left the list.
struct member_added
{
    instance_id instance;
};
struct member_removed
{
    instance_id instance;
};

// A peer reported its versions. Pass them to `readiness_gate`, `reader_schedule` and trackers.
struct versions_reported
{
    instance_id from;
    peer::versions known;
};

// Another process with a greater incarnation uses the name of this instance. This process stops:
// peers ignore it from now on.
struct superseded
{
    incarnation by;
};

using prober_action = std::variant<send_message, member_changed, member_restarted, member_added,
                                   member_removed, versions_reported, superseded>;

// Counters since the start, for metrics.
struct prober_counters
{
    std::uint64_t probes_sent = 0;
    std::uint64_t acks_sent = 0;
    std::uint64_t indirect_requests = 0;
    std::uint64_t failed_probes = 0;
    std::uint64_t suspicions = 0;     // raised here
    std::uint64_t refutations = 0;    // of suspicions against this instance
    std::uint64_t stale_messages = 0; // from a former incarnation of their sender
    std::uint64_t pauses = 0;
};

// The prober of one instance. Every command returns what to do; call `tick` at `next_wakeup` at the
// latest. Messages must come from `peer::decode`, which verifies their sender. A message to an
// instance that is not on the list goes to the address its last datagram came from. Not
// thread-safe.
class prober
{
public:
    prober(instance_id self, incarnation process, prober_options options, std::uint64_t seed);

    // Replaces the members. This instance may be on the list or not.
    std::vector<prober_action> set_list(const config::instance_list& list, time_point now);

    // Sets what this instance tells about its versions; call it once a second for the ages. When
    // the version or the revision rises, a few peers hear of it at once.
    std::vector<prober_action> set_versions(const peer::versions& known, time_point now);

    // Takes a verified message. Messages other than probes are ignored.
    std::vector<prober_action> on_message(const peer::received_message& message, time_point now);

    // Sends the probe that is due and judges those that were not answered.
    std::vector<prober_action> tick(time_point now);

    // Probes one peer out of turn, e.g. to learn its versions. No suspicion follows.
    std::vector<prober_action> probe_now(const instance_id& peer, time_point now);

    // Declares this instance leaving, for good, and tells a few peers at once.
    std::vector<prober_action> begin_leave(time_point now);

    // When `tick` has something to do next.
    time_point next_wakeup() const noexcept;

    // All members but this instance, in order of their names.
    std::vector<member_view> view() const;

    // One member; empty when it is not on the list.
    std::optional<member_view> view(const instance_id& instance) const;

    // Last message from any peer; empty before the first.
    std::optional<time_point> last_contact() const noexcept { return last_contact_; }

    bool is_leaving() const noexcept { return leaving_; }
    const prober_counters& counters() const noexcept { return counters_; }

private:
    struct member
    {
        zone_id zone;
        bool listed_leaving = false;
        bool leaving = false;
        bool suspected = false;
        bool only_here = false; // the suspicion was not spread: any message of the member ends it
        incarnation process;
        std::uint32_t sequence = 0;
        peer::versions known;
        std::optional<time_point> last_heard;
        bool owes_correction = false; // a former process of this name sent a message
    };
    struct pending_update
    {
        instance_id about;
        std::size_t sent = 0;
    };
    // The probe under way in the current round.
    struct own_probe
    {
        instance_id target;
        std::uint32_t sequence = 0;
        incarnation process; // of the target when the probe was sent
        time_point indirect_at{};
        time_point judged_at{};
        bool indirect_sent = false;
    };
    // A probe on behalf of a peer.
    struct relayed_probe
    {
        instance_id requester;
        std::uint32_t requester_sequence = 0;
        instance_id target;
        time_point expires_at{};
    };
    using actions = std::vector<prober_action>;

    member_state state_of(const member& entry) const noexcept;
    member_view view_of(const instance_id& id, const member& entry) const;
    std::size_t spread_limit() const noexcept;
    void enqueue(const instance_id& about);
    peer::member_update update_about(const instance_id& about) const;
    std::vector<peer::member_update> take_updates(const instance_id& receiver);
    void send(actions& out, const instance_id& to, peer::message body);
    void send_probe(actions& out, const instance_id& to, std::uint32_t sequence);
    void start_probe(actions& out, time_point now);
    void send_indirect(actions& out);
    void judge(actions& out);
    std::vector<instance_id> sample(std::size_t count, const instance_id& other_than);
    void announce(actions& out);
    instance_id next_target();
    void confirm_suspicion();
    bool note_sender(actions& out, const peer::received_message& message, time_point now);
    void apply(actions& out, const peer::member_update& update, bool directly);
    void apply_self(actions& out, const peer::member_update& update);
    void apply_all(actions& out, const instance_id& from, const peer::versions& known,
                   const std::vector<peer::member_update>& updates);
    void end_local_suspicion(actions& out, const instance_id& id);
    void on_probe(actions& out, const instance_id& from, const peer::probe& body,
                  bool current_process);
    void on_ack(actions& out, const instance_id& from, const peer::probe_ack& body);
    void on_request(actions& out, const instance_id& from, const peer::probe_request& body,
                    time_point now);

    instance_id self_;
    incarnation process_;
    prober_options options_;
    random_source random_;
    std::uint32_t own_sequence_ = 0; // of updates about this instance
    std::uint32_t next_sequence_ = 1;
    bool leaving_ = false;
    bool superseded_ = false;
    peer::versions known_;
    std::map<instance_id, member> members_;
    std::vector<instance_id> round_;
    std::vector<pending_update> updates_;
    std::optional<own_probe> probe_;
    std::map<std::uint32_t, relayed_probe> relays_;
    std::optional<time_point> last_tick_;
    std::optional<time_point> last_contact_;
    // The suspicion of the last probe. It is spread when the next probe is answered: without that,
    // the fault is probably on this side, and an instance that was cut off would make the whole
    // fleet refute its suspicions when it returns.
    std::optional<instance_id> unconfirmed_;
    time_point next_probe_{};
    prober_counters counters_;
};

} // namespace quetzal::membership

#endif
