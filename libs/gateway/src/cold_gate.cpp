#include <quetzal/gateway/cold_gate.hpp>

#include <algorithm>
#include <cmath>

namespace quetzal::gateway {

namespace {

// Part of the fleet's bound that is handed out. The rest covers instances that disagree on their
// number and requests that arrive closer together than they were sent.
constexpr double bound_share = 0.7;

constexpr std::size_t tracked_endpoints = 4096; // forgets everything above, which only delays

} // namespace

bool cold_gate::try_send(const std::string& endpoint_id, double rate, std::size_t instances,
                         std::size_t rank, time_point now)
{
    if (rate <= 0) {
        return true;
    }
    if (sent_.size() > tracked_endpoints) {
        sent_.clear();
    }
    const double bound = (rate * options_.overage + options_.slack) * bound_share;
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
