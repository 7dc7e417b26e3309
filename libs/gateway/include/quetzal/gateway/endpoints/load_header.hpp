#ifndef QUETZAL_GATEWAY_ENDPOINTS_LOAD_HEADER_HPP
#define QUETZAL_GATEWAY_ENDPOINTS_LOAD_HEADER_HPP

// Reads the load that an endpoint reports in the headers of a response.

#include <cstdint>
#include <optional>
#include <string_view>

namespace quetzal::gateway {

struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::optional<double> pace; // duration of work relative to the usual one
};

// Parses "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE", with the pace in percent of the
// usual duration of work. Returns no value if the running or waiting requests are missing. A
// malformed pace is ignored.
std::optional<reported_load> read_load(std::string_view text);

} // namespace quetzal::gateway

#endif
