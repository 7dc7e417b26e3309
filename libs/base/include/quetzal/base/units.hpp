#ifndef QUETZAL_BASE_UNITS_HPP
#define QUETZAL_BASE_UNITS_HPP

// Values with units as operators write them: "250ms", "8s", "64MiB".

#include <cstdint>
#include <quetzal/base/time.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace quetzal {

// Parses a whole number with one of the units us, ms, s, min, h. On error returns what was
// expected.
tl::expected<duration, std::string> parse_duration(std::string_view text);

// Parses a whole number with one of the units B, KiB, MiB, GiB; the value is in bytes. On error
// returns what was expected.
tl::expected<std::uint64_t, std::string> parse_bytes(std::string_view text);

} // namespace quetzal

#endif
