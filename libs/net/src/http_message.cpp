#include <quetzal/net/http_message.hpp>

#include <algorithm>

namespace quetzal::net {

namespace {

char to_lower_ascii(char character) noexcept
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

bool equal_ignoring_case(std::string_view first, std::string_view second) noexcept
{
    return std::equal(
        first.begin(), first.end(), second.begin(), second.end(),
        [](char left, char right) { return to_lower_ascii(left) == to_lower_ascii(right); });
}

int hex_digit_value(char digit) noexcept
{
    const char lowercase = to_lower_ascii(digit);
    if (lowercase >= '0' && lowercase <= '9') {
        return lowercase - '0';
    }
    return lowercase >= 'a' && lowercase <= 'f' ? lowercase - 'a' + 10 : -1;
}

bool is_unreserved(char character) noexcept
{
    const char lowercase = to_lower_ascii(character);
    return (lowercase >= 'a' && lowercase <= 'z') || (lowercase >= '0' && lowercase <= '9') ||
           character == '-' || character == '.' || character == '_' || character == '~';
}

} // namespace

void header_list::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string_view> header_list::find(std::string_view name) const noexcept
{
    for (const auto& [field, value] : fields_) {
        if (equal_ignoring_case(field, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<std::string> http_request::parameter(std::string_view name) const
{
    std::string_view remaining = query;
    while (!remaining.empty()) {
        const auto separator = remaining.find('&');
        const std::string_view pair = remaining.substr(0, separator);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string()
                                                    : percent_decode(pair.substr(equals + 1));
        }
        remaining = separator == std::string_view::npos ? std::string_view()
                                                        : remaining.substr(separator + 1);
    }
    return std::nullopt;
}

http_response json_response(unsigned status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size() &&
            hex_digit_value(text[index + 1]) >= 0 && hex_digit_value(text[index + 2]) >= 0)
        {
            decoded += static_cast<char>(hex_digit_value(text[index + 1]) * 16 +
                                         hex_digit_value(text[index + 2]));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

std::string percent_encode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (is_unreserved(character)) {
            encoded += character;
        } else {
            const auto byte = static_cast<unsigned char>(character);
            encoded += '%';
            encoded += digits[byte >> 4];
            encoded += digits[byte & 0x0f];
        }
    }
    return encoded;
}

} // namespace quetzal::net
