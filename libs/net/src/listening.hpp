#ifndef QUETZAL_NET_SRC_LISTENING_HPP
#define QUETZAL_NET_SRC_LISTENING_HPP

// Opens listening TCP sockets for the HTTP server and the transfer server.

#include <cstdint>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

namespace quetzal::net::internal {

// Binds the acceptor to the address and listens; port 0 selects a free port. `backlog` bounds the
// connections that wait to be accepted, `receive_buffer` the bytes that the kernel holds for each
// connection; 0 leaves that to the kernel. Returns the port or an error message.
tl::expected<std::uint16_t, std::string>
listen_on(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address, std::uint16_t port,
          int backlog = boost::asio::socket_base::max_listen_connections, int receive_buffer = 0);

} // namespace quetzal::net::internal

#endif
