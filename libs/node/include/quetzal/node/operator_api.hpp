#ifndef QUETZAL_NODE_OPERATOR_API_HPP
#define QUETZAL_NODE_OPERATOR_API_HPP

// The HTTP interface to operators, docs/OPERATIONS.md: health, metrics, status, explanations, burn,
// drain.

#include <functional>

#include <quetzal/net/http_server.hpp>
#include <quetzal/node/control_plane.hpp>
#include <quetzal/node/request_engine.hpp>

namespace quetzal::node {

// Thread-safe.
class operator_api
{
public:
    operator_api(shared_state& state, control_plane& control, request_engine& engine,
                 serving_front& front, std::function<void()> drain);

    // Adds the counters of a server to the metrics under a name. Call it before the first request.
    void watch_server(std::string name, const net::server_counters& counters);

    boost::asio::awaitable<void> handle(const net::http_request& request,
                                        net::response_stream& response);

private:
    net::http_response health() const;
    net::http_response readiness() const;
    net::http_response metrics();
    net::http_response explain(const net::http_request& request) const;
    boost::asio::awaitable<net::http_response> explain_customer(std::string name);
    boost::asio::awaitable<net::http_response> status();

    shared_state& state_;
    control_plane& control_;
    request_engine& engine_;
    serving_front& front_;
    std::function<void()> drain_;
    std::vector<std::pair<std::string, const net::server_counters*>> servers_;
};

} // namespace quetzal::node

#endif
