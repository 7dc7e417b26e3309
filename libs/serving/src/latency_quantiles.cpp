#include <quetzal/serving/latency_quantiles.hpp>

#include <algorithm>
#include <boost/histogram/algorithm/sum.hpp>
#include <cmath>
#include <limits>

namespace quetzal::serving {

namespace {

constexpr double shortest = 1e-4; // seconds
constexpr double longest = 1e3;   // seconds
constexpr unsigned bins = 144;    // 12% per bin over seven decades

// Weights grow by 2 per half-life. Rescaling at 2^32 keeps the sums far from the limits of a
// double.
constexpr double most_half_lives = 32;

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

latency_quantiles::latency_quantiles(duration half_life)
    : bins_(boost::histogram::make_histogram_with(std::vector<double>{},
                                                  log_axis(bins, shortest, longest))),
      half_life_(half_life)
{
}

void latency_quantiles::record(duration sample, time_point now)
{
    if (samples_ == 0) {
        origin_ = now;
    }
    double age = std::chrono::duration<double>(now - origin_) / half_life_;
    if (age > most_half_lives) {
        const double factor = std::exp2(-age);
        bins_ *= factor;
        total_ *= factor;
        origin_ = now;
        age = 0;
    }
    const double weight = std::exp2(age);
    bins_(std::chrono::duration<double>(sample).count(), boost::histogram::weight(weight));
    total_ += weight;
    samples_ += samples_ == std::numeric_limits<std::uint32_t>::max() ? 0 : 1;
}

duration latency_quantiles::quantile(double q) const noexcept
{
    if (samples_ == 0) {
        return duration::zero();
    }
    const auto& axis = bins_.axis();
    const double wanted = std::clamp(q, 0.0, 1.0) * total_;
    // The sums of many weights differ from `total_` by rounding.
    const double tolerance = 1e-9 * total_;
    double below = 0;
    for (int bin = -1; bin < axis.size(); ++bin) {
        below += bins_.at(bin);
        if (below > 0 && below + tolerance >= wanted) {
            return from_seconds(axis.value(bin + 1));
        }
    }
    return from_seconds(longest);
}

} // namespace quetzal::serving
