#include <quetzal/serving/endpoint_subset.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

#include <quetzal/base/hash.hpp>

namespace quetzal::serving {

namespace {

// Maximum number of subsets with an endpoint, relative to the mean. 1.0 would be perfectly even,
// but then each change of a list would change most subsets.
constexpr double max_load_factor = 1.25;
constexpr double own_zone_share = 0.5;

struct endpoint_record
{
    const placed_endpoint* endpoint = nullptr;
    std::uint64_t hash = 0;
    std::size_t users = 0;
};

struct ranked_endpoint
{
    std::uint64_t score = 0;
    endpoint_record* record = nullptr;
};

class subset_builder
{
public:
    subset_builder(const std::vector<placed_instance>& instances,
                   const std::vector<placed_endpoint>& endpoints, std::size_t limit)
        : limit_(std::min(limit, endpoints.size()))
    {
        for (const auto& endpoint : endpoints) {
            records_.push_back({&endpoint, stable_hash(endpoint.id.name), 0});
            zones_.push_back(endpoint.zone);
        }
        std::sort(zones_.begin(), zones_.end());
        zones_.erase(std::unique(zones_.begin(), zones_.end()), zones_.end());
        const double mean = static_cast<double>(instances.size() * limit_) /
                            static_cast<double>(std::max<std::size_t>(endpoints.size(), 1));
        max_users_ = static_cast<std::size_t>(std::ceil(mean * max_load_factor));
    }

    // Assigns a subset to one instance and counts the instance as a user of its endpoints.
    std::vector<endpoint_id> assign(const placed_instance& instance)
    {
        rank(instance);
        chosen_.clear();
        const auto own_quota = static_cast<std::size_t>(
            std::ceil(static_cast<double>(limit_) * (zones_.size() > 1 ? own_zone_share : 1.0)));
        const std::size_t others = std::max<std::size_t>(zones_.size(), 2) - 1;
        const std::size_t other_quota =
            (limit_ - std::min(own_quota, limit_) + others - 1) / others;
        for (const zone_id& zone : zones_) {
            add_best_ranked(zone == instance.zone ? own_quota : other_quota, &zone, max_users_);
        }
        add_best_ranked(limit_, nullptr, max_users_);
        add_best_ranked(limit_, nullptr, SIZE_MAX);
        std::vector<endpoint_id> assigned;
        for (const endpoint_record* record : chosen_) {
            assigned.push_back(record->endpoint->id);
        }
        return assigned;
    }

private:
    void rank(const placed_instance& instance)
    {
        const std::uint64_t key = stable_hash(instance.id.name);
        ranking_.clear();
        for (endpoint_record& record : records_) {
            ranking_.push_back({combine_hash(key, record.hash), &record});
        }
        std::sort(
            ranking_.begin(), ranking_.end(),
            [](const ranked_endpoint& a, const ranked_endpoint& b) { return a.score > b.score; });
    }

    // Adds up to `quota` further endpoints (of one zone, if given) with fewer than `max_users`
    // users, best ranked first.
    void add_best_ranked(std::size_t quota, const zone_id* zone, std::size_t max_users)
    {
        for (ranked_endpoint& entry : ranking_) {
            if (quota == 0 || chosen_.size() == limit_) {
                return;
            }
            const bool fits = entry.record != nullptr && entry.record->users < max_users &&
                              (zone == nullptr || entry.record->endpoint->zone == *zone);
            if (fits) {
                ++entry.record->users;
                chosen_.push_back(entry.record);
                entry.record = nullptr;
                --quota;
            }
        }
    }

    std::size_t limit_;
    std::size_t max_users_ = 0;
    std::vector<endpoint_record> records_;
    std::vector<zone_id> zones_;
    std::vector<ranked_endpoint> ranking_;
    std::vector<endpoint_record*> chosen_;
};

} // namespace

std::vector<endpoint_id> choose_subset(const instance_id& self,
                                       const std::vector<placed_instance>& instances,
                                       const std::vector<placed_endpoint>& endpoints,
                                       std::size_t limit)
{
    if (endpoints.size() <= limit) {
        std::vector<endpoint_id> all;
        all.reserve(endpoints.size());
        for (const auto& endpoint : endpoints) {
            all.push_back(endpoint.id);
        }
        return all;
    }
    // The order of the instances decides which of them find an endpoint full. In the order of
    // hashes, an added or removed instance affects only those after it, and only at endpoints that
    // are full.
    std::vector<const placed_instance*> order;
    order.reserve(instances.size());
    for (const auto& instance : instances) {
        order.push_back(&instance);
    }
    std::sort(order.begin(), order.end(), [](const placed_instance* a, const placed_instance* b) {
        return std::pair(stable_hash(a->id.name), a->id) <
               std::pair(stable_hash(b->id.name), b->id);
    });
    subset_builder builder(instances, endpoints, limit);
    for (const placed_instance* instance : order) {
        auto subset = builder.assign(*instance);
        if (instance->id == self) {
            return subset;
        }
    }
    // An instance that is not in the list yet comes after all others.
    return builder.assign({self, {}});
}

} // namespace quetzal::serving
