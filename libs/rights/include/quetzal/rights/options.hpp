#ifndef QUETZAL_RIGHTS_OPTIONS_HPP
#define QUETZAL_RIGHTS_OPTIONS_HPP

// Parameters of the rights protocol. All instances of a fleet use the defaults; only tests change
// them.

#include <quetzal/base/time.hpp>
#include <quetzal/peer/messages.hpp>

namespace quetzal::rights {

// Switches of the safety mechanisms. Tests disable one to show that the harness then detects a
// violation.
struct safeguards
{
    bool quorum = true;        // a quorum is two thirds of the committee, not a third
    bool voter_silence = true; // a started voter waits until its predecessor's grants have expired
    bool recent_starts = true; // grants of recently started voters count only if all voters grant
    bool count_from_sending = true; // a lease counts from sending a request, not from its grant
    bool drift_margin = true;       // a holder uses a tenth less than the lease, for clock drift
    bool list_check = true;         // voters compare committees and are silent after a large change
    bool release_order = true;      // voters ignore a release that arrives after a later renewal
    bool fence_memory = true;       // voters remember fencing tokens
    bool credit_expiry = true;      // a delegate drops expired credits
    bool credit_sequence = true;    // a duplicate credit request gets the same response
    bool outstanding_cap = true;    // outstanding credits count against the burst
    bool empty_start = true;        // a successor without a ledger starts with an empty bucket
    bool former_lease = true;       // a successor counts the credits of a lease that ended early
};

struct options
{
    duration lease = std::chrono::milliseconds(2500);
    duration renew_interval = std::chrono::milliseconds(800); // tolerates two consecutive losses
    duration acquire_interval = std::chrono::milliseconds(250);
    duration handover_interval = std::chrono::milliseconds(25); // between retries
    // How long a higher-ranked instance must have been live before a handover to it.
    duration outranked_delay = std::chrono::seconds(1);
    // Maximum difference in age between the instance lists of two instances that can reach each
    // other. After a change of committees beyond the bound, a voter is silent for this much longer.
    duration max_list_lag = std::chrono::seconds(5);
    peer::partition_index partitions = peer::partition_count; // fewer only in tests
    safeguards safe;
};

// Returns the part of a duration that a holder may use. The clocks of two instances may differ in
// speed by up to a tenth.
constexpr duration shorten_for_drift(duration value, const options& settings) noexcept
{
    return settings.safe.drift_margin ? value * 9 / 10 : value;
}

// Returns the time that a voter waits for a duration to pass on any clock within the drift margin.
constexpr duration lengthen_for_drift(duration value) noexcept
{
    return value * 11 / 10 + std::chrono::milliseconds(1);
}

} // namespace quetzal::rights

#endif
