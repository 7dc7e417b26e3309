#ifndef QUETZAL_BURN_TEXT_HPP
#define QUETZAL_BURN_TEXT_HPP

// Texts that the renderings of the burn report share.

#include <cstddef>
#include <optional>
#include <quetzal/burn/snapshot.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal::burn::internal {

// Returns "5m", "1h", "6h" or "3d".
std::string_view window_name(std::size_t window);

// Returns the headings of the table.
std::vector<std::string> headings();

// Returns a customer's name, or what an empty one stands for.
std::string shown_name(const std::string& customer);

// Returns a share in percent, or "-" without requests.
std::string percent(const std::optional<double>& share);

// Returns a burn rate with two decimals, or "-" without requests.
std::string rate(const std::optional<double>& value);

// Returns the stage to blame with its share, or "-".
std::string worst_stage(const burn_row& row);

// Returns which instances the figures cover, and which are missing.
std::string coverage(const fleet_burn& burn);

// Returns the number of UTF-8 characters.
std::size_t shown_width(std::string_view text);

} // namespace quetzal::burn::internal

#endif
