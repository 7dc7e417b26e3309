#include <quetzal/rights/ranking.hpp>

#include <algorithm>

namespace quetzal::rights {

namespace {

const instance_id no_instance;

} // namespace

ranking::ranking(std::shared_ptr<const committee_table> committees,
                 const std::vector<peer_status>& peers)
    : committees_(std::move(committees))
{
    std::unordered_map<instance_id, const peer_status*> known;
    for (const auto& peer : peers) {
        known.emplace(peer.id, &peer);
    }
    const auto& members = committees_->members();
    for (std::size_t index = 0; index < members.size(); ++index) {
        const auto found = known.find(members[index].id);
        if (found != known.end() && found->second->live && !found->second->leaving) {
            live_.push_back(static_cast<std::uint16_t>(index));
        }
    }
    if (live_.empty()) {
        return;
    }
    for (partition_index partition = 0; partition < peer::partition_count; ++partition) {
        candidates_.push_back(*std::max_element(
            live_.begin(), live_.end(), [&](std::uint16_t left, std::uint16_t right) {
                return committees_->score(partition, left) < committees_->score(partition, right);
            }));
    }
}

const instance_id& ranking::candidate(partition_index partition) const noexcept
{
    return candidates_.empty() ? no_instance : committees_->members()[candidates_[partition]].id;
}

const instance_id& ranking::candidate_at(partition_index partition, std::size_t rank,
                                         const instance_id& excluded) const
{
    std::vector<std::pair<std::uint64_t, std::uint16_t>> scored;
    for (const auto index : live_) {
        if (committees_->members()[index].id != excluded) {
            scored.emplace_back(committees_->score(partition, index), index);
        }
    }
    if (scored.empty()) {
        return no_instance;
    }
    rank %= scored.size();
    std::nth_element(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(rank),
                     scored.end(), std::greater<>());
    return committees_->members()[scored[rank].second].id;
}

} // namespace quetzal::rights
