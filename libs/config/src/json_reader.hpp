#ifndef QUETZAL_CONFIG_JSON_READER_HPP
#define QUETZAL_CONFIG_JSON_READER_HPP

// Strict reader for JSON objects. It records the first error and the names that were read. A read
// that fails returns a default value, so that parsers need no error branches.

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/config/published.hpp>

namespace quetzal::config::internal {

// Keeps the first error of a text.
struct error_sink
{
    std::optional<parse_error> first;

    void report(std::string name, std::string expected)
    {
        if (!first) {
            first = parse_error{0, 0, std::move(name), std::move(expected)};
        }
    }
};

// Inclusive bounds of a number.
struct bounds
{
    double low = 0;
    double high = std::numeric_limits<double>::max();
};

// Reads the members of one JSON object.
class json_reader
{
public:
    // `path` names the object in errors; `value` must outlive the reader.
    json_reader(const boost::json::value& value, std::string path, error_sink& errors);

    // Read required members. If one is missing or invalid, they report an error and return an empty
    // value or the lower bound.
    std::string text(std::string_view name);
    std::string name(std::string_view member_name); // must satisfy `is_valid_name`
    double number(std::string_view name, bounds range);
    std::uint64_t integer(std::string_view name, bounds range);
    duration time(std::string_view name, duration low, duration high);

    // Returns a required member of any type. If it is missing, reports an error and returns null.
    const boost::json::value* value(std::string_view name) { return member(name, true); }

    // Read optional members. They return `fallback` (or nothing) if the member is absent.
    std::string text_or(std::string_view name, std::string fallback);
    double number_or(std::string_view name, bounds range, double fallback);
    std::uint64_t integer_or(std::string_view name, bounds range, std::uint64_t fallback);
    bool bool_or(std::string_view name, bool fallback);
    std::optional<duration> optional_time(std::string_view name, duration low, duration high);

    // Returns the index of the member's text in `choices`; 0 if the member is absent.
    std::size_t choice_or_first(std::string_view name,
                                std::initializer_list<std::string_view> choices);

    // Calls `each(value, path)` for every element of an array member. An absent optional member
    // counts as an empty array.
    void for_each_element(
        std::string_view name, bool required,
        const std::function<void(const boost::json::value&, const std::string&)>& each);

    // Reports an error if the object has a member that was not read.
    void finish();

    std::string path_of(std::string_view name) const;
    error_sink& errors() noexcept { return errors_; }

private:
    const boost::json::value* member(std::string_view name, bool required);

    const boost::json::object* object_ = nullptr;
    std::string path_;
    error_sink& errors_;
    std::set<std::string, std::less<>> read_names_;
};

inline constexpr std::string_view name_rule =
    "1 to 64 characters out of letters, digits and . _ : / @ + -";

// Returns whether the text is a valid name of an entity. Names appear in log lines, HTTP headers
// and datagrams; the length limit keeps a probe with all its updates within one datagram.
bool is_valid_name(std::string_view text) noexcept;

// Parses the text as one JSON value. Reports a syntax error or a repeated name with its position.
std::optional<boost::json::value> parse_json(std::string_view text, error_sink& errors);

// Returns the error with the position of the value that it names. The text must be valid JSON.
parse_error with_position(parse_error error, std::string_view text);

} // namespace quetzal::config::internal

#endif
