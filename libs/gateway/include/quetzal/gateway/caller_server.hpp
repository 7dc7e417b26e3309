#ifndef QUETZAL_GATEWAY_CALLER_SERVER_HPP
#define QUETZAL_GATEWAY_CALLER_SERVER_HPP

// HTTP/1.1 server for callers. Reads complete requests within the published limits and passes them
// to a handler. Requests with ambiguous framing are rejected to prevent request smuggling.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <quetzal/gateway/caller_request.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/listen_options.hpp>
#include <quetzal/gateway/memory_ledger.hpp>
#include <quetzal/gateway/stop_record.hpp>
#include <tl/expected.hpp>

namespace quetzal::gateway {

struct caller_server_options
{
    boost::asio::ip::tcp::endpoint address;
    std::size_t max_connections = 2000;      // open connections; further ones are closed on accept
    std::size_t max_body_memory = 96u << 20; // total bytes of the bodies of requests being served
    duration write_timeout = std::chrono::seconds(5); // for a caller that reads nothing
    std::shared_ptr<memory_ledger> memory = {}; // of the instance; null: one of the server's own
    listen_options listen = {1024};
};

class caller_server
{
public:
    using handler = std::function<boost::asio::awaitable<void>(
        std::shared_ptr<running_request> request, response_writer& writer)>;

    caller_server(boost::asio::io_context& context, caller_server_options options,
                  const catalog& view, const header_names& names, handler serve);
    ~caller_server();

    // Starts listening. Returns an error message on failure.
    tl::expected<void, std::string> start();

    // Returns the port that the server listens on, or 0 if it does not listen. Useful when the
    // configured port is 0.
    std::uint16_t port() const;

    // Begins a planned stop: from now on every connection is closed after its next response, and
    // the log names the requests and their ends. `began` is the time of the signal. Further calls
    // have no effect.
    void drain(time_point began = boot_clock::now());

    // Logs the requests that are being read or served during the stop. The number of lines of a
    // whole stop is bounded.
    void log_in_flight();

    // Returns the numbers of requests of the stop, all 0 before it begins.
    stop_counts counts() const;

    // Stops accepting connections.
    void stop_accepting();

    // Closes the connections that wait for a request, and from now on every connection once it
    // does. A connection stays open until its caller has closed it too, for a limited time: before
    // that, the last response may still be on its way, and an exit of the process could destroy it.
    void close_idle_connections();

    // Logs the last response of every open connection whose caller has neither closed the
    // connection nor sent a further request since.
    void log_unconfirmed() const;

    // Returns the number of requests whose body is being read or that are being served.
    std::size_t active_requests() const;

    // Whether bytes of a request have arrived on an accepted connection and the request is not read
    // completely yet. A process that exits now would cut it off without an answer.
    bool has_unread_requests() const;

    // Returns the number of open connections.
    std::size_t open_connections() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace quetzal::gateway

#endif
