#include <quetzal/gateway/stage_workers.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace quetzal::gateway {

namespace {

constexpr duration slow_avoidance = std::chrono::seconds(2); // doubles with each slow call
constexpr std::size_t probe_pieces = 2; // of a call that tests whether an endpoint has recovered
constexpr duration failure_avoidance = std::chrono::milliseconds(500); // doubles with each failure
constexpr unsigned avoidance_doublings = 3;
constexpr duration expiry_interval = std::chrono::milliseconds(100);
constexpr double pace_step_size = 0.5; // smaller differences of the pace don't count
constexpr duration full_avoidance = std::chrono::milliseconds(30); // a call may have ended then

} // namespace

std::size_t stage_workers::active_count(const std::string& service, time_point now) const
{
    const auto usable = view_.usable_endpoints(service, zone_);
    const auto active_count =
        std::count_if(usable.begin(), usable.end(), [&](const endpoint* value) {
            const auto known = workers_.find(value->id);
            return known == workers_.end() || known->second.avoided_until <= now ||
                   known->second.failures == 0;
        });
    return static_cast<std::size_t>(active_count);
}

const endpoint* stage_workers::choose_idle(const std::string& service,
                                           const stage_capacity& capacity, time_point now,
                                           const std::vector<std::string>& skip)
{
    const endpoint* best = nullptr;
    const endpoint* avoided = nullptr;
    bool others_busy = false;
    for (const endpoint* candidate : view_.usable_endpoints(service, zone_)) {
        const worker& known = current_worker(*candidate);
        const bool is_avoided = known.avoided_until > now;
        others_busy = others_busy || (known.calls > 0 && !is_avoided);
        if (known.calls >= capacity.slots || known.full_until > now ||
            std::find(skip.begin(), skip.end(), candidate->id) != skip.end())
        {
            continue;
        }
        const endpoint*& slot = is_avoided ? avoided : best;
        const auto order = [&](const endpoint* value) {
            const worker& other = workers_[value->id];
            return std::tuple(other.failures, is_avoided ? other.avoided_until : time_point{},
                              pace_step(other, service, now),
                              used_memory(other, capacity.result_lifetime, now));
        };
        if (slot == nullptr || order(candidate) < order(slot)) {
            slot = candidate;
        }
    }
    if (best != nullptr) {
        return best;
    }
    return others_busy ? nullptr : avoided;
}

std::uint64_t stage_workers::unaccounted_memory(const worker& target, duration lifetime,
                                                time_point now)
{
    const duration age = now - target.unaccounted_since;
    if (target.unaccounted == 0 || age >= lifetime) {
        return 0;
    }
    const double left =
        1 - static_cast<double>(age.count()) / static_cast<double>(lifetime.count());
    return static_cast<std::uint64_t>(static_cast<double>(target.unaccounted) * left);
}

std::uint64_t stage_workers::used_memory(const worker& target, duration lifetime, time_point now)
{
    return target.reserved + target.held_bytes + unaccounted_memory(target, lifetime, now);
}

std::uint64_t stage_workers::used_memory(const std::string& id, duration result_lifetime,
                                         time_point now) const
{
    const auto known = workers_.find(id);
    return known == workers_.end() ? 0 : used_memory(known->second, result_lifetime, now);
}

std::size_t stage_workers::call_limit(const std::string& id, const stage_capacity& capacity) const
{
    const auto known = workers_.find(id);
    const bool slow = known != workers_.end() && known->second.slow_calls > 0;
    return slow ? std::min<std::size_t>(probe_pieces, capacity.batch) : capacity.batch;
}

stage_workers::worker& stage_workers::current_worker(const endpoint& listed)
{
    worker& known = workers_[listed.id];
    if (!known.incarnation.same_incarnation(listed)) {
        for (const auto& held : known.held) {
            result_endpoints_.erase(held.first);
        }
        known = {};
        known.incarnation = listed;
    }
    return known;
}

stage_workers::worker* stage_workers::worker_of(const endpoint& target)
{
    const auto found = workers_.find(target.id);
    const bool known =
        found != workers_.end() && found->second.incarnation.same_incarnation(target);
    return known ? &found->second : nullptr;
}

