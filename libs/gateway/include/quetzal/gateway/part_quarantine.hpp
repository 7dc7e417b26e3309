#ifndef QUETZAL_GATEWAY_PART_QUARANTINE_HPP
#define QUETZAL_GATEWAY_PART_QUARANTINE_HPP

// Finds the parts of prompts that crash endpoints, and keeps requests with such a part away from
// them. A part is suspected when an endpoint crashes while a request with it waits for its first
// byte of content, and cleared when a response to a request with it begins. The instances exchange
// their evidence with their heartbeats. The memory that callers can claim is bounded: only crashes
// create suspicions, and both tables have a maximum size. Not thread-safe.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/gateway/suspect_record.hpp>

namespace quetzal::gateway {

struct part_quarantine_options
{
    // Crashes that quarantine a part of which no response is known. One counts only if its request
    // was sent after the crash that was counted before it: endpoints that fail together say little
    // about the requests that wait at them.
    std::size_t crashes_of_unknown = 2;
    // Crashes that quarantine a part that was known to be sound, and the time over which they have
    // to be spread.
    std::size_t crashes_of_known = 6;
    duration spread_of_known = std::chrono::seconds(5);
    // How long a response shows that a part is sound.
    duration sound_period = std::chrono::seconds(60);
    // How long a part is quarantined after its last crash. Doubles with each further crash, at most
    // `max_doublings` times.
    duration quarantine_period = std::chrono::seconds(15);
    unsigned max_doublings = 4;
    // After the quarantine, one request at a time tests the part; the instances begin one after
    // another, this long apart.
    duration retest_stagger = std::chrono::seconds(5);
    duration retest_timeout = std::chrono::seconds(10);
    // Suspicions without a further crash are dropped after this time.
    duration retention = std::chrono::seconds(300);
    std::size_t max_suspects = 512;
    std::size_t max_sound_parts = 4096; // remembered; twice as many while they are replaced
    std::size_t max_records = 12;       // in one heartbeat
};

class part_quarantine
{
public:
    // A request with these parts may be sent.
    struct allowed
    {
    };
    // A request with these parts must not be sent because of one of them.
    struct quarantined
    {
        std::uint64_t part = 0;
        duration left{}; // until it may be tested
    };
    // The quarantine of one part is over; one request may test it.
    struct retest
    {
        std::uint64_t part = 0;
    };
    using decision = std::variant<allowed, quarantined, retest>;

    explicit part_quarantine(part_quarantine_options options = {}) : options_(options) {}

    // Records that the response to a request with these parts has begun.
    void record_begun(std::span<const std::uint64_t> parts, time_point now);

    // Records that an endpoint has crashed before the response to a request with these parts, which
    // was sent at `sent`, began. Returns the parts that are quarantined because of it.
    std::vector<std::uint64_t> record_crash(std::span<const std::uint64_t> parts,
                                            std::uint64_t endpoint, time_point sent,
                                            time_point now);

    // Decides about a request with these parts. A quarantined part does not count if another one,
    // which the request does not have, accounts for all its crashes. `rank` returns the position of
    // this instance among those that may test a part.
    template <class Rank>
    decision check(std::span<const std::uint64_t> parts, Rank rank, time_point now) const
    {
        decision decided = allowed{};
        for (const std::uint64_t part : parts) {
            const auto found = suspects_.find(part);
            if (found == suspects_.end()) {
                continue;
            }
            const auto until = quarantine_end(found->second, now);
            if (!until || is_explained(found->second, parts, now)) {
                continue;
            }
            const time_point test_from = retest_time(found->second, *until, rank(part));
            if (now < test_from) {
                return quarantined{part, test_from - now};
            }
            decided = retest{part};
        }
        return decided;
    }

    // Records that a request is sent that tests the part; others wait for its outcome.
    void start_retest(std::uint64_t part, time_point now);

    // Returns the records to send with the next heartbeat.
    std::vector<suspect_record> records(time_point now, random_source& random) const;

    // Merges the records of another instance. Returns the parts that are quarantined because of
    // them.
    std::vector<std::uint64_t> merge(std::span<const suspect_record> records, time_point now);

    // Drops what has become too old.
    void expire(time_point now);

    // Returns the number of suspected parts, and of those that are quarantined.
    std::size_t suspects() const noexcept { return suspects_.size(); }
    std::size_t quarantined_parts(time_point now) const;

private:
    struct crash
    {
        std::uint64_t endpoint = 0;
        time_point sent; // when the request was sent
        time_point at;
    };

    struct suspect
    {
        std::vector<crash> crashes; // after `begun`, oldest first
        std::optional<time_point> begun;
        time_point changed;
        time_point tested_until{}; // end of the wait for the outcome of a test
    };

    // Returns until when the part is quarantined, or nothing if the evidence does not suffice. The
    // time may have passed.
    std::optional<time_point> quarantine_end(const suspect& known, time_point now) const;
    // Whether a quarantined part that is not among `parts` was in flight at every crash that this
    // part is suspected of.
    bool is_explained(const suspect& known, std::span<const std::uint64_t> parts,
                      time_point now) const;
    time_point retest_time(const suspect& known, time_point end, std::size_t rank) const;
    std::size_t count_crashes(const suspect& known) const;
    std::optional<time_point> last_begun(std::uint64_t part) const;
    void remember_sound(std::uint64_t part, time_point now);
    suspect& find_or_add(std::uint64_t part, time_point now);
    void add_crash(suspect& known, crash added) const;
    static void set_begun(suspect& known, time_point begun);

    part_quarantine_options options_;
    std::unordered_map<std::uint64_t, suspect> suspects_; // by the hash of the part's id
    // When a response last began, by part. The older map holds what was recorded before the newer
    // one was begun, and is dropped when that is full.
    std::unordered_map<std::uint64_t, time_point> sound_;
    std::unordered_map<std::uint64_t, time_point> older_sound_;
};

} // namespace quetzal::gateway

#endif
