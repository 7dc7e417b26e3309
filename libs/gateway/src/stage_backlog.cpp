#include <quetzal/gateway/stage_backlog.hpp>

#include <algorithm>
#include <utility>

namespace quetzal::gateway {

namespace {

constexpr duration arrival_smoothing = std::chrono::seconds(6); // time constant of the arrival rate
constexpr double max_arrival_share = 0.75;                      // as a share of the endpoints' time

} // namespace

duration stage_backlog::work_for(const std::string& service, std::uint32_t pieces) const
{
    const auto* definition = view_.find_service(service);
    if (definition == nullptr || !definition->stage) {
        return duration::zero();
    }
    const stage_capacity& capacity = *definition->stage;
    const duration piece = capacity.piece_time + capacity.call_time / capacity.batch;
    return piece * pieces / std::max(capacity.slots, 1u);
}

void stage_backlog::adjust(const std::string& service, const work_origin& origin, duration work)
{
    service_state& state = services_[service];
    const auto entry = state.committed.try_emplace({origin.priority, origin.customer}).first;
    entry->second = std::max(entry->second + work, duration::zero());
    if (entry->second == duration::zero()) {
        state.committed.erase(entry);
    }
    if (!origin.zone.empty()) {
        duration& zone_work = state.committed_in_zone[origin.zone];
        zone_work = std::max(zone_work + work, duration::zero());
    }
}

void stage_backlog::add(const std::string& service, const work_origin& origin, std::uint32_t pieces)
{
    adjust(service, origin, work_for(service, pieces));
}

void stage_backlog::remove(const std::string& service, const work_origin& origin,
                           std::uint32_t pieces)
{
    adjust(service, origin, -work_for(service, pieces));
}

void stage_backlog::record_arrival(const stage_job& content, time_point now)
{
    const double smoothing = std::chrono::duration<double>(arrival_smoothing).count();
    for (const job_stage& stage : content.stages) {
        service_state& state = services_[stage.service];
        const double elapsed =
            std::chrono::duration<double>(now - state.arrival_rate_updated).count();
        const double kept = 1 / (1 + elapsed / smoothing);
        for (auto& [priority, rate] : state.arrival_rate) {
            rate *= kept;
        }
        state.arrival_rate_updated = now;
        state.arrival_rate[content.priority] +=
            std::chrono::duration<double>(work_for(stage.service, stage.pieces)).count() /
            smoothing;
    }
}

duration stage_backlog::expected_wait(const job_stage& stage, const stage_job& content,
                                      std::size_t workers) const
{
    const auto state = services_.find(stage.service);
    if (state == services_.end()) {
        return duration::zero();
    }
    const std::int32_t priority = content.priority;
    const auto& committed = state->second.committed;
    const auto own = committed.find({priority, content.customer});
    const duration fair_part = (own == committed.end() ? duration::zero() : own->second) +
                               work_for(stage.service, stage.pieces);
    duration work_ahead{};
    for (const auto& [origin, work] : committed) {
        const auto& [other_priority, customer] = origin;
        if (other_priority < priority) {
            work_ahead += work;
        } else if (other_priority == priority) {
            work_ahead += customer == content.customer ? work : std::min(work, fair_part);
        }
    }
    double arrival_rate = 0; // more urgent work, in seconds of endpoint time per second
    for (const auto& [other, work] : state->second.arrival_rate) {
        arrival_rate += other < priority ? work : 0;
    }
    const auto endpoints = static_cast<double>(std::max<std::size_t>(workers, 1));
    const double share = 1 - std::min(arrival_rate / endpoints, max_arrival_share);
    return duration(
        static_cast<duration::rep>(static_cast<double>(work_ahead.count()) / (endpoints * share)));
}

std::string stage_backlog::least_loaded_zone(const stage_job& content) const
{
    std::map<std::string, std::pair<std::size_t, double>> zones; // services there, highest load
    std::size_t services = 0;
    for (const job_stage& stage : content.stages) {
        if (stage.pieces == 0) {
            continue;
        }
        ++services;
        std::map<std::string, std::size_t> workers;
        for (const endpoint* value : view_.usable_endpoints(stage.service)) {
            ++workers[value->zone];
        }
        const auto state = services_.find(stage.service);
        for (const auto& [zone, count] : workers) {
            double load = 0;
            if (state != services_.end()) {
                const auto zone_work = state->second.committed_in_zone.find(zone);
                load = zone_work == state->second.committed_in_zone.end()
                           ? 0
                           : static_cast<double>(zone_work->second.count()) /
                                 static_cast<double>(count);
            }
            auto& [service_count, highest_load] = zones[zone];
            ++service_count;
            highest_load = std::max(highest_load, load);
        }
    }
    std::string best;
    double lowest_load = 0;
    for (const auto& [zone, state] : zones) {
        const auto& [service_count, load] = state;
        if (service_count == services && (best.empty() || load < lowest_load)) {
            best = zone;
            lowest_load = load;
        }
    }
    return best;
}

} // namespace quetzal::gateway
