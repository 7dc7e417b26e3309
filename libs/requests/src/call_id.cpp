#include <quetzal/requests/call_id.hpp>

#include <array>

#include "decimal.hpp"

namespace quetzal::requests {

std::string to_string(const call_id& id)
{
    return std::to_string(id.process.value) + '-' + std::to_string(id.request) + '-' +
           std::to_string(id.stage) + '-' + std::to_string(id.attempt);
}

std::optional<call_id> parse_call_id(std::string_view text)
{
    std::array<std::string_view, 4> fields;
    for (std::size_t index = 0; index < fields.size(); ++index) {
        const auto dash = index + 1 < fields.size() ? text.find('-') : text.size();
        if (dash == std::string_view::npos) {
            return std::nullopt;
        }
        fields[index] = text.substr(0, dash);
        text.remove_prefix(dash == text.size() ? dash : dash + 1);
    }
    const auto process = internal::parse_decimal<std::uint64_t>(fields[0]);
    const auto request = internal::parse_decimal<std::uint64_t>(fields[1]);
    const auto stage = internal::parse_decimal<std::uint32_t>(fields[2]);
    const auto attempt = internal::parse_decimal<std::uint32_t>(fields[3]);
    if (!process || !request || !stage || !attempt) {
        return std::nullopt;
    }
    return call_id{incarnation{*process}, *request, *stage, *attempt};
}

} // namespace quetzal::requests
