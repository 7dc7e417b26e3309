#ifndef QUETZAL_REQUESTS_CALL_ID_HPP
#define QUETZAL_REQUESTS_CALL_ID_HPP

// The name of one attempt of one stage call, echoed by the endpoint in every frame.

#include <compare>
#include <cstdint>
#include <optional>
#include <quetzal/base/ids.hpp>
#include <string>
#include <string_view>

namespace quetzal::requests {

// Never used twice: the sequence number is unique within the incarnation, and each attempt of a
// stage has its own number.
struct call_id
{
    incarnation process;       // of the instance that runs the request
    std::uint64_t request = 0; // sequence number of the request's identity
    std::uint32_t stage = 0;   // index in the pipeline
    std::uint32_t attempt = 0; // from 0 within the stage
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
    friend auto operator<=>(const call_id&, const call_id&) = default;
};

// Returns "<incarnation>-<request>-<stage>-<attempt>" in decimal digits.
std::string to_string(const call_id& id);

// Parses the form of `to_string`; other spellings of the same numbers are not accepted.
std::optional<call_id> parse_call_id(std::string_view text);

} // namespace quetzal::requests

#endif
