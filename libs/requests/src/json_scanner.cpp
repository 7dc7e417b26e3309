#include "json_scanner.hpp"

#include <array>

namespace quetzal::requests::internal {

namespace {

// ASCII characters that need no escape within a string.
constexpr auto unescaped_ascii = [] {
    std::array<bool, 256> table{};
    for (std::size_t byte = 0x20; byte < 0x80; ++byte) {
        table[byte] = byte != '"' && byte != '\\';
    }
    return table;
}();

unsigned to_unsigned(char byte) noexcept
{
    return static_cast<unsigned char>(byte);
}

bool is_digit(char byte) noexcept
{
    return byte >= '0' && byte <= '9';
}

bool is_hex(char byte) noexcept
{
    return is_digit(byte) || (byte >= 'a' && byte <= 'f') || (byte >= 'A' && byte <= 'F');
}

// Length of the UTF-8 sequence that starts with a given byte, and the valid range of its second
// byte, which excludes overlong forms, surrogates and values beyond U+10FFFF (RFC 3629, section 4).
struct utf8_form
{
    int length = 0; // 0 for bytes that start no multi-byte sequence
    unsigned low = 0x80;
    unsigned high = 0xbf;
};

utf8_form utf8_form_of(unsigned first) noexcept
{
    if (first >= 0xc2 && first <= 0xdf) {
        return {2};
    }
    if (first >= 0xe0 && first <= 0xef) {
        return {3, first == 0xe0 ? 0xa0u : 0x80u, first == 0xed ? 0x9fu : 0xbfu};
    }
    if (first >= 0xf0 && first <= 0xf4) {
        return {4, first == 0xf0 ? 0x90u : 0x80u, first == 0xf4 ? 0x8fu : 0xbfu};
    }
    return {};
}

} // namespace

void json_scanner::skip_space() noexcept
{
    while (next_ != end_ && (*next_ == ' ' || *next_ == '\t')) {
        ++next_;
    }
}

bool json_scanner::consume(char expected) noexcept
{
    if (next_ == end_ || *next_ != expected) {
        return false;
    }
    ++next_;
    return true;
}

bool json_scanner::consume_literal(std::string_view expected) noexcept
{
    if (!std::string_view(next_, static_cast<std::size_t>(end_ - next_)).starts_with(expected)) {
        return false;
    }
    next_ += expected.size();
    return true;
}

std::optional<std::string_view> json_scanner::scan_string() noexcept
{
    if (!consume('"')) {
        return std::nullopt;
    }
    const char* const begin = next_;
    while (true) {
        while (next_ != end_ && unescaped_ascii[to_unsigned(*next_)]) {
            ++next_;
        }
        if (next_ == end_) {
            return std::nullopt;
        }
        if (*next_ == '"') {
            ++next_;
            return std::string_view(begin, static_cast<std::size_t>(next_ - 1 - begin));
        }
        if (!(*next_ == '\\' ? scan_escape() : scan_multibyte())) {
            return std::nullopt;
        }
    }
}

bool json_scanner::scan_escape() noexcept
{
    ++next_;
    if (next_ == end_) {
        return false;
    }
    const char kind = *next_++;
    if (kind != 'u') {
        return std::string_view("\"\\/bfnrt").find(kind) != std::string_view::npos;
    }
    for (int digit = 0; digit < 4; ++digit, ++next_) {
        if (next_ == end_ || !is_hex(*next_)) {
            return false;
        }
    }
    return true;
}

bool json_scanner::scan_multibyte() noexcept
{
    const auto [length, low, high] = utf8_form_of(to_unsigned(*next_));
    if (length == 0 || end_ - next_ < length || to_unsigned(next_[1]) < low ||
        to_unsigned(next_[1]) > high)
    {
        return false;
    }
    for (int index = 2; index < length; ++index) {
        if ((to_unsigned(next_[index]) & 0xc0) != 0x80) {
            return false;
        }
    }
    next_ += length;
    return true;
}

bool json_scanner::scan_digits() noexcept
{
    const char* const begin = next_;
    while (next_ != end_ && is_digit(*next_)) {
        ++next_;
    }
    return next_ != begin;
}

bool json_scanner::scan_number() noexcept
{
    consume('-');
    if (!consume('0') && !scan_digits()) {
        return false;
    }
    if (consume('.') && !scan_digits()) {
        return false;
    }
    if (consume('e') || consume('E')) {
        if (!consume('+')) {
            consume('-');
        }
        return scan_digits();
    }
    return true;
}

bool json_scanner::scan_array(std::size_t depth) noexcept
{
    skip_space();
    if (consume(']')) {
        return true;
    }
    do {
        skip_space();
        if (!scan_value(depth)) {
            return false;
        }
        skip_space();
    } while (consume(','));
    return consume(']');
}

bool json_scanner::scan_object(std::size_t depth) noexcept
{
    skip_space();
    if (consume('}')) {
        return true;
    }
    do {
        skip_space();
        if (!scan_string()) {
            return false;
        }
        skip_space();
        if (!consume(':')) {
            return false;
        }
        skip_space();
        if (!scan_value(depth)) {
            return false;
        }
        skip_space();
    } while (consume(','));
    return consume('}');
}

std::optional<std::string_view> json_scanner::scan_value(std::size_t depth) noexcept
{
    if (next_ == end_) {
        return std::nullopt;
    }
    const char* const begin = next_;
    bool valid = false;
    switch (*begin) {
    case '"':
        valid = scan_string().has_value();
        break;
    case '{':
    case '[':
        ++next_;
        valid = depth < max_json_depth &&
                (*begin == '{' ? scan_object(depth + 1) : scan_array(depth + 1));
        break;
    case 't':
        valid = consume_literal("true");
        break;
    case 'f':
        valid = consume_literal("false");
        break;
    case 'n':
        valid = consume_literal("null");
        break;
    default:
        valid = scan_number();
    }
    if (!valid) {
        return std::nullopt;
    }
    return std::string_view(begin, static_cast<std::size_t>(next_ - begin));
}

} // namespace quetzal::requests::internal
