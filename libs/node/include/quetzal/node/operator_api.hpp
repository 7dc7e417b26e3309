#ifndef QUETZAL_NODE_OPERATOR_API_HPP
#define QUETZAL_NODE_OPERATOR_API_HPP

// The HTTP interface for operators: health, metrics, status, explanations, burn and drain; see
// docs/OPERATIONS.md.

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
                 locked_dispatcher& dispatcher, std::function<void()> drain);

    // Adds the counters of a server to the metrics, with `name` as the label. Must be called before
    // the first request.
    void add_server_metrics(std::string name, const net::server_counters& counters);

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
    locked_dispatcher& dispatcher_;
    std::function<void()> drain_;
    std::vector<std::pair<std::string, const net::server_counters*>> servers_;
};

} // namespace quetzal::node

#endif
