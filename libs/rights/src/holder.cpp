#include <quetzal/rights/holder.hpp>

#include <algorithm>
#include <map>

namespace quetzal::rights {

namespace {

// Room for partitions in one renewal or its answer, in bytes; the rest of a datagram is for the
// header, the names and the fixed fields.
constexpr std::size_t partition_room = 1100;
constexpr std::size_t refusal_size = 3;   // encoded refused_partition
constexpr std::size_t acquired_size = 18; // encoded acquired_partition
constexpr std::size_t tag_size = 5;       // encoded tag of a committee member

} // namespace

holder::holder(instance_id self, const options& settings)
    : self_(std::move(self)), settings_(settings)
{
}

void holder::set_committees(std::shared_ptr<const committee_table> committees)
{
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        ballot& current = partitions_[partition].current;
        const auto next = committees->tags(partition);
        const bool same = committees_ && std::ranges::equal(committees_->tags(partition), next);
        if (!same) {
            partitions_[partition].former = std::move(current);
            current = {};
        }
        current.members = committees->digest();
        current.committee_size = committees->size();
        current.quorum = settings_.safe.quorum ? committees->quorum()
                                               : std::max<std::size_t>(1, committees->size() / 3);
    }
    committees_ = std::move(committees);
    own_committee_.clear();
    for (const auto index : committees_->committee_of(self_)) {
        own_committee_.push_back(committees_->members()[index].id);
    }
    std::erase_if(members_of_peer_, [this](const auto& peer) {
        return std::ranges::none_of(committees_->members(),
                                    [&](const auto& member) { return member.id == peer.first; });
    });
}

void holder::set_config(std::uint64_t version)
{
    config_ = version;
    promote(contacts_);
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        promote(partitions_[partition].current.grants);
        promote(partitions_[partition].former.grants);
        valid_until_[partition] = until(partitions_[partition]);
    }
}

void holder::want(partition_index partition, bool wanted)
{
    partition_state& state = partitions_[partition];
    if (!state.held) {
        acquiring_ += static_cast<std::size_t>(wanted) - static_cast<std::size_t>(state.wanted);
    }
    state.wanted = wanted;
}

time_point holder::quorum_until(const ballot& votes, std::uint64_t fence) const
{
    if (votes.quorum == 0 || votes.grants.size() < votes.quorum) {
        return {};
    }
    std::array<time_point, max_committee> ends{};
    std::size_t count = 0;
    std::size_t granted = 0;
    time_point all_until = time_point::max();
    for (const auto& grant : votes.grants) {
        if (grant.fence < fence || count >= ends.size()) {
            continue;
        }
        ++granted;
        all_until = std::min(all_until, grant.valid_until);
        if (!grant.recent_start) {
            ends[count++] = grant.valid_until;
        }
    }
    const bool whole_committee = granted > 0 && granted >= votes.committee_size;
    const time_point by_whole_committee = whole_committee ? all_until : time_point{};
    if (count < votes.quorum) {
        return by_whole_committee;
    }
    std::sort(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(count), std::greater<>());
    return std::max(ends[votes.quorum - 1], by_whole_committee);
}

time_point holder::until(const partition_state& state) const
{
    if (!state.held) {
        return {};
    }
    return std::max(quorum_until(state.current, state.fence),
                    quorum_until(state.former, state.fence));
}

std::vector<peer::outgoing_message> holder::request(bool all, std::uint64_t list, time_point now)
{
    std::vector<peer::outgoing_message> messages;
    if (!committees_) {
        return messages;
    }
    while (!sent_.empty() && sent_.front().at + settings_.lease < now) {
        sent_.pop_front();
    }
    std::map<instance_id, std::vector<partition_index>> asked;
    bool holding = false;
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        const auto& state = partitions_[partition];
        holding = holding || (state.held && state.wanted);
        if (!state.wanted || (state.held && !all)) {
            continue;
        }
        for (const auto index : committees_->voters(partition)) {
            asked[committees_->members()[index].id].push_back(partition);
        }
    }
    if (all && !holding) {
        for (const auto& peer : own_committee_) {
            asked[peer]; // an empty request
        }
    }
    for (const auto& [peer, partitions] : asked) {
        append_requests(messages, peer, partitions, list, now);
    }
    return messages;
}

