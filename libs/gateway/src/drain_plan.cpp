#include <quetzal/gateway/drain_plan.hpp>

#include <algorithm>

namespace quetzal::gateway {

namespace {

// A response may take this many times as long as the slowest recent one of its route.
constexpr double expected_time_factor = 1.5;
constexpr double expected_stream_time_factor = 2.0;
constexpr std::size_t max_routes = 4096; // with recorded response times

} // namespace

void drain_plan::begin(drain_window window)
{
    if (!window_) {
        window_ = window;
    }
}

void drain_plan::record_response(const std::string& route, duration took)
{
    if (responses_.size() >= max_routes && !responses_.contains(route)) {
        responses_.clear(); // most entries belong to routes that no longer exist
    }
    recent_responses& recent = responses_[route];
    recent.times[recent.next] = took;
    recent.next = (recent.next + 1) % recent_responses::capacity;
}

std::optional<duration> drain_plan::slowest_recent(const std::string& route) const
{
    const auto found = responses_.find(route);
    if (found == responses_.end()) {
        return std::nullopt;
    }
    const auto& times = found->second.times;
    return *std::max_element(times.begin(), times.end());
}

time_point drain_plan::latest_send(const drain_candidate& request) const
{
    if (!window_ || request.deadline <= window_->responses_end) {
        return time_point::max();
    }
    if (request.is_stream && request.received > window_->notice_end) {
        return time_point::min();
    }
    const auto slowest = slowest_recent(request.route);
    if (!slowest) {
        return time_point::min();
    }
    const double factor = request.is_stream ? expected_stream_time_factor : expected_time_factor;
    const auto expected =
        std::chrono::duration_cast<duration>(std::chrono::duration<double, duration::period>(
                                                 std::max(*slowest, request.longest_running)) *
                                             factor);
    return window_->responses_end - expected;
}

} // namespace quetzal::gateway
