#ifndef QUETZAL_REQUESTS_ENDPOINT_LINES_HPP
#define QUETZAL_REQUESTS_ENDPOINT_LINES_HPP

// Lines that the model of an endpoint sends in tests of pipeline runs.

#include <algorithm>
#include <quetzal/base/random.hpp>
#include <string>
#include <vector>

namespace quetzal::requests::testing {

// Returns a data frame.
inline std::string line(const std::string& call, std::uint64_t sequence, const std::string& data)
{
    return "{\"call\":\"" + call + "\",\"seq\":" + std::to_string(sequence) + ",\"data\":" + data +
           "}\n";
}

// Returns an end frame.
inline std::string end_line(const std::string& call, std::uint64_t frames)
{
    return "{\"call\":\"" + call + "\",\"end\":true,\"frames\":" + std::to_string(frames) + "}\n";
}

// Another answer to a frame that came before. It is not mixed with other faults, because
// without the first answer the second one would be the endpoint's answer.
inline void second_answer(std::vector<std::string>& lines, const std::string& text,
                          std::uint64_t count, random_source& random)
{
    const auto place = random.below(lines.size()) + 1;
    const std::uint64_t seen = count - (lines.size() - 1) + place - 1;
    lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(place),
                 line(text, std::min(seen, count), "\"second\""));
}

} // namespace quetzal::requests::testing

#endif
