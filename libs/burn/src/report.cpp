#include <quetzal/burn/report.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "text.hpp"

namespace quetzal::burn {

namespace {

namespace json = boost::json;

json::value number_or_null(const std::optional<double>& value)
{
    return value ? json::value(*value) : json::value(nullptr);
}

json::value milliseconds_or_null(const std::optional<duration>& value)
{
    return value ? json::value(std::chrono::duration<double, std::milli>(*value).count())
                 : json::value(nullptr);
}

json::array names_to_json(const std::vector<instance_id>& ids)
{
    json::array list;
    for (const auto& id : ids) {
        list.push_back(json::value(id.name));
    }
    return list;
}

json::object figures_to_json(const burn_row& row, std::size_t window)
{
    const auto& [seen, attainment, burn_rate] = row.figures[window];
    json::object by_stage;
    for (std::size_t stage = 0; stage < row.stages.size() && stage < seen.by_stage.size(); ++stage)
    {
        by_stage[row.stages[stage]] = seen.by_stage[stage];
    }
    return {{"window", internal::window_name(window)},
            {"total", seen.total},
            {"bad", seen.bad},
            {"failed", seen.failed},
            {"late", seen.late},
            {"slow_first_token", seen.slow_first},
            {"slow_between_tokens", seen.slow_between},
            {"attainment", number_or_null(attainment)},
            {"burn_rate", number_or_null(burn_rate)},
            {"by_stage", std::move(by_stage)}};
}

json::object row_to_json(const burn_row& row)
{
    json::array figures;
    for (std::size_t window = 0; window < window_count; ++window) {
        figures.push_back(figures_to_json(row, window));
    }
    const auto& objective = row.objective;
    return {{"customer", row.customer.name},
            {"class", row.work_class.name},
            {"objective",
             {{"attainment", objective.attainment},
              {"deadline_ms", milliseconds_or_null(objective.deadline)},
              {"first_token_ms", milliseconds_or_null(objective.first_token)},
              {"between_tokens_ms", milliseconds_or_null(objective.between_tokens)}}},
            {"budget_left", number_or_null(row.budget_left)},
            {"worst_stage", row.worst_stage ? json::value(*row.worst_stage) : json::value(nullptr)},
            {"worst_stage_share", row.worst_stage_share},
            {"windows", std::move(figures)}};
}

// Returns the cells of one table row.
std::vector<std::string> table_cells(const burn_row& row)
{
    std::vector<std::string> line{internal::display_name(row.customer.name), row.work_class.name,
                                  internal::format_percent(row.objective.attainment),
                                  internal::format_percent(row.figures[budget_window].attainment),
                                  internal::format_percent(row.budget_left)};
    for (const auto& figures : row.figures) {
        line.push_back(internal::format_rate(figures.burn_rate));
    }
    const auto& seen = row.figures[budget_window].seen;
    line.push_back(std::to_string(seen.total));
    for (const auto bad : {seen.failed, seen.late, seen.slow_first, seen.slow_between}) {
        line.push_back(std::to_string(bad));
    }
    line.push_back(internal::worst_stage_text(row));
    return line;
}

} // namespace

std::string render_text(const fleet_burn& burn)
{
    std::vector<std::vector<std::string>> lines{internal::column_headings()};
    for (const auto& row : burn.rows) {
        lines.push_back(table_cells(row));
    }
    std::vector<std::size_t> widths(lines.front().size());
    for (const auto& line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column) {
            widths[column] = std::max(widths[column], internal::display_width(line[column]));
        }
    }
    std::string text = internal::coverage_text(burn) + "\n\n";
    for (const auto& line : lines) {
        std::string padded;
        for (std::size_t column = 0; column < line.size(); ++column) {
            padded += line[column];
            padded.append(widths[column] - internal::display_width(line[column]) + 2, ' ');
        }
        padded.erase(padded.find_last_not_of(' ') + 1);
        text += padded + '\n';
    }
    return text;
}

std::string render_json(const fleet_burn& burn)
{
    json::array rows;
    for (const auto& row : burn.rows) {
        rows.push_back(row_to_json(row));
    }
    return json::serialize(
        json::object{{"partial", burn.partial()},
                     {"answered", names_to_json(burn.answered)},
                     {"missing", names_to_json(burn.missing)},
                     {"shortest_uptime_ms", milliseconds_or_null(burn.shortest_uptime)},
                     {"rows", std::move(rows)}});
}

} // namespace quetzal::burn
