#ifndef QUETZAL_RIGHTS_VOTER_HPP
#define QUETZAL_RIGHTS_VOTER_HPP

// The votes of one instance. A voter grants each partition to one process at a time and keeps its
// votes in memory only; after a start it is silent until every grant of its predecessor has
// expired. Previous committees may be in use elsewhere for `max_list_lag` + a lease; until then its
// grants state that it started recently. Memory: one vote per partition and at most `max_history`
// previous committee tables.

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include <quetzal/rights/committee.hpp>
#include <quetzal/rights/ranking.hpp>

namespace quetzal::rights {

inline constexpr std::size_t max_history = 16; // tables of 20 KB each

class voter
{
public:
    // `start` is the start time of the process; all votes of a predecessor are older.
    voter(instance_id self, const options& settings, time_point start);

    // Sets the committee table. Nothing is granted for a lease + margin + `max_list_lag` for those
    // partitions whose committee differs beyond the bound of `quorums_intersect` from one used
    // within `max_list_lag`.
    void set_committees(std::shared_ptr<const committee_table> committees, time_point now);

    // Records that a process of the instance exists, which proves that its earlier processes have
    // ended.
    void observe_process(const instance_id& instance, incarnation process, time_point now);

    // Returns the response to a renewal. The caller has dropped messages of superseded processes.
    peer::renew_grant on_request(const instance_id& from, incarnation process,
                                 const peer::renew_request& request, const ranking& ranks,
                                 peer::versions known, time_point now);

    // Releases the sender's votes that no later renewal has confirmed.
    void on_release(const instance_id& from, incarnation process,
                    const peer::release_partitions& release, time_point now);

    // Ensures that nothing is granted before `until`.
    void stay_silent(time_point until);

    // Returns the number of votes with an unexpired lease.
    std::size_t granted(time_point now) const noexcept;

private:
    struct vote
    {
        instance_id holder;
        incarnation process;
        std::uint32_t sequence = 0; // of the last renewal or release
        bool released = false;
        time_point until{};          // end of the current lease
        time_point previous_until{}; // original end of a lease that ended early
        instance_id reserved;        // successor named by the release
        time_point reserved_until{};
        time_point silent_until{};
        std::uint64_t fence = 0;          // greatest fencing token seen
        std::uint64_t previous_fence = 0; // the same before the vote for this process
    };
    struct previous_table
    {
        std::shared_ptr<const committee_table> table;
        time_point until; // the table may be in use elsewhere until then
    };
    using cause = peer::refused_partition::cause;

    std::optional<cause> refusal_cause(const vote& current, partition_index partition,
                                       const instance_id& from, incarnation process,
                                       std::uint32_t sequence, const ranking& ranks,
                                       time_point now) const;
    bool intersects_recent_committees(partition_index partition,
                                      std::span<const std::uint32_t> committee,
                                      time_point now) const;
    void end_lease_early(vote& current, time_point now);

    instance_id self_;
    options settings_;
    time_point recent_start_until_; // until then, committees unknown to this voter may be in use
    std::shared_ptr<const committee_table> committees_;
    std::deque<previous_table> history_;
    std::array<vote, peer::partition_count> votes_;
};

} // namespace quetzal::rights

#endif
