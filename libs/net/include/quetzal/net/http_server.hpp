#ifndef QUETZAL_NET_HTTP_SERVER_HPP
#define QUETZAL_NET_HTTP_SERVER_HPP

// HTTP/1.1 server with bounded memory per connection. Handlers are coroutines that send either a
// complete response or a stream of chunks.

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

// Limits of a server. Each one is enforced before memory is allocated.
struct server_limits
{
    std::size_t header_size = 16u << 10; // bytes
    std::size_t body_size = 1u << 20;    // bytes
    std::size_t connections = 4096;      // open at once; further ones are closed immediately
    // Whether the connection that has waited for the longest time for a complete request is closed
    // for a further one instead.
    bool makes_room = false;
    duration request_timeout = std::chrono::seconds(10); // for the complete request to arrive
    duration idle_timeout = std::chrono::seconds(60);    // between two requests on a connection
    duration write_timeout = std::chrono::seconds(30);   // for one write to the caller to complete
    int backlog = 4096;                                  // connections that wait to be accepted
    int receive_buffer = 0; // bytes for each connection; 0: the kernel's choice, which grows
};

// Counters of a server, exported as metrics. Thread-safe.
struct server_counters
{
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> open{0};
    std::atomic<std::uint64_t> rejected{0};  // because of the connection limit
    std::atomic<std::uint64_t> displaced{0}; // closed to make room for another one
    std::atomic<std::uint64_t> malformed{0}; // rejected before a handler ran
    std::atomic<std::uint64_t> timed_out{0}; // requests that arrived too slowly
};

namespace internal {
struct server_connection;
struct server_state;
} // namespace internal

// Writes the response of a handler. If the handler returns without having called `send` or `end`,
// the connection is closed, so that the caller cannot mistake a truncated response for a complete
// one. Only one coroutine may use it at a time.
class response_stream
{
public:
    explicit response_stream(internal::server_connection& connection) : connection_(connection) {}

    // Sends a complete response. Returns false if the caller has disconnected.
    boost::asio::awaitable<bool> send(http_response response);

    // Starts a chunked response.
    boost::asio::awaitable<bool> begin(unsigned status, header_list headers);

    // Sends one chunk. Waits while the caller does not read (back-pressure).
    boost::asio::awaitable<bool> write(std::string_view chunk);

    // Ends the chunked response.
    boost::asio::awaitable<bool> end();

    // Calls `callback` once if the caller closes the connection while the response is being
    // written.
    void on_close(std::function<void()> callback);

private:
    internal::server_connection& connection_;
};

using http_handler = std::function<boost::asio::awaitable<void>(const http_request& request,
                                                                response_stream& response)>;

// Accepts connections and passes their requests to the handler until stopped. Thread-safe.
class http_server
{
public:
    // A null `tls` selects plain TCP. The handler runs on `executor`, possibly concurrently for
    // several requests.
    http_server(boost::asio::any_io_executor executor, server_limits limits,
                std::shared_ptr<tls_context> tls, http_handler handler);
    ~http_server();

    // Starts to listen on the address; port 0 selects a free port. Returns the port or an error
    // message.
    tl::expected<std::uint16_t, std::string> listen(const std::string& address, std::uint16_t port);

    // Stops accepting connections. Open connections finish their current request and then close.
    void stop();

    const server_counters& counters() const noexcept;

private:
    std::shared_ptr<internal::server_state> state_;
};

} // namespace quetzal::net

#endif
