#ifndef QUETZAL_RIGHTS_COMMITTEE_HPP
#define QUETZAL_RIGHTS_COMMITTEE_HPP

// Maps resources to partitions and partitions to the committees of instances that vote on them.
// Every instance computes the same committees from the same instance list and zones.

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/config/instance_list.hpp>
#include <quetzal/config/published.hpp>
#include <quetzal/peer/messages.hpp>
#include <quetzal/rights/options.hpp>

namespace quetzal::rights {

using peer::partition_index;

inline constexpr std::size_t max_committee_size = 9; // more members add messages, but no zone

// An instance of the list that belongs to the region.
struct region_member
{
    instance_id id;
    zone_id zone;
};

// Returns the partition of a customer's bucket.
partition_index partition_of(const customer_id& customer, const options& settings) noexcept;

// Returns the partition of the exclusive right to an endpoint.
partition_index partition_of(const endpoint_id& endpoint, const options& settings) noexcept;

// Returns the customer id under which the limits of an open route are kept. No key authenticates
// this customer.
customer_id open_route_customer(const class_id& work_class);

// Returns the size of a committee among `instances` instances in `zones` zones.
std::size_t committee_size(std::size_t instances, std::size_t zones) noexcept;

// Returns the number of votes that form a quorum of a committee of this size: two thirds, rounded
// up.
constexpr std::size_t quorum_of(std::size_t size) noexcept
{
    return (2 * size + 2) / 3;
}

// Returns whether every quorum of one committee shares a member with every quorum of the other.
// Both committees are sorted tags. For equal sizes k and q = quorum_of(k) this holds up to a
// symmetric difference of 4q - 2k - 1 members.
bool quorums_intersect(std::span<const std::uint32_t> first,
                       std::span<const std::uint32_t> second) noexcept;

// Returns the members of the list whose zones belong to the region, sorted by name.
std::vector<region_member> members_of(const config::instance_list& list,
                                      const config::published& config, const region_id& region);

// The committees of all partitions. Immutable.
class committee_table
{
public:
    committee_table() = default;

    // `members` sorted by name; `zones` is the number of zones declared for the region.
    committee_table(std::vector<region_member> members, std::size_t zones);

    const std::vector<region_member>& members() const noexcept { return members_; }
    std::size_t size() const noexcept { return size_; }
    std::size_t quorum() const noexcept { return quorum_of(size_); }

    // Returns a hash of the members and zones; equal digests mean equal committees.
    std::uint64_t digest() const noexcept { return digest_; }

    // Returns the sorted tags of the committee of a partition.
    std::span<const std::uint32_t> tags(partition_index partition) const noexcept;

    // Returns the indexes in `members()` of the committee of a partition.
    std::span<const std::uint16_t> voters(partition_index partition) const noexcept;

    bool contains(partition_index partition, const instance_id& instance) const noexcept;

    // Returns the indexes in `members()` of the committee whose contact with an instance proves
    // that the instance's view is fresh.
    std::vector<std::uint16_t> committee_of(const instance_id& instance) const;

    // Returns the rendezvous hashing score of a member for a partition. The live member with the
    // greatest score is the candidate for the partition.
    std::uint64_t score(partition_index partition, std::size_t member) const noexcept;

private:
    std::vector<std::uint16_t> choose(std::uint64_t key) const;

    std::vector<region_member> members_;
    std::vector<std::uint64_t> name_hashes_;
    std::vector<std::vector<std::uint16_t>> zones_; // member indexes by zone
    std::vector<std::uint16_t> voters_;             // size_ for each partition
    std::vector<std::uint32_t> tags_;
    std::size_t size_ = 0;
    std::uint64_t digest_ = 0;
};

// Returns the tag that stands for an instance in the committees of peer messages.
std::uint32_t tag_of(const instance_id& instance) noexcept;

} // namespace quetzal::rights

#endif
