#include "listening.hpp"

namespace quetzal::net::internal {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

tl::expected<std::uint16_t, std::string> listen_on(tcp::acceptor& acceptor,
                                                   const std::string& address, std::uint16_t port,
                                                   int backlog, int receive_buffer)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        return tl::unexpected("\"" + address + "\" is not a numeric IP address");
    }
    const tcp::endpoint local(ip, port);
    const asio::socket_base::receive_buffer_size buffer(receive_buffer);
    // Connections take the size of the buffer from the acceptor, also before they are accepted.
    if (acceptor.open(local.protocol(), error) ||
        acceptor.set_option(tcp::acceptor::reuse_address(true), error) ||
        (receive_buffer > 0 && acceptor.set_option(buffer, error)) || acceptor.bind(local, error) ||
        acceptor.listen(backlog, error))
    {
        return tl::unexpected("cannot listen on " + address + ":" + std::to_string(port) + ": " +
                              error.message());
    }
    return acceptor.local_endpoint().port();
}

} // namespace quetzal::net::internal
