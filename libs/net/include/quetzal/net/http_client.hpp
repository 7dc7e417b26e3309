#ifndef QUETZAL_NET_HTTP_CLIENT_HPP
#define QUETZAL_NET_HTTP_CLIENT_HPP

// HTTP/1.1 client for calls to endpoints, the platform and other instances. The verdict of every
// failure tells whether the request may have reached the server. A server may send bytes without
// end: what is buffered of a head, of a chunk header or of a trailer is limited, and each timeout
// covers the whole operation however many bytes arrive.

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

// Status and headers of a response whose body has not been read yet.
struct response_head
{
    unsigned status = 0;
    header_list headers;
};

// A connection to an HTTP server. Only one coroutine may use it at a time, except for `cancel`.
class http_connection
{
public:
    ~http_connection();

    // Connects to a numeric IP address. The verdict of a failure is always `not_run`.
    static boost::asio::awaitable<result<std::unique_ptr<http_connection>>>
    connect(boost::asio::any_io_executor executor, std::string address, std::uint16_t port,
            duration timeout);

    // Writes the complete request to the socket. The verdict of a failure is `may_have_run`, since
    // part of the request may have been sent.
    boost::asio::awaitable<result<void>> send(const http_request& request, duration timeout);

    // Reads the status and the headers of the response. A few interim responses are skipped.
    boost::asio::awaitable<result<response_head>> read_head(duration timeout);

    // Returns the next part of the body, or nullopt after the complete body. If the connection
    // fails earlier, returns a failure with reason `answer_truncated`.
    boost::asio::awaitable<result<std::optional<std::string>>> read_some(duration timeout);

    // Sends the request and reads the complete response. `timeout` applies to sending, to the head
    // and to each part of the body; the whole body takes at most four times as long. Fails if the
    // body exceeds `body_limit` bytes.
    boost::asio::awaitable<result<http_response>>
    exchange(const http_request& request, duration timeout, std::size_t body_limit);

    // Returns true if another request can be sent: the last response was read completely and allows
    // the connection to stay open.
    bool reusable() const noexcept;

    // Returns true if the kernel has already seen the server close the connection. A close that
    // follows this call is detected only by the next operation.
    bool closed_by_server() const noexcept;

    // Aborts the operation in progress. Must be called on the connection's executor.
    void cancel();

private:
    struct implementation;
    explicit http_connection(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> impl_;
};

// Connects, sends one request and reads the complete response.
boost::asio::awaitable<result<http_response>> fetch(boost::asio::any_io_executor executor,
                                                    const std::string& address, std::uint16_t port,
                                                    const http_request& request, duration timeout,
                                                    std::size_t body_limit = 2u << 20);

} // namespace quetzal::net

#endif