void stage_workers::call_started(const endpoint& target, std::uint64_t reserved)
{
    worker& used = current_worker(target);
    ++used.calls;
    used.reserved += reserved;
}

void stage_workers::call_ended(const endpoint& target, std::uint64_t reserved)
{
    if (worker* const used = worker_of(target)) {
        used->calls -= used->calls > 0 ? 1 : 0;
        used->reserved -= std::min(used->reserved, reserved);
    }
}

void stage_workers::record_response(const endpoint& target)
{
    if (worker* const used = worker_of(target)) {
        used->failures = 0;
    }
}

void stage_workers::record_on_time_call(const endpoint& target)
{
    if (worker* const used = worker_of(target)) {
        used->slow_calls = 0;
    }
}

void stage_workers::record_slow_call(const endpoint& target, time_point now)
{
    if (worker* const used = worker_of(target)) {
        const auto doublings = std::min(used->slow_calls++, avoidance_doublings);
        used->avoided_until = now + slow_avoidance * (1 << doublings);
    }
}

void stage_workers::record_failure(const endpoint& target, time_point now)
{
    if (worker* const used = worker_of(target)) {
        const auto doublings = std::min(used->failures++, avoidance_doublings);
        used->avoided_until = now + failure_avoidance * (1 << doublings);
    }
}

void stage_workers::record_full(const endpoint& target, time_point now)
{
    if (worker* const used = worker_of(target)) {
        used->full_until = now + full_avoidance;
    }
}

void stage_workers::record_out_of_memory(const endpoint& target, std::uint64_t size,
                                         duration result_lifetime, time_point now)
{
    if (worker* const used = worker_of(target)) {
        used->unaccounted = unaccounted_memory(*used, result_lifetime, now) + size;
        used->unaccounted_since = now;
    }
}

void stage_workers::record_pace(const endpoint& target, double pace, time_point now)
{
    if (worker* const used = worker_of(target)) {
        used->pace.record_report(pace, now);
        paces_[target.service].record_report(pace);
    }
}

long stage_workers::pace_step(const worker& target, const std::string& service,
                              time_point now) const
{
    const auto known = paces_.find(service);
    if (known == paces_.end()) {
        return 0;
    }
    return std::lround(target.pace.expected(known->second, now) / pace_step_size);
}

void stage_workers::add_result(const endpoint& target, const std::string& handle,
                               std::uint64_t size, time_point expires)
{
    if (worker* const maker = worker_of(target)) {
        held_result& result = maker->held[handle];
        maker->held_bytes += size - result.size;
        result = {size, expires};
        result_endpoints_[handle] = target.id;
    }
}

void stage_workers::remove_results(const std::vector<std::string>& handles)
{
    for (const auto& handle : handles) {
        if (const auto found = result_endpoints_.find(handle); found != result_endpoints_.end()) {
            worker& maker = workers_[found->second];
            if (const auto result = maker.held.find(handle); result != maker.held.end()) {
                maker.held_bytes -= result->second.size;
                maker.held.erase(result);
            }
            result_endpoints_.erase(found);
        }
    }
}

void stage_workers::expire(time_point now)
{
    if (now < next_expiry_) {
        return;
    }
    next_expiry_ = now + expiry_interval;
    for (auto& entry : workers_) {
        worker& known = entry.second;
        std::erase_if(known.held, [&](const auto& held) {
            const bool expired = held.second.expires <= now;
            if (expired) {
                known.held_bytes -= held.second.size;
                result_endpoints_.erase(held.first);
            }
            return expired;
        });
    }
}

std::string stage_workers::most_common_zone(const std::vector<std::string>& handles) const
{
    std::map<std::string, std::size_t> count;
    for (const auto& handle : handles) {
        if (const auto found = result_endpoints_.find(handle); found != result_endpoints_.end()) {
            const auto known = workers_.find(found->second);
            ++count[known == workers_.end() ? std::string() : known->second.incarnation.zone];
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
