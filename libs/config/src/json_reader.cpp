#include "json_reader.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include <boost/json/src.hpp>
#include <quetzal/base/units.hpp>

#include "json_scan.hpp"

namespace quetzal::config::internal {

namespace {

std::string format(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.10g", value);
    return text;
}

std::string format(bounds range)
{
    if (range.high >= std::numeric_limits<double>::max()) {
        return "at least " + format(range.low);
    }
    return "from " + format(range.low) + " to " + format(range.high);
}

std::string format(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()) +
           "ms";
}

} // namespace

json_reader::json_reader(const boost::json::value& value, std::string path, error_sink& errors)
    : object_(value.if_object()), path_(std::move(path)), errors_(errors)
{
    if (object_ == nullptr) {
        errors_.report(path_, "an object");
    }
}

std::string json_reader::path_of(std::string_view name) const
{
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

const boost::json::value* json_reader::member(std::string_view name, bool required)
{
    read_names_.emplace(name);
    if (object_ == nullptr) {
        return nullptr;
    }
    if (const auto* found = object_->if_contains(name)) {
        return found;
    }
    if (required) {
        errors_.report(path_of(name), "a value; the name is missing");
    }
    return nullptr;
}

std::string json_reader::text(std::string_view name)
{
    const auto* value = member(name, true);
    if (value == nullptr) {
        return {};
    }
    if (const auto* string = value->if_string(); string != nullptr && !string->empty()) {
        return std::string(string->data(), string->size());
    }
    errors_.report(path_of(name), "a non-empty string");
    return {};
}

std::string json_reader::name(std::string_view member_name)
{
    std::string written = text(member_name);
    if (!written.empty() && !is_valid_name(written)) {
        errors_.report(path_of(member_name), std::string(name_rule));
        return {};
    }
    return written;
}

std::string json_reader::text_or(std::string_view name, std::string fallback)
{
    return member(name, false) == nullptr ? std::move(fallback) : text(name);
}

double json_reader::number(std::string_view name, bounds range)
{
    const auto* value = member(name, true);
    if (value == nullptr) {
        return range.low;
    }
    if (!value->is_number()) {
        errors_.report(path_of(name), "a number " + format(range));
        return range.low;
    }
    const double number = value->to_number<double>();
    if (!std::isfinite(number) || number < range.low || number > range.high) {
        errors_.report(path_of(name), "a number " + format(range));
        return range.low;
    }
    return number;
}

double json_reader::number_or(std::string_view name, bounds range, double fallback)
{
    return member(name, false) == nullptr ? fallback : number(name, range);
}

std::uint64_t json_reader::integer(std::string_view name, bounds range)
{
    const auto* value = member(name, true);
    if (value == nullptr) {
        return static_cast<std::uint64_t>(range.low);
    }
    boost::system::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error || static_cast<double>(number) < range.low ||
        static_cast<double>(number) > range.high) {
        errors_.report(path_of(name), "a whole number " + format(range));
        return static_cast<std::uint64_t>(range.low);
    }
    return number;
}

std::uint64_t json_reader::integer_or(std::string_view name, bounds range, std::uint64_t fallback)
{
    return member(name, false) == nullptr ? fallback : integer(name, range);
}

bool json_reader::bool_or(std::string_view name, bool fallback)
{
    const auto* value = member(name, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        errors_.report(path_of(name), "true or false");
        return fallback;
    }
    return value->as_bool();
}

duration json_reader::time(std::string_view name, duration low, duration high)
{
    const std::string written = text(name);
    if (written.empty()) {
        return low;
    }
    const auto value = parse_duration(written);
    if (!value) {
        errors_.report(path_of(name), value.error());
        return low;
    }
    if (*value < low || *value > high) {
        errors_.report(path_of(name), "a duration from " + format(low) + " to " + format(high));
        return low;
    }
    return *value;
}

std::optional<duration> json_reader::optional_time(std::string_view name, duration low,
                                                   duration high)
{
    if (member(name, false) == nullptr) {
        return std::nullopt;
    }
    return time(name, low, high);
}

std::size_t json_reader::choice_or_first(std::string_view name,
                                         std::initializer_list<std::string_view> choices)
{
    if (member(name, false) == nullptr) {
        return 0;
    }
    const std::string written = text(name);
    if (const auto* found = std::find(choices.begin(), choices.end(), written);
        found != choices.end()) {
        return static_cast<std::size_t>(found - choices.begin());
    }
    std::string expected = "one of";
    for (const auto choice : choices) {
        expected += " \"" + std::string(choice) + "\"";
    }
    errors_.report(path_of(name), expected);
    return 0;
}

void json_reader::for_each_element(
    std::string_view name, bool required,
    const std::function<void(const boost::json::value&, const std::string&)>& each)
{
    const auto* value = member(name, required);
    if (value == nullptr) {
        return;
    }
    const auto* array = value->if_array();
    if (array == nullptr) {
        errors_.report(path_of(name), "an array");
        return;
    }
    for (std::size_t index = 0; index < array->size(); ++index) {
        each((*array)[index], path_of(name) + "[" + std::to_string(index) + "]");
    }
}

void json_reader::finish()
{
    if (object_ == nullptr) {
        return;
    }
    for (const auto& [key, value] : *object_) {
        const std::string_view name(key.data(), key.size());
        if (!read_names_.contains(name)) {
            std::string known = "one of the names";
            for (const auto& candidate : read_names_) {
                known += " " + candidate;
            }
            errors_.report(path_of(name), known);
        }
    }
}

bool is_valid_name(std::string_view text) noexcept
{
    constexpr std::string_view punctuation = "._:/@+-";
    return !text.empty() && text.size() <= max_name_size &&
           std::all_of(text.begin(), text.end(), [punctuation](char letter) {
               return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') ||
                      (letter >= 'A' && letter <= 'Z') ||
                      punctuation.find(letter) != std::string_view::npos;
           });
}

std::optional<boost::json::value> parse_json(std::string_view text, error_sink& errors)
{
    boost::json::stream_parser parser;
    boost::system::error_code error;
    std::size_t used = parser.write_some(text.data(), text.size(), error);
    if (!error && used == text.size()) {
        parser.finish(error);
    }
    if (error || used != text.size()) {
        errors.first = parse_error{0, 0, "JSON", "one valid JSON value"};
        set_position(*errors.first, text, std::min(used, text.size()));
        return std::nullopt;
    }
    errors.first = check_names(text);
    if (errors.first) {
        return std::nullopt;
    }
    return parser.release();
}

parse_error with_position(parse_error error, std::string_view text)
{
    locate(error, text);
    return error;
}

} // namespace quetzal::config::internal
