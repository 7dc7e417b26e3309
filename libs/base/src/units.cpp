#include <quetzal/base/units.hpp>

#include <array>
#include <charconv>
#include <limits>
#include <optional>

namespace quetzal {

namespace {

struct unit
{
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array<unit, 5> time_units{{{"us", 1'000},
                                          {"ms", 1'000'000},
                                          {"s", 1'000'000'000},
                                          {"min", 60'000'000'000},
                                          {"h", 3'600'000'000'000}}};
constexpr std::array<unit, 4> byte_units{
    {{"B", 1}, {"KiB", 1u << 10}, {"MiB", 1u << 20}, {"GiB", 1u << 30}}};

template <std::size_t Count>
std::optional<std::uint64_t> parse(std::string_view text, const std::array<unit, Count>& units)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{}) {
        return std::nullopt;
    }
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    constexpr std::uint64_t largest = std::numeric_limits<std::int64_t>::max();
    for (const auto& [name, factor] : units) {
        if (suffix == name && number <= largest / factor) {
            return number * factor;
        }
    }
    return std::nullopt;
}

} // namespace

tl::expected<duration, std::string> parse_duration(std::string_view text)
{
    if (const auto value = parse(text, time_units)) {
        return duration(static_cast<duration::rep>(*value));
    }
    return tl::unexpected<std::string>("a whole number with one of the units us, ms, s, min, h");
}

tl::expected<std::uint64_t, std::string> parse_bytes(std::string_view text)
{
    if (const auto value = parse(text, byte_units)) {
        return *value;
    }
    return tl::unexpected<std::string>("a whole number with one of the units B, KiB, MiB, GiB");
}

} // namespace quetzal
