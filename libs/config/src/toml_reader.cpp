#include <quetzal/config/toml_reader.hpp>

#include <algorithm>
#include <tuple>

#include <quetzal/base/units.hpp>

#include "json_reader.hpp"

namespace quetzal::config {

namespace {

std::string format_bytes(std::uint64_t value)
{
    constexpr std::uint64_t kibibyte = 1u << 10;
    for (const auto* unit : {"B", "KiB", "MiB"}) {
        if (value < kibibyte || value % kibibyte != 0) {
            return std::to_string(value) + unit;
        }
        value /= kibibyte;
    }
    return std::to_string(value) + "GiB";
}

std::string format_duration(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()) +
           "ms";
}

} // namespace

void settings_errors::report(const toml::source_position& where, std::string name,
                             std::string expected)
{
    if (errors_.size() < max_settings_errors) {
        errors_.push_back({file_, where.line, where.column, std::move(name), std::move(expected)});
    }
}

std::vector<settings_error> settings_errors::sorted() const
{
    auto errors = errors_;
    std::stable_sort(errors.begin(), errors.end(),
                     [](const settings_error& first, const settings_error& second) {
                         return std::tie(first.line, first.column) <
                                std::tie(second.line, second.column);
                     });
    return errors;
}

toml_reader::toml_reader(const toml::table* table, std::string path,
                         toml::source_position fallback_position, settings_errors& errors)
    : table_(table), path_(std::move(path)), fallback_position_(fallback_position), errors_(errors)
{
    if (table_ != nullptr && table_->source().begin) {
        fallback_position_ = table_->source().begin;
    }
}

std::string toml_reader::path_of(std::string_view name) const
{
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

const toml::node* toml_reader::member(std::string_view name, bool required)
{
    read_names_.emplace(name);
    const toml::node* found = table_ == nullptr ? nullptr : table_->get(name);
    if (found == nullptr && required) {
        errors_.report(fallback_position_, path_of(name), "a value; the name is missing");
    }
    return found;
}

void toml_reader::report(std::string_view name, std::string expected)
{
    const toml::node* found = table_ == nullptr ? nullptr : table_->get(name);
    errors_.report(found == nullptr ? fallback_position_ : found->source().begin, path_of(name),
                   std::move(expected));
}

std::string toml_reader::text(std::string_view name)
{
    const auto* found = member(name, true);
    if (found == nullptr) {
        return {};
    }
    if (const auto* string = found->as_string(); string != nullptr && !string->get().empty()) {
        return string->get();
    }
    report(name, "a non-empty string");
    return {};
}

std::string toml_reader::name(std::string_view member_name)
{
    std::string written = text(member_name);
    if (!written.empty() && !internal::is_valid_name(written)) {
        report(member_name, std::string(internal::name_rule));
        return {};
    }
    return written;
}

std::uint64_t toml_reader::integer(std::string_view name, std::uint64_t low, std::uint64_t high)
{
    const auto* found = member(name, true);
    if (found == nullptr) {
        return low;
    }
    const auto* number = found->as_integer();
    if (number == nullptr || number->get() < 0 || static_cast<std::uint64_t>(number->get()) < low ||
        static_cast<std::uint64_t>(number->get()) > high)
    {
        report(name, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return static_cast<std::uint64_t>(number->get());
}

std::uint64_t toml_reader::integer_or(std::string_view name, std::uint64_t low, std::uint64_t high,
                                      std::uint64_t fallback)
{
    return member(name, false) == nullptr ? fallback : integer(name, low, high);
}

std::uint64_t toml_reader::bytes_or(std::string_view name, std::uint64_t low, std::uint64_t high,
                                    std::uint64_t fallback)
{
    const auto* found = member(name, false);
    if (found == nullptr) {
        return fallback;
    }
    const auto* string = found->as_string();
    const auto value = parse_bytes(string == nullptr ? std::string_view() : string->get());
    if (!value) {
        report(name, "a string with " + value.error());
        return fallback;
    }
    if (*value < low || *value > high) {
        report(name, "a size from " + format_bytes(low) + " to " + format_bytes(high));
        return fallback;
    }
    return *value;
}

double toml_reader::number_or(std::string_view name, double low, double high, double fallback)
{
    const auto* found = member(name, false);
    if (found == nullptr) {
        return fallback;
    }
    const auto value = found->value<double>();
    if (!found->is_number() || !value || *value < low || *value > high) {
        report(name, "a number from " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return *value;
}

std::vector<std::string> toml_reader::texts(std::string_view name)
{
    std::vector<std::string> values;
    const auto* found = member(name, false);
    if (found == nullptr) {
        return values;
    }
    const auto* array = found->as_array();
    if (array == nullptr) {
        report(name, "an array of strings");
        return values;
    }
    for (const auto& element : *array) {
        if (const auto* text = element.as_string()) {
            values.push_back(text->get());
        } else {
            report(name, "an array of strings");
        }
    }
    return values;
}

duration toml_reader::time_or(std::string_view name, duration low, duration high, duration fallback)
{
    const auto* found = member(name, false);
    if (found == nullptr) {
        return fallback;
    }
    const auto* string = found->as_string();
    const auto value = parse_duration(string == nullptr ? std::string_view() : string->get());
    if (!value) {
        report(name, "a string with " + value.error());
        return fallback;
    }
    if (*value < low || *value > high) {
        report(name, "a duration from " + format_duration(low) + " to " + format_duration(high));
        return fallback;
    }
    return *value;
}

std::size_t toml_reader::choice_or(std::string_view name,
                                   std::initializer_list<std::string_view> choices,
                                   std::size_t fallback)
{
    const auto* found = member(name, false);
    if (found == nullptr) {
        return fallback;
    }
    const auto* string = found->as_string();
    const auto* chosen = string == nullptr
                             ? choices.end()
                             : std::find(choices.begin(), choices.end(), string->get());
    if (chosen != choices.end()) {
        return static_cast<std::size_t>(chosen - choices.begin());
    }
    std::string expected = "one of";
    for (const auto choice : choices) {
        expected += " \"" + std::string(choice) + "\"";
    }
    report(name, expected);
    return fallback;
}

toml_reader toml_reader::section(std::string_view name, bool required)
{
    const auto* found = member(name, required);
    if (found != nullptr && !found->is_table()) {
        report(name, "a table");
    }
    return {found == nullptr ? nullptr : found->as_table(), path_of(name), fallback_position_,
            errors_};
}

void toml_reader::finish()
{
    if (table_ == nullptr) {
        return;
    }
    std::string known = "one of the names";
    for (const auto& candidate : read_names_) {
        known += " " + candidate;
    }
    for (const auto& [key, value] : *table_) {
        if (!read_names_.contains(key.str())) {
            errors_.report(key.source().begin, path_of(key.str()), known);
        }
    }
}

} // namespace quetzal::config
