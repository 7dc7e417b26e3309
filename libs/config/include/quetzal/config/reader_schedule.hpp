#ifndef QUETZAL_CONFIG_READER_SCHEDULE_HPP
#define QUETZAL_CONFIG_READER_SCHEDULE_HPP

// Decides when an instance reads a platform service directly and when it fetches from a peer. One
// object per document. With few instances all of them watch the service; in a larger fleet two per
// availability zone do, and the others follow their peers, so that the call rate grows with the
// number of zones and not with the fleet.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/base/manifest.hpp>
#include <quetzal/base/random.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/config/instance_list.hpp>
#include <quetzal/config/published.hpp>

namespace quetzal::config {

// Timing of reads. The defaults hold at the design size of 330 instances.
struct reader_options
{
    std::size_t all_read_up_to = 8;   // instances of a region that all read
    std::size_t readers_per_zone = 2; // above that
    // How long the service may hold a watch. Also the longest age of a reader's last answer.
    duration watch_wait = std::chrono::seconds(5);
    // Beyond the wait, after which a watch without answer has failed.
    duration answer_margin = std::chrono::seconds(2);
    // First read after the start: 330 instances spread over 1 s make 330 calls/s, a sixth of the
    // service's rate.
    duration start_spread = std::chrono::seconds(1);
    // Next watch after a new value, which ends the watches of all readers at once.
    duration watch_spread = std::chrono::milliseconds(200);
    // Shortest time between the starts of two reads, whatever the answers: 330 readers stay below
    // 1,000 calls/s, half of the service's rate.
    duration shortest_interval = std::chrono::milliseconds(500);
    // Time between two unconditional reads, drawn from half to one and a half of this. A service
    // that was restored from an old copy has nothing above the version that a watch asks for; only
    // this read shows its state. A value of 1 MB costs a reader 1.1 KB/s.
    duration verify_every = std::chrono::minutes(15);
    // Retries draw from [0, min(largest, base * 2^failures)), full jitter.
    duration retry_base = std::chrono::seconds(1);
    duration retry_largest = std::chrono::seconds(30);
    // Pause before a follower suspects that no reader makes progress: watch wait plus spread of the
    // age through the fleet, with a second per hop.
    duration takeover_after = std::chrono::seconds(20);
    // Each step doubles the readers of a zone.
    duration takeover_step = std::chrono::seconds(5);
    // How long an instance that took over keeps reading.
    duration takeover_hold = std::chrono::minutes(2);
    // Time for one fetch from a peer.
    duration fetch_timeout = std::chrono::seconds(2);
    // Pause after a failed fetch, drawn from [0, this * 2^failures) up to `retry_largest`.
    duration fetch_retry = std::chrono::milliseconds(200);
    // Longest time between two checks of the role.
    duration role_check = std::chrono::seconds(1);
};

// A member that may read, as this instance sees it.
struct reader_candidate
{
    instance_id id;
    zone_id zone;
    region_id region;     // empty when no configuration names the zone yet
    bool eligible = true; // false: leaving or suspected
};

// Builds the candidates from the list; `config` may be null at the start. Callers clear `eligible`
// for suspected members.
std::vector<reader_candidate> reader_candidates(const instance_list& list, const published* config);

// Ask the service for a version above `after`, waiting at most `wait`; `after` 0 asks for any.
// Report the outcome with `on_service_answer` and `number`; an outcome with another number is
// ignored.
struct read_service
{
    std::uint64_t number = 0;
    std::uint64_t after = 0;
    std::chrono::milliseconds wait{};    // 0: answer at once
    std::chrono::milliseconds timeout{}; // of the whole call
};

// End the call with this number; the schedule has given it up.
struct abandon_read
{
    std::uint64_t number = 0;
};

// Fetch this or a higher version from the peer. Report the outcome with `on_fetched` and `number`.
struct fetch_from_peer
{
    std::uint64_t number = 0;
    instance_id peer;
    std::uint64_t version = 0;
};

using reader_action = std::variant<read_service, abandon_read, fetch_from_peer>;

// How a call to the service ended.
enum class service_answer
{
    new_value, // the tracker accepted it
    unchanged, // the wait ended without a change, or the tracker has this value in force
    refused,   // the tracker refused it, for whatever cause
    failed     // no answer, an error status, or 429
};

// The schedule of one document at one instance. Every command returns what to do now; call `tick`
// at `next_wakeup` at the latest. Not thread-safe.
class reader_schedule
{
public:
    reader_schedule(instance_id self, document kind, reader_options options, std::uint64_t seed);

