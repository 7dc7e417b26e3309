#include <quetzal/gateway/stage_workers.hpp>

#include <algorithm>
#include <tuple>

namespace quetzal::gateway {

namespace {

constexpr duration slow_avoidance = std::chrono::seconds(2); // doubles with each slow call
constexpr std::size_t trial_pieces = 2; // of a call that tries whether an endpoint has recovered
constexpr duration failure_avoidance = std::chrono::milliseconds(500); // doubles with each failure
constexpr unsigned avoidance_doublings = 3;
constexpr duration full_avoidance = std::chrono::milliseconds(30); // until a call may have ended

} // namespace

std::size_t stage_workers::active(const std::string& service, time_point now) const
{
    const auto usable = view_.usable_endpoints(service);
    const auto active = std::count_if(usable.begin(), usable.end(), [&](const endpoint* value) {
        const auto known = workers_.find(value->id);
        return known == workers_.end() || known->second.avoided_until <= now ||
               known->second.failures == 0;
    });
    return static_cast<std::size_t>(active);
}

const endpoint* stage_workers::idle(const std::string& service, const stage_capacity& capacity,
                                    time_point now, const std::vector<std::string>& skip)
{
    const endpoint* best = nullptr;
    const endpoint* avoided = nullptr;
    bool others_work = false;
    for (const endpoint* candidate : view_.usable_endpoints(service)) {
        worker& known = workers_[candidate->id];
        known.zone = candidate->zone;
        const bool avoid = known.avoided_until > now;
        others_work = others_work || (known.calls > 0 && !avoid);
        if (known.calls >= capacity.slots || known.full_until > now ||
            std::find(skip.begin(), skip.end(), candidate->id) != skip.end())
        {
            continue;
        }
        const endpoint*& slot = avoid ? avoided : best;
        const auto order = [&](const endpoint* value) {
            const worker& other = workers_[value->id];
            return std::tuple(other.failures, avoid ? other.avoided_until : time_point{},
                              used_room(other, capacity.result_lifetime, now));
        };
        if (slot == nullptr || order(candidate) < order(slot)) {
            slot = candidate;
        }
    }
    if (best != nullptr) {
        return best;
    }
    return others_work ? nullptr : avoided;
}

std::uint64_t stage_workers::foreign_room(const worker& target, duration lifetime, time_point now)
{
    const duration age = now - target.foreign_noted;
    if (target.foreign == 0 || age >= lifetime) {
        return 0;
    }
    const double left =
        1 - static_cast<double>(age.count()) / static_cast<double>(lifetime.count());
    return static_cast<std::uint64_t>(static_cast<double>(target.foreign) * left);
}

std::uint64_t stage_workers::used_room(const worker& target, duration lifetime, time_point now)
{
    std::uint64_t used = target.reserved + foreign_room(target, lifetime, now);
    for (const auto& [handle, result] : target.held) {
        used += result.expires > now ? result.size : 0;
    }
    return used;
}

std::uint64_t stage_workers::used_room(const std::string& id, duration result_lifetime,
                                       time_point now) const
{
    const auto known = workers_.find(id);
    return known == workers_.end() ? 0 : used_room(known->second, result_lifetime, now);
}

std::size_t stage_workers::call_limit(const std::string& id, const stage_capacity& capacity) const
{
    const auto known = workers_.find(id);
    const bool slow = known != workers_.end() && known->second.slow_calls > 0;
    return slow ? std::min<std::size_t>(trial_pieces, capacity.batch) : capacity.batch;
}

void stage_workers::call_started(const std::string& id, std::uint64_t reserved)
{
    worker& used = workers_[id];
    ++used.calls;
    used.reserved += reserved;
}

void stage_workers::call_ended(const std::string& id, std::uint64_t reserved)
{
    worker& used = workers_[id];
    used.calls -= used.calls > 0 ? 1 : 0;
    used.reserved -= std::min(used.reserved, reserved);
}

void stage_workers::note_answer(const std::string& id)
{
    workers_[id].failures = 0;
}

void stage_workers::note_in_time(const std::string& id)
{
    workers_[id].slow_calls = 0;
}

void stage_workers::note_slow(const std::string& id, time_point now)
{
    worker& used = workers_[id];
    const auto doublings = std::min(used.slow_calls++, avoidance_doublings);
    used.avoided_until = now + slow_avoidance * (1 << doublings);
}

void stage_workers::note_failure(const std::string& id, time_point now)
{
    worker& used = workers_[id];
    const auto doublings = std::min(used.failures++, avoidance_doublings);
    used.avoided_until = now + failure_avoidance * (1 << doublings);
}

void stage_workers::note_full(const std::string& id, time_point now)
{
    workers_[id].full_until = now + full_avoidance;
}

void stage_workers::note_without_room(const std::string& id, std::uint64_t size,
                                      duration result_lifetime, time_point now)
{
    worker& used = workers_[id];
    used.foreign = foreign_room(used, result_lifetime, now) + size;
    used.foreign_noted = now;
}

void stage_workers::hold(const std::string& id, const std::string& handle, std::uint64_t size,
                         time_point expires)
{
    workers_[id].held[handle] = {size, expires};
    makers_[handle] = id;
}

void stage_workers::release(const std::vector<std::string>& handles)
{
    for (const auto& handle : handles) {
        if (const auto maker = makers_.find(handle); maker != makers_.end()) {
            workers_[maker->second].held.erase(handle);
            makers_.erase(maker);
        }
    }
}

void stage_workers::expire(time_point now)
{
    for (auto& [id, known] : workers_) {
        std::erase_if(known.held, [&](const auto& entry) {
            const bool expired = entry.second.expires <= now;
            if (expired) {
                makers_.erase(entry.first);
            }
            return expired;
        });
    }
}

std::string stage_workers::zone_of_most(const std::vector<std::string>& handles) const
{
    std::map<std::string, std::size_t> count;
    for (const auto& handle : handles) {
        if (const auto maker = makers_.find(handle); maker != makers_.end()) {
            const auto known = workers_.find(maker->second);
            ++count[known == workers_.end() ? std::string() : known->second.zone];
        }
    }
    std::string zone;
    std::size_t most = 0;
    for (const auto& [name, number] : count) {
        if (number > most) {
            most = number;
            zone = name;
        }
    }
    return zone;
}

} // namespace quetzal::gateway
