#ifndef QUETZAL_RIGHTS_VOTER_HPP
#define QUETZAL_RIGHTS_VOTER_HPP

// The votes of one instance. A voter grants each partition to one process at a time and keeps its
// votes in memory only; after a start it is silent until every grant of its predecessor has ended.
// Former committees may be in use elsewhere for `list_spread` + a lease; until then its grants say
// that it has started recently.
// Memory: one vote for each partition and at most `max_history` former committee tables.

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include <quetzal/rights/committee.hpp>
#include <quetzal/rights/ranking.hpp>

namespace quetzal::rights {

inline constexpr std::size_t max_history = 16; // 20 KB a table

class voter
{
public:
    // `start` is the start of the process: no vote of a predecessor is younger.
    voter(instance_id self, const options& settings, time_point start);

    // Uses a new committee table. Partitions whose committee differs beyond the bound from one used
    // within `list_spread` fall silent for a lease + margin + `list_spread`.
    void set_committees(std::shared_ptr<const committee_table> committees, time_point now);

    // Takes a message of this process as proof that earlier processes of the instance are dead.
    void note_process(const instance_id& instance, incarnation process, time_point now);

    // Answers a renewal. The caller has dropped messages of processes that are known to be dead.
    peer::renew_grant on_request(const instance_id& from, incarnation process,
                                 const peer::renew_request& request, const ranking& ranks,
                                 peer::versions known, time_point now);

    // Frees the sender's votes that no later renewal has confirmed.
    void on_release(const instance_id& from, incarnation process,
                    const peer::release_partitions& release, time_point now);

    // Grants nothing before `until`.
    void stay_silent(time_point until);

    // Returns the number of votes whose lease runs.
    std::size_t granted(time_point now) const noexcept;

private:
    struct vote
    {
        instance_id holder;
        incarnation process;
        std::uint32_t sequence = 0; // of the last renewal or release
        bool released = false;
        time_point until{};        // of the running lease
        time_point former_until{}; // of a lease that ended early
        instance_id reserved;      // successor named by the release
        time_point reserved_until{};
        time_point silent_until{};
        std::uint64_t fence = 0;        // greatest seen
        std::uint64_t former_fence = 0; // greatest seen before the vote for this process
    };
    struct former_table
    {
        std::shared_ptr<const committee_table> table;
        time_point until; // may still be in use elsewhere
    };
    using cause = peer::refused_partition::cause;

    std::optional<cause> refusal(const vote& current, partition_index partition,
                                 const instance_id& from, incarnation process,
                                 std::uint32_t sequence, const ranking& ranks,
                                 time_point now) const;
    bool lists_agree(partition_index partition, std::span<const std::uint32_t> committee,
                     time_point now) const;
    void end_early(vote& current, time_point now);

    instance_id self_;
    options settings_;
    time_point recent_until_; // former committees unknown to this voter may be in use until then
    std::shared_ptr<const committee_table> committees_;
    std::deque<former_table> history_;
    std::array<vote, peer::partition_count> votes_;
};

} // namespace quetzal::rights

#endif
