#ifndef QUETZAL_GATEWAY_CHANNEL_HPP
#define QUETZAL_GATEWAY_CHANNEL_HPP

// One HTTP/1.1 connection to an endpoint. Every failure says whether the request may have run.

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/gateway/lazy_deadline.hpp>
#include <tl/expected.hpp>

namespace quetzal::gateway {

// Used by one coroutine at a time, except `close`.
class channel : public std::enable_shared_from_this<channel>
{
public:
    using fields = boost::beast::http::fields;

    explicit channel(const boost::asio::any_io_executor& executor);

    // Connects. A failure is always `not_run`.
    boost::asio::awaitable<result<void>> open(boost::asio::ip::tcp::endpoint address,
                                              duration timeout);

    // Hands the whole request to the socket. A failure is `may_have_run`.
    boost::asio::awaitable<result<void>> send(std::string_view head, std::string_view body,
                                              duration timeout);

    // Waits for the status and the headers of the next answer. `head_request` tells that the answer
    // has no body whatever its headers say.
    boost::asio::awaitable<result<unsigned>> read_head(duration timeout, bool head_request = false);

    // The headers of the answer; valid after `read_head`.
    const fields& headers() const { return parser_->get().base(); }

    // Appends the next bytes of the body. Returns false at the proper end of the answer.
    boost::asio::awaitable<result<bool>> read_body(std::string& into, duration timeout);

    // Reads the rest of the body, at most `limit` bytes.
    boost::asio::awaitable<result<std::string>> read_whole_body(std::size_t limit,
                                                                duration timeout);

    // Whether another request may be sent: the last answer ended properly, keeps the connection and
    // was followed by nothing.
    bool reusable() const;

    // Whether the endpoint has closed the idle connection or sent something on it.
    bool spoiled();

    // How long the endpoint keeps the idle connection, as the last answer said.
    std::optional<std::chrono::seconds> keep_alive() const;

    // Aborts the operation in progress and closes the connection.
    void close();

private:
    static constexpr std::size_t read_size = 8u << 10; // bytes of body read at once

    failure broken(std::string detail);

    boost::asio::ip::tcp::socket socket_;
    lazy_deadline timeout_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
    bool timed_out_ = false;
    bool failed_ = false;
};

// Sets what every connection of the gateway needs: no delay of small writes, and an end to
// connections whose other side has gone silent.
void configure_socket(boost::asio::ip::tcp::socket& socket);

// Opens an acceptor on the address; `backlog` connections may wait for it. Returns an error text.
tl::expected<void, std::string>
open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
              const boost::asio::ip::tcp::endpoint& address,
              int backlog = boost::asio::socket_base::max_listen_connections);

// What the other side of a connection has done; takes nothing from the socket.
enum class peer_activity
{
    none,
    sent_bytes,
    closed // or reset
};
peer_activity activity_on(boost::asio::ip::tcp::socket& socket);

// Head of a request with a JSON body that only the endpoint of that id may answer.
std::string post_head(const std::string& target, const std::string& host, std::size_t body_size,
                      const std::string& expected_header, const std::string& expected_id);

} // namespace quetzal::gateway

#endif
