#ifndef QUETZAL_GATEWAY_LOWER_CASE_HPP
#define QUETZAL_GATEWAY_LOWER_CASE_HPP

#include <algorithm>
#include <string>
#include <string_view>

namespace quetzal::gateway {

// Converts ASCII letters to lower case, independent of the locale; for host and header names.
inline std::string lower_case(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char symbol) {
        return static_cast<char>(symbol >= 'A' && symbol <= 'Z' ? symbol - 'A' + 'a' : symbol);
    });
    return result;
}

} // namespace quetzal::gateway

#endif
