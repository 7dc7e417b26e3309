#ifndef QUETZAL_NET_HTTP_SERVER_HPP
#define QUETZAL_NET_HTTP_SERVER_HPP

// HTTP/1.1 server with bounded memory per connection. Handlers are coroutines; they answer with a
// whole response or with a stream of chunks.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/net/http_message.hpp>
#include <quetzal/net/tls.hpp>

namespace quetzal::net {

// Limits of a server; each is enforced before memory is taken.
struct server_limits
{
    std::size_t header_size = 16u << 10; // bytes
    std::size_t body_size = 1u << 20;    // bytes
    std::size_t connections = 4096;      // open at once; further ones are closed at once
    duration slow_sender = std::chrono::seconds(10); // for a whole request to arrive
    duration idle = std::chrono::seconds(60);        // between two requests of a connection
    duration slow_reader = std::chrono::seconds(30); // for one write to be taken by the caller
};

// Counters of a server; read by metrics. Thread-safe.
struct server_counters
{
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> open{0};
    std::atomic<std::uint64_t> rejected{0};  // over the limit of connections
    std::atomic<std::uint64_t> malformed{0}; // refused before a handler ran
    std::atomic<std::uint64_t> timed_out{0}; // slow senders
};

namespace internal {
struct server_connection;
struct server_state;
} // namespace internal

// Where a handler writes its answer. A handler that returns without `send` or `end` closes the
// connection, so that the caller never takes a cut answer for a whole one. Used by one coroutine at
// a time.
class response_stream
{
public:
    explicit response_stream(internal::server_connection& connection) : connection_(connection) {}

    // Sends a whole response. Returns false when the caller is gone.
    boost::asio::awaitable<bool> send(http_response response);

    // Starts a chunked response.
    boost::asio::awaitable<bool> begin(unsigned status, header_list headers);

    // Sends one chunk; waits while the caller does not read (back-pressure).
    boost::asio::awaitable<bool> write(std::string_view chunk);

    // Ends the chunked response.
    boost::asio::awaitable<bool> end();

    // Calls `function` once when the caller closes the connection while the response is being
    // written.
    void on_close(std::function<void()> function);

private:
    internal::server_connection& connection_;
};

using http_handler = std::function<boost::asio::awaitable<void>(const http_request& request,
                                                                response_stream& response)>;

// Accepts connections until stopped. Thread-safe.
class http_server
{
public:
    // `tls` may be null for plain TCP. The handler runs on `executor` and may run concurrently.
    http_server(boost::asio::any_io_executor executor, server_limits limits,
                std::shared_ptr<tls_context> tls, http_handler handler);
    ~http_server();

    // Listens on the address; port 0 selects a free one. Returns the port or an error text.
    tl::expected<std::uint16_t, std::string> listen(const std::string& address, std::uint16_t port);

    // Stops accepting; open connections finish the request that they are in, and then close.
    void stop();

    const server_counters& counters() const noexcept;

private:
    std::shared_ptr<internal::server_state> state_;
};

} // namespace quetzal::net

#endif
