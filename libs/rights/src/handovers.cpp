#include <quetzal/rights/handovers.hpp>

#include <algorithm>

namespace quetzal::rights {

namespace {

constexpr duration patience = std::chrono::seconds(1);    // with a successor that does not answer
constexpr duration ledger_life = std::chrono::seconds(1); // between receipt and acquisition
constexpr std::size_t ledger_room = 1200;                 // bytes of one datagram
constexpr std::size_t entry_overhead = 32;                // bytes of an encoded entry but its name

} // namespace

void handovers::start(partition_index partition, const instance_id& successor, std::uint64_t fence,
                      std::vector<peer::ledger_entry> ledger, time_point now)
{
    std::size_t used = 0;
    const auto end = std::ranges::find_if(ledger, [&used](const peer::ledger_entry& entry) {
        used += entry_overhead + entry.customer.name.size();
        return used > ledger_room;
    });
    ledger.erase(end, ledger.end());
    transfer entry;
    entry.successor = successor;
    entry.message = {++sequence_, partition, fence, std::move(ledger)};
    for (const auto& item : entry.message.ledger) {
        entry.outstanding_until.push_back(now + item.outstanding_until);
    }
    entry.started = entry.next = now;
    leaving_.insert_or_assign(partition, std::move(entry));
}

std::vector<peer::outgoing_message> handovers::repeat(time_point now)
{
    std::vector<peer::outgoing_message> messages;
    for (auto& [partition, entry] : leaving_) {
        if (entry.next > now) {
            continue;
        }
        entry.next = now + settings_.handover_interval;
        for (std::size_t index = 0; index < entry.outstanding_until.size(); ++index) {
            const duration rest = std::max(entry.outstanding_until[index] - now, duration::zero());
            entry.message.ledger[index].outstanding_until =
                std::chrono::ceil<std::chrono::milliseconds>(rest);
        }
        messages.push_back({entry.successor, entry.message});
    }
    return messages;
}

std::optional<handovers::confirmed> handovers::on_ack(const instance_id& from,
                                                      const peer::handover_ack& ack)
{
    const auto found = std::ranges::find_if(leaving_, [&](const auto& item) {
        return item.second.successor == from && item.second.message.sequence == ack.sequence;
    });
    if (found == leaving_.end()) {
        return std::nullopt;
    }
    const confirmed done{found->first, from};
    leaving_.erase(found);
    return done;
}

void handovers::drop_unanswered(time_point now)
{
    std::erase_if(leaving_,
                  [now](const auto& item) { return item.second.started + patience <= now; });
}

peer::handover_ack handovers::on_handover(const instance_id& from, const peer::handover& message,
                                          time_point now)
{
    const auto found = received_.find(message.partition);
    const bool newer = found == received_.end() || found->second.fence < message.fence;
    if (message.partition < settings_.partitions && newer &&
        message.fence > used_fence_[message.partition])
    {
        received_.insert_or_assign(message.partition,
                                   received_ledger{from, message.fence, now, message.ledger});
    }
    return {message.sequence};
}

std::optional<received_ledger> handovers::take(partition_index partition, std::uint64_t fence,
                                               std::uint64_t former_fence, time_point now)
{
    used_fence_[partition] = std::max(used_fence_[partition], fence);
    const auto found = received_.find(partition);
    if (found == received_.end()) {
        return std::nullopt;
    }
    received_ledger ledger = std::move(found->second);
    received_.erase(found);
    if (ledger.fence < former_fence || ledger.at + ledger_life < now) {
        return std::nullopt;
    }
    return ledger;
}

bool handovers::expects(partition_index partition, time_point now) const
{
    const auto found = received_.find(partition);
    return found != received_.end() && found->second.at + ledger_life >= now;
}

bool handovers::expects_any(time_point now) const
{
    return std::ranges::any_of(
        received_, [&](const auto& item) { return item.second.at + ledger_life >= now; });
}

time_point handovers::wake() const noexcept
{
    time_point earliest = time_point::max();
    for (const auto& [partition, entry] : leaving_) {
        earliest = std::min(earliest, entry.next);
    }
    return earliest;
}

} // namespace quetzal::rights
