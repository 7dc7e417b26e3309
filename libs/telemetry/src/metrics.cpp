#include <quetzal/telemetry/metrics.hpp>

#include <array>

#include <spdlog/fmt/fmt.h>

namespace quetzal::telemetry {

namespace {

// Bucket bounds in milliseconds. They include the latency targets of the design size (32 ms, 1.3 s,
// 8 s).
constexpr std::array<double, 16> bucket_bounds{0,   1,   2,   5,    10,   20,   32,   50,
                                               100, 250, 500, 1300, 2500, 5000, 8000, 60000};

std::string escape_label_value(std::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        if (character == '\\' || character == '"') {
            escaped += '\\';
        }
        escaped += character == '\n' ? ' ' : character;
    }
    return escaped;
}

// Returns a series key with a suffix added to the name and a label added to the labels, if any.
std::string derived_series(const std::string& key, std::string_view suffix,
                           const std::string& extra)
{
    const auto brace = key.find('{');
    const std::string name = key.substr(0, brace) + std::string(suffix);
    std::string labels =
        brace == std::string::npos ? "" : key.substr(brace + 1, key.size() - brace - 2);
    if (!extra.empty()) {
        labels += labels.empty() ? extra : "," + extra;
    }
    return labels.empty() ? name : name + "{" + labels + "}";
}

} // namespace

metrics::latency::latency()
    : buckets(
          boost::histogram::make_histogram(bucket_axis(bucket_bounds.begin(), bucket_bounds.end())))
{
}

std::string metrics::series_key(std::string_view name, const std::vector<label>& labels)
{
    std::string key(name);
    for (std::size_t index = 0; index < labels.size(); ++index) {
        key += index == 0 ? "{" : ",";
        key += labels[index].name + "=\"" + escape_label_value(labels[index].value) + "\"";
    }
    return labels.empty() ? key : key + "}";
}

void metrics::count(std::string_view name, const std::vector<label>& labels, std::uint64_t amount)
{
    const std::lock_guard lock(mutex_);
    values_[series_key(name, labels)] += static_cast<double>(amount);
}

void metrics::set(std::string_view name, const std::vector<label>& labels, double value)
{
    const std::lock_guard lock(mutex_);
    values_[series_key(name, labels)] = value;
}

void metrics::observe(std::string_view name, const std::vector<label>& labels, duration value)
{
    const std::lock_guard lock(mutex_);
    auto& entry = latencies_[series_key(name, labels)];
    entry.buckets(std::chrono::duration<double, std::milli>(value).count());
    entry.sum += std::chrono::duration<double>(value).count();
    ++entry.samples;
}

std::string metrics::render() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [key, value] : values_) {
        text += fmt::format("{} {}\n", key, value);
    }
    for (const auto& [key, entry] : latencies_) {
        double cumulative = 0;
        for (std::size_t index = 0; index + 1 < bucket_bounds.size(); ++index) {
            cumulative += entry.buckets.at(static_cast<int>(index));
            const auto bound = fmt::format("le=\"{}\"", bucket_bounds[index + 1] / 1000);
            text += fmt::format("{} {}\n", derived_series(key, "_bucket", bound), cumulative);
        }
        text +=
            fmt::format("{} {}\n", derived_series(key, "_bucket", "le=\"+Inf\""), entry.samples);
        text += fmt::format("{} {}\n", derived_series(key, "_sum", ""), entry.sum);
        text += fmt::format("{} {}\n", derived_series(key, "_count", ""), entry.samples);
    }
    return text;
}

} // namespace quetzal::telemetry