    // Replaces the members. Call it with every change of the list, of the zones and of suspicions.
    std::vector<reader_action> set_members(std::vector<reader_candidate> members, time_point now,
                                           wall_time wall);

    // Records the tracker's state, with every change: the version that watches ask for changes
    // after, and the version up to which peers' copies are not worth fetching. They differ for a
    // list that went back (`list_tracker::settled`).
    void set_known(std::uint64_t watch_after, std::uint64_t settled);

    // Reports the end of a call. Call `set_known` first when the tracker took a value.
    std::vector<reader_action> on_service_answer(std::uint64_t number, service_answer answer,
                                                 time_point now, wall_time wall);

    // A peer reported its version and how long ago the service answered a reader that it knows of.
    std::vector<reader_action> on_peer_report(const instance_id& peer, std::uint64_t version,
                                              std::optional<std::chrono::seconds> service_age,
                                              time_point now);

    // Reports the end of a fetch; it succeeded when the tracker did not refuse the value. Call
    // `set_known` first when the tracker took a value.
    std::vector<reader_action> on_fetched(std::uint64_t number, bool succeeded, time_point now);

    // Starts what is due.
    std::vector<reader_action> tick(time_point now, wall_time wall);

    // When `tick` has something to do next.
    time_point next_wakeup() const noexcept;

    // Whether this instance reads the service now, and because it took over.
    bool is_reader() const noexcept { return reads_; }
    bool has_taken_over() const noexcept { return reads_ && hold_until_.has_value(); }

    // Age of the last service answer known here, to tell peers; empty when there was none.
    // A second is added for the hop, so that an age passed around never becomes younger.
    std::optional<std::chrono::seconds> service_age(time_point now) const noexcept;

private:
    struct pending_read
    {
        std::uint64_t number = 0;
        time_point started_at{};
        time_point fails_at{};
    };
    struct pending_fetch
    {
        std::uint64_t number = 0;
        instance_id peer;
        time_point fails_at{};
    };

    duration jitter(duration bound) noexcept;
    duration backoff(duration base, unsigned failures) noexcept;
    void choose_role(time_point now, wall_time wall);
    bool is_regular_reader(std::int64_t hour);
    bool takes_over(time_point now) const noexcept;
    void schedule_next_read(service_answer answer, time_point started_at, time_point now);
    void act(std::vector<reader_action>& actions, time_point now);
    void start_read(std::vector<reader_action>& actions, time_point now);
    void start_fetch(std::vector<reader_action>& actions, time_point now);

    instance_id self_;
    document kind_;
    reader_options options_;
    random_source random_;
    std::vector<reader_candidate> members_;
    std::uint64_t watch_after_ = 0;
    std::uint64_t settled_ = 0;
    std::uint64_t next_number_ = 1;
    bool reads_ = false;
    std::optional<std::int64_t> ranked_hour_; // for which the next two hold
    bool regular_ = false;                    // reads without takeover
    std::size_t rank_ = 0;                    // among the members of the zone, 0 reads first
    unsigned read_failures_ = 0;
    unsigned fetch_failures_ = 0;
    std::optional<time_point> started_at_;
    std::optional<time_point> last_answer_; // of the service, to any reader known here
    std::optional<time_point> hold_until_;  // after a takeover
    std::optional<pending_read> read_;
    std::optional<pending_fetch> fetch_;
    time_point next_read_{};
    time_point next_verify_{};
    time_point next_fetch_{};
    time_point next_role_check_{};
    std::map<instance_id, std::uint64_t> offers_; // versions of peers that are not settled
};

} // namespace quetzal::config

#endif
