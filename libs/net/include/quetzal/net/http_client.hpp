#ifndef QUETZAL_NET_HTTP_CLIENT_HPP
#define QUETZAL_NET_HTTP_CLIENT_HPP

// HTTP/1.1 client for calls to endpoints, the platform and other instances. Every failure says
// whether the request may have reached the server.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/net/http_message.hpp>

namespace quetzal::net {

// Status and headers of a response whose body is still to be read.
struct response_head
{
    unsigned status = 0;
    header_list headers;
};

// One connection to one server. Used by one coroutine at a time, except `cancel`.
class http_connection
{
public:
    ~http_connection();

    // Connects to a numeric IP address. A failure is always `not_run`.
    static boost::asio::awaitable<result<std::unique_ptr<http_connection>>>
    connect(boost::asio::any_io_executor executor, std::string address, std::uint16_t port,
            duration timeout);

    // Hands the whole request to the socket. A failure is `may_have_run`, since a part may have
    // left.
    boost::asio::awaitable<result<void>> send(const http_request& request, duration timeout);

    // Waits for the status and the headers.
    boost::asio::awaitable<result<response_head>> read_head(duration timeout);

    // Returns the next piece of the body, or nothing at its proper end. A connection that breaks
    // earlier is a failure with reason `answer_truncated`.
    boost::asio::awaitable<result<std::optional<std::string>>> read_some(duration timeout);

    // Sends the request and reads the whole response, at most `body_limit` bytes of body.
    boost::asio::awaitable<result<http_response>>
    exchange(const http_request& request, duration timeout, std::size_t body_limit);

    // Whether another request can be sent: the last response was read to its end and keeps the
    // connection.
    bool reusable() const noexcept;

    // Whether the server has closed the connection, as far as the kernel knows. A server that
    // closes right after this query is noticed only by the next operation.
    bool closed_by_server() const noexcept;

    // Aborts the operation in progress. Call it on the connection's executor.
    void cancel();

private:
    struct implementation;
    explicit http_connection(std::unique_ptr<implementation> body);

    std::unique_ptr<implementation> body_;
};

// Connects, sends one request and reads the whole response.
boost::asio::awaitable<result<http_response>> fetch(boost::asio::any_io_executor executor,
                                                    const std::string& address, std::uint16_t port,
                                                    const http_request& request, duration timeout,
                                                    std::size_t body_limit = 2u << 20);

} // namespace quetzal::net

#endif
