#ifndef QUETZAL_REQUESTS_DECIMAL_HPP
#define QUETZAL_REQUESTS_DECIMAL_HPP

// Parsing of decimal numbers in canonical form.

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace quetzal::requests::internal {

// Parses digits without sign, spaces or leading zeros. Different texts never parse to the same
// number, so that each identifier has exactly one text.
template <std::unsigned_integral Number>
std::optional<Number> parse_decimal(std::string_view text)
{
    if (text.empty() || (text.size() > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace quetzal::requests::internal

#endif
