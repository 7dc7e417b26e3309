#include "text.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace quetzal::burn::internal {

namespace {

constexpr std::array<std::string_view, window_count> window_names{"5m", "1h", "6h", "3d"};
static_assert(windows[0].length() == std::chrono::minutes(5) &&
              windows[1].length() == std::chrono::hours(1) &&
              windows[2].length() == std::chrono::hours(6) &&
              windows[3].length() == std::chrono::hours(72));

std::string format_number(const char* format, double value)
{
    std::array<char, 64> buffer{};
    std::snprintf(buffer.data(), buffer.size(), format, value);
    return buffer.data();
}

} // namespace

std::string_view window_name(std::size_t window)
{
    return window_names[window];
}

std::vector<std::string> column_headings()
{
    std::vector<std::string> headings{"customer", "class", "objective", "attained 3d",
                                      "budget left"};
    for (const auto name : window_names) {
        headings.push_back("burn " + std::string(name));
    }
    for (const auto* title :
         {"requests", "failed", "late", "slow first", "slow between", "spent by"}) {
        headings.emplace_back(title);
    }
    return headings;
}

std::string display_name(const std::string& customer)
{
    return customer.empty() ? "(open or other)" : customer;
}

std::string format_percent(const std::optional<double>& share)
{
    return share ? format_number("%.2f%%", *share * 100) : "-";
}

std::string format_rate(const std::optional<double>& value)
{
    return value ? format_number("%.2f", *value) : "-";
}

std::string worst_stage_text(const burn_row& row)
{
    return row.worst_stage
               ? *row.worst_stage + format_number(" (%.0f%%)", row.worst_stage_share * 100)
               : "-";
}

std::string coverage_text(const fleet_burn& burn)
{
    const auto expected = burn.answered.size() + burn.missing.size();
    const auto minutes = std::chrono::duration_cast<std::chrono::minutes>(burn.shortest_uptime);
    std::string text = std::to_string(burn.answered.size()) + " of " + std::to_string(expected) +
                       " instances answered; the youngest has counted for " +
                       std::to_string(minutes.count()) + " min.";
    if (burn.partial()) {
        text += "\nNo answer, requests unknown:";
        for (const auto& id : burn.missing) {
            text += ' ' + id.name;
        }
    }
    return text;
}

std::size_t display_width(std::string_view text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char byte) {
        return (static_cast<unsigned char>(byte) & 0xc0) != 0x80;
    }));
}

} // namespace quetzal::burn::internal
