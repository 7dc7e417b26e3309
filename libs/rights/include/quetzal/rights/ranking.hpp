#ifndef QUETZAL_RIGHTS_RANKING_HPP
#define QUETZAL_RIGHTS_RANKING_HPP

// Which live instance should hold a partition, in this instance's view. Rankings of two instances
// may differ; they decide who tries and never who may.

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include <quetzal/rights/committee.hpp>

namespace quetzal::rights {

// What membership knows about an instance.
struct peer_status
{
    instance_id id;
    incarnation process; // 0: none seen yet
    bool live = true;    // not suspected
    bool leaving = false;
};

// The live, staying members of the list in rendezvous order for each partition.
class ranking
{
public:
    ranking() = default;
    ranking(std::shared_ptr<const committee_table> committees,
            const std::vector<peer_status>& peers);

    // Returns the candidate of a partition; empty when no member is live.
    const instance_id& first(partition_index partition) const noexcept;

    // Returns the candidate of that rank from 0, leaving out one instance; ranks beyond the last
    // start again with the first. Empty when no other member is live.
    const instance_id& at(partition_index partition, std::size_t rank,
                          const instance_id& without) const;

private:
    std::shared_ptr<const committee_table> committees_;
    std::vector<std::uint16_t> live_;
    std::vector<std::uint16_t> first_;
};

} // namespace quetzal::rights

#endif
