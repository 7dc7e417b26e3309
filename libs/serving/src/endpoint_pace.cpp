#include <quetzal/serving/endpoint_pace.hpp>

#include <algorithm>
#include <cmath>

namespace quetzal::serving {

namespace {

// Weights of the newest value in the means of an endpoint and of the pool, which has many more
// values.
constexpr double endpoint_smoothing = 0.2;
constexpr double pool_smoothing = 0.02;
// Weight of the newest report in the mean of an endpoint's reports. A lasting change of the mean
// counts, not the current pace.
constexpr double min_report_smoothing = 0.05;
// Time for which a pace lasts on average. Machines change theirs about every 600 ms, and a report
// is made at any point in between.
constexpr duration persistence = std::chrono::milliseconds(300);
// Numbers of reports and of calls of an endpoint at which its own mean and that of the pool count
// for the same. Calls differ more among themselves than reports do: by the sizes of their requests.
constexpr double report_prior = 4;
constexpr double call_prior = 8;

double nanoseconds(duration value)
{
    return static_cast<double>(value.count());
}

// Adds a value to a moving average that is 0 before the first value.
void add_to_mean(double& mean, double value, double smoothing)
{
    mean += mean > 0 ? (value - mean) * smoothing : value;
}

// Combines the mean of few own values with the mean of the pool.
double combine(double own, std::uint32_t count, double pool, double prior)
{
    return (own * count + pool * prior) / (count + prior);
}

double bounded(double pace)
{
    return std::isfinite(pace) ? std::clamp(pace, fastest_pace, slowest_pace) : 1;
}

} // namespace

void pool_pace::record_report(double pace)
{
    mean_ +=
        (bounded(pace) - mean_) * std::max(1 / (static_cast<double>(reports_) + 1), pool_smoothing);
    ++reports_;
}

void pool_pace::record_call(double duration, double pace)
{
    add_to_mean(usual_duration_, duration / bounded(pace), pool_smoothing);
}

void endpoint_pace::record_report(double pace, time_point measured)
{
    if (reports_ > 0 && measured < measured_) {
        return;
    }
    latest_ = bounded(pace);
    measured_ = measured;
    mean_ += (latest_ - mean_) * std::max(1 / (reports_ + 1.0), min_report_smoothing);
    ++reports_;
}

void endpoint_pace::record_call(double duration, double pace)
{
    add_to_mean(usual_duration_, duration / bounded(pace), endpoint_smoothing);
    ++calls_;
}

double endpoint_pace::trust(time_point when) const noexcept
{
    if (reports_ == 0) {
        return 0;
    }
    // Approximates exp(-age / persistence) at a fifth of its cost.
    const double relative = std::max(0.0, nanoseconds(when - measured_)) / nanoseconds(persistence);
    return 1 / (1 + relative + relative * relative / 2);
}

double endpoint_pace::expected(const pool_pace& pool, time_point when) const noexcept
{
    const double mean = combine(mean_, reports_, pool.mean(), report_prior);
    return mean + (latest_ - mean) * trust(when);
}

double endpoint_pace::expected_duration(const pool_pace& pool, time_point start) const noexcept
{
    if (!known()) {
        return combine(usual_duration_, calls_, pool.usual_duration() * pool.mean(), call_prior);
    }
    const double usual = combine(usual_duration_, calls_, pool.usual_duration(), call_prior);
    // The pace in the middle of the call counts for the whole of it.
    const duration half(static_cast<duration::rep>(usual * pool.mean() / 2));
    return usual * expected(pool, start + half);
}

} // namespace quetzal::serving
