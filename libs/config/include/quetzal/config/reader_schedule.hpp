#ifndef QUETZAL_CONFIG_READER_SCHEDULE_HPP
#define QUETZAL_CONFIG_READER_SCHEDULE_HPP

// Decides when an instance reads a document from its platform service and when it fetches the
// document from a peer. In a small region all instances watch the service. In a larger one two
// instances per availability zone do (the readers), and the others (the followers) fetch from their
// peers, so that the call rate grows with the number of zones and not with the number of instances.

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

// Timing of reads. The defaults suit fleets of up to 330 instances.
struct reader_options
{
    std::size_t small_region_size = 8; // up to so many instances of a region all read
    std::size_t readers_per_zone = 2;  // in larger regions
    // How long the service may hold a watch open. Also the greatest age of a reader's last
    // response.
    duration watch_wait = std::chrono::seconds(5);
    // A watch fails if there is no response within its wait time plus this margin.
    duration response_margin = std::chrono::seconds(2);
    // Random delay of the first read of a new reader. 330 instances that start together and spread
    // their reads over 1 s make 330 calls/s, a sixth of the rate that the service supports.
    duration start_spread = std::chrono::seconds(1);
    // Random delay of the next watch after a response. A new value ends the watches of all readers
    // at the same time.
    duration watch_spread = std::chrono::milliseconds(200);
    // Minimum time between the starts of two reads, whatever the responses. It keeps 330 readers
    // below 1,000 calls/s, half of the rate that the service supports.
    duration min_read_interval = std::chrono::milliseconds(500);
    // Mean time between two unconditional reads; each interval is drawn from half to one and a half
    // times this value. A service that was restored from an old copy has no version above the one
    // that a watch names, so only an unconditional read shows its state. Reading a value of 1 MB
    // costs a reader 1.1 KB/s.
    duration unconditional_read_interval = std::chrono::minutes(15);
    // Retry delays are drawn from [0, min(max_retry_delay, retry_base * 2^failures)) (full jitter).
    duration retry_base = std::chrono::seconds(1);
    duration max_retry_delay = std::chrono::seconds(30);
    // Time without a known response of the service after which a follower takes over as a reader.
    // It covers the wait time of a watch and the propagation of the service age through the fleet,
    // which adds one second per hop.
    duration takeover_delay = std::chrono::seconds(20);
    // Delay between takeover steps. Each step doubles the number of readers in a zone.
    duration takeover_step = std::chrono::seconds(5);
    // How long an instance that has taken over remains a reader.
    duration takeover_duration = std::chrono::minutes(2);
    // Timeout of one fetch from a peer.
    duration fetch_timeout = std::chrono::seconds(2);
    // Delay after a failed fetch, drawn from [0, min(max_retry_delay, fetch_retry_base *
    // 2^failures)).
    duration fetch_retry_base = std::chrono::milliseconds(200);
    // Maximum time between two checks of whether this instance is a reader.
    duration role_check_interval = std::chrono::seconds(1);
};

// A member of the fleet that may become a reader, as this instance sees it.
struct reader_candidate
{
    instance_id id;
    zone_id zone;
    region_id region;     // empty if no configuration declares the zone yet
    bool eligible = true; // false: leaving or suspected
};

// Builds the candidates from the instance list. `config` may be null before the first
// configuration. Callers clear `eligible` for suspected members.
std::vector<reader_candidate> reader_candidates(const instance_list& list, const published* config);

// Action: ask the service for a version above `after`, waiting at most `wait`; 0 in `after` asks
// for any version. Report the outcome to `on_service_answer` with `number`; an outcome with another
// number is ignored.
struct read_service
{
    std::uint64_t number = 0;
    std::uint64_t after = 0;
    std::chrono::milliseconds wait{};    // 0: the service responds at once
    std::chrono::milliseconds timeout{}; // of the complete call
};

// Action: cancel the call with this number, which has timed out.
struct abandon_read
{
    std::uint64_t number = 0;
};

// Action: fetch this or a higher version from the peer. Report the outcome to `on_fetched` with
// `number`.
struct fetch_from_peer
{
    std::uint64_t number = 0;
    instance_id peer;
    std::uint64_t version = 0;
};

using reader_action = std::variant<read_service, abandon_read, fetch_from_peer>;

