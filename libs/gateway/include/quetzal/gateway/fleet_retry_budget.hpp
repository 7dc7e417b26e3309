#ifndef QUETZAL_GATEWAY_FLEET_RETRY_BUDGET_HPP
#define QUETZAL_GATEWAY_FLEET_RETRY_BUDGET_HPP

// Limits the retries that one instance sends to a service, so that all instances together stay
// within the fleet's retry budget although no instance knows what the others send.

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

// Retry budget over all instances of the fleet: in any window, retries <= ratio * requests + slack.
struct retry_budget_options
{
    double ratio = 0.2;
    double slack = 50;
    duration window = std::chrono::seconds(10);
};

// Each instance may retry `ratio` of its own requests plus an equal share of the slack. The shares
// add up to half of the slack, so that the budget holds while the instances disagree on the size of
// the fleet by up to a factor of two.
class fleet_retry_budget
{
public:
    explicit fleet_retry_budget(retry_budget_options options) : options_(options) {}

    // Counts a caller's request for the service.
    void count_request(const std::string& service, time_point now);

    // Returns whether the budget allows a retry now, and counts it if so. `instances` is the number
    // of live instances.
    bool try_retry(const std::string& service, std::size_t instances, time_point now);

private:
    struct usage
    {
        std::deque<time_point> requests;
        std::deque<time_point> retries;
    };

    void drop_before(usage& record, time_point limit);

    retry_budget_options options_;
    std::unordered_map<std::string, usage> usage_;
};

} // namespace quetzal::gateway

#endif
