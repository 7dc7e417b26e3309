#ifndef QUETZAL_REQUESTS_CALL_ID_HPP
#define QUETZAL_REQUESTS_CALL_ID_HPP

// The identifier of one attempt of one stage call. The endpoint echoes it in every frame.

#include <compare>
#include <cstdint>
#include <optional>
#include <quetzal/base/ids.hpp>
#include <string>
#include <string_view>

namespace quetzal::requests {

// Identifiers are unique: the sequence number is unique within the incarnation, and each attempt of
// a stage has its own number.
struct call_id
{
    incarnation process;       // of the instance that runs the request
    std::uint64_t request = 0; // sequence number in the request's identity
    std::uint32_t stage = 0;   // index in the pipeline
    std::uint32_t attempt = 0; // counted from 0 within the stage
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 flags defaulted comparisons.
    friend auto operator<=>(const call_id&, const call_id&) = default;
};

// Returns "<incarnation>-<request>-<stage>-<attempt>" in decimal digits.
std::string to_string(const call_id& id);

// Parses the output of `to_string`. Other spellings of the same numbers are rejected.
std::optional<call_id> parse_call_id(std::string_view text);

} // namespace quetzal::requests

#endif
