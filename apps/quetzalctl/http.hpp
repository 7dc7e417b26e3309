#ifndef QUETZALCTL_HTTP_HPP
#define QUETZALCTL_HTTP_HPP

// Blocking HTTP calls and the reading of server-sent events.

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <quetzal/base/verdict.hpp>
#include <quetzal/net/http_message.hpp>

namespace quetzal::ctl {

// Sends one request to "address:port" and returns the whole response.
result<net::http_response> call(const std::string& instance, const net::http_request& request);

// One server-sent event.
struct server_event
{
    std::string id;
    std::string name;
    std::string data;
};

// The outcome of a streamed answer.
struct stream_outcome
{
    unsigned status = 0;
    net::header_list headers;
    std::string body;   // of an answer that is not a stream
    bool ended = false; // an `end` or `refusal` event arrived
};

// Sends a request and calls `on_event` for every event of a streamed answer.
result<stream_outcome> stream(const std::string& instance, const net::http_request& request,
                              const std::function<void(const server_event&)>& on_event);

} // namespace quetzal::ctl

#endif
