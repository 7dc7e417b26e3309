#include <quetzal/gateway/endpoints/load_header.hpp>

#include <charconv>

namespace quetzal::gateway {

namespace {

// Removes the text up to the next comma, and the comma, from the front of `text` and returns it
// without spaces around it.
std::string_view take_field(std::string_view& text)
{
    const std::size_t comma = text.find(',');
    std::string_view field = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    while (!field.empty() && field.front() == ' ') {
        field.remove_prefix(1);
    }
    while (!field.empty() && field.back() == ' ') {
        field.remove_suffix(1);
    }
    return field;
}

std::optional<std::uint32_t> read_number(std::string_view text)
{
    std::uint32_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stopped != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::optional<reported_load> read_load(std::string_view text)
{
    const auto running = read_number(take_field(text));
    const auto waiting = read_number(take_field(text));
    take_field(text); // the number of slots, which the configuration has too
    const auto percent = read_number(take_field(text));
    if (!running || !waiting) {
        return std::nullopt;
    }
    reported_load load{*running, *waiting, std::nullopt};
    if (percent && *percent > 0) {
        load.pace = *percent / 100.0;
    }
    return load;
}

} // namespace quetzal::gateway
