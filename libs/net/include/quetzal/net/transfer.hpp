#ifndef QUETZAL_NET_TRANSFER_HPP
#define QUETZAL_NET_TRANSFER_HPP

// TCP between instances: the fetch of documents in authenticated frames.

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

inline constexpr std::size_t max_transfer_connections = 64; // open at once; further ones are closed

// Serves other instances' requests until stopped. Thread-safe.
class transfer_server
{
public:
    // Answers one request; empty closes the connection. Runs on the executor, one call at a time
    // for each connection.
    using responder = std::function<boost::asio::awaitable<std::optional<peer::transfer_message>>(
        peer::transfer_message request)>;

    transfer_server(boost::asio::any_io_executor executor, peer::key_ring keys, responder respond);
    ~transfer_server();

    // Listens on the address. Returns the port or an error text.
    tl::expected<std::uint16_t, std::string> listen(const std::string& address, std::uint16_t port);

    void stop();

    // Frames that failed the MAC or the decoder.
    std::uint64_t dropped() const noexcept;

private:
    struct implementation;
    std::shared_ptr<implementation> body_;
};

// A connection to another instance's transfer server. Used by one coroutine at a time.
class transfer_connection
{
public:
    ~transfer_connection();

    static boost::asio::awaitable<result<std::unique_ptr<transfer_connection>>>
    connect(boost::asio::any_io_executor executor, std::string address, std::uint16_t port,
            peer::key_ring keys, duration timeout);

    // Sends a request and waits for its answer.
    boost::asio::awaitable<result<peer::transfer_message>> exchange(peer::transfer_message request,
                                                                    duration timeout);

private:
    struct implementation;
    explicit transfer_connection(std::unique_ptr<implementation> body);

    std::unique_ptr<implementation> body_;
};

} // namespace quetzal::net

#endif
