#ifndef QUETZAL_CONFIG_JSON_SCAN_HPP
#define QUETZAL_CONFIG_JSON_SCAN_HPP

// Finds positions and repeated names in a JSON text. Boost.JSON keeps neither, so a second pass
// over the text finds them after it was parsed.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <quetzal/config/published.hpp>

namespace quetzal::config::internal {

// Sets line and column of the error from an offset in bytes.
void set_position(parse_error& error, std::string_view text, std::size_t offset);

// Sets the position of the error to that of the member or element that `error.name` denotes, e.g.
// "customers[3].rate", or of the innermost enclosing value if it does not exist. The text must be
// valid JSON.
void locate(parse_error& error, std::string_view text);

// Returns an error for the first member name that is repeated in its object or contains an escape
// sequence. Boost.JSON would silently use the last of several equal names. The text must be valid
// JSON.
std::optional<parse_error> check_names(std::string_view text);

} // namespace quetzal::config::internal

#endif
