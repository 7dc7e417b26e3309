#include <quetzal/gateway/fleet_retry_budget.hpp>

#include <algorithm>

namespace quetzal::gateway {

namespace {

// Share of the slack that the instances use. The rest covers instances that disagree on the size of
// the fleet.
constexpr double usable_slack = 0.5;

// Share of the ratio that is used. The rest covers requests that are counted at the window's edge.
constexpr double usable_ratio = 0.9;

} // namespace

void fleet_retry_budget::count_request(const std::string& service, time_point now)
{
    usage& record = usage_[service];
    drop_before(record, now - options_.window);
    record.requests.push_back(now);
}

bool fleet_retry_budget::try_retry(const std::string& service, std::size_t instances,
                                   time_point now)
{
    usage& record = usage_[service];
    drop_before(record, now - options_.window);
    const double share =
        options_.slack * usable_slack / static_cast<double>(std::max<std::size_t>(instances, 1));
    const double allowed =
        options_.ratio * usable_ratio * static_cast<double>(record.requests.size()) + share;
    if (static_cast<double>(record.retries.size()) + 1 > allowed) {
        return false;
    }
    record.retries.push_back(now);
    return true;
}

void fleet_retry_budget::drop_before(usage& record, time_point limit)
{
    while (!record.requests.empty() && record.requests.front() < limit) {
        record.requests.pop_front();
    }
    while (!record.retries.empty() && record.retries.front() < limit) {
        record.retries.pop_front();
    }
}

} // namespace quetzal::gateway
