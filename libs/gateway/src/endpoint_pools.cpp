#include <quetzal/gateway/endpoint_pools.hpp>

#include <algorithm>
#include <utility>

namespace quetzal::gateway {

namespace {

constexpr std::size_t candidates = 8; // endpoints compared for one request
// Time to read one prompt token that is not cached: 50,000 tokens a second.
constexpr duration per_cached_token = std::chrono::microseconds(20);
// Cost of a call to another availability zone, against which load differences are weighed.
constexpr duration other_zone_cost = std::chrono::milliseconds(2);
// Part of an endpoint's connections that the fleet plans with; the rest covers instances that
// disagree on their number.
constexpr double connection_share = 0.85;
constexpr std::uint32_t least_concurrency = 2;
// Share of failed answers that ejects an endpoint whatever the others do. Services of today answer
// one in seven repeatable requests with an error, so three errors in a row happen by chance.
constexpr double certain_failures = 0.75;
constexpr duration unreachable_pause = std::chrono::seconds(1);
constexpr duration ejection = std::chrono::seconds(2);
constexpr duration longest_ejection = std::chrono::seconds(8);

} // namespace

endpoint_pools::endpoint_pools(endpoint_pool_options options)
    : options_(std::move(options)), random_(options_.seed), cold_(options_.cold)
{
}

std::uint32_t endpoint_pools::concurrency_of(const service_definition& definition,
                                             std::size_t instances) const
{
    const double connections = definition.max_connections * connection_share /
                               static_cast<double>(std::max<std::size_t>(instances, 1));
    auto limit = std::max(static_cast<std::uint32_t>(connections), least_concurrency);
    if (definition.engine) {
        limit = std::min(limit, definition.engine->slots);
    }
    return limit;
}

endpoint_pools::pool& endpoint_pools::pool_of(const service_definition& definition,
                                              std::uint32_t concurrency)
{
    auto& owned = pools_[definition.name];
    if (!owned) {
        serving::chooser_options options;
        options.concurrency = concurrency;
        options.choices = candidates;
        options.other_zone_cost = other_zone_cost;
        options.per_cached_token = per_cached_token;
        options.absolute_failure_bound = certain_failures;
        options.ejection = ejection;
        options.max_ejection = longest_ejection;
        if (!definition.engine) {
            options.cached_prefixes = 0;
        }
        owned = std::make_unique<pool>(options);
        owned->concurrency = concurrency;
    }
    if (owned->concurrency != concurrency) {
        owned->chooser.resize(concurrency);
        owned->concurrency = concurrency;
        for (auto& [id, member] : owned->members) {
            owned->chooser.limit(member.first, concurrency);
        }
    }
    return *owned;
}

std::uint32_t endpoint_pools::zone_number(const std::string& zone)
{
    return zones_.try_emplace(zone, static_cast<std::uint32_t>(zones_.size())).first->second;
}

void endpoint_pools::refresh(const catalog& view, std::size_t instances, time_point now)
{
    for (const auto& [id, value] : view.endpoints()) {
        const service_definition* definition = view.find_service(value.service);
        if (definition == nullptr || definition->stage) {
            continue; // calls of stages are placed by the stage broker
        }
        const std::uint32_t concurrency = concurrency_of(*definition, instances);
        pool& members = pool_of(*definition, concurrency);
        auto found = members.members.find(id);
        if (found != members.members.end() && !found->second.second.same_incarnation(value)) {
            members.chooser.restarted(found->second.first);
            found->second.second = value;
        }
        if (found == members.members.end()) {
            const auto index = members.chooser.add(endpoint_id(id), zone_number(value.zone),
                                                   value.zone != options_.zone);
            members.chooser.exclude(index, serving::exclusion::unconnected, false);
            members.chooser.exclude(index, serving::exclusion::cold, false);
            members.chooser.limit(index, concurrency);
            found = members.members.emplace(id, std::pair(index, value)).first;
        }
        found->second.second = value;
    }
    for (auto& named_pool : pools_) {
        const std::string& name = named_pool.first;
        pool* members = named_pool.second.get();
        std::erase_if(members->members, [&](const auto& entry) {
            const auto& [index, value] = entry.second;
            const endpoint* current = view.find_endpoint(entry.first);
            const bool gone = current == nullptr || current->service != name;
            if (gone) {
                members->chooser.remove(index);
            } else {
                members->chooser.exclude(index, serving::exclusion::leaving,
                                         !view.accepts_work(*current));
            }
            return gone;
        });
    }
    return_ejected(now);
}

std::optional<chosen_endpoint> endpoint_pools::start(const catalog& view,
                                                     const std::string& service,
                                                     const endpoint_wish& wish,
                                                     const member_table& members, time_point now)
{
    const auto found = pools_.find(service);
    const auto* definition = view.find_service(service);
    if (found == pools_.end() || definition == nullptr) {
        return std::nullopt;
    }
    pool& chosen_pool = *found->second;
    std::vector<serving::endpoint_index> avoid;
    for (const auto& id : wish.avoid) {
        if (const auto tried = chosen_pool.members.find(id); tried != chosen_pool.members.end()) {
            avoid.push_back(tried->second.first);
        }
    }
    for (std::size_t tries = 0; tries <= chosen_pool.members.size(); ++tries) {
        serving::choice_request request;
        request.prefixes = wish.prefixes;
        request.avoid = avoid;
        const auto picked = chosen_pool.chooser.choose(request, random_, now);
        if (!picked) {
            return std::nullopt;
        }
        const endpoint* target = view.find_endpoint(chosen_pool.chooser.id(picked->endpoint).name);
        const bool refused =
            target == nullptr || !view.accepts_work(*target) ||
            (target->cold_until > now &&
             !cold_.try_send(target->id, definition->cold_rate, members.recent_size(now),
                             members.rank_for(target->id, now), now));
        if (refused) {
            avoid.push_back(picked->endpoint);
            continue;
        }
        chosen_pool.chooser.started(picked->endpoint, now);
        const auto prompt = wish.prefixes.empty() ? serving::prompt_prefix{} : wish.prefixes.back();
        return chosen_endpoint{*target, picked->endpoint, picked->expected_prefix, prompt, now};
    }
    return std::nullopt;
}

std::string endpoint_pools::likely_zone(const catalog& view, const std::string& service,
                                        const endpoint_wish& wish, time_point now)
{
    const auto found = pools_.find(service);
    if (found == pools_.end()) {
        return {};
    }
    serving::choice_request request;
    request.prefixes = wish.prefixes;
    const auto picked = found->second->chooser.choose(request, random_, now);
    const endpoint* target =
        picked ? view.find_endpoint(found->second->chooser.id(picked->endpoint).name) : nullptr;
    return target == nullptr ? std::string() : target->zone;
}

void endpoint_pools::finish(const chosen_endpoint& chosen, const serving::attempt_outcome& outcome,
                            time_point now)
{
    const auto found = pools_.find(chosen.target.service);
    if (found == pools_.end()) {
        return;
    }
    const auto member = found->second->members.find(chosen.target.id);
    if (member == found->second->members.end() || member->second.first != chosen.index ||
        !member->second.second.same_incarnation(chosen.target))
    {
        return; // the endpoint has left or restarted since
    }
    found->second->chooser.finished(chosen.index, outcome, now);
}

void endpoint_pools::unreachable(const chosen_endpoint& chosen, time_point now)
{
    const auto found = pools_.find(chosen.target.service);
    if (found == pools_.end() || !found->second->members.contains(chosen.target.id)) {
        return;
    }
    found->second->chooser.exclude(chosen.index, serving::exclusion::refusing, true);
    found->second->unreachable_until[chosen.target.id] = now + unreachable_pause;
}

void endpoint_pools::report(const chosen_endpoint& chosen, std::uint32_t running,
                            std::uint32_t waiting, time_point now)
{
    const auto found = pools_.find(chosen.target.service);
    if (found == pools_.end() || !found->second->members.contains(chosen.target.id)) {
        return;
    }
    serving::load_report report;
    report.running = running;
    report.waiting = waiting;
    found->second->chooser.report(chosen.index, report, now);
}

bool endpoint_pools::any_usable(const catalog& view, const std::string& service) const
{
    return !view.usable_endpoints(service).empty();
}

void endpoint_pools::return_ejected(time_point now)
{
    for (auto& [name, members] : pools_) {
        for (auto entry = members->unreachable_until.begin();
             entry != members->unreachable_until.end();) {
            if (entry->second > now) {
                ++entry;
                continue;
            }
            if (const auto known = members->members.find(entry->first);
                known != members->members.end()) {
                members->chooser.exclude(known->second.first, serving::exclusion::refusing, false);
            }
            entry = members->unreachable_until.erase(entry);
        }
        for (const auto& due : members->chooser.due_probes(now)) {
            // The endpoint comes back with one call at a time, which is the probe.
            members->chooser.probed(due.endpoint, true, now);
            members->chooser.probed(due.endpoint, true, now);
        }
    }
}

} // namespace quetzal::gateway
