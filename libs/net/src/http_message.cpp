#include <quetzal/net/http_message.hpp>

#include <algorithm>

namespace quetzal::net {

namespace {

char lower(char letter) noexcept
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool equal_names(std::string_view first, std::string_view second) noexcept
{
    return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                      [](char left, char right) { return lower(left) == lower(right); });
}

int hex_digit(char digit) noexcept
{
    const char small = lower(digit);
    if (small >= '0' && small <= '9') {
        return small - '0';
    }
    return small >= 'a' && small <= 'f' ? small - 'a' + 10 : -1;
}

bool is_unreserved(char letter) noexcept
{
    const char small = lower(letter);
    return (small >= 'a' && small <= 'z') || (small >= '0' && small <= '9') || letter == '-' ||
           letter == '.' || letter == '_' || letter == '~';
}

} // namespace

void header_list::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string_view> header_list::find(std::string_view name) const noexcept
{
    for (const auto& [field, value] : fields_) {
        if (equal_names(field, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<std::string> http_request::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto separator = rest.find('&');
        const std::string_view pair = rest.substr(0, separator);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string()
                                                    : percent_decode(pair.substr(equals + 1));
        }
        rest =
            separator == std::string_view::npos ? std::string_view() : rest.substr(separator + 1);
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
        if (text[index] == '%' && index + 2 < text.size() && hex_digit(text[index + 1]) >= 0 &&
            hex_digit(text[index + 2]) >= 0)
        {
            decoded +=
                static_cast<char>(hex_digit(text[index + 1]) * 16 + hex_digit(text[index + 2]));
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
    for (const char letter : text) {
        if (is_unreserved(letter)) {
            encoded += letter;
        } else {
            const auto byte = static_cast<unsigned char>(letter);
            encoded += '%';
            encoded += digits[byte >> 4];
            encoded += digits[byte & 0x0f];
        }
    }
    return encoded;
}

} // namespace quetzal::net
