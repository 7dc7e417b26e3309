#include <quetzal/rights/voter.hpp>

#include <algorithm>

namespace quetzal::rights {

namespace {

// Returns whether sequence number `first` precedes `second`, with wraparound.
bool is_earlier(std::uint32_t first, std::uint32_t second) noexcept
{
    return static_cast<std::int32_t>(first - second) < 0;
}

std::chrono::milliseconds round_up_to_ms(duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(value, duration::zero()));
}

} // namespace

voter::voter(instance_id self, const options& settings, time_point start)
    : self_(std::move(self)), settings_(settings),
      recent_start_until_(start + settings.max_list_lag + lengthen_for_drift(settings.lease))
{
    stay_silent(start + lengthen_for_drift(settings_.lease));
}

void voter::set_committees(std::shared_ptr<const committee_table> committees, time_point now)
{
    if (committees_ && committees_->digest() == committees->digest()) {
        return;
    }
    while (!history_.empty() && history_.front().until <= now) {
        history_.pop_front();
    }
    const duration max_use_time = settings_.max_list_lag + lengthen_for_drift(settings_.lease);
    const bool overflow = history_.size() >= max_history;
    if (overflow) {
        history_.pop_front();
    }
    if (committees_ && committees_->size() > 0) { // an empty table yields no votes
        history_.push_back({std::move(committees_), now + max_use_time});
    }
    committees_ = std::move(committees);
    if (!settings_.safe.list_check) {
        return;
    }
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        const auto current = committees_->tags(partition);
        const bool too_different =
            std::any_of(history_.begin(), history_.end(), [&](const auto& previous) {
                return !quorums_intersect(current, previous.table->tags(partition));
            });
        if (too_different || overflow) {
            auto& silent_until = votes_[partition].silent_until;
            silent_until = std::max(silent_until, now + max_use_time);
        }
    }
}

void voter::end_lease_early(vote& current, time_point now)
{
    if (current.until > now) {
        current.previous_until = std::max(current.previous_until, current.until);
    }
    current.until = now;
}

void voter::observe_process(const instance_id& instance, incarnation process, time_point now)
{
    for (auto& current : votes_) {
        if (current.holder == instance && current.process < process) {
            end_lease_early(current, now);
        }
    }
}

void voter::on_release(const instance_id& from, incarnation process,
                       const peer::release_partitions& release, time_point now)
{
    for (const auto partition : release.partitions) {
        if (partition >= settings_.partitions) {
            continue;
        }
        vote& current = votes_[partition];
        if (current.holder != from || current.process != process ||
            (settings_.safe.release_order && !is_earlier(current.sequence, release.sequence)))
        {
            continue;
        }
        end_lease_early(current, now);
        current.sequence = release.sequence;
        current.released = true;
        current.reserved = release.successor;
        current.reserved_until = current.previous_until;
    }
}

bool voter::intersects_recent_committees(partition_index partition,
                                         std::span<const std::uint32_t> committee,
                                         time_point now) const
{
    if (!quorums_intersect(committee, committees_->tags(partition))) {
        return false;
    }
    return std::all_of(history_.begin(), history_.end(), [&](const auto& previous) {
        return previous.until <= now ||
               quorums_intersect(committee, previous.table->tags(partition));
    });
}

std::optional<voter::cause> voter::refusal_cause(const vote& current, partition_index partition,
                                                 const instance_id& from, incarnation process,
                                                 std::uint32_t sequence, const ranking& ranks,
                                                 time_point now) const
{
    if (!committees_->contains(partition, self_)) {
        return cause::not_in_committee;
    }
    if (now < current.silent_until) {
        return cause::voter_not_ready;
    }
    if (current.holder == from && current.process == process) {
        const bool newer = is_earlier(current.sequence, sequence);
        if (!current.released && (newer || now < current.until)) {
            return std::nullopt;
        }
        if (!newer) { // duplicate or reordered; a new grant would only block the partition
            return cause::held_by_other;
        }
    }
    if (now < current.until) {
        return cause::held_by_other;
    }
    if (now < current.reserved_until && !current.reserved.empty()) {
        return current.reserved == from ? std::nullopt : std::optional(cause::held_by_other);
    }
    return ranks.candidate(partition) == from ? std::nullopt : std::optional(cause::outranked);
}

peer::renew_grant voter::on_request(const instance_id& from, incarnation process,
                                    const peer::renew_request& request, const ranking& ranks,
                                    peer::versions known, time_point now)
{
    peer::renew_grant response;
    response.sequence = request.sequence;
    response.known = known;
    response.lease = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.lease);
    response.members = committees_ ? committees_->digest() : 0;
    response.recent_start = settings_.safe.recent_starts && now < recent_start_until_;
    const std::size_t requested_count = request.partitions.size() + request.acquiring.size();
    const bool same_lists = request.members == response.members;
    const std::size_t size = requested_count == 0 ? 0 : request.committees.size() / requested_count;
    for (std::size_t index = 0; index < requested_count; ++index) {
        const bool acquiring = index >= request.partitions.size();
        const auto partition = acquiring ? request.acquiring[index - request.partitions.size()]
                                         : request.partitions[index];
        if (!committees_ || partition >= settings_.partitions) {
            response.refused.push_back({partition, cause::not_in_committee});
            continue;
        }
        const auto committee = std::span(request.committees).subspan(index * size, size);
        vote& current = votes_[partition];
        if (settings_.safe.list_check && !same_lists &&
            (committee.empty() || !intersects_recent_committees(partition, committee, now)))
        {
            response.refused.push_back({partition, cause::lists_differ});
            continue;
        }
        if (const auto why =
                refusal_cause(current, partition, from, process, request.sequence, ranks, now)) {
            response.refused.push_back({partition, *why});
            continue;
        }
        const bool new_holder = current.holder != from || current.process != process;
        if (new_holder) {
            current.holder = from;
            current.process = process;
            current.previous_fence = current.fence;
        }
        if (new_holder || is_earlier(current.sequence, request.sequence)) {
            // Older requests do not extend the lease: they were sent earlier, so the current lease
            // already covers their grants.
            current.sequence = request.sequence;
            current.until = now + settings_.lease;
        }
        current.released = false;
        current.reserved = {};
        if (acquiring) {
            response.acquired.push_back(
                {partition, current.previous_fence, round_up_to_ms(current.previous_until - now)});
        }
        if (settings_.safe.fence_memory) {
            current.fence = std::max(current.fence, request.fence);
        }
    }
    return response;
}

void voter::stay_silent(time_point until)
{
    if (settings_.safe.voter_silence) {
        for (auto& current : votes_) {
            current.silent_until = std::max(current.silent_until, until);
        }
    }
}

std::size_t voter::granted(time_point now) const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        votes_.begin(), votes_.end(), [now](const vote& entry) { return entry.until > now; }));
}

} // namespace quetzal::rights
