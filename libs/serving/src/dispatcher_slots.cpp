// Call slots of cold endpoints, which the holder lends to other instances.

#include <algorithm>

#include "dispatcher_state.hpp"

namespace quetzal::serving {

// Returns how many calls this instance may have in flight at the endpoint.
std::uint32_t dispatcher::implementation::capacity_of(const endpoint_record& record)
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

// Returns whether the endpoint is cold and another instance may lend a call slot for it.
bool dispatcher::implementation::can_borrow(const endpoint_record& record)
{
    return record.connected && record.wanted && record.in_service && !record.refusing_until &&
           !record.ramp.warm() && !record.ramp.holder() && record.ramp.process().has_value();
}

std::size_t dispatcher::implementation::count_borrowable(const pool_state& pool)
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
                update_availability(*record);
            }
            if (const auto unused = record->borrowed.expire(now)) {
                return_slot(*record, *unused, slot_result::unused);
            }
            if (needed == 0 || !can_borrow(*record)) {
                continue;
            }
            const incarnation process = *record->ramp.process();
            if (const auto sequence = record->borrowed.ask(process, now)) {
                pending_actions_.emplace_back(request_cold_slot{record->id, process, *sequence});
                --needed;
            }
        }
    }
}

void dispatcher::implementation::return_slot(endpoint_record& record, std::uint32_t sequence,
                                             slot_result how)
{
    const incarnation process = record.ramp.process().value_or(incarnation{});
    pending_actions_.emplace_back(return_cold_slot{record.id, process, sequence, how});
    update_availability(record);
}

void dispatcher::implementation::slot_requested(const endpoint_id& id, const instance_id& from,
                                                incarnation process, std::uint32_t sequence,
                                                time_point now)
{
    endpoint_record* record = find(id);
    if (record == nullptr || !record->ramp.holder() || record->ramp.process() != process ||
        !record->connected || !record->in_service || !record->wanted)
    {
        return;
    }
    if (record->ramp.warm()) {
        add_ramp_actions(
            *record, record->ramp.peer_reported(process, false, now)); // the declaration was lost
        return;
    }
    const std::uint32_t used =
        record->pool->chooser.in_flight(record->index) + record->lent.count();
    const std::uint32_t allowed = record->ramp.allowed_calls();
    if (const auto window =
            record->lent.lend(from, sequence, allowed - std::min(allowed, used), now)) {
        pending_actions_.emplace_back(grant_cold_slot{from, id, process, sequence, *window});
    }
    update_availability(*record);
}

void dispatcher::implementation::slot_granted(const endpoint_id& id, incarnation process,
                                              std::uint32_t sequence, duration start_within)
{
    if (endpoint_record* record = find(id)) {
        record->borrowed.granted(process, sequence, start_within);
        update_availability(*record);
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
        add_ramp_actions(*record, record->ramp.answered(!slow, slow, *started, now));
    }
    update_availability(*record);
}

} // namespace quetzal::serving
