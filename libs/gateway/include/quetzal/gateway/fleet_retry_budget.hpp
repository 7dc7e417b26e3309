#ifndef QUETZAL_GATEWAY_FLEET_RETRY_BUDGET_HPP
#define QUETZAL_GATEWAY_FLEET_RETRY_BUDGET_HPP

// Bounds the repeats that one instance sends to a service, so that the sum over all instances stays
// within the fleet's budget although no instance knows what the others send.

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

// The fleet's budget: in any window, repeats <= ratio * requests + slack.
struct fleet_budget_options
{
    double ratio = 0.2;
    double slack = 50;
    duration window = std::chrono::seconds(10);
};

// Each instance may repeat `ratio` of its own requests plus an equal part of the slack. The part
// uses half of the slack, so that the bound holds while instances disagree on how many they are by
// up to a factor of two.
class fleet_retry_budget
{
public:
    explicit fleet_retry_budget(fleet_budget_options options) : options_(options) {}

    // Counts a caller's request for the service.
    void count_request(const std::string& service, time_point now);

    // Takes one repeat if the budget allows it. `instances` is the number of live instances.
    bool try_repeat(const std::string& service, std::size_t instances, time_point now);

private:
    struct usage
    {
        std::deque<time_point> requests;
        std::deque<time_point> repeats;
    };

    void forget_before(usage& record, time_point limit);

    fleet_budget_options options_;
    std::unordered_map<std::string, usage> usage_;
};

} // namespace quetzal::gateway

#endif
