#include "listening.hpp"

namespace quetzal::net::internal {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

tl::expected<std::uint16_t, std::string> listen_on(tcp::acceptor& acceptor,
                                                   const std::string& address, std::uint16_t port)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        return tl::unexpected("\"" + address + "\" is not a numeric IP address");
    }
    const tcp::endpoint local(ip, port);
    if (acceptor.open(local.protocol(), error) ||
        acceptor.set_option(tcp::acceptor::reuse_address(true), error) ||
        acceptor.bind(local, error) ||
        acceptor.listen(asio::socket_base::max_listen_connections, error))
    {
        return tl::unexpected("cannot listen on " + address + ":" + std::to_string(port) + ": " +
                              error.message());
    }
    return acceptor.local_endpoint().port();
}

} // namespace quetzal::net::internal
