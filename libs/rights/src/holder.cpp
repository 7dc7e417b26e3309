#include <quetzal/rights/holder.hpp>

#include <algorithm>
#include <map>

namespace quetzal::rights {

namespace {

// Maximum size of the partitions in one renewal or its response, in bytes. The rest of a datagram
// holds the header, the names and the fixed fields.
constexpr std::size_t partition_capacity = 1100;
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
        grant_set& current = partitions_[partition].current;
        const auto next = committees->tags(partition);
        const bool same = committees_ && std::ranges::equal(committees_->tags(partition), next);
        if (!same) {
            partitions_[partition].previous = std::move(current);
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
    std::erase_if(peer_member_digests_, [this](const auto& peer) {
        return std::ranges::none_of(committees_->members(),
                                    [&](const auto& member) { return member.id == peer.first; });
    });
}

void holder::set_config(std::uint64_t version)
{
    config_ = version;
    apply_pending_grants(contacts_);
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        apply_pending_grants(partitions_[partition].current.grants);
        apply_pending_grants(partitions_[partition].previous.grants);
        valid_until_[partition] = lease_end(partitions_[partition]);
    }
}

void holder::set_wanted(partition_index partition, bool wanted)
{
    partition_state& state = partitions_[partition];
    if (!state.held) {
        acquiring_ += static_cast<std::size_t>(wanted) - static_cast<std::size_t>(state.wanted);
    }
    state.wanted = wanted;
}

time_point holder::quorum_valid_until(const grant_set& votes, std::uint64_t fence) const
{
    if (votes.quorum == 0 || votes.grants.size() < votes.quorum) {
        return {};
    }
    std::array<time_point, max_committee_size> ends{};
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

time_point holder::lease_end(const partition_state& state) const
{
    if (!state.held) {
        return {};
    }
    return std::max(quorum_valid_until(state.current, state.fence),
                    quorum_valid_until(state.previous, state.fence));
}

std::vector<peer::outgoing_message> holder::make_requests(bool include_held, std::uint64_t list,
                                                          time_point now)
{
    std::vector<peer::outgoing_message> messages;
    if (!committees_) {
        return messages;
    }
    while (!sent_.empty() && sent_.front().at + settings_.lease < now) {
        sent_.pop_front();
    }
    std::map<instance_id, std::vector<partition_index>> partitions_by_voter;
    bool holding = false;
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        const auto& state = partitions_[partition];
        holding = holding || (state.held && state.wanted);
        if (!state.wanted || (state.held && !include_held)) {
            continue;
        }
        for (const auto index : committees_->voters(partition)) {
            partitions_by_voter[committees_->members()[index].id].push_back(partition);
        }
    }
    if (include_held && !holding) {
        for (const auto& peer : own_committee_) {
            partitions_by_voter[peer]; // a request without partitions, to prove contact
        }
    }
    for (const auto& [peer, partitions] : partitions_by_voter) {
        append_requests(messages, peer, partitions, list, now);
    }
    return messages;
}

void holder::append_requests(std::vector<peer::outgoing_message>& messages, const instance_id& to,
                             const std::vector<partition_index>& partitions, std::uint64_t list,
                             time_point now)
{
    const auto found = peer_member_digests_.find(to);
    const bool same = found == peer_member_digests_.end() || found->second == committees_->digest();
    const std::size_t entry_size = 2 + (same ? 0 : tag_size * committees_->size());
    std::size_t next = 0;
    do {
        peer::renew_request body;
        body.sequence = ++sequence_;
        body.known = {config_, list};
        body.fence = greatest_fence_;
        body.members = committees_->digest();
        sent_request record{to, body.sequence, now, body.members, body.fence, {}};
        std::size_t remaining = partition_capacity;
        for (; next < partitions.size(); ++next) {
            const bool held = partitions_[partitions[next]].held;
            const std::size_t size = std::max(entry_size, held ? refusal_size : acquired_size);
            if (size > remaining) {
                break;
            }
            remaining -= size;
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

holder::grant_record& holder::find_or_add_record(std::vector<grant_record>& grants,
                                                 const instance_id& voter)
{
    const auto found = std::ranges::find(grants, voter, &grant_record::voter);
    if (found != grants.end()) {
        return *found;
    }
    grants.emplace_back().voter = voter;
    return grants.back();
}

void holder::extend_grant(grant_record& record, std::uint64_t config, time_point until) const
{
    if (config <= config_) {
        record.valid_until = std::max(record.valid_until, until);
    } else if (until > record.pending_until) {
        record.pending_until = until;
        record.pending_config = config;
    }
}

void holder::apply_pending_grants(std::vector<grant_record>& grants) const
{
    for (auto& record : grants) {
        if (record.pending_config <= config_) {
            record.valid_until = std::max(record.valid_until, record.pending_until);
        }
    }
}

void holder::record_grant(partition_state& state, partition_index partition,
                          const sent_request& sent, const peer::renew_grant& grant,
                          time_point valid_until, time_point now)
{
    grant_set* votes = state.current.members == sent.members    ? &state.current
                       : state.previous.members == sent.members ? &state.previous
                                                                : nullptr;
    if (votes == nullptr) {
        return;
    }
    grant_record& entry = find_or_add_record(votes->grants, sent.to);
    extend_grant(entry, grant.known.config, valid_until);
    entry.fence = std::max(entry.fence, sent.fence);
    entry.recent_start = grant.recent_start;
    const auto acquired =
        std::ranges::find(grant.acquired, partition, &peer::acquired_partition::partition);
    if (acquired != grant.acquired.end()) {
        entry.previous_fence = std::max(entry.previous_fence, acquired->fence);
        if (acquired->former_lease.count() > 0) {
            entry.previous_until =
                std::max(entry.previous_until, now + lengthen_for_drift(acquired->former_lease));
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
    peer_member_digests_[from] = grant.members;
    const time_point counted_from = settings_.safe.count_from_sending ? sent->at : now;
    const time_point valid_until =
        counted_from +
        shorten_for_drift(std::min<duration>(grant.lease, settings_.lease), settings_);
    if (valid_until <= now) {
        return completed;
    }
    if (std::ranges::find(own_committee_, from) != own_committee_.end()) {
        extend_grant(find_or_add_record(contacts_, from), grant.known.config, valid_until);
    }
    for (const auto partition : sent->partitions) {
        partition_state& state = partitions_[partition];
        const bool refused =
            std::ranges::find(grant.refused, partition, &peer::refused_partition::partition) !=
            grant.refused.end();
        if (refused || !state.wanted || sent->sequence < state.first_valid_sequence) {
            continue;
        }
        record_grant(state, partition, *sent, grant, valid_until, now);
        if (state.held) {
            valid_until_[partition] = lease_end(state);
        } else {
            try_acquire(partition, wall, now, completed);
        }
    }
    return completed;
}

void holder::try_acquire(partition_index partition, std::uint64_t wall, time_point now,
                         std::vector<acquisition>& completed)
{
    partition_state& state = partitions_[partition];
    for (const grant_set* votes : {&state.current, &state.previous}) {
        if (quorum_valid_until(*votes, 0) <= now) {
            continue;
        }
        acquisition acquired{partition, 0, 0, {}};
        for (const auto& grant : votes->grants) {
            acquired.previous_fence = std::max(acquired.previous_fence, grant.previous_fence);
            acquired.previous_until = std::max(acquired.previous_until, grant.previous_until);
        }
        // A fencing token chosen before a pause may be less than tokens that others have used since
        // and that no voter of this quorum remembers. Only a token near the wall clock is certainly
        // greater.
        const auto lease = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.lease);
        const bool stale = state.fence + static_cast<std::uint64_t>(lease.count()) < wall;
        if (state.fence <= acquired.previous_fence || stale) {
            state.fence = std::max({wall, acquired.previous_fence + 1, greatest_fence_ + 1});
            greatest_fence_ = state.fence;
            fence_pending_ = true; // the voters must know the token before it is used
        }
        if (quorum_valid_until(*votes, state.fence) > now) {
            state.held = true;
            ++held_;
            --acquiring_; // grants count only while the partition is wanted
            valid_until_[partition] = lease_end(state);
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
    state.first_valid_sequence = sequence_ + 1;
    state.current.grants.clear();
    state.previous = {};
    valid_until_[partition] = {};
}

std::vector<peer::outgoing_message>
holder::make_releases(const std::vector<partition_index>& partitions, const instance_id& successor)
{
    std::map<instance_id, peer::release_partitions> bodies;
    ++sequence_;
    for (const auto partition : partitions) {
        partitions_[partition].first_valid_sequence = sequence_ + 1;
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
    grant_set contacts;
    contacts.quorum = committees_ ? committees_->quorum() : 0;
    contacts.committee_size = own_committee_.size();
    for (const auto& contact : contacts_) {
        if (std::ranges::find(own_committee_, contact.voter) != own_committee_.end()) {
            contacts.grants.push_back(contact);
        }
    }
    return std::max(quorum_valid_until(contacts, 0), *std::ranges::max_element(valid_until_));
}

} // namespace quetzal::rights
