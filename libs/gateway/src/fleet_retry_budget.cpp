#include <quetzal/gateway/fleet_retry_budget.hpp>

#include <algorithm>

namespace quetzal::gateway {

namespace {

// Part of the slack that is handed out; the rest covers instances that disagree on their number.
constexpr double slack_share = 0.5;

// Part of the ratio that is used; the rest covers requests that are counted at the window's edge.
constexpr double ratio_share = 0.9;

} // namespace

void fleet_retry_budget::count_request(const std::string& service, time_point now)
{
    usage& record = usage_[service];
    forget_before(record, now - options_.window);
    record.requests.push_back(now);
}

bool fleet_retry_budget::try_repeat(const std::string& service, std::size_t instances,
                                    time_point now)
{
    usage& record = usage_[service];
    forget_before(record, now - options_.window);
    const double share =
        options_.slack * slack_share / static_cast<double>(std::max<std::size_t>(instances, 1));
    const double allowed =
        options_.ratio * ratio_share * static_cast<double>(record.requests.size()) + share;
    if (static_cast<double>(record.repeats.size()) + 1 > allowed) {
        return false;
    }
    record.repeats.push_back(now);
    return true;
}

void fleet_retry_budget::forget_before(usage& record, time_point limit)
{
    while (!record.requests.empty() && record.requests.front() < limit) {
        record.requests.pop_front();
    }
    while (!record.repeats.empty() && record.repeats.front() < limit) {
        record.repeats.pop_front();
    }
}

} // namespace quetzal::gateway
