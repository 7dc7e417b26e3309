#include <quetzal/gateway/stage_backlog.hpp>

#include <algorithm>
#include <utility>

namespace quetzal::gateway {

namespace {

constexpr duration arrival_smoothing = std::chrono::seconds(2); // of the rate of arriving work
constexpr double most_arriving = 0.9;                           // share of the endpoints' time

} // namespace

duration stage_backlog::work_of(const std::string& service, std::uint32_t pieces) const
{
    const auto* definition = view_.find_service(service);
    if (definition == nullptr || !definition->stage) {
        return duration::zero();
    }
    const stage_capacity& capacity = *definition->stage;
    const duration piece = capacity.piece_time + capacity.call_time / capacity.batch;
    return piece * pieces / std::max(capacity.slots, 1u);
}

void stage_backlog::change(const std::string& service, const std::string& zone,
                           std::int32_t priority, duration work)
{
    service_state& state = services_[service];
    duration& committed = state.committed[priority];
    committed = std::max(committed + work, duration::zero());
    if (!zone.empty()) {
        duration& there = state.committed_in_zone[zone];
        there = std::max(there + work, duration::zero());
    }
}

void stage_backlog::add(const std::string& service, const std::string& zone, std::int32_t priority,
                        std::uint32_t pieces)
{
    change(service, zone, priority, work_of(service, pieces));
}

void stage_backlog::remove(const std::string& service, const std::string& zone,
                           std::int32_t priority, std::uint32_t pieces)
{
    change(service, zone, priority, -work_of(service, pieces));
}

void stage_backlog::note_arrival(const stage_job& content, time_point now)
{
    const double smoothing = std::chrono::duration<double>(arrival_smoothing).count();
    for (const job_stage& stage : content.stages) {
        service_state& state = services_[stage.service];
        const double elapsed = std::chrono::duration<double>(now - state.arriving_updated).count();
        const double kept = 1 / (1 + elapsed / smoothing);
        for (auto& [priority, rate] : state.arriving) {
            rate *= kept;
        }
        state.arriving_updated = now;
        state.arriving[content.priority] +=
            std::chrono::duration<double>(work_of(stage.service, stage.pieces)).count() / smoothing;
    }
}

duration stage_backlog::wait(const std::string& service, std::int32_t priority,
                             std::size_t workers) const
{
    const auto state = services_.find(service);
    if (state == services_.end()) {
        return duration::zero();
    }
    duration ahead{};
    for (const auto& [other, work] : state->second.committed) {
        ahead += other <= priority ? work : duration::zero();
    }
    double arriving = 0; // more urgent work, in endpoint time for each second
    for (const auto& [other, work] : state->second.arriving) {
        arriving += other < priority ? work : 0;
    }
    const auto endpoints = static_cast<double>(std::max<std::size_t>(workers, 1));
    const double share = 1 - std::min(arriving / endpoints, most_arriving);
    return duration(
        static_cast<duration::rep>(static_cast<double>(ahead.count()) / (endpoints * share)));
}

std::string stage_backlog::least_loaded_zone(const stage_job& content) const
{
    std::map<std::string, std::pair<std::size_t, double>> zones; // services there, greatest load
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
                const auto there = state->second.committed_in_zone.find(zone);
                load =
                    there == state->second.committed_in_zone.end()
                        ? 0
                        : static_cast<double>(there->second.count()) / static_cast<double>(count);
            }
            auto& [present, greatest] = zones[zone];
            ++present;
            greatest = std::max(greatest, load);
        }
    }
    std::string best;
    double least = 0;
    for (const auto& [zone, state] : zones) {
        const auto& [present, load] = state;
        if (present == services && (best.empty() || load < least)) {
            best = zone;
            least = load;
        }
    }
    return best;
}

} // namespace quetzal::gateway
