#ifndef QUETZAL_RIGHTS_RANKING_HPP
#define QUETZAL_RIGHTS_RANKING_HPP

// Determines which live instance should hold a partition, in this instance's view. The rankings of
// two instances may differ: they decide which instance tries to acquire a partition, while the
// votes decide which one holds it.

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include <quetzal/rights/committee.hpp>

namespace quetzal::rights {

// The state of an instance as reported by membership.
struct peer_status
{
    instance_id id;
    incarnation process; // 0: none known
    bool live = true;    // not suspected
    bool leaving = false;
};

// Ranks the members of the list that are live and not leaving by rendezvous hashing, for each
// partition.
class ranking
{
public:
    ranking() = default;
    ranking(std::shared_ptr<const committee_table> committees,
            const std::vector<peer_status>& peers);

    // Returns the highest-ranked instance of a partition; empty when no member is live.
    const instance_id& candidate(partition_index partition) const noexcept;

    // Returns the instance with the given rank, counted from 0 without `excluded`. Ranks beyond the
    // last wrap around. Empty when no other member is live.
    const instance_id& candidate_at(partition_index partition, std::size_t rank,
                                    const instance_id& excluded) const;

private:
    std::shared_ptr<const committee_table> committees_;
    std::vector<std::uint16_t> live_;
    std::vector<std::uint16_t> candidates_;
};

} // namespace quetzal::rights

#endif
