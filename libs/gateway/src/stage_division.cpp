#include <quetzal/gateway/stage_division.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>

#include <quetzal/base/hash.hpp>

namespace quetzal::gateway {

namespace {

// One coordinator on half a core schedules the calls of this many endpoints with room for bursts.
constexpr std::size_t max_endpoints_of_one = 64;
// Shares that a job is sent to before it is refused. More would multiply the messages of an
// overloaded fleet.
constexpr std::size_t max_candidates = 2;

// Returns a number in [0, 1) that depends on the request alone.
double fraction_for(std::string_view request_id, std::uint64_t salt)
{
    constexpr unsigned unused_bits = 11; // of a double's 53
    return static_cast<double>(combine_hash(salt, stable_hash(request_id)) >> unused_bits) *
           0x1.0p-53;
}

using zone_weights = std::map<std::string, double>;

// Removes one of the zones, chosen with probabilities in proportion to the weights, and returns it.
std::string take_weighted(zone_weights& weights, double fraction)
{
    double total = 0;
    for (const auto& [zone, weight] : weights) {
        total += weight;
    }
    double position = fraction * total;
    auto chosen = weights.begin();
    for (auto next = weights.begin(); next != weights.end() && position >= 0; ++next) {
        position -= next->second;
        chosen = next;
    }
    std::string zone = chosen->first;
    weights.erase(chosen);
    return zone;
}

} // namespace

std::vector<stage_share> stage_division::shares() const
{
    std::size_t stage_endpoints = 0;
    std::set<std::string> zones;
    for (const auto& [id, value] : view_.endpoints()) {
        const service_definition* definition = view_.find_service(value.service);
        if (definition != nullptr && definition->stage) {
            ++stage_endpoints;
            zones.insert(value.zone);
        }
    }
    if (stage_endpoints <= max_endpoints_of_one || zones.contains(std::string())) {
        return {whole_fleet};
    }
    return {zones.begin(), zones.end()};
}

std::vector<stage_share> stage_division::candidates(const stage_job& job,
                                                    std::string_view own_zone) const
{
    const auto divided = shares();
    if (divided.size() == 1) {
        return {whole_fleet};
    }
    // A zone weighs as much as its part of the service of which it has the fewest endpoints.
    zone_weights weights;
    for (const auto& zone : divided) {
        weights[zone] = 1;
    }
    for (const job_stage& stage : job.stages) {
        if (stage.pieces == 0) {
            continue;
        }
        std::map<std::string, std::size_t> count;
        const auto usable = view_.usable_endpoints(stage.service);
        for (const endpoint* value : usable) {
            ++count[value->zone];
        }
        for (auto& [zone, weight] : weights) {
            weight =
                std::min(weight, static_cast<double>(count[zone]) /
                                     static_cast<double>(std::max<std::size_t>(usable.size(), 1)));
        }
    }
    double total = 0;
    std::erase_if(weights, [&](const auto& entry) {
        total += entry.second;
        return entry.second <= 0;
    });
    if (weights.empty()) {
        return {whole_fleet}; // no zone has endpoints of all services of the job
    }
    std::vector<stage_share> chosen;
    const double even_weight = total / static_cast<double>(weights.size());
    const auto preferred = weights.find(job.zone.empty() ? std::string(own_zone) : job.zone);
    if (preferred != weights.end() &&
        fraction_for(job.request_id, 0) < preferred->second / even_weight) {
        chosen.push_back(preferred->first);
        weights.erase(preferred);
    }
    for (std::uint64_t salt = 1; chosen.size() < max_candidates && !weights.empty(); ++salt) {
        chosen.push_back(take_weighted(weights, fraction_for(job.request_id, salt)));
    }
    return chosen;
}

} // namespace quetzal::gateway
