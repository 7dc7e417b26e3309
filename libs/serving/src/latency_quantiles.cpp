#include <quetzal/serving/latency_quantiles.hpp>

#include <algorithm>
#include <boost/histogram/algorithm/sum.hpp>
#include <cmath>
#include <limits>

namespace quetzal::serving {

namespace {

constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 1e3;
constexpr unsigned bin_count = 144; // bins of 12% over seven decades

// The weight of new samples grows by a factor of 2 per half-life. Rescaling at 2^32 keeps the sums
// far from the limits of a double.
constexpr double max_half_lives = 32;

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

latency_quantiles::latency_quantiles(duration half_life)
    : bins_(boost::histogram::make_histogram_with(std::vector<double>{},
                                                  log_axis(bin_count, min_seconds, max_seconds))),
      half_life_(half_life)
{
}

void latency_quantiles::record(duration sample, time_point now)
{
    if (samples_ == 0) {
        origin_ = now;
    }
    double age = std::chrono::duration<double>(now - origin_) / half_life_;
    if (age > max_half_lives) {
        const double factor = std::exp2(-age);
        bins_ *= factor;
        total_weight_ *= factor;
        origin_ = now;
        age = 0;
    }
    const double weight = std::exp2(age);
    bins_(std::chrono::duration<double>(sample).count(), boost::histogram::weight(weight));
    total_weight_ += weight;
    samples_ += samples_ == std::numeric_limits<std::uint32_t>::max() ? 0 : 1;
}

duration latency_quantiles::quantile(double q) const noexcept
{
    if (samples_ == 0) {
        return duration::zero();
    }
    const auto& axis = bins_.axis();
    const double target_weight = std::clamp(q, 0.0, 1.0) * total_weight_;
    // The sum over the bins differs from `total_weight_` by rounding errors.
    const double tolerance = 1e-9 * total_weight_;
    double cumulative_weight = 0;
    for (int bin = -1; bin < axis.size(); ++bin) {
        cumulative_weight += bins_.at(bin);
        if (cumulative_weight > 0 && cumulative_weight + tolerance >= target_weight) {
            return from_seconds(axis.value(bin + 1));
        }
    }
    return from_seconds(max_seconds);
}

} // namespace quetzal::serving
