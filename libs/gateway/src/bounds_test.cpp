#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/gateway/cold_rate_limiter.hpp>
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
constexpr cold_rate_limiter_options cold_options{1.5, 5};
constexpr retry_budget_options budget{0.2, 52, seconds(10)};

// Returns the greatest number of time points within any sliding window.
std::size_t max_within_window(const std::vector<time_point>& times, duration window)
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

// Sends as many requests as the limiters of all instances allow for 20 s. Each instance assumes
// that the fleet has `assumed_instances` instances. Returns the greatest number sent within one
// second.
std::size_t max_sent_per_second(std::size_t instances, std::size_t assumed_instances)
{
    std::vector<cold_rate_limiter> limiters(instances, cold_rate_limiter(cold_options));
    std::vector<time_point> sent;
    for (time_point now{seconds(100)}; now < time_point{seconds(120)}; now += milliseconds(3)) {
        for (std::size_t rank = 0; rank < instances; ++rank) {
            if (limiters[rank].try_acquire("e", cold_rate, assumed_instances, rank, now)) {
                sent.push_back(now);
            }
        }
    }
    return max_within_window(sent, seconds(1));
}

} // namespace

// Guards against overloading a cold endpoint because each instance counts only its own requests.
Test(cold_rate_limiter, all_instances_together_stay_within_the_bound)
{
    const double bound = cold_rate * cold_options.overage + cold_options.slack;
    section("given fleets of different sizes that send as much as they may", [&] {
        for (const std::size_t instances : {1, 2, 6, 8, 30, 68}) {
            section(std::to_string(instances) + " instances", [&] {
                const auto most = static_cast<double>(max_sent_per_second(instances, instances));
                check(most <= bound, "all instances together stay within the limit in any second");
                check(most >= bound / 3, "at least a third of the limit can be used");
            });
        }
    });
    section("given instances that know only three quarters of the fleet", [&] {
        check(static_cast<double>(max_sent_per_second(8, 6)) <= bound,
              "the sum stays within the limit");
    });
    section("given an endpoint without a rate limit", [] {
        cold_rate_limiter limiter(cold_options);
        check(limiter.try_acquire("e", 0, 1, 0, time_point{}), "the request is allowed");
    });
}

// Guards against retries that exceed the fleet's budget while a service fails every request.
Test(fleet_retry_budget, all_instances_together_stay_within_the_bound)
{
    section("given eight instances whose every request fails", [] {
        constexpr std::size_t instances = 8;
        for (const std::size_t assumed_instances : {8, 4}) {
            std::vector<fleet_retry_budget> budgets(instances, fleet_retry_budget(budget));
            random_source random(20261204);
            std::vector<time_point> requests;
            std::vector<time_point> retries;
            for (time_point now{seconds(100)}; now < time_point{seconds(160)};
                 now += milliseconds(20)) {
                const auto index = random.below(instances);
                budgets[index].count_request("s", now);
                requests.push_back(now);
                for (int attempt = 0; attempt < 3; ++attempt) {
                    if (budgets[index].try_retry("s", assumed_instances, now)) {
                        retries.push_back(now);
                    }
                }
            }
            const auto in_window = static_cast<double>(max_within_window(requests, budget.window));
            const auto most = static_cast<double>(max_within_window(retries, budget.window));
            section("when each assumes " + std::to_string(assumed_instances) + " instances", [&] {
                check(most <= budget.ratio * in_window + budget.slack,
                      "the retries stay within the budget");
                check(most >= budget.ratio * in_window / 2,
                      "at least half of the ratio can be used");
            });
        }
    });
}
