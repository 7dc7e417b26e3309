// Ejection, probing and return of outliers, and the batch size of engines.

#include <quetzal/serving/endpoint_chooser.hpp>

#include <algorithm>

namespace quetzal::serving {

namespace {

constexpr double gap_smoothing = 0.02; // weight of the newest gap in the rate of late gaps
// Rate of late gaps above which the batch shrinks. The objective is a 95th percentile.
constexpr double max_late_gap_rate = 0.05;
// Failure rate that one error exceeds, but two consecutive slow calls don't.
constexpr double probation_failure_rate = 0.19;
constexpr double batch_shrink_factor = 0.75;
constexpr duration batch_interval = std::chrono::seconds(1);
constexpr duration probe_interval = std::chrono::seconds(1);

} // namespace

// Returns whether the endpoint fails far more often than the others; a failure common to all
// endpoints is no reason for an ejection.
bool endpoint_chooser::fails_more_than_others(endpoint_index endpoint) const noexcept
{
    constexpr double min_failure_ratio = 3;
    double sum = 0;
    for (const endpoint_index other : usable_) {
        sum += other == endpoint ? 0 : endpoints_[other].failure_rate;
    }
    const auto others = static_cast<double>(usable_.size()) - 1;
    // One other endpoint is not enough for a comparison.
    return others >= 2 && endpoints_[endpoint].failure_rate > min_failure_ratio * sum / others;
}

bool endpoint_chooser::is_outlier(endpoint_index endpoint) const noexcept
{
    const endpoint_state& state = endpoints_[endpoint];
    if (state.failure_rate > options_.absolute_failure_bound) {
        return true;
    }
    // A single failure stays below the bound; the second one among a few calls exceeds it. The
    // bound is lower for an endpoint that has returned from an ejection: a probe shows only that it
    // responds, not that its calls succeed.
    const double bound =
        state.consecutive_ejections > 0 ? probation_failure_rate : options_.outlier_failures;
    if (state.failure_rate > bound && fails_more_than_others(endpoint)) {
        return true;
    }
    if (state.samples < options_.outlier_samples) {
        return false;
    }
    if (state.latency <= options_.outlier_latency * pool_mean_latency_ / 2) {
        return false; // clearly below the bound; avoids the loop below
    }
    double sum = 0;
    std::size_t count = 0;
    for (const endpoint_index other : usable_) {
        if (other != endpoint && endpoints_[other].samples >= options_.outlier_samples) {
            sum += endpoints_[other].latency;
            ++count;
        }
    }
    return count > 0 && state.latency > options_.outlier_latency * sum / static_cast<double>(count);
}

void endpoint_chooser::eject(endpoint_index endpoint, time_point now)
{
    if ((ejected_ + 1) * 3 > present_) {
        return;
    }
    endpoint_state& state = endpoints_[endpoint];
    const auto doublings = std::min(state.consecutive_ejections, 8u);
    state.next_probe_at =
        now + std::min(options_.ejection * (1 << doublings), options_.max_ejection);
    ++state.consecutive_ejections;
    state.successful_probes = 0;
    exclude(endpoint, exclusion::ejected, true);
}

void endpoint_chooser::record_gap(endpoint_index endpoint, duration measured, duration objective,
                                  time_point now)
{
    endpoint_state& state = endpoints_[endpoint];
    state.late_gap_rate +=
        ((measured > objective ? 1.0 : 0.0) - state.late_gap_rate) * gap_smoothing;
    if (now - state.batch_changed_at < batch_interval) {
        return;
    }
    state.batch_changed_at = now;
    full_until_ = {};
    if (state.late_gap_rate > max_late_gap_rate) {
        state.batch_size = std::max(1.0, state.batch_size * batch_shrink_factor);
    } else {
        state.batch_size = std::min<double>(options_.concurrency, state.batch_size + 1);
    }
}

std::vector<probe_due> endpoint_chooser::due_probes(time_point now)
{
    std::vector<probe_due> due;
    if (ejected_ == 0) {
        return due;
    }
    for (endpoint_index index = 0; index < endpoints_.size(); ++index) {
        endpoint_state& state = endpoints_[index];
        const bool ejected = (state.excluded & static_cast<std::uint8_t>(exclusion::ejected)) != 0;
        if (state.present && ejected && state.next_probe_at <= now) {
            state.next_probe_at = now + probe_interval;
            due.push_back({index});
        }
    }
    return due;
}

void endpoint_chooser::probed(endpoint_index endpoint, bool success, time_point now)
{
    endpoint_state& state = endpoints_[endpoint];
    if ((state.excluded & static_cast<std::uint8_t>(exclusion::ejected)) == 0) {
        return;
    }
    if (!success) {
        state.successful_probes = 0;
        return;
    }
    ++state.successful_probes;
    state.next_probe_at = now;
    if (state.successful_probes < options_.probes_to_return) {
        return;
    }
    state.failure_rate = 0;
    state.latency = 0;
    state.samples = 0;
    state.recovery_limit = 1;
    exclude(endpoint, exclusion::ejected, false);
}

} // namespace quetzal::serving
