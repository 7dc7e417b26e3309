#ifndef QUETZAL_CONFIG_JSON_READER_HPP
#define QUETZAL_CONFIG_JSON_READER_HPP

// Strict reading of JSON objects. A reader remembers the first error and which names were read;
// every further read then returns a default, so that parsers stay free of error branches.

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

// The first error of a whole text.
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

    // Required members. A missing or wrong one is an error and gives an empty or low value.
    std::string text(std::string_view name);
    std::string name(std::string_view member_name); // meets `is_valid_name`
    double number(std::string_view name, bounds range);
    std::uint64_t whole(std::string_view name, bounds range);
    duration time(std::string_view name, duration low, duration high);

    // Returns a required member as it is, or null when it is missing.
    const boost::json::value* value(std::string_view name) { return member(name, true); }

    // Optional members, with the value when absent.
    std::string text_or(std::string_view name, std::string fallback);
    double number_or(std::string_view name, bounds range, double fallback);
    std::uint64_t whole_or(std::string_view name, bounds range, std::uint64_t fallback);
    bool flag_or(std::string_view name, bool fallback);
    std::optional<duration> time_if(std::string_view name, duration low, duration high);

    // Returns the position in `choices` of the member's text; the first choice when it is absent.
    std::size_t choice_or_first(std::string_view name,
                                std::initializer_list<std::string_view> choices);

    // Calls `each(value, path)` for every element of an array member; an absent optional member is
    // empty.
    void elements(std::string_view name, bool required,
                  const std::function<void(const boost::json::value&, const std::string&)>& each);

    // Reports every member that was not read.
    void finish();

    std::string path_of(std::string_view name) const;
    error_sink& errors() noexcept { return errors_; }

private:
    const boost::json::value* member(std::string_view name, bool required);

    const boost::json::object* object_ = nullptr;
    std::string path_;
    error_sink& errors_;
    std::set<std::string, std::less<>> read_;
};

inline constexpr std::string_view name_rule =
    "1 to 64 characters out of letters, digits and . _ : / @ + -";

// Whether the text may name an entity. Names appear in log lines, HTTP headers and datagrams; the
// length keeps a probe with all its updates within one datagram.
bool is_valid_name(std::string_view text) noexcept;

// Parses the text as one JSON value. A syntax error or a repeated name is reported with its
// position.
std::optional<boost::json::value> parse_json(std::string_view text, error_sink& errors);

// Returns the error with the position of what it names in the text, which must be valid JSON.
parse_error located(parse_error error, std::string_view text);

} // namespace quetzal::config::internal

#endif
