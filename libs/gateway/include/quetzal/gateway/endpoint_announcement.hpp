#ifndef QUETZAL_GATEWAY_ENDPOINT_ANNOUNCEMENT_HPP
#define QUETZAL_GATEWAY_ENDPOINT_ANNOUNCEMENT_HPP

// Reads what an endpoint announces about itself in the headers of a response.

#include <optional>

#include <quetzal/base/time.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/channel.hpp>
#include <quetzal/gateway/header_names.hpp>

namespace quetzal::gateway {

struct endpoint_announcement
{
    bool leaving = false;          // it will soon end and wants no further requests
    std::optional<duration> pause; // it wants no requests for this time
};

// Returns the announcement in a response with that status. A response with status 421 comes from
// another endpoint than the one that was meant, and announces nothing about that one.
endpoint_announcement read_announcement(const channel::fields& headers, unsigned status,
                                        const header_names& names);

// Records and logs the announcement of the endpoint `source`.
void record_announcement(catalog& view, const endpoint& source,
                         const endpoint_announcement& announced, time_point now);

} // namespace quetzal::gateway

#endif
