#ifndef QUETZAL_GATEWAY_STAGE_PROTOCOL_HPP
#define QUETZAL_GATEWAY_STAGE_PROTOCOL_HPP

// Wire format of calls to stage endpoints. An adapter provides the functions.

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <quetzal/base/time.hpp>
#include <quetzal/gateway/stage_scheduler.hpp>

namespace quetzal::gateway {

struct stage_protocol
{
    std::string run_target;     // path of a request that runs pieces
    std::string release_target; // path of a request that releases results
    std::function<std::string(const std::vector<called_piece>&, time_point now)> encode_call;
    // Returns nothing if the body is not a valid response for that number of pieces.
    std::function<std::optional<std::vector<piece_outcome>>(std::string_view body,
                                                            std::size_t pieces)>
        decode_call;
    std::function<std::string(const std::vector<std::string>& handles)> encode_release;
    // Returns the address of the endpoint that holds a result, as "IP:PORT".
    std::function<std::string(std::string_view handle)> endpoint_address_of;
};

} // namespace quetzal::gateway

#endif