// The outcome of a call to the service.
enum class service_answer
{
    new_value, // the tracker accepted it
    unchanged, // the wait ended without a change, or the value is already in force
    refused,   // the tracker rejected the value, for whatever cause
    failed     // no response or an error status such as 429
};

// The schedule of one document at one instance. Event functions return the actions to perform now.
// Call `tick` no later than at `next_wakeup`. Not thread-safe.
class reader_schedule
{
public:
    reader_schedule(instance_id self, document kind, reader_options options, std::uint64_t seed);

    // Replaces the members. Call it whenever the instance list, the zones or the set of suspected
    // members changes.
    std::vector<reader_action> set_members(std::vector<reader_candidate> members, time_point now,
                                           wall_time wall);

    // Records the state of the tracker; call it with every change. Watches ask the service for
    // versions above `watch_after`, and only versions above `fetch_above` are fetched from peers.
    // The two differ after the list returned to a lower revision
    // (`list_tracker::highest_known_revision`).
    void set_versions(std::uint64_t watch_after, std::uint64_t fetch_above);

    // Reports the outcome of a call to the service. If the tracker accepted a value, call
    // `set_versions` first.
    std::vector<reader_action> on_service_answer(std::uint64_t number, service_answer answer,
                                                 time_point now, wall_time wall);

    // Handles a peer's report of its version and of the time since the last response of the service
    // that the peer knows of.
    std::vector<reader_action> on_peer_report(const instance_id& peer, std::uint64_t version,
                                              std::optional<std::chrono::seconds> service_age,
                                              time_point now);

    // Reports the outcome of a fetch. The fetch succeeded if the tracker did not reject the value.
    // If the tracker accepted the value, call `set_versions` first.
    std::vector<reader_action> on_fetched(std::uint64_t number, bool succeeded, time_point now);

    // Handles timeouts and starts the actions that are due.
    std::vector<reader_action> tick(time_point now, wall_time wall);

    // Returns the time at which `tick` is next due.
    time_point next_wakeup() const noexcept;

    // Returns whether this instance is a reader now.
    bool is_reader() const noexcept { return is_reader_; }

    // Returns whether this instance is a reader because it has taken over.
    bool has_taken_over() const noexcept { return is_reader_ && takeover_ends_at_.has_value(); }

    // Returns the age of the last response of the service that is known here, for reports to peers;
    // empty if there was none. The result includes one second for the hop, so that the age never
    // decreases while instances pass it on.
    std::optional<std::chrono::seconds> service_age(time_point now) const noexcept;

private:
    struct pending_read
    {
        std::uint64_t number = 0;
        time_point started_at{};
        time_point deadline{};
    };
    struct pending_fetch
    {
        std::uint64_t number = 0;
        instance_id peer;
        time_point deadline{};
    };

    duration jitter(duration bound) noexcept;
    duration backoff(duration base, unsigned failures) noexcept;
    void choose_role(time_point now, wall_time wall);
    bool is_regular_reader(std::int64_t hour);
    bool should_take_over(time_point now) const noexcept;
    void schedule_next_read(service_answer answer, time_point started_at, time_point now);
    void start_due(std::vector<reader_action>& actions, time_point now);
    void start_read(std::vector<reader_action>& actions, time_point now);
    void start_fetch(std::vector<reader_action>& actions, time_point now);

    instance_id self_;
    document kind_;
    reader_options options_;
    random_source random_;
    std::vector<reader_candidate> members_;
    std::uint64_t watch_after_ = 0;
    std::uint64_t fetch_above_ = 0;
    std::uint64_t next_number_ = 1;
    bool is_reader_ = false;
    std::optional<std::int64_t> ranked_hour_; // hour for which the next two members are valid
    bool is_regular_reader_ = false;          // is a reader without takeover
    std::size_t rank_ = 0; // among the members of the zone; 0 is the first to read
    unsigned read_failures_ = 0;
    unsigned fetch_failures_ = 0;
    std::optional<time_point> started_at_;
    std::optional<time_point> last_response_at_; // of the service, to any reader known here
    std::optional<time_point> takeover_ends_at_; // set after a takeover
    std::optional<pending_read> read_;
    std::optional<pending_fetch> fetch_;
    time_point next_read_{};
    time_point next_unconditional_read_{};
    time_point next_fetch_{};
    time_point next_role_check_{};
    std::map<instance_id, std::uint64_t> offers_; // versions of peers above `fetch_above_`
};

} // namespace quetzal::config

#endif
