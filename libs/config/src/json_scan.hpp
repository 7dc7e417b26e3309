#ifndef QUETZAL_CONFIG_JSON_SCAN_HPP
#define QUETZAL_CONFIG_JSON_SCAN_HPP

// Positions in a JSON text. Boost.JSON keeps neither positions nor repeated names, so both are
// found by a second pass over the text, after it parsed.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <quetzal/config/published.hpp>

namespace quetzal::config::internal {

// Fills in line and column of an offset in bytes.
void set_position(parse_error& error, std::string_view text, std::size_t offset);

// Fills in the position of the member or element that `error.name` denotes, e.g.
// "customers[3].rate"; when it does not exist, that of the nearest value around it. The text must
// be valid JSON.
void locate(parse_error& error, std::string_view text);

// Returns an error for the first name that an object has twice, or that is written with an escape
// sequence: Boost.JSON would use the last of them without notice. The text must be valid JSON.
std::optional<parse_error> check_names(std::string_view text);

} // namespace quetzal::config::internal

#endif
