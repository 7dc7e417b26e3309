#include <quetzal/serving/address_answer.hpp>

#include <algorithm>
#include <cmath>

#include <quetzal/base/hash.hpp>

namespace quetzal::serving {

namespace {

using candidate_list = std::vector<const address_candidate*>;

// Weighted rendezvous score: an instance gets a share of the keys proportional to its weight.
double weighted_score(std::uint64_t key, const address_candidate& candidate)
{
    const std::uint64_t hash = rendezvous_score(key, candidate.id.name);
    const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53; // in (0, 1)
    return -std::max(candidate.weight, 1e-6) / std::log(unit);
}

// Sorts by preference for the key. Ties are broken by name, so that all instances agree.
void rank(candidate_list& list, std::uint64_t key)
{
    std::sort(list.begin(), list.end(), [&](const auto* a, const auto* b) {
        return std::pair(-weighted_score(key, *a), a->id) <
               std::pair(-weighted_score(key, *b), b->id);
    });
}

candidate_list eligible_candidates(const std::vector<address_candidate>& candidates)
{
    candidate_list list;
    for (const address_candidate& candidate : candidates) {
        if (!candidate.leaving && !candidate.suspected && !candidate.zone_evacuated) {
            list.push_back(&candidate);
        }
    }
    return list;
}

// Returns the instances that serve a customer: its home, then instances in the home's zone, then
// those in other zones.
candidate_list serving_instances(const address_query& query, candidate_list list,
                                 const address_options& options)
{
    rank(list, stable_hash(query.customer.name));
    const auto home = std::find_if(list.begin(), list.end(), [&](const auto* candidate) {
        return query.home && candidate->id == *query.home;
    });
    if (home != list.end()) {
        std::rotate(list.begin(), home, home + 1);
    }
    const zone_id zone = list.front()->zone;
    std::stable_partition(list.begin(), list.end(),
                          [&](const auto* candidate) { return candidate->zone == zone; });
    const double needed = std::ceil(query.rate / std::max(options.rate_per_instance, 1e-9));
    const auto available = static_cast<double>(list.size());
    list.resize(static_cast<std::size_t>(std::clamp(needed, 1.0, available)));
    return list;
}

} // namespace

std::optional<address_answer> resolve_address(const address_query& query,
                                              const std::vector<address_candidate>& candidates,
                                              const address_options& options)
{
    candidate_list all = eligible_candidates(candidates);
    if (all.empty()) {
        return std::nullopt;
    }
    candidate_list serving = serving_instances(query, all, options);
    const std::uint64_t key = combine_hash(stable_hash(query.customer.name), query.caller);
    rank(serving, key);
    const address_candidate& chosen = *serving.front();
    rank(all, key);
    const auto other = std::find_if(all.begin(), all.end(), [&](const auto* candidate) {
        return candidate->zone != chosen.zone;
    });
    address_answer answer;
    answer.address = chosen.address;
    answer.instance = chosen.id;
    if (other != all.end()) {
        answer.fallback = (*other)->address;
    }
    const double unit = static_cast<double>(combine_hash(key, 1) >> 11) * 0x1.0p-53;
    const double factor = 1 + options.ttl_jitter * (2 * unit - 1);
    answer.ttl =
        duration(static_cast<duration::rep>(static_cast<double>(options.ttl.count()) * factor));
    return answer;
}

} // namespace quetzal::serving
