#ifndef QUETZAL_GATEWAY_CALLER_SERVER_HPP
#define QUETZAL_GATEWAY_CALLER_SERVER_HPP

// Accepts callers' connections, reads whole requests within the published limits and hands them to
// the request flow. Ambiguous framing is refused, so that no request hides inside another.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <quetzal/gateway/caller_request.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <tl/expected.hpp>

namespace quetzal::gateway {

struct caller_server_options
{
    boost::asio::ip::tcp::endpoint address;
    std::size_t connections = 2000;      // open at once; further ones are closed at once
    std::size_t body_memory = 96u << 20; // bytes of all bodies that are being read or served
};

class caller_server
{
public:
    using handler = std::function<boost::asio::awaitable<void>(
        std::shared_ptr<running_request> request, answer_writer& answer)>;

    caller_server(boost::asio::io_context& context, caller_server_options options,
                  const catalog& view, const header_names& names, handler serve);
    ~caller_server();

    // Opens the port. Returns an error text on failure.
    tl::expected<void, std::string> start();

    // The port that the server listens on; of use when a free one was asked for.
    std::uint16_t port() const;

    // Lets every connection end after its current answer.
    void drain();

    // Stops accepting connections.
    void stop_accepting();

    // Requests that are being read or served.
    std::size_t busy() const;

    // Connections that are open.
    std::size_t open() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace quetzal::gateway

#endif
