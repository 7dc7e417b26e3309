#include <quetzal/serving/endpoint_subset.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

std::vector<placed_instance> instances(std::size_t count)
{
    std::vector<placed_instance> list;
    for (std::size_t index = 0; index < count; ++index) {
        list.push_back({instance_id("instance-" + std::to_string(index)),
                        zone_id("zone-" + std::to_string(index % 3))});
    }
    return list;
}

std::vector<placed_endpoint> endpoints(std::size_t count)
{
    std::vector<placed_endpoint> list;
    for (std::size_t index = 0; index < count; ++index) {
        list.push_back({endpoint_id("endpoint-" + std::to_string(index)),
                        zone_id("zone-" + std::to_string(index % 3))});
    }
    return list;
}

} // namespace

// Guards against endpoints that many instances connect to while others are idle, and against
// instances without endpoints outside their zone.
Test(endpoint_subset, is_bounded_balanced_and_spread_over_zones)
{
    const auto fleet = instances(330);
    const auto pool = endpoints(600);
    section("given 330 instances and 600 endpoints", [&] {
        std::map<endpoint_id, std::size_t> users;
        for (const auto& instance : fleet) {
            const auto subset = choose_subset(instance.id, fleet, pool);
            check(subset.size() == max_subset, "the subset is complete");
            check(std::set(subset.begin(), subset.end()).size() == max_subset, "no duplicates");
            std::size_t own = 0;
            std::set<zone_id> zones;
            for (const auto& endpoint : subset) {
                ++users[endpoint];
                const auto zone = std::find_if(pool.begin(), pool.end(), [&](const auto& placed) {
                                      return placed.id == endpoint;
                                  })->zone;
                own += zone == instance.zone ? 1 : 0;
                zones.insert(zone);
            }
            check(own >= max_subset / 3 && zones.size() == 3,
                  "a third is in the own zone, and all zones are present");
        }
        std::size_t most = 0;
        for (const auto& [endpoint, count] : users) {
            most = std::max(most, count);
        }
        check(users.size() == 600, "every endpoint is used");
        check(most <= std::ceil(1.25 * 330 * 24 / 600.0), "no endpoint exceeds the bound");
    });
    section("when one instance is replaced, few connections change", [&] {
        auto changed = fleet;
        changed[17].id = instance_id("replacement");
        std::size_t moved = 0;
        for (const auto& instance : fleet) {
            const auto before = choose_subset(instance.id, fleet, pool);
            const auto after = choose_subset(instance.id, changed, pool);
            const std::set<endpoint_id> kept(before.begin(), before.end());
            for (const auto& endpoint : after) {
                moved += kept.contains(endpoint) ? 0 : 1;
            }
        }
        check(moved < 330 * 24 / 50, "less than 2% of all connections change");
    });
    section("given a small pool, an instance uses all of it", [&] {
        check(choose_subset(fleet[0].id, fleet, endpoints(10)).size() == 10, "all ten endpoints");
    });
    section("given an instance that is not listed yet, it gets a subset too", [&] {
        check(choose_subset(instance_id("new"), fleet, pool).size() == max_subset,
              "the subset has 24 endpoints");
    });
}
