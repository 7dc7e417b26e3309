#include <quetzal/gateway/cold_rate_limiter.hpp>

#include <algorithm>
#include <cmath>

namespace quetzal::gateway {

namespace {

// Share of the fleet's limit that the instances use. The rest covers instances that disagree on the
// size of the fleet, and requests that arrive closer together than they were sent.
constexpr double usable_share = 0.7;

// Above this number of endpoints, all counts are dropped. An endpoint may then get up to one more
// share within the current second.
constexpr std::size_t max_tracked_endpoints = 4096;

} // namespace

bool cold_rate_limiter::try_acquire(const std::string& endpoint_id, double rate,
                                    std::size_t instances, std::size_t rank, time_point now)
{
    if (rate <= 0) {
        return true;
    }
    if (sent_.size() > max_tracked_endpoints) {
        sent_.clear();
    }
    const double bound = (rate * options_.overage + options_.slack) * usable_share;
    const double share = bound / static_cast<double>(std::max<std::size_t>(instances, 1));
    if (share < 1 && static_cast<double>(rank) + 1 > bound) {
        return false;
    }
    const auto allowed = static_cast<std::size_t>(std::max(1.0, std::floor(share)));
    constexpr duration window = std::chrono::seconds(1);
    auto& sent = sent_[endpoint_id];
    while (!sent.empty() && sent.front() <= now - window) {
        sent.pop_front();
    }
    if (sent.size() >= allowed) {
        return false;
    }
    sent.push_back(now);
    return true;
}

} // namespace quetzal::gateway