void holder::append_requests(std::vector<peer::outgoing_message>& messages, const instance_id& to,
                             const std::vector<partition_index>& partitions, std::uint64_t list,
                             time_point now)
{
    const auto found = members_of_peer_.find(to);
    const bool same = found == members_of_peer_.end() || found->second == committees_->digest();
    const std::size_t entry_size = 2 + (same ? 0 : tag_size * committees_->size());
    std::size_t next = 0;
    do {
        peer::renew_request body;
        body.sequence = ++sequence_;
        body.known = {config_, list};
        body.fence = greatest_fence_;
        body.members = committees_->digest();
        sent_request record{to, body.sequence, now, body.members, body.fence, {}};
        std::size_t room = partition_room;
        for (; next < partitions.size(); ++next) {
            const bool held = partitions_[partitions[next]].held;
            const std::size_t size = std::max(entry_size, held ? refusal_size : acquired_size);
            if (size > room) {
                break;
            }
            room -= size;
            (held ? body.partitions : body.acquiring).push_back(partitions[next]);
            record.partitions.push_back(partitions[next]);
        }
        if (!same) {
            for (const auto* list_of : {&body.partitions, &body.acquiring}) {
                for (const auto partition : *list_of) {
                    const auto tags = committees_->tags(partition);
                    body.committees.insert(body.committees.end(), tags.begin(), tags.end());
                }
            }
        }
        sent_.push_back(std::move(record));
        messages.push_back({to, std::move(body)});
    } while (next < partitions.size());
}

holder::grant_record& holder::record_of(std::vector<grant_record>& grants, const instance_id& voter)
{
    const auto found = std::ranges::find(grants, voter, &grant_record::voter);
    if (found != grants.end()) {
        return *found;
    }
    grants.emplace_back().voter = voter;
    return grants.back();
}

void holder::extend(grant_record& record, std::uint64_t config, time_point until) const
{
    if (config <= config_) {
        record.valid_until = std::max(record.valid_until, until);
    } else if (until > record.pending_until) {
        record.pending_until = until;
        record.pending_config = config;
    }
}

void holder::promote(std::vector<grant_record>& grants) const
{
    for (auto& record : grants) {
        if (record.pending_config <= config_) {
            record.valid_until = std::max(record.valid_until, record.pending_until);
        }
    }
}

void holder::record(partition_state& state, partition_index partition, const sent_request& sent,
                    const peer::renew_grant& grant, time_point valid_until, time_point now)
{
    ballot* votes = state.current.members == sent.members  ? &state.current
                    : state.former.members == sent.members ? &state.former
                                                           : nullptr;
    if (votes == nullptr) {
        return;
    }
    grant_record& entry = record_of(votes->grants, sent.to);
    extend(entry, grant.known.config, valid_until);
    entry.fence = std::max(entry.fence, sent.fence);
    entry.recent_start = grant.recent_start;
    const auto acquired =
        std::ranges::find(grant.acquired, partition, &peer::acquired_partition::partition);
    if (acquired != grant.acquired.end()) {
        entry.former_fence = std::max(entry.former_fence, acquired->fence);
        if (acquired->former_lease.count() > 0) {
            entry.former_until =
                std::max(entry.former_until, now + lengthened(acquired->former_lease));
        }
    }
}

std::vector<acquisition> holder::on_grant(const instance_id& from, const peer::renew_grant& grant,
                                          std::uint64_t wall, time_point now)
{
    std::vector<acquisition> completed;
    const auto sent = std::ranges::lower_bound(sent_, grant.sequence, {}, &sent_request::sequence);
    if (sent == sent_.end() || sent->sequence != grant.sequence || sent->to != from) {
        return completed;
    }
    members_of_peer_[from] = grant.members;
    const time_point counted_from = settings_.safe.count_from_sending ? sent->at : now;
    const time_point valid_until =
        counted_from + shortened(std::min<duration>(grant.lease, settings_.lease), settings_);
    if (valid_until <= now) {
        return completed;
    }
    if (std::ranges::find(own_committee_, from) != own_committee_.end()) {
        extend(record_of(contacts_, from), grant.known.config, valid_until);
    }
    for (const auto partition : sent->partitions) {
        partition_state& state = partitions_[partition];
        const bool refused =
            std::ranges::find(grant.refused, partition, &peer::refused_partition::partition) !=
            grant.refused.end();
        if (refused || !state.wanted || sent->sequence < state.asked_from) {
            continue;
        }
        record(state, partition, *sent, grant, valid_until, now);
        if (state.held) {
            valid_until_[partition] = until(state);
        } else {
            try_complete(partition, wall, now, completed);
        }
    }
    return completed;
}

