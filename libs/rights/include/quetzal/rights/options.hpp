#ifndef QUETZAL_RIGHTS_OPTIONS_HPP
#define QUETZAL_RIGHTS_OPTIONS_HPP

// Constants of the rights protocol. All instances of a fleet use the defaults; only tests change
// them.

#include <quetzal/base/time.hpp>
#include <quetzal/peer/messages.hpp>

namespace quetzal::rights {

// The safety mechanisms. A test switches one off to show that the harness then finds a violation.
struct safeguards
{
    bool quorum = true;        // two thirds of the committee, not a third
    bool voter_silence = true; // a started voter waits for its predecessor's grants to end
    bool recent_starts = true; // grants of voters that started recently count only if all grant
    bool count_from_sending = true; // a holder counts a lease from sending, not from receiving
    bool drift_margin = true;       // a holder uses a tenth less than the lease
    bool list_check = true;         // voters compare committees and are silent after large changes
    bool release_order = true;      // voters ignore a release that a later renewal overtook
    bool fence_memory = true;       // voters remember fencing numbers
    bool credit_expiry = true;      // a delegate drops credits when they expire
    bool credit_sequence = true;    // a repeated credit request gets the repeated answer
    bool outstanding_cap = true;    // credits that are out count against the burst
    bool empty_start = true;        // a successor without a ledger starts with an empty bucket
    bool former_lease = true;       // a successor counts credits of a lease that ended early
};

struct options
{
    duration lease = std::chrono::milliseconds(2500);
    duration renew_interval = std::chrono::milliseconds(800); // two losses in a row are survived
    duration acquire_interval = std::chrono::milliseconds(250);
    duration handover_interval = std::chrono::milliseconds(25); // between repetitions
    duration settle = std::chrono::seconds(1); // a better-ranked instance is live this long first
    // Two instances that reach each other use lists no further apart in age than this; a change of
    // committees beyond the bound silences a voter for this time more.
    duration list_spread = std::chrono::seconds(5);
    peer::partition_index partitions = peer::partition_count; // fewer only in tests
    safeguards safe;
};

// Clocks of two instances may differ in speed by up to a tenth. The holder's side of a duration.
constexpr duration shortened(duration value, const options& settings) noexcept
{
    return settings.safe.drift_margin ? value * 9 / 10 : value;
}

// The voter's side: longer than `value` by any other clock within the margin.
constexpr duration lengthened(duration value) noexcept
{
    return value * 11 / 10 + std::chrono::milliseconds(1);
}

} // namespace quetzal::rights

#endif
