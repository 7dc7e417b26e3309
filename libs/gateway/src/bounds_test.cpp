#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/gateway/cold_gate.hpp>
#include <quetzal/gateway/fleet_retry_budget.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double cold_rate = 12;
constexpr cold_gate_options cold_bound{1.5, 5};
constexpr fleet_budget_options budget{0.2, 52, seconds(10)};

// Greatest number of times within any sliding window.
std::size_t most_within(const std::vector<time_point>& times, duration window)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

// Sends as much as the gates of all instances allow for 20 s; each believes in `believed`
// instances.
std::size_t most_sent_cold(std::size_t instances, std::size_t believed)
{
    std::vector<cold_gate> gates(instances, cold_gate(cold_bound));
    std::vector<time_point> sent;
    for (time_point now{seconds(100)}; now < time_point{seconds(120)}; now += milliseconds(3)) {
        for (std::size_t rank = 0; rank < instances; ++rank) {
            if (gates[rank].try_send("e", cold_rate, believed, rank, now)) {
                sent.push_back(now);
            }
        }
    }
    return most_within(sent, seconds(1));
}

} // namespace

// Guards against a cold endpoint that gets more than it bears because every instance counts alone.
Test(cold_gate, all_instances_together_stay_within_the_bound)
{
    const double bound = cold_rate * cold_bound.overage + cold_bound.slack;
    section("given fleets of any size that press a cold endpoint", [&] {
        for (const std::size_t instances : {1, 2, 6, 8, 30, 68}) {
            section(std::to_string(instances) + " instances", [&] {
                const auto most = static_cast<double>(most_sent_cold(instances, instances));
                check(most <= bound, "the sum stays within the bound in any second");
                check(most >= bound / 3, "the endpoint still gets work");
            });
        }
    });
    section("given instances that see only three quarters of the fleet", [&] {
        check(static_cast<double>(most_sent_cold(8, 6)) <= bound, "the reserve covers it");
    });
    section("given an endpoint without a bound", [] {
        cold_gate gate(cold_bound);
        check(gate.try_send("e", 0, 1, 0, time_point{}), "it is never held back");
    });
}

// Guards against repeats that exceed the fleet's budget when a service fails everything.
Test(fleet_retry_budget, all_instances_together_stay_within_the_bound)
{
    section("given eight instances whose every request fails", [] {
        constexpr std::size_t instances = 8;
        for (const std::size_t believed : {8, 4}) {
            std::vector<fleet_retry_budget> budgets(instances, fleet_retry_budget(budget));
            random_source random(20261204);
            std::vector<time_point> requests;
            std::vector<time_point> repeats;
            for (time_point now{seconds(100)}; now < time_point{seconds(160)};
                 now += milliseconds(20)) {
                const auto index = random.below(instances);
                budgets[index].count_request("s", now);
                requests.push_back(now);
                for (int attempt = 0; attempt < 3; ++attempt) {
                    if (budgets[index].try_repeat("s", believed, now)) {
                        repeats.push_back(now);
                    }
                }
            }
            const auto in_window = static_cast<double>(most_within(requests, budget.window));
            const auto most = static_cast<double>(most_within(repeats, budget.window));
            section("when each counts " + std::to_string(believed) + " instances", [&] {
                check(most <= budget.ratio * in_window + budget.slack, "the budget holds");
                check(most >= budget.ratio * in_window / 2, "most of it can be used");
            });
        }
    });
}