void holder::try_complete(partition_index partition, std::uint64_t wall, time_point now,
                          std::vector<acquisition>& completed)
{
    partition_state& state = partitions_[partition];
    for (const ballot* votes : {&state.current, &state.former}) {
        if (quorum_until(*votes, 0) <= now) {
            continue;
        }
        acquisition acquired{partition, 0, 0, {}};
        for (const auto& grant : votes->grants) {
            acquired.former_fence = std::max(acquired.former_fence, grant.former_fence);
            acquired.former_until = std::max(acquired.former_until, grant.former_until);
        }
        // A number chosen before a pause may be below those that others have used since and that no
        // voter of this quorum remembers; only a number near the clock is sure to be above them.
        const auto lease = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.lease);
        const bool stale = state.fence + static_cast<std::uint64_t>(lease.count()) < wall;
        if (state.fence <= acquired.former_fence || stale) {
            state.fence = std::max({wall, acquired.former_fence + 1, greatest_fence_ + 1});
            greatest_fence_ = state.fence;
            fence_pending_ = true; // voters must know it before it is used
        }
        if (quorum_until(*votes, state.fence) > now) {
            state.held = true;
            ++held_;
            --acquiring_; // answers count only while the partition is wanted
            valid_until_[partition] = until(state);
            acquired.fence = state.fence;
            completed.push_back(acquired);
            return;
        }
    }
}

bool holder::take_fence_pending()
{
    return std::exchange(fence_pending_, false);
}

std::vector<partition_index> holder::drop_expired(time_point now)
{
    std::vector<partition_index> dropped;
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        if (partitions_[partition].held && valid_until_[partition] <= now) {
            drop(partition);
            dropped.push_back(partition);
        }
    }
    return dropped;
}

void holder::drop(partition_index partition)
{
    partition_state& state = partitions_[partition];
    if (state.held) {
        --held_;
        acquiring_ += state.wanted ? 1 : 0;
    }
    state.held = false;
    state.fence = 0;
    state.asked_from = sequence_ + 1;
    state.current.grants.clear();
    state.former = {};
    valid_until_[partition] = {};
}

std::vector<peer::outgoing_message> holder::release(const std::vector<partition_index>& partitions,
                                                    const instance_id& successor)
{
    std::map<instance_id, peer::release_partitions> bodies;
    ++sequence_;
    for (const auto partition : partitions) {
        partitions_[partition].asked_from = sequence_ + 1;
        for (const auto index : committees_->voters(partition)) {
            auto& body = bodies[committees_->members()[index].id];
            body.sequence = sequence_;
            body.successor = successor;
            body.partitions.push_back(partition);
        }
    }
    std::vector<peer::outgoing_message> messages;
    messages.reserve(bodies.size());
    for (auto& [peer, body] : bodies) {
        messages.push_back({peer, std::move(body)});
    }
    return messages;
}

bool holder::holds(partition_index partition, time_point now) const noexcept
{
    return valid_until_[partition] > now;
}

time_point holder::valid_until(partition_index partition) const noexcept
{
    return valid_until_[partition];
}

std::uint64_t holder::fence(partition_index partition) const noexcept
{
    return partitions_[partition].held ? partitions_[partition].fence : 0;
}

time_point holder::fresh_until() const
{
    ballot contacts;
    contacts.quorum = committees_ ? committees_->quorum() : 0;
    contacts.committee_size = own_committee_.size();
    for (const auto& contact : contacts_) {
        if (std::ranges::find(own_committee_, contact.voter) != own_committee_.end()) {
            contacts.grants.push_back(contact);
        }
    }
    return std::max(quorum_until(contacts, 0), *std::ranges::max_element(valid_until_));
}

} // namespace quetzal::rights
