#ifndef QUETZAL_GATEWAY_LISTEN_OPTIONS_HPP
#define QUETZAL_GATEWAY_LISTEN_OPTIONS_HPP

#include <boost/asio/socket_base.hpp>

namespace quetzal::gateway {

struct listen_options
{
    int backlog = boost::asio::socket_base::max_listen_connections; // connections not yet accepted
    int receive_buffer = 0; // bytes for each connection; 0: the kernel's choice, which grows
};

} // namespace quetzal::gateway

#endif
