// Ejection of outliers, their probes and return, and the batch size of engines.

#include <quetzal/serving/endpoint_chooser.hpp>

#include <algorithm>

namespace quetzal::serving {

namespace {

constexpr double gap_smoothing = 0.02;  // in the share of late gaps
constexpr double late_gap_share = 0.05; // share above which a batch shrinks: a 95th percentile
constexpr double batch_shrink = 0.75;
constexpr duration batch_interval = std::chrono::seconds(1);
constexpr duration probe_interval = std::chrono::seconds(1);

} // namespace

// Whether the endpoint fails far more often than the others; a fault of all is no reason to eject.
bool endpoint_chooser::fails_more(endpoint_index endpoint) const noexcept
{
    constexpr double far = 3;
    double sum = 0;
    for (const endpoint_index other : usable_) {
        sum += other == endpoint ? 0 : endpoints_[other].failures;
    }
    const auto others = static_cast<double>(usable_.size()) - 1;
    // One other endpoint is too little to compare with.
    return others >= 2 && endpoints_[endpoint].failures > far * sum / others;
}

bool endpoint_chooser::outlier(endpoint_index endpoint) const noexcept
{
    const endpoint_state& state = endpoints_[endpoint];
    if (state.failures > options_.certain_failures) {
        return true;
    }
    // A single failure stays below the bound; the second of a few calls exceeds it.
    if (state.failures > options_.outlier_failures && fails_more(endpoint)) {
        return true;
    }
    if (state.samples < options_.outlier_samples) {
        return false;
    }
    if (state.latency <= options_.outlier_latency * pool_latency_ / 2) {
        return false; // far from the bound; spares the loop below
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
    const auto doublings = std::min(state.ejections, 8u);
    state.until = now + std::min(options_.ejection * (1 << doublings), options_.max_ejection);
    ++state.ejections;
    state.probes = 0;
    exclude(endpoint, exclusion::ejected, true);
}

void endpoint_chooser::gap(endpoint_index endpoint, duration measured, duration objective,
                           time_point now)
{
    endpoint_state& state = endpoints_[endpoint];
    state.late_gaps += ((measured > objective ? 1.0 : 0.0) - state.late_gaps) * gap_smoothing;
    if (now - state.batch_changed < batch_interval) {
        return;
    }
    state.batch_changed = now;
    full_until_ = {};
    if (state.late_gaps > late_gap_share) {
        state.batch = std::max(1.0, state.batch * batch_shrink);
    } else {
        state.batch = std::min<double>(options_.concurrency, state.batch + 1);
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
        if (state.present && ejected && state.until <= now) {
            state.until = now + probe_interval;
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
        state.probes = 0;
        return;
    }
    ++state.probes;
    state.until = now;
    if (state.probes < options_.probes_to_return) {
        return;
    }
    state.failures = 0;
    state.latency = 0;
    state.samples = 0;
    state.returning = 1;
    exclude(endpoint, exclusion::ejected, false);
}

} // namespace quetzal::serving
