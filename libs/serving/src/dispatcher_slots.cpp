// Calls of cold endpoints that the holder lends to other instances.

#include <algorithm>

#include "dispatcher_state.hpp"

namespace quetzal::serving {

// Returns the calls that this instance may have in flight at the endpoint.
std::uint32_t dispatcher::implementation::places_of(const endpoint_record& record)
{
    const std::uint32_t allowed = record.ramp.allowed_calls();
    if (record.ramp.warm()) {
        return allowed;
    }
    if (record.ramp.holder()) {
        return allowed - std::min(allowed, record.lent.count());
    }
    return record.borrowed.held() ? 1 : 0;
}

// Whether the endpoint is cold and another instance may lend its calls.
bool dispatcher::implementation::can_borrow(const endpoint_record& record)
{
    return record.connected && record.wanted && record.zone_in && !record.refusing_until &&
           !record.ramp.warm() && !record.ramp.holder() && record.ramp.process().has_value();
}

std::size_t dispatcher::implementation::borrowable(const pool_state& pool)
{
    return static_cast<std::size_t>(
        std::count_if(pool.records.begin(), pool.records.end(), [](const endpoint_record* record) {
            return record != nullptr && can_borrow(*record);
        }));
}

void dispatcher::implementation::tick_slots(time_point now)
{
    for (const auto& [id, pool] : pools_) {
        std::size_t needed = pool->calls.size();
        for (endpoint_record* record : pool->records) {
            if (record == nullptr) {
                continue;
            }
            if (record->lent.expire(now)) {
                refresh(*record);
            }
            if (const auto unused = record->borrowed.expire(now)) {
                give_back(*record, *unused, slot_result::unused);
            }
            if (needed == 0 || !can_borrow(*record)) {
                continue;
            }
            const incarnation process = *record->ramp.process();
            if (const auto sequence = record->borrowed.ask(process, now)) {
                out_.emplace_back(ask_cold_slot{record->id, process, *sequence});
                --needed;
            }
        }
    }
}

void dispatcher::implementation::give_back(endpoint_record& record, std::uint32_t sequence,
                                           slot_result how)
{
    const incarnation process = record.ramp.process().value_or(incarnation{});
    out_.emplace_back(return_cold_slot{record.id, process, sequence, how});
    refresh(record);
}

void dispatcher::implementation::slot_asked(const endpoint_id& id, const instance_id& from,
                                            incarnation process, std::uint32_t sequence,
                                            time_point now)
{
    endpoint_record* record = find(id);
    if (record == nullptr || !record->ramp.holder() || record->ramp.process() != process ||
        !record->connected || !record->zone_in || !record->wanted)
    {
        return;
    }
    if (record->ramp.warm()) {
        emit(*record, record->ramp.peer_reported(process, false, now)); // the declaration was lost
        return;
    }
    const std::uint32_t used =
        record->pool->chooser.in_flight(record->index) + record->lent.count();
    const std::uint32_t allowed = record->ramp.allowed_calls();
    if (const auto window =
            record->lent.lend(from, sequence, allowed - std::min(allowed, used), now)) {
        out_.emplace_back(grant_cold_slot{from, id, process, sequence, *window});
    }
    refresh(*record);
}

void dispatcher::implementation::slot_granted(const endpoint_id& id, incarnation process,
                                              std::uint32_t sequence, duration start_within)
{
    if (endpoint_record* record = find(id)) {
        record->borrowed.granted(process, sequence, start_within);
        refresh(*record);
    }
}

void dispatcher::implementation::slot_returned(const endpoint_id& id, const instance_id& from,
                                               std::uint32_t sequence, slot_result how,
                                               time_point now)
{
    endpoint_record* record = find(id);
    const auto started = record == nullptr ? std::nullopt : record->lent.take_back(from, sequence);
    if (!started) {
        return;
    }
    if (how != slot_result::unused) {
        const bool slow = how == slot_result::slow;
        emit(*record, record->ramp.answered(!slow, slow, *started, now));
    }
    refresh(*record);
}

} // namespace quetzal::serving
