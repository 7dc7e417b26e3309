#ifndef QUETZAL_BASE_UNITS_HPP
#define QUETZAL_BASE_UNITS_HPP

// Parses values with units as operators write them: "250ms", "8s", "64MiB".

#include <cstdint>
#include <quetzal/base/time.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace quetzal {

// Parses an integer followed by one of the units us, ms, s, min, h. On error returns a description
// of the expected text.
tl::expected<duration, std::string> parse_duration(std::string_view text);

// Parses an integer followed by one of the units B, KiB, MiB, GiB and returns the value in bytes.
// On error returns a description of the expected text.
tl::expected<std::uint64_t, std::string> parse_bytes(std::string_view text);

} // namespace quetzal

#endif
