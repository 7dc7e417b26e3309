#include <quetzal/serving/address_answer.hpp>

#include <map>
#include <set>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

std::vector<address_candidate> make_candidates(std::size_t count)
{
    std::vector<address_candidate> list;
    for (std::size_t index = 0; index < count; ++index) {
        address_candidate candidate;
        candidate.id = instance_id("i" + std::to_string(index));
        candidate.address = "10.0.0." + std::to_string(index) + ":80";
        candidate.zone = zone_id("z" + std::to_string(index % 3));
        list.push_back(candidate);
    }
    return list;
}

std::map<instance_id, int> count_by_instance(const address_query& query,
                                             const std::vector<address_candidate>& candidates)
{
    std::map<instance_id, int> counts;
    for (std::uint64_t caller = 0; caller < 1000; ++caller) {
        auto asked = query;
        asked.caller = caller;
        ++counts[resolve_address(asked, candidates)->instance];
    }
    return counts;
}

} // namespace

// Guards against sending callers to an instance that is shutting down, or all of them to one
// instance.
Test(address_answer, prefers_the_home_and_spreads_large_customers)
{
    auto list = make_candidates(9);
    address_query query{customer_id("rugs"), 0, instance_id("i4"), 10};
    section("given a small customer, all its callers get its home", [&] {
        check(count_by_instance(query, list) ==
                  std::map<instance_id, int>{{instance_id("i4"), 1000}},
              "only the home is returned");
        const auto answer = resolve_address(query, list);
        check(answer->fallback.has_value(), "a fallback is returned");
        for (const auto& candidate : list) {
            check(candidate.address != *answer->fallback || candidate.zone != zone_id("z1"),
                  "the fallback is in another zone");
        }
        check(answer->ttl >= 24s && answer->ttl <= 36s, "the TTL is 30 s with 20% jitter");
    });
    section("given a large customer, its callers are spread evenly", [&] {
        query.rate = 140;
        const auto counts = count_by_instance(query, list);
        check(counts.size() == 3 && counts.contains(instance_id("i4")),
              "the home and two more instances serve it");
        for (const auto& [instance, count] : counts) {
            check(count > 270 && count < 400, "each instance gets about a third of the callers");
            check((instance.name[1] - '0') % 3 == 1, "each instance is in the home's zone");
        }
        list[7].weight = 0.5;
        const int halved = count_by_instance(query, list)[instance_id("i7")];
        check(halved > 150 && halved < 250, "half the weight gets about half the callers");
        list[7].weight = 1;
    });
    section("leaving, suspected and evacuated instances are never returned", [&] {
        query.rate = 1000;
        list[4].leaving = true;
        list[1].suspected = true;
        list[7].zone_evacuated = true;
        list[0].leaving = true;
        std::set<std::string> named;
        for (std::uint64_t caller = 0; caller < 1000; ++caller) {
            query.caller = caller;
            const auto answer = resolve_address(query, list);
            named.insert(answer->address);
            named.insert(answer->fallback.value());
        }
        check(named.size() == 5, "the five other instances are returned");
        for (const auto index : {0u, 1u, 4u, 7u}) {
            check(!named.contains(list[index].address), "the instance is never returned");
        }
    });
    section("without eligible instances, nothing is returned",
            [&] { check(!resolve_address(query, {}), "no address"); });
}
