#include <quetzal/rights/committee.hpp>

#include <algorithm>
#include <iterator>
#include <map>

#include <quetzal/base/hash.hpp>

namespace quetzal::rights {

namespace {

// Hash salts by kind of name, so that equal names of different kinds hash independently.
constexpr std::uint64_t customer_salt = 1;
constexpr std::uint64_t endpoint_salt = 2;
constexpr std::uint64_t partition_salt = 3;
constexpr std::uint64_t instance_salt = 4;

partition_index hash_to_partition(std::uint64_t salt, const std::string& name,
                                  const options& settings) noexcept
{
    return static_cast<partition_index>(combine_hash(salt, stable_hash(name)) %
                                        settings.partitions);
}

std::uint64_t partition_key(partition_index partition) noexcept
{
    return combine_hash(partition_salt, partition);
}

} // namespace

partition_index partition_of(const customer_id& customer, const options& settings) noexcept
{
    return hash_to_partition(customer_salt, customer.name, settings);
}

partition_index partition_of(const endpoint_id& endpoint, const options& settings) noexcept
{
    return hash_to_partition(endpoint_salt, endpoint.name, settings);
}

customer_id open_route_customer(const class_id& work_class)
{
    // Printable names do not contain the separator, so no customer can have the same name.
    return customer_id("open\x1f" + work_class.name);
}

std::size_t committee_size(std::size_t instances, std::size_t zones) noexcept
{
    const std::size_t size = std::min(max_committee_size, instances);
    if (instances <= 5 || zones == 0 || zones > size) {
        return size;
    }
    return size / zones * zones;
}

bool quorums_intersect(std::span<const std::uint32_t> first,
                       std::span<const std::uint32_t> second) noexcept
{
    std::size_t common = 0;
    for (std::size_t left = 0, right = 0; left < first.size() && right < second.size();) {
        if (first[left] == second[right]) {
            ++common;
            ++left;
            ++right;
        } else if (first[left] < second[right]) {
            ++left;
        } else {
            ++right;
        }
    }
    const std::size_t together = first.size() + second.size() - common;
    return quorum_of(first.size()) + quorum_of(second.size()) > together;
}

std::uint32_t tag_of(const instance_id& instance) noexcept
{
    return static_cast<std::uint32_t>(stable_hash(instance.name));
}

std::vector<region_member> members_of(const config::instance_list& list,
                                      const config::published& config, const region_id& region)
{
    std::vector<region_member> members;
    for (const auto& instance : list.instances) {
        const auto* zone = config.find(instance.zone);
        if (zone != nullptr && zone->region == region) {
            members.push_back({instance.id, instance.zone});
        }
    }
    std::sort(members.begin(), members.end(),
              [](const auto& left, const auto& right) { return left.id < right.id; });
    return members;
}

committee_table::committee_table(std::vector<region_member> members, std::size_t zones)
    : members_(std::move(members)), size_(committee_size(members_.size(), zones)),
      digest_(combine_hash(zones, members_.size()))
{
    std::map<zone_id, std::vector<std::uint16_t>> by_zone;
    for (std::size_t index = 0; index < members_.size(); ++index) {
        const auto& member = members_[index];
        name_hashes_.push_back(stable_hash(member.id.name));
        digest_ =
            combine_hash(digest_, combine_hash(name_hashes_.back(), stable_hash(member.zone.name)));
        by_zone[member.zone].push_back(static_cast<std::uint16_t>(index));
    }
    for (auto& [zone, indexes] : by_zone) {
        zones_.push_back(std::move(indexes));
    }
    for (partition_index partition = 0; partition < peer::partition_count; ++partition) {
        const auto chosen = choose(partition_key(partition));
        voters_.insert(voters_.end(), chosen.begin(), chosen.end());
        const auto start = static_cast<std::ptrdiff_t>(tags_.size());
        for (const auto index : chosen) {
            tags_.push_back(tag_of(members_[index].id));
        }
        std::sort(tags_.begin() + start, tags_.end());
    }
}

std::vector<std::uint16_t> committee_table::choose(std::uint64_t key) const
{
    using scored = std::pair<std::uint64_t, std::uint16_t>;
    std::vector<std::vector<scored>> zones;
    for (const auto& indexes : zones_) {
        auto& ranked = zones.emplace_back();
        for (const auto index : indexes) {
            ranked.emplace_back(combine_hash(key, name_hashes_[index]), index);
        }
        const auto top = std::min(ranked.size(), size_);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(top),
                          ranked.end(), std::greater<>());
    }
    std::vector<std::uint16_t> chosen;
    for (std::size_t round = 0; chosen.size() < size_; ++round) {
        std::vector<scored> next;
        for (const auto& ranked : zones) {
            if (round < ranked.size()) {
                next.push_back(ranked[round]);
            }
        }
        std::sort(next.begin(), next.end(), std::greater<>());
        for (const auto& [score, index] : next) {
            if (chosen.size() < size_) {
                chosen.push_back(index);
            }
        }
    }
    return chosen;
}

std::span<const std::uint32_t> committee_table::tags(partition_index partition) const noexcept
{
    return std::span(tags_).subspan(partition * size_, size_);
}

std::span<const std::uint16_t> committee_table::voters(partition_index partition) const noexcept
{
    return std::span(voters_).subspan(partition * size_, size_);
}

bool committee_table::contains(partition_index partition,
                               const instance_id& instance) const noexcept
{
    const auto committee = voters(partition);
    return std::any_of(committee.begin(), committee.end(),
                       [&](std::uint16_t index) { return members_[index].id == instance; });
}

std::vector<std::uint16_t> committee_table::committee_of(const instance_id& instance) const
{
    return choose(combine_hash(instance_salt, stable_hash(instance.name)));
}

std::uint64_t committee_table::score(partition_index partition, std::size_t member) const noexcept
{
    return combine_hash(partition_key(partition), name_hashes_[member]);
}

} // namespace quetzal::rights
