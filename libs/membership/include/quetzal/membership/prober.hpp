#ifndef QUETZAL_MEMBERSHIP_PROBER_HPP
#define QUETZAL_MEMBERSHIP_PROBER_HPP

// Failure detection and gossip among the members of the instance list. The cost per node does not
// depend on the number of members. Probes also carry suspicions, leaving states, incarnations and
// the newest document versions.
//
// Only the platform's list decides which instances are members. Reports of peers can only remove an
// instance from address responses and rankings. A suspected instance refutes the suspicion itself.

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

// Timing and size limits of probing.
struct prober_options
{
    duration interval = std::chrono::milliseconds(500); // between probes
    // After this time without an ack, peers are asked to probe the target indirectly. It is 100
    // times the latency between zones.
    duration ack_timeout = std::chrono::milliseconds(150);
    std::size_t indirect_peers = 2;
    std::size_t updates_per_message = 8; // about 720 bytes if names have 64 bytes
    // An update is sent transmit_factor * log2(members + 1) times.
    std::size_t transmit_factor = 3;
    // Number of peers that are probed at once when a version rises, before the next round.
    std::size_t announce_peers = 4;
    // A longer gap between ticks means that the process was paused. Missing acks of outstanding
    // probes then prove nothing about their targets.
    duration pause_threshold = std::chrono::seconds(1);
};

// State of a member's process as seen by this instance.
enum class member_state
{
    live,      // answers probes, or has not been probed yet
    suspected, // answered neither direct nor indirect probes and has not refuted the suspicion
    leaving    // announced or listed as leaving, whether or not it answers probes
};

// Returns the stable lower-case code, e.g. "suspected".
std::string_view to_string(member_state state) noexcept;

// Convert `reader_schedule::service_age` to and from the ages in `peer::versions`. An age out of
// range is encoded as unknown.
std::uint16_t encode_age(std::optional<std::chrono::seconds> age) noexcept;
std::optional<std::chrono::seconds> decode_age(std::uint16_t age) noexcept;

// One member as this instance sees it.
struct member_view
{
    instance_id instance;
    zone_id zone;
    member_state state = member_state::live;
    incarnation process;    // 0 until a process is known
    bool suspected = false; // may also be set while leaving
    bool leaving = false;
    peer::versions known;                 // as last reported by the member
    std::optional<time_point> last_heard; // time of its last message
};

// The runtime must send this message.
struct send_message
{
    peer::outgoing_message message;
};

// A member's state changed from `previous` to `current.state`.
struct member_changed
{
    member_state previous = member_state::live;
    member_view current;
};

// A member runs as a new process, which proves that the previous process has ended. `directly` is
// true if the new process itself sent the message, false if a peer reported it.
struct member_restarted
{
    instance_id instance;
    incarnation previous;
    incarnation current;
    bool directly = false;
};

// An instance was added to or removed from the list.
struct member_added
{
    instance_id instance;
};
struct member_removed
{
    instance_id instance;
};

// A peer reported its document versions. Pass them to `readiness_gate`, `reader_schedule` and the
// trackers.
struct versions_reported
{
    instance_id from;
    peer::versions known;
};

// Another process with a greater incarnation uses the name of this instance. This process must
// stop, because peers ignore its messages from now on.
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
    std::uint64_t suspicions = 0;     // raised by this instance
    std::uint64_t refutations = 0;    // of suspicions against this instance
    std::uint64_t stale_messages = 0; // from a previous incarnation of the sender
    std::uint64_t pauses = 0;
};

// The prober of one instance. Member functions return the actions that the caller must perform.
// Call `tick` no later than `next_wakeup`. Received messages must come from `peer::decode`, which
// verifies the sender. Send a message for an instance that is not on the list to the source address
// of its last datagram. Not thread-safe.
class prober
{
public:
    prober(instance_id self, incarnation process, prober_options options, std::uint64_t seed);

