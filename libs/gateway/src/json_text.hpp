#ifndef QUETZAL_GATEWAY_SRC_JSON_TEXT_HPP
#define QUETZAL_GATEWAY_SRC_JSON_TEXT_HPP

// Text as a JSON string in a line of the log.

#include <string>
#include <string_view>

namespace quetzal::gateway {

// Appends `text` with quotation marks.
inline void append_json_string(std::string& line, std::string_view text)
{
    line += '"';
    for (const char symbol : text) {
        if (symbol == '"' || symbol == '\\') {
            line += '\\';
            line += symbol;
        } else if (static_cast<unsigned char>(symbol) < ' ') {
            line += ' '; // no field relies on control characters
        } else {
            line += symbol;
        }
    }
    line += '"';
}

} // namespace quetzal::gateway

#endif
