#include <quetzal/burn/report.hpp>

#include <algorithm>
#include <array>
#include <cmath>

#include "text.hpp"

namespace quetzal::burn {

namespace {

// Maximum number of rows shown; the rows with the least remaining budget come first.
constexpr std::size_t max_plotted_rows = 200;

// Dimensions of a plot in pixels.
constexpr int plot_width = 160;
constexpr int bar_height = 10;
constexpr int bar_spacing = 13;

// Burn rate at the right edge of a plot. A rate of 14.4 uses up a 30-day budget in two days and is
// the usual threshold for paging, so higher rates need no more detail.
constexpr double max_plotted_rate = 14.4;

constexpr std::array<const char*, config::max_stages> stage_colours{
    "#4e79a7", "#f28e2b", "#59a14f", "#b07aa1", "#9c755f", "#76b7b2"};

std::string escape_html(std::string_view text)
{
    std::string escaped;
    for (const char byte : text) {
        switch (byte) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += byte;
        }
    }
    return escaped;
}

std::string rectangle(int left, int top, int width, const char* colour, const std::string& title)
{
    return "<rect x=\"" + std::to_string(left) + "\" y=\"" + std::to_string(top) + "\" width=\"" +
           std::to_string(width) + "\" height=\"" + std::to_string(bar_height) + "\" fill=\"" +
           colour + "\"><title>" + escape_html(title) + "</title></rect>";
}

std::string svg_start_tag(int height)
{
    return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(plot_width) +
           "\" height=\"" + std::to_string(height) + "\" role=\"img\">";
}

// Returns the bar width of a burn rate in pixels, on a square root scale so that rates below 1
// remain visible next to high ones.
int bar_width(double rate)
{
    const double share = std::min(rate, max_plotted_rate) / max_plotted_rate;
    return static_cast<int>(std::lround(std::sqrt(share) * plot_width));
}

// Returns a plot with one bar per window and a line at rate 1, which uses up the budget exactly.
std::string burn_plot(const burn_row& row)
{
    constexpr int height = static_cast<int>(window_count) * bar_spacing;
    std::string plot = svg_start_tag(height);
    for (std::size_t window = 0; window < window_count; ++window) {
        if (const auto& burn_rate = row.figures[window].burn_rate) {
            plot += rectangle(0, static_cast<int>(window) * bar_spacing, bar_width(*burn_rate),
                              *burn_rate > 1 ? "#c0392b" : "#59a14f",
                              std::string(internal::window_name(window)) + ": " +
                                  internal::format_rate(burn_rate));
        }
    }
    const auto line = std::to_string(bar_width(1));
    return plot + "<line x1=\"" + line + "\" x2=\"" + line + "\" y1=\"0\" y2=\"" +
           std::to_string(height) + "\" stroke=\"#333\" stroke-dasharray=\"2 2\"/></svg>";
}

// Returns a stacked bar of the bad requests of the longest window by stage.
std::string stage_plot(const burn_row& row)
{
    const auto& by_stage = row.figures[budget_window].seen.by_stage;
    double sum = 0;
    for (const auto count : by_stage) {
        sum += count;
    }
    std::string plot = svg_start_tag(bar_spacing);
    double before = 0;
    for (std::size_t stage = 0; stage < by_stage.size() && sum > 0; ++stage) {
        const auto edge = [&](double count) {
            return static_cast<int>(std::lround(count / sum * plot_width));
        };
        const double after = before + by_stage[stage];
        const auto name =
            stage < row.stages.size() ? row.stages[stage] : "stage " + std::to_string(stage);
        plot += rectangle(edge(before), 0, edge(after) - edge(before), stage_colours[stage],
                          name + ": " + std::to_string(by_stage[stage]));
        before = after;
    }
    return plot + "</svg>";
}

std::string table_cell(const std::string& content)
{
    return "<td>" + content + "</td>";
}

std::string table_row(const burn_row& row)
{
    const auto& longest = row.figures[budget_window];
    std::string line = "<tr>";
    line += table_cell(escape_html(internal::display_name(row.customer.name)));
    line += table_cell(escape_html(row.work_class.name));
    line += table_cell(internal::format_percent(row.objective.attainment));
    line += table_cell(internal::format_percent(longest.attainment));
    line += table_cell(internal::format_percent(row.budget_left));
    line += table_cell(burn_plot(row));
    line += table_cell(std::to_string(longest.seen.total));
    for (const auto bad : {longest.seen.failed, longest.seen.late, longest.seen.slow_first,
                           longest.seen.slow_between})
    {
        line += table_cell(std::to_string(bad));
    }
    line += table_cell(stage_plot(row) + "<br>" + escape_html(internal::worst_stage_text(row)));
    return line + "</tr>\n";
}

} // namespace

std::string render_html(const fleet_burn& burn)
{
    std::string page = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                       "<title>Error budgets</title><style>"
                       "body{font:14px sans-serif}table{border-collapse:collapse}"
                       "td,th{padding:4px 8px;border-bottom:1px solid #ddd;text-align:left}"
                       ".missing{color:#c0392b}</style></head><body>\n<h1>Error budgets</h1>\n";
    page += std::string("<p") + (burn.partial() ? " class=\"missing\"" : "") + '>' +
            escape_html(internal::coverage_text(burn)) + "</p>\n";
    page += "<p>Bars: burn rate over 5 min, 1 h, 6 h and 3 d; the dashed line is the rate 1.</p>\n"
            "<table><tr><th>customer</th><th>class</th><th>objective</th><th>attained 3d</th>"
            "<th>budget left</th><th>burn rates</th><th>requests</th><th>failed</th><th>late</th>"
            "<th>slow first</th><th>slow between</th><th>spent by</th></tr>\n";
    const std::size_t shown = std::min(burn.rows.size(), max_plotted_rows);
    for (std::size_t row = 0; row < shown; ++row) {
        page += table_row(burn.rows[row]);
    }
    page += "</table>\n";
    if (shown < burn.rows.size()) {
        page += "<p>" + std::to_string(burn.rows.size() - shown) +
                " rows with more budget left are not shown.</p>\n";
    }
    return page + "</body></html>\n";
}

} // namespace quetzal::burn
