#include <quetzal/net/http_client.hpp>

#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace quetzal::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t read_size = 16u << 10;    // bytes of one read of a body
constexpr std::uint32_t head_limit = 16u << 10; // bytes of the headers of a response

auto await_with(boost::system::error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

tl::unexpected<failure> broken(const boost::system::error_code& error)
{
    return may_have_run(reason::endpoint_failed, "the connection broke: " + error.message());
}

http::request<http::string_body> to_message(const http_request& request, const std::string& host)
{
    std::string target = request.path;
    if (!request.query.empty()) {
        target += "?" + request.query;
    }
    http::request<http::string_body> message(http::string_to_verb(request.method), target, 11);
    message.set(http::field::host, host);
    for (const auto& [name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

} // namespace

struct http_connection::implementation
{
    explicit implementation(asio::any_io_executor executor) : stream(std::move(executor)) {}

    beast::tcp_stream stream;
    std::string host;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, read_size> chunk{};
    bool usable = true;
};

http_connection::http_connection(std::unique_ptr<implementation> body) : body_(std::move(body)) {}

http_connection::~http_connection() = default;

asio::awaitable<result<std::unique_ptr<http_connection>>>
http_connection::connect(asio::any_io_executor executor, std::string address, std::uint16_t port,
                         duration timeout)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        co_return not_run(reason::no_endpoint, "\"" + address + "\" is not a numeric IP address");
    }
    auto body = std::make_unique<implementation>(std::move(executor));
    body->host = address + ":" + std::to_string(port);
    body->stream.expires_after(timeout);
    co_await body->stream.async_connect(tcp::endpoint(ip, port), await_with(error));
    if (error) {
        co_return not_run(reason::endpoint_failed,
                          "cannot connect to " + body->host + ": " + error.message());
    }
    body->stream.socket().set_option(tcp::no_delay(true), error);
    co_return std::unique_ptr<http_connection>(new http_connection(std::move(body)));
}

asio::awaitable<result<void>> http_connection::send(const http_request& request, duration timeout)
{
    boost::system::error_code error;
    auto message = to_message(request, body_->host);
    body_->usable = false;
    body_->stream.expires_after(timeout);
    co_await http::async_write(body_->stream, message, await_with(error));
    if (error) {
        co_return broken(error);
    }
    body_->parser.emplace();
    body_->parser->header_limit(head_limit);
    body_->parser->body_limit(boost::none);
    co_return result<void>();
}

asio::awaitable<result<response_head>> http_connection::read_head(duration timeout)
{
    boost::system::error_code error;
    body_->stream.expires_after(timeout);
    co_await http::async_read_header(body_->stream, body_->buffer, *body_->parser,
                                     await_with(error));
    if (error) {
        co_return broken(error);
    }
    const auto& message = body_->parser->get();
    response_head head;
    head.status = message.result_int();
    for (const auto& field : message) {
        head.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    co_return head;
}

asio::awaitable<result<std::optional<std::string>>> http_connection::read_some(duration timeout)
{
    boost::system::error_code error;
    auto& parser = *body_->parser;
    while (!parser.is_done()) {
        parser.get().body().data = body_->chunk.data();
        parser.get().body().size = body_->chunk.size();
        body_->stream.expires_after(timeout);
        co_await http::async_read_some(body_->stream, body_->buffer, parser, await_with(error));
        if (error && error != http::error::need_buffer) {
            co_return may_have_run(reason::answer_truncated,
                                   "the answer ended early: " + error.message());
        }
        const std::size_t received = body_->chunk.size() - parser.get().body().size;
        if (received > 0) {
            co_return std::optional<std::string>(std::string(body_->chunk.data(), received));
        }
    }
    body_->usable = parser.keep_alive();
    co_return std::optional<std::string>();
}

asio::awaitable<result<http_response>>
http_connection::exchange(const http_request& request, duration timeout, std::size_t body_limit)
{
    if (auto sent = co_await send(request, timeout); !sent) {
        co_return tl::unexpected(sent.error());
    }
    auto head = co_await read_head(timeout);
    if (!head) {
        co_return tl::unexpected(head.error());
    }
    http_response response{head->status, std::move(head->headers), {}};
    while (true) {
        auto piece = co_await read_some(timeout);
        if (!piece) {
            co_return tl::unexpected(piece.error());
        }
        if (!piece->has_value()) {
            co_return response;
        }
        response.body += **piece;
        if (response.body.size() > body_limit) {
            co_return may_have_run(reason::answer_truncated, "the response body exceeds the limit");
        }
    }
}

bool http_connection::reusable() const noexcept
{
    return body_->usable && body_->stream.socket().is_open();
}

bool http_connection::closed_by_server() const noexcept
{
    char byte = 0;
    const auto received =
        ::recv(body_->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void http_connection::cancel()
{
    body_->usable = false;
    body_->stream.cancel();
}

asio::awaitable<result<http_response>> fetch(asio::any_io_executor executor,
                                             const std::string& address, std::uint16_t port,
                                             const http_request& request, duration timeout,
                                             std::size_t body_limit)
{
    auto connection =
        co_await http_connection::connect(std::move(executor), address, port, timeout);
    if (!connection) {
        co_return tl::unexpected(connection.error());
    }
    co_return co_await (*connection)->exchange(request, timeout, body_limit);
}

} // namespace quetzal::net
