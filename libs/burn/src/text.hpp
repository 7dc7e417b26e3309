#ifndef QUETZAL_BURN_TEXT_HPP
#define QUETZAL_BURN_TEXT_HPP

// Texts that the text and HTML renderings of the burn report share.

#include <cstddef>
#include <optional>
#include <quetzal/burn/snapshot.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal::burn::internal {

// Returns "5m", "1h", "6h" or "3d".
std::string_view window_name(std::size_t window);

// Returns the column headings of the table.
std::vector<std::string> column_headings();

// Returns the customer's name, or a placeholder for an empty name.
std::string display_name(const std::string& customer);

// Returns a fraction as a percentage with two decimals, or "-" without requests.
std::string format_percent(const std::optional<double>& share);

// Returns a burn rate with two decimals, or "-" without requests.
std::string format_rate(const std::optional<double>& value);

// Returns the worst stage with its share of the bad requests, or "-" if there is none.
std::string worst_stage_text(const burn_row& row);

// Returns how many instances the report covers, and which ones are missing.
std::string coverage_text(const fleet_burn& burn);

// Returns the number of UTF-8 code points.
std::size_t display_width(std::string_view text);

} // namespace quetzal::burn::internal

#endif
