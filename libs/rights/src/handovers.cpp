#include <quetzal/rights/handovers.hpp>

#include <algorithm>

namespace quetzal::rights {

namespace {

constexpr duration successor_timeout = std::chrono::seconds(1); // for the confirmation
constexpr duration ledger_lifetime = std::chrono::seconds(1);   // between receipt and acquisition
constexpr std::size_t max_ledger_size = 1200;                   // bytes in one datagram
constexpr std::size_t entry_overhead = 32; // bytes of an encoded entry without its name

} // namespace

void handovers::start(partition_index partition, const instance_id& successor, std::uint64_t fence,
                      std::vector<peer::ledger_entry> ledger, time_point now)
{
    std::size_t used = 0;
    const auto end = std::ranges::find_if(ledger, [&used](const peer::ledger_entry& entry) {
        used += entry_overhead + entry.customer.name.size();
        return used > max_ledger_size;
    });
    ledger.erase(end, ledger.end());
    transfer entry;
    entry.successor = successor;
    entry.message = {++sequence_, partition, fence, std::move(ledger)};
    for (const auto& item : entry.message.ledger) {
        entry.outstanding_until.push_back(now + item.outstanding_until);
    }
    entry.started = entry.next_send = now;
    transfers_.insert_or_assign(partition, std::move(entry));
}

std::vector<peer::outgoing_message> handovers::due_messages(time_point now)
{
    std::vector<peer::outgoing_message> messages;
    for (auto& [partition, entry] : transfers_) {
        if (entry.next_send > now) {
            continue;
        }
        entry.next_send = now + settings_.handover_interval;
        for (std::size_t index = 0; index < entry.outstanding_until.size(); ++index) {
            const duration remaining =
                std::max(entry.outstanding_until[index] - now, duration::zero());
            entry.message.ledger[index].outstanding_until =
                std::chrono::ceil<std::chrono::milliseconds>(remaining);
        }
        messages.push_back({entry.successor, entry.message});
    }
    return messages;
}

std::optional<handovers::confirmed_handover> handovers::on_ack(const instance_id& from,
                                                               const peer::handover_ack& ack)
{
    const auto found = std::ranges::find_if(transfers_, [&](const auto& item) {
        return item.second.successor == from && item.second.message.sequence == ack.sequence;
    });
    if (found == transfers_.end()) {
        return std::nullopt;
    }
    const confirmed_handover done{found->first, from};
    transfers_.erase(found);
    return done;
}

void handovers::drop_timed_out(time_point now)
{
    std::erase_if(transfers_, [now](const auto& item) {
        return item.second.started + successor_timeout <= now;
    });
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

std::optional<received_ledger> handovers::take_ledger(partition_index partition,
                                                      std::uint64_t fence,
                                                      std::uint64_t previous_fence, time_point now)
{
    used_fence_[partition] = std::max(used_fence_[partition], fence);
    const auto found = received_.find(partition);
    if (found == received_.end()) {
        return std::nullopt;
    }
    received_ledger ledger = std::move(found->second);
    received_.erase(found);
    if (ledger.fence < previous_fence || ledger.at + ledger_lifetime < now) {
        return std::nullopt;
    }
    return ledger;
}

bool handovers::has_ledger(partition_index partition, time_point now) const
{
    const auto found = received_.find(partition);
    return found != received_.end() && found->second.at + ledger_lifetime >= now;
}

bool handovers::has_any_ledger(time_point now) const
{
    return std::ranges::any_of(
        received_, [&](const auto& item) { return item.second.at + ledger_lifetime >= now; });
}

time_point handovers::next_wakeup() const noexcept
{
    time_point earliest = time_point::max();
    for (const auto& [partition, entry] : transfers_) {
        earliest = std::min(earliest, entry.next_send);
    }
    return earliest;
}

} // namespace quetzal::rights
