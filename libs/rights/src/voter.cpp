#include <quetzal/rights/voter.hpp>

#include <algorithm>

namespace quetzal::rights {

namespace {

// Whether `first` was numbered before `second`; right across the wrap of the counter.
bool earlier(std::uint32_t first, std::uint32_t second) noexcept
{
    return static_cast<std::int32_t>(first - second) < 0;
}

std::chrono::milliseconds rounded_up(duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(value, duration::zero()));
}

} // namespace

voter::voter(instance_id self, const options& settings, time_point start)
    : self_(std::move(self)), settings_(settings),
      recent_until_(start + settings.list_spread + lengthened(settings.lease))
{
    stay_silent(start + lengthened(settings_.lease));
}

void voter::set_committees(std::shared_ptr<const committee_table> committees, time_point now)
{
    if (committees_ && committees_->digest() == committees->digest()) {
        return;
    }
    while (!history_.empty() && history_.front().until <= now) {
        history_.pop_front();
    }
    const duration in_use = settings_.list_spread + lengthened(settings_.lease);
    const bool overflow = history_.size() >= max_history;
    if (overflow) {
        history_.pop_front();
    }
    if (committees_ && committees_->size() > 0) { // no vote was given under an empty list
        history_.push_back({std::move(committees_), now + in_use});
    }
    committees_ = std::move(committees);
    if (!settings_.safe.list_check) {
        return;
    }
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        const auto current = committees_->tags(partition);
        const bool far = std::any_of(history_.begin(), history_.end(), [&](const auto& former) {
            return !quorums_intersect(current, former.table->tags(partition));
        });
        if (far || overflow) {
            auto& silent_until = votes_[partition].silent_until;
            silent_until = std::max(silent_until, now + in_use);
        }
    }
}

void voter::end_early(vote& current, time_point now)
{
    if (current.until > now) {
        current.former_until = std::max(current.former_until, current.until);
    }
    current.until = now;
}

void voter::note_process(const instance_id& instance, incarnation process, time_point now)
{
    for (auto& current : votes_) {
        if (current.holder == instance && current.process < process) {
            end_early(current, now);
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
            (settings_.safe.release_order && !earlier(current.sequence, release.sequence)))
        {
            continue;
        }
        end_early(current, now);
        current.sequence = release.sequence;
        current.released = true;
        current.reserved = release.successor;
        current.reserved_until = current.former_until;
    }
}

bool voter::lists_agree(partition_index partition, std::span<const std::uint32_t> committee,
                        time_point now) const
{
    if (!quorums_intersect(committee, committees_->tags(partition))) {
        return false;
    }
    return std::all_of(history_.begin(), history_.end(), [&](const auto& former) {
        return former.until <= now || quorums_intersect(committee, former.table->tags(partition));
    });
}

std::optional<voter::cause> voter::refusal(const vote& current, partition_index partition,
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
        const bool newer = earlier(current.sequence, sequence);
        if (!current.released && (newer || now < current.until)) {
            return std::nullopt;
        }
        if (!newer) { // repeated or overtaken; a new grant would only block the partition
            return cause::held_by_other;
        }
    }
    if (now < current.until) {
        return cause::held_by_other;
    }
    if (now < current.reserved_until && !current.reserved.empty()) {
        return current.reserved == from ? std::nullopt : std::optional(cause::held_by_other);
    }
    return ranks.first(partition) == from ? std::nullopt : std::optional(cause::outranked);
}

peer::renew_grant voter::on_request(const instance_id& from, incarnation process,
                                    const peer::renew_request& request, const ranking& ranks,
                                    peer::versions known, time_point now)
{
    peer::renew_grant answer;
    answer.sequence = request.sequence;
    answer.known = known;
    answer.lease = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.lease);
    answer.members = committees_ ? committees_->digest() : 0;
    answer.recent_start = settings_.safe.recent_starts && now < recent_until_;
    const std::size_t asked = request.partitions.size() + request.acquiring.size();
    const bool same_lists = request.members == answer.members;
    const std::size_t size = asked == 0 ? 0 : request.committees.size() / asked;
    for (std::size_t index = 0; index < asked; ++index) {
        const bool acquiring = index >= request.partitions.size();
        const auto partition = acquiring ? request.acquiring[index - request.partitions.size()]
                                         : request.partitions[index];
        if (!committees_ || partition >= settings_.partitions) {
            answer.refused.push_back({partition, cause::not_in_committee});
            continue;
        }
        const auto committee = std::span(request.committees).subspan(index * size, size);
        vote& current = votes_[partition];
        if (settings_.safe.list_check && !same_lists &&
            (committee.empty() || !lists_agree(partition, committee, now)))
        {
            answer.refused.push_back({partition, cause::lists_differ});
            continue;
        }
        if (const auto why =
                refusal(current, partition, from, process, request.sequence, ranks, now)) {
            answer.refused.push_back({partition, *why});
            continue;
        }
        const bool other = current.holder != from || current.process != process;
        if (other) {
            current.holder = from;
            current.process = process;
            current.former_fence = current.fence;
        }
        if (other || earlier(current.sequence, request.sequence)) {
            // An older request was sent earlier, so the running lease covers its grant.
            current.sequence = request.sequence;
            current.until = now + settings_.lease;
        }
        current.released = false;
        current.reserved = {};
        if (acquiring) {
            answer.acquired.push_back(
                {partition, current.former_fence, rounded_up(current.former_until - now)});
        }
        if (settings_.safe.fence_memory) {
            current.fence = std::max(current.fence, request.fence);
        }
    }
    return answer;
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
