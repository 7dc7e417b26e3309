#ifndef QUETZAL_GATEWAY_HTTP_STATUS_HPP
#define QUETZAL_GATEWAY_HTTP_STATUS_HPP

// HTTP status codes used by the gateway.
namespace quetzal::gateway::http_status {

inline constexpr unsigned ok = 200;
inline constexpr unsigned bad_request = 400;
inline constexpr unsigned unauthorized = 401;
inline constexpr unsigned not_found = 404;
inline constexpr unsigned request_timeout = 408;
inline constexpr unsigned conflict = 409;
inline constexpr unsigned gone = 410;
inline constexpr unsigned body_too_large = 413;
inline constexpr unsigned misdirected = 421;
inline constexpr unsigned too_many_requests = 429;
inline constexpr unsigned header_too_large = 431;
inline constexpr unsigned bad_gateway = 502;
inline constexpr unsigned unavailable = 503;
inline constexpr unsigned gateway_timeout = 504;

// Whether an answer to a request may have the status.
constexpr bool is_final(unsigned status)
{
    return status >= ok && status <= 599;
}

// Whether a response with the status precedes the answer to a request that asks for no other
// protocol.
constexpr bool is_interim(unsigned status)
{
    constexpr unsigned switching_protocols = 101;
    return status >= 100 && status < ok && status != switching_protocols;
}

} // namespace quetzal::gateway::http_status

#endif
