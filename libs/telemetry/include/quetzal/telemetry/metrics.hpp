#ifndef QUETZAL_TELEMETRY_METRICS_HPP
#define QUETZAL_TELEMETRY_METRICS_HPP

// Collects the metrics of an instance and renders them in the Prometheus text format.

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::telemetry {

// One label of a series, e.g. {"class", "proof"}.
struct label
{
    std::string name;
    std::string value;
};

// Named counters, gauges and latency histograms. Thread-safe. Label values must come from the
// published configuration or from fixed lists, never from callers, so that the number of series is
// bounded.
class metrics
{
public:
    // Adds `amount` to a counter.
    void count(std::string_view name, const std::vector<label>& labels, std::uint64_t amount = 1);

    // Sets a gauge, or a counter whose value is maintained elsewhere.
    void set(std::string_view name, const std::vector<label>& labels, double value);

    // Records a duration in a histogram with buckets from 1 ms to 60 s.
    void observe(std::string_view name, const std::vector<label>& labels, duration value);

    // Returns all series in the Prometheus text format.
    std::string render() const;

private:
    using bucket_axis = boost::histogram::axis::variable<double>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<bucket_axis>()));

    struct latency
    {
        latency();
        histogram_type buckets; // milliseconds
        double sum = 0;         // seconds
        std::uint64_t samples = 0;
    };

    // Returns the name with its labels, as written in the Prometheus text format.
    static std::string series_key(std::string_view name, const std::vector<label>& labels);

    mutable std::mutex mutex_;
    std::map<std::string, double> values_;     // by name and labels
    std::map<std::string, latency> latencies_; // by name and labels
};

} // namespace quetzal::telemetry

#endif
