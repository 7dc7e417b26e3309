#ifndef QUETZAL_REQUESTS_JSON_SCANNER_HPP
#define QUETZAL_REQUESTS_JSON_SCANNER_HPP

// Checks JSON text in place and returns slices of it. Nothing is decoded or copied, because answers
// are passed on as the text that came.

#include <cstddef>
#include <optional>
#include <string_view>

namespace quetzal::requests::internal {

inline constexpr std::size_t max_json_depth = 32; // nested arrays and objects

// Reads one line from left to right. Line breaks, carriage returns and other control characters are
// errors even between tokens, because a carriage return would end a line of a server-sent event.
class json_scanner
{
public:
    explicit json_scanner(std::string_view text) noexcept
        : next_(text.data()), end_(text.data() + text.size())
    {
    }

    // Skips spaces and tabs.
    void skip_space() noexcept;

    // Takes the character if it is next.
    bool take(char wanted) noexcept;

    // Takes a string and returns its text between the quotes, escapes not decoded.
    std::optional<std::string_view> take_string() noexcept;

    // Takes any value and returns its text.
    std::optional<std::string_view> take_value() noexcept { return take_value(0); }

    bool at_end() const noexcept { return next_ == end_; }

private:
    std::optional<std::string_view> take_value(std::size_t depth) noexcept;
    bool take_text(std::string_view wanted) noexcept;
    bool take_number() noexcept;
    bool take_digits() noexcept;
    bool take_escape() noexcept;
    bool take_multibyte() noexcept;
    bool take_array(std::size_t depth) noexcept;
    bool take_object(std::size_t depth) noexcept;

    const char* next_;
    const char* end_;
};

} // namespace quetzal::requests::internal

#endif
