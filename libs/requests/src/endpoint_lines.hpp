#ifndef QUETZAL_REQUESTS_ENDPOINT_LINES_HPP
#define QUETZAL_REQUESTS_ENDPOINT_LINES_HPP

// Frames sent by the simulated endpoint in tests of pipeline runs.

#include <algorithm>
#include <quetzal/base/random.hpp>
#include <string>
#include <vector>

namespace quetzal::requests::testing {

// Returns the line of a data frame.
inline std::string data_line(const std::string& call, std::uint64_t sequence,
                             const std::string& data)
{
    return "{\"call\":\"" + call + "\",\"seq\":" + std::to_string(sequence) + ",\"data\":" + data +
           "}\n";
}

// Returns the line of an end frame.
inline std::string end_line(const std::string& call, std::uint64_t frames)
{
    return "{\"call\":\"" + call + "\",\"end\":true,\"frames\":" + std::to_string(frames) + "}\n";
}

// Inserts a frame that repeats an earlier sequence number with different data. Do not combine this
// with other faults: if the first frame were lost, the inserted one would be valid data.
inline void insert_conflicting_frame(std::vector<std::string>& lines, const std::string& call,
                                     std::uint64_t count, random_source& random)
{
    const auto position = random.below(lines.size()) + 1;
    const std::uint64_t sequence = count - (lines.size() - 1) + position - 1;
    lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(position),
                 data_line(call, std::min(sequence, count), "\"second\""));
}

} // namespace quetzal::requests::testing

#endif