    // Replaces the member list, which may or may not contain this instance.
    std::vector<prober_action> set_list(const config::instance_list& list, time_point now);

    // Sets the versions that this instance reports. Call it once a second to keep the ages current.
    // When the configuration version or the list revision rises, a few peers are probed at once.
    std::vector<prober_action> set_versions(const peer::versions& known, time_point now);

    // Handles a verified message. Of messages other than probes, acks and probe requests, only the
    // envelope is used.
    std::vector<prober_action> on_message(const peer::received_message& message, time_point now);

    // Sends probes that are due and handles probes that have timed out.
    std::vector<prober_action> tick(time_point now);

    // Probes one peer outside the rounds, e.g. to learn its versions. A missing ack raises no
    // suspicion.
    std::vector<prober_action> probe_now(const instance_id& peer, time_point now);

    // Marks this instance as leaving and probes a few peers at once to announce it. This cannot be
    // undone.
    std::vector<prober_action> begin_leave(time_point now);

    // Returns when `tick` must be called next.
    time_point next_wakeup() const noexcept;

    // Returns all members except this instance, ordered by name.
    std::vector<member_view> view() const;

    // Returns one member, or nothing if it is not on the list.
    std::optional<member_view> view(const instance_id& instance) const;

    // Returns the time of the last message from any member, or nothing before the first one.
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
        // The suspicion has not been sent to peers. Any message from the member ends it.
        bool suspicion_is_local = false;
        incarnation process;
        std::uint32_t sequence = 0;
        peer::versions known;
        std::optional<time_point> last_heard;
        // A previous process of this name sent a message and must be told of its successor.
        bool needs_correction = false;
    };
    struct pending_update
    {
        instance_id instance;
        std::size_t times_sent = 0;
    };
    // The outstanding probe of the current round.
    struct own_probe
    {
        instance_id target;
        std::uint32_t sequence = 0;
        incarnation process; // incarnation of the target when the probe was sent
        time_point indirect_at{};
        time_point timeout_at{};
        bool indirect_sent = false;
    };
    // An indirect probe, sent on behalf of a peer.
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
    std::size_t transmit_limit() const noexcept;
    void enqueue(const instance_id& instance);
    peer::member_update make_update(const instance_id& instance) const;
    std::vector<peer::member_update> take_updates(const instance_id& receiver);
    void send(actions& out, const instance_id& to, peer::message body);
    void send_probe(actions& out, const instance_id& to, std::uint32_t sequence);
    void start_probe(actions& out, time_point now);
    void send_indirect(actions& out);
    void on_probe_timeout(actions& out);
    std::vector<instance_id> sample(std::size_t count, const instance_id& excluded);
    void announce(actions& out);
    instance_id next_target();
    void confirm_suspicion();
    bool accept_sender(actions& out, const peer::received_message& message, time_point now);
    void apply(actions& out, const peer::member_update& update, bool directly);
    void apply_own_update(actions& out, const peer::member_update& update);
    void apply_gossip(actions& out, const instance_id& from, const peer::versions& known,
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
    std::uint32_t own_sequence_ = 0; // sequence of updates about this instance
    std::uint32_t next_sequence_ = 1;
    bool leaving_ = false;
    bool superseded_ = false;
    peer::versions own_versions_;
    std::map<instance_id, member> members_;
    std::vector<instance_id> round_targets_;
    std::vector<pending_update> updates_;
    std::optional<own_probe> probe_;
    std::map<std::uint32_t, relayed_probe> relays_;
    std::optional<time_point> last_tick_;
    std::optional<time_point> last_contact_;
    // The target of the last failed probe. Its suspicion is sent to peers only once another probe
    // is answered. Without an answer, the fault is probably on this side, and an instance that was
    // partitioned would make the whole fleet refute its suspicions when it reconnects.
    std::optional<instance_id> unconfirmed_suspect_;
    time_point next_probe_{};
    prober_counters counters_;
};

} // namespace quetzal::membership

#endif
