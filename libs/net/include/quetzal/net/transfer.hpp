#ifndef QUETZAL_NET_TRANSFER_HPP
#define QUETZAL_NET_TRANSFER_HPP

// TCP connections by which instances fetch documents from each other in authenticated frames.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/peer/transfer.hpp>

namespace quetzal::net {

// Connections open at once; further ones are closed immediately.
inline constexpr std::size_t max_transfer_connections = 64;

// Serves the requests of other instances until stopped. Thread-safe.
class transfer_server
{
public:
    // Returns the response to one request, or nullopt to close the connection. Runs on the
    // executor, one call at a time per connection.
    using responder = std::function<boost::asio::awaitable<std::optional<peer::transfer_message>>(
        peer::transfer_message request)>;

    transfer_server(boost::asio::any_io_executor executor, peer::key_ring keys, responder respond);
    ~transfer_server();

    // Starts to listen on the address; port 0 selects a free port. Returns the port or an error
    // message.
    tl::expected<std::uint16_t, std::string> listen(const std::string& address, std::uint16_t port);

    void stop();

    // Returns the number of frames dropped because authentication or decoding failed.
    std::uint64_t dropped() const noexcept;

private:
    struct implementation;
    std::shared_ptr<implementation> impl_;
};

// A connection to the transfer server of another instance. Only one coroutine may use it at a time.
class transfer_connection
{
public:
    ~transfer_connection();

    static boost::asio::awaitable<result<std::unique_ptr<transfer_connection>>>
    connect(boost::asio::any_io_executor executor, std::string address, std::uint16_t port,
            peer::key_ring keys, duration timeout);

    // Sends a request and waits for the response.
    boost::asio::awaitable<result<peer::transfer_message>> exchange(peer::transfer_message request,
                                                                    duration timeout);

private:
    struct implementation;
    explicit transfer_connection(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> impl_;
};

} // namespace quetzal::net

#endif
