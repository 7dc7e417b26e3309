#include <quetzal/gateway/endpoint_pools.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

#include <quetzal/gateway/decision_log.hpp>

namespace quetzal::gateway {

namespace {

constexpr std::size_t candidate_count = 8; // endpoints compared for each request
// Time to process one uncached prompt token: 50,000 tokens a second.
constexpr duration prefill_time_per_token = std::chrono::microseconds(20);
// Added to the cost of an endpoint in another availability zone when endpoints are compared.
constexpr duration other_zone_cost = std::chrono::milliseconds(2);
// Share of an endpoint's connections that the instances divide among themselves. The rest covers
// the time in which instances disagree on their number.
constexpr double usable_connection_share = 0.85;
constexpr std::uint32_t min_concurrency = 2;
// Share of failed responses that ejects an endpoint regardless of the other endpoints. Services
// currently fail one in seven retryable requests, so three errors in a row occur by chance.
constexpr double absolute_failure_bound = 0.75;
constexpr double slow_pace = 1.5; // for the log and the metrics only
constexpr duration unreachable_timeout = std::chrono::seconds(1);
constexpr duration ejection_time = std::chrono::seconds(2);
constexpr duration max_ejection_time = std::chrono::seconds(8);

} // namespace

endpoint_pools::endpoint_pools(endpoint_pool_options options)
    : options_(std::move(options)), random_(options_.seed), cold_(options_.cold)
{
}

std::uint32_t endpoint_pools::concurrency_limit(const service_definition& definition,
                                                std::size_t instances) const
{
    const double connections = definition.max_connections * usable_connection_share /
                               static_cast<double>(std::max<std::size_t>(instances, 1));
    auto limit = std::max(static_cast<std::uint32_t>(connections), min_concurrency);
    if (definition.engine) {
        limit = std::min(limit, definition.engine->slots);
    }
    return limit;
}

endpoint_pools::pool& endpoint_pools::pool_for(const service_definition& definition,
                                               std::uint32_t concurrency)
{
    auto& owned = pools_[definition.name];
    if (!owned) {
        serving::chooser_options options;
        options.concurrency = concurrency;
        options.choices = candidate_count;
        options.other_zone_cost = other_zone_cost;
        options.per_cached_token = prefill_time_per_token;
        options.absolute_failure_bound = absolute_failure_bound;
        options.ejection = ejection_time;
        options.max_ejection = max_ejection_time;
        if (!definition.engine) {
            options.cached_prefixes = 0;
        }
        owned = std::make_unique<pool>(options);
        owned->concurrency = concurrency;
    }
    if (owned->concurrency != concurrency) {
        owned->chooser.resize(concurrency);
        owned->concurrency = concurrency;
        for (auto& [id, entry] : owned->endpoints) {
            owned->chooser.limit(entry.index, concurrency);
        }
    }
    return *owned;
}

std::uint32_t endpoint_pools::zone_index(const std::string& zone)
{
    return zones_.try_emplace(zone, static_cast<std::uint32_t>(zones_.size())).first->second;
}

void endpoint_pools::refresh(const catalog& view, std::size_t instances, time_point now)
{
    for (const auto& [id, value] : view.endpoints()) {
        const service_definition* definition = view.find_service(value.service);
        if (definition == nullptr || definition->stage) {
            continue; // stage calls are scheduled by the coordinator
        }
        const std::uint32_t concurrency = concurrency_limit(*definition, instances);
        pool& service_pool = pool_for(*definition, concurrency);
        auto found = service_pool.endpoints.find(id);
        if (found != service_pool.endpoints.end() && !found->second.value.same_incarnation(value)) {
            // Requests that are open at the former incarnation take no place at this one.
            service_pool.chooser.remove(found->second.index);
            service_pool.endpoints.erase(found);
            service_pool.unreachable_until.erase(id);
            found = service_pool.endpoints.end();
        }
        if (found == service_pool.endpoints.end()) {
            const auto index = service_pool.chooser.add(endpoint_id(id), zone_index(value.zone),
                                                        value.zone != options_.zone);
            service_pool.chooser.exclude(index, serving::exclusion::unconnected, false);
            service_pool.chooser.exclude(index, serving::exclusion::cold, false);
            service_pool.chooser.limit(index, concurrency);
            found =
                service_pool.endpoints.emplace(id, pool_entry{index, next_entry_++, value}).first;
        }
        found->second.value = value;
    }
    for (auto& named_pool : pools_) {
        const std::string& name = named_pool.first;
        pool* service_pool = named_pool.second.get();
        std::erase_if(service_pool->endpoints, [&](const auto& entry) {
            const serving::endpoint_index index = entry.second.index;
            const endpoint* current = view.find_endpoint(entry.first);
            const bool gone = current == nullptr || current->service != name;
            if (gone) {
                service_pool->chooser.remove(index);
                service_pool->unreachable_until.erase(entry.first);
            } else {
                service_pool->chooser.exclude(index, serving::exclusion::leaving,
                                              !view.accepts_work(*current));
            }
            return gone;
        });
    }
    readmit_endpoints(now);
}

std::vector<serving::endpoint_index> endpoint_pools::indexes_of(const pool& service_pool,
                                                                const std::vector<std::string>& ids)
{
    std::vector<serving::endpoint_index> indexes;
    for (const auto& id : ids) {
        if (const auto found = service_pool.endpoints.find(id);
            found != service_pool.endpoints.end()) {
            indexes.push_back(found->second.index);
        }
    }
    return indexes;
}

bool endpoint_pools::has_free_endpoint(const catalog& view, const std::string& service,
                                       const endpoint_requirements& requirements, time_point now)
{
    const auto found = pools_.find(service);
    if (found == pools_.end()) {
        return false;
    }
    const pool& service_pool = *found->second;
    std::vector<serving::endpoint_index> avoid = indexes_of(service_pool, requirements.avoid);
    for (std::size_t tries = 0; tries <= service_pool.endpoints.size(); ++tries) {
        serving::choice_request request;
        request.avoid = avoid;
        const auto picked = service_pool.chooser.choose(request, random_, now);
        if (!picked) {
            return false;
        }
        const endpoint* target = view.find_endpoint(service_pool.chooser.id(picked->endpoint).name);
        if (target != nullptr && view.accepts_work(*target) && target->cold_until <= now) {
            return true;
        }
        avoid.push_back(picked->endpoint);
    }
    return false;
}

std::optional<chosen_endpoint>
endpoint_pools::start_request(const catalog& view, const std::string& service,
                              const endpoint_requirements& requirements,
                              const member_table& members, time_point now)
{
    const auto found = pools_.find(service);
    const auto* definition = view.find_service(service);
    if (found == pools_.end() || definition == nullptr) {
        return std::nullopt;
    }
    pool& service_pool = *found->second;
    std::vector<serving::endpoint_index> avoid = indexes_of(service_pool, requirements.avoid);
    for (std::size_t tries = 0; tries <= service_pool.endpoints.size(); ++tries) {
        serving::choice_request request;
        request.prefixes = requirements.prefixes;
        request.avoid = avoid;
        const auto picked = service_pool.chooser.choose(request, random_, now);
        if (!picked) {
            return std::nullopt;
        }
        const endpoint* target = view.find_endpoint(service_pool.chooser.id(picked->endpoint).name);
        const bool refused =
            target == nullptr || !view.accepts_work(*target) ||
            (target->cold_until > now &&
             !cold_.try_acquire(target->id, definition->cold_rate, members.recent_size(now),
                                members.recent_rank_for(target->id, now), now));
        if (refused) {
            avoid.push_back(picked->endpoint);
            continue;
        }
        service_pool.chooser.started(picked->endpoint, now);
        const auto prompt =
            requirements.prefixes.empty() ? serving::prompt_prefix{} : requirements.prefixes.back();
        const std::uint64_t entry = service_pool.endpoints.at(target->id).number;
        return chosen_endpoint{*target, picked->endpoint, entry, picked->expected_prefix, prompt,
                               now};
    }
    return std::nullopt;
}

std::string endpoint_pools::likely_zone(const catalog& view, const std::string& service,
                                        const endpoint_requirements& requirements, time_point now)
{
    const auto found = pools_.find(service);
    if (found == pools_.end()) {
        return {};
    }
    serving::choice_request request;
    request.prefixes = requirements.prefixes;
    const auto picked = found->second->chooser.choose(request, random_, now);
    const endpoint* target =
        picked ? view.find_endpoint(found->second->chooser.id(picked->endpoint).name) : nullptr;
    return target == nullptr ? std::string() : target->zone;
}

void endpoint_pools::finish_request(const chosen_endpoint& chosen,
                                    const serving::attempt_outcome& outcome, time_point now)
{
    if (pool* const service_pool = pool_of(chosen)) {
        service_pool->chooser.finished(chosen.index, outcome, now);
    }
}

endpoint_pools::pool* endpoint_pools::pool_of(const chosen_endpoint& chosen)
{
    const auto found = pools_.find(chosen.target.service);
    if (found == pools_.end()) {
        return nullptr;
    }
    const auto entry = found->second->endpoints.find(chosen.target.id);
    const bool listed =
        entry != found->second->endpoints.end() && entry->second.number == chosen.entry;
    return listed ? found->second.get() : nullptr;
}

void endpoint_pools::mark_unreachable(const chosen_endpoint& chosen, time_point now)
{
    if (pool* const service_pool = pool_of(chosen)) {
        service_pool->chooser.exclude(chosen.index, serving::exclusion::refusing, true);
        service_pool->unreachable_until[chosen.target.id] = now + unreachable_timeout;
    }
}

void endpoint_pools::report_load(const chosen_endpoint& chosen, const reported_load& load,
                                 time_point now)
{
    pool* const service_pool = pool_of(chosen);
    if (service_pool == nullptr) {
        return;
    }
    serving::load_report report;
    report.running = load.running;
    report.waiting = load.waiting;
    report.pace = load.pace;
    service_pool->chooser.report(chosen.index, report, now);
    if (load.pace) {
        log_pace(*service_pool, chosen, now);
    }
}

// Logs an endpoint that is slow according to its report and was not before, or the other way round.
void endpoint_pools::log_pace(pool& service_pool, const chosen_endpoint& chosen, time_point now)
{
    const serving::endpoint_pace& pace = service_pool.chooser.pace(chosen.index);
    pool_entry& entry = service_pool.endpoints.at(chosen.target.id);
    if (const bool slow = pace.latest() >= slow_pace; slow != entry.slow) {
        entry.slow = slow;
        const auto percent = [](double value) { return std::lround(value * 100); };
        log_event("endpoint_pace",
                  {{"endpoint", chosen.target.id},
                   {"service", chosen.target.service},
                   {"reported_percent", percent(pace.latest())},
                   {"expected_percent", percent(pace.expected(service_pool.chooser.pace(), now))},
                   {"service_percent", percent(service_pool.chooser.pace().mean())}});
    }
}

std::vector<service_pace> endpoint_pools::paces(time_point now) const
{
    std::vector<service_pace> found;
    for (const auto& [name, service_pool] : pools_) {
        const serving::pool_pace& pace = service_pool->chooser.pace();
        if (!pace.known()) {
            continue;
        }
        service_pace& added =
            found.emplace_back(service_pace{name, pace.mean(), 0, pace.reports()});
        for (const auto& [id, entry] : service_pool->endpoints) {
            const serving::endpoint_pace& known = service_pool->chooser.pace(entry.index);
            added.slow += known.known() && known.expected(pace, now) >= slow_pace ? 1 : 0;
        }
    }
    return found;
}

bool endpoint_pools::has_usable_endpoint(const catalog& view, const std::string& service) const
{
    return has_usable_endpoint(view, service, {});
}

bool endpoint_pools::has_usable_endpoint(const catalog& view, const std::string& service,
                                         const std::vector<std::string>& avoid) const
{
    const auto usable = view.usable_endpoints(service);
    return std::any_of(usable.begin(), usable.end(), [&](const endpoint* candidate) {
        return std::find(avoid.begin(), avoid.end(), candidate->id) == avoid.end();
    });
}

void endpoint_pools::readmit_endpoints(time_point now)
{
    for (auto& [name, service_pool] : pools_) {
        for (auto entry = service_pool->unreachable_until.begin();
             entry != service_pool->unreachable_until.end();)
        {
            if (entry->second > now) {
                ++entry;
                continue;
            }
            if (const auto known = service_pool->endpoints.find(entry->first);
                known != service_pool->endpoints.end())
            {
                service_pool->chooser.exclude(known->second.index, serving::exclusion::refusing,
                                              false);
            }
            entry = service_pool->unreachable_until.erase(entry);
        }
        for (const auto& due : service_pool->chooser.due_probes(now)) {
            // No separate probe is sent: the endpoint is readmitted with one call at a time, which
            // serves as the probe.
            service_pool->chooser.probed(due.endpoint, true, now);
            service_pool->chooser.probed(due.endpoint, true, now);
        }
    }
}

} // namespace quetzal::gateway
