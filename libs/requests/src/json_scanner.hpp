#ifndef QUETZAL_REQUESTS_JSON_SCANNER_HPP
#define QUETZAL_REQUESTS_JSON_SCANNER_HPP

// Validates JSON text in place and returns slices of it. Nothing is decoded or copied, because
// answers are forwarded as the text that was received.

#include <cstddef>
#include <optional>
#include <string_view>

namespace quetzal::requests::internal {

inline constexpr std::size_t max_json_depth = 32; // of nested arrays and objects

// Scans one line from left to right. Line breaks, carriage returns and other control characters are
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

    // Consumes the character if it is next. Returns whether it was.
    bool consume(char expected) noexcept;

    // Scans a string and returns the text between its quotes, with escapes not decoded.
    std::optional<std::string_view> scan_string() noexcept;

    // Scans any value and returns its text.
    std::optional<std::string_view> scan_value() noexcept { return scan_value(0); }

    bool at_end() const noexcept { return next_ == end_; }

private:
    std::optional<std::string_view> scan_value(std::size_t depth) noexcept;
    bool consume_literal(std::string_view expected) noexcept;
    bool scan_number() noexcept;
    bool scan_digits() noexcept;
    bool scan_escape() noexcept;
    bool scan_multibyte() noexcept;
    bool scan_array(std::size_t depth) noexcept;
    bool scan_object(std::size_t depth) noexcept;

    const char* next_;
    const char* end_;
};

} // namespace quetzal::requests::internal

#endif
