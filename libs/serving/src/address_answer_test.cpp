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

std::vector<address_candidate> fleet(std::size_t count)
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

std::map<instance_id, int> spread(const address_question& question,
                                  const std::vector<address_candidate>& candidates)
{
    std::map<instance_id, int> counts;
    for (std::uint64_t caller = 0; caller < 1000; ++caller) {
        auto asked = question;
        asked.caller = caller;
        ++counts[answer_address(asked, candidates)->instance];
    }
    return counts;
}

} // namespace

// Guards against callers sent to an instance that is about to go, or all to one instance.
Test(address_answer, prefers_the_home_and_spreads_large_customers)
{
    auto list = fleet(9);
    address_question question{customer_id("rugs"), 0, instance_id("i4"), 10};
    section("given a small customer, all its callers use its home", [&] {
        check(spread(question, list) == std::map<instance_id, int>{{instance_id("i4"), 1000}},
              "the home");
        const auto answer = answer_address(question, list);
        check(answer->fallback.has_value(), "with a fallback");
        for (const auto& candidate : list) {
            check(candidate.address != *answer->fallback || candidate.zone != zone_id("z1"),
                  "in another zone");
        }
        check(answer->keep >= 24s && answer->keep <= 36s, "kept for about 30 s");
    });
    section("given a large customer, its callers spread evenly", [&] {
        question.rate = 140;
        const auto counts = spread(question, list);
        check(counts.size() == 3 && counts.contains(instance_id("i4")), "home and two more");
        for (const auto& [instance, count] : counts) {
            check(count > 270 && count < 400, "a third each");
            check((instance.name[1] - '0') % 3 == 1, "in the home's zone");
        }
        list[7].weight = 0.5;
        const int halved = spread(question, list)[instance_id("i7")];
        check(halved > 150 && halved < 250, "by weight");
        list[7].weight = 1;
    });
    section("given leaving, suspected and withdrawn instances, none is named", [&] {
        question.rate = 1000;
        list[4].leaving = true;
        list[1].suspected = true;
        list[7].zone_out = true;
        list[0].leaving = true;
        std::set<std::string> named;
        for (std::uint64_t caller = 0; caller < 1000; ++caller) {
            question.caller = caller;
            const auto answer = answer_address(question, list);
            named.insert(answer->address);
            named.insert(answer->fallback.value());
        }
        check(named.size() == 5, "the five others");
        for (const auto index : {0u, 1u, 4u, 7u}) {
            check(!named.contains(list[index].address), "never");
        }
    });
    section("given nobody to name, there is no answer",
            [&] { check(!answer_address(question, {}), "none"); });
}
