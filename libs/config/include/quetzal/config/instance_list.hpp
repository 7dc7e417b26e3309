#ifndef QUETZAL_CONFIG_INSTANCE_LIST_HPP
#define QUETZAL_CONFIG_INSTANCE_LIST_HPP

// The platform's list of entry instances and endpoints. The list lags behind the platform, and two
// readers may see different lists. It tells which instances and endpoints to contact, but not
// whether they are alive.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/config/published.hpp>
#include <tl/expected.hpp>

namespace quetzal::config {

inline constexpr std::size_t max_instance_list_size = 1u << 20; // bytes

// The state of an instance or endpoint according to the platform.
enum class listed_state
{
    live,
    leaving
};

// An entry instance.
struct listed_instance
{
    instance_id id;
    std::string address; // numeric IP address
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0; // UDP and TCP
    zone_id zone;
    listed_state state = listed_state::live;
};

// A back-end endpoint.
struct listed_endpoint
{
    endpoint_id id;
    pool_id pool;
    std::string address; // numeric IP address
    std::uint16_t port = 0;
    zone_id zone;
    listed_state state = listed_state::live;
};

// One version of the list. The platform increases `revision` with every change.
struct instance_list
{
    std::uint64_t revision = 0;
    std::vector<listed_instance> instances;
    std::vector<listed_endpoint> endpoints;

    const listed_instance* find(const instance_id& id) const noexcept;
    const listed_endpoint* find(const endpoint_id& id) const noexcept;
};

// Parses and checks the JSON text of an instance list. Unknown names, wrong types, addresses that
// are not numeric and names that are listed twice are errors. Pools and zones need not be declared
// in the published configuration, because the two documents change independently.
tl::expected<instance_list, parse_error> parse_instance_list(std::string_view json);

} // namespace quetzal::config

#endif
