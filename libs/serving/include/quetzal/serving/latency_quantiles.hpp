#ifndef QUETZAL_SERVING_LATENCY_QUANTILES_HPP
#define QUETZAL_SERVING_LATENCY_QUANTILES_HPP

// Quantiles of a stream of durations in bounded memory. The weight of a sample halves every
// half-life, so that the quantiles follow a stage that slows down or recovers.

#include <cstdint>
#include <utility>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::serving {

// A histogram with logarithmic bins from 0.1 ms to 1000 s, of about 1.2 kB. A returned quantile is
// the upper edge of its bin and therefore at most 12% above the true one.
class latency_quantiles
{
public:
    static constexpr std::chrono::seconds default_half_life{30};

    explicit latency_quantiles(duration half_life = default_half_life);

    // Adds a sample; `now` must not decrease by more than the half-life between calls.
    void record(duration sample, time_point now);

    // Returns the quantile `q` in [0, 1] of the weighted samples, or zero when nothing was
    // recorded.
    duration quantile(double q) const noexcept;

    // Returns the number of samples recorded, without decay; saturates at 2^32 - 1.
    std::uint32_t samples() const noexcept { return samples_; }
    bool empty() const noexcept { return samples_ == 0; }

private:
    using log_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram_with(std::vector<double>{},
                                                                     std::declval<log_axis>()));

    histogram bins_;
    duration half_life_;
    time_point origin_{};     // a sample recorded at this time has the weight 1
    double total_weight_ = 0; // sum of the weights
    std::uint32_t samples_ = 0;
};

} // namespace quetzal::serving

#endif
