#include <quetzal/net/http_client.hpp>

#include <algorithm>
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

constexpr std::size_t body_buffer_size = 16u << 10;  // bytes per read of a response body
constexpr std::uint32_t max_header_size = 16u << 10; // bytes of response headers
// Bytes that wait to be parsed: a head, or the header, extension or trailer of a chunk. The parser
// itself limits only the head.
constexpr std::size_t max_unparsed_size = 24u << 10;
constexpr unsigned max_interim_responses = 8; // skipped before a response
constexpr unsigned first_interim_status = 100;
constexpr unsigned switching_protocols = 101; // never requested
constexpr unsigned first_final_status = 200;
constexpr unsigned last_final_status = 599;
// `exchange` reads a body for at most this multiple of its timeout.
constexpr int body_timeout_factor = 4;

auto await_with_error(boost::system::error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

// Describes an error, and the limit if one was exceeded.
std::string describe(const boost::system::error_code& error)
{
    if (error == http::error::header_limit) {
        return "the headers exceed " + std::to_string(max_header_size) + " bytes";
    }
    if (error == http::error::buffer_overflow) {
        return "the header or trailer of a chunk exceeds " + std::to_string(max_unparsed_size) +
               " bytes";
    }
    return error.message();
}

tl::unexpected<failure> connection_failure(const boost::system::error_code& error)
{
    return may_have_run(reason::endpoint_failed, "the connection failed: " + describe(error));
}

// Appends a part to a body that has at most `limit` bytes then, and allocates no more than that.
void append_within(std::size_t limit, std::string& body, std::string_view part)
{
    if (body.size() + part.size() > body.capacity()) {
        std::string larger; // `reserve` of a string with content allocates up to twice the size
        const std::size_t doubled = std::max(body.size() + part.size(), 2 * body.capacity());
        // The last but one size is at most half of the limit, so that both fit into 1.5 times of
        // it.
        larger.reserve(2 * doubled < limit ? doubled : limit);
        larger.append(body);
        body.swap(larger);
    }
    body.append(part);
}

http::request<http::string_body> to_beast_request(const http_request& request,
                                                  const std::string& host)
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
    beast::flat_buffer buffer{max_unparsed_size};
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, body_buffer_size> body_buffer{};
    bool is_reusable = true;
};

http_connection::http_connection(std::unique_ptr<implementation> impl) : impl_(std::move(impl)) {}

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
    auto impl = std::make_unique<implementation>(std::move(executor));
    impl->host = address + ":" + std::to_string(port);
    impl->stream.expires_after(timeout);
    co_await impl->stream.async_connect(tcp::endpoint(ip, port), await_with_error(error));
    if (error) {
        co_return not_run(reason::endpoint_failed,
                          "cannot connect to " + impl->host + ": " + error.message());
    }
    impl->stream.socket().set_option(tcp::no_delay(true), error);
    co_return std::unique_ptr<http_connection>(new http_connection(std::move(impl)));
}

asio::awaitable<result<void>> http_connection::send(const http_request& request, duration timeout)
{
    boost::system::error_code error;
    auto message = to_beast_request(request, impl_->host);
    impl_->is_reusable = false;
    impl_->stream.expires_after(timeout);
    co_await http::async_write(impl_->stream, message, await_with_error(error));
    if (error) {
        co_return connection_failure(error);
    }
    co_return result<void>();
}

asio::awaitable<result<response_head>> http_connection::read_head(duration timeout)
{
    boost::system::error_code error;
    impl_->stream.expires_after(timeout);
    for (unsigned interim = 0;; ++interim) {
        impl_->parser.emplace();
        impl_->parser->header_limit(max_header_size);
        impl_->parser->body_limit(boost::none);
        co_await http::async_read_header(impl_->stream, impl_->buffer, *impl_->parser,
                                         await_with_error(error));
        if (error) {
            co_return connection_failure(error);
        }
        const unsigned status = impl_->parser->get().result_int();
        if (status < first_interim_status || status == switching_protocols ||
            status > last_final_status) {
            co_return may_have_run(reason::endpoint_failed, "the response's status " +
                                                                std::to_string(status) +
                                                                " is invalid");
        }
        if (status >= first_final_status) {
            break;
        }
        if (interim >= max_interim_responses) {
            co_return may_have_run(reason::endpoint_failed,
                                   "more than " + std::to_string(max_interim_responses) +
                                       " interim responses");
        }
    }
    const auto& message = impl_->parser->get();
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
    auto& parser = *impl_->parser;
    impl_->stream.expires_after(timeout);
    while (!parser.is_done()) {
        parser.get().body().data = impl_->body_buffer.data();
        parser.get().body().size = impl_->body_buffer.size();
        co_await http::async_read_some(impl_->stream, impl_->buffer, parser,
                                       await_with_error(error));
        if (error && error != http::error::need_buffer) {
            co_return may_have_run(reason::answer_truncated,
                                   "the response ended early: " + describe(error));
        }
        const std::size_t received = impl_->body_buffer.size() - parser.get().body().size;
        if (received > 0) {
            co_return std::optional<std::string>(std::string(impl_->body_buffer.data(), received));
        }
    }
    // Further bytes belong to no request.
    impl_->is_reusable = parser.keep_alive() && impl_->buffer.size() == 0;
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
    const auto too_large =
        may_have_run(reason::answer_truncated,
                     "the response body exceeds " + std::to_string(body_limit) + " bytes");
    if (impl_->parser->content_length().value_or(0) > body_limit) {
        co_return too_large;
    }
    impl_->parser->eager(true); // a read returns many small chunks together
    const time_point body_due = boot_clock::now() + timeout * body_timeout_factor;
    while (true) {
        const duration part_timeout = std::min<duration>(timeout, body_due - boot_clock::now());
        auto body_part = co_await read_some(part_timeout);
        if (!body_part) {
            co_return tl::unexpected(body_part.error());
        }
        if (!body_part->has_value()) {
            co_return response;
        }
        if (response.body.size() + (*body_part)->size() > body_limit) {
            co_return too_large;
        }
        append_within(body_limit, response.body, **body_part);
    }
}

bool http_connection::reusable() const noexcept
{
    return impl_->is_reusable && impl_->stream.socket().is_open();
}

bool http_connection::closed_by_server() const noexcept
{
    char byte = 0;
    const auto received =
        ::recv(impl_->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void http_connection::cancel()
{
    impl_->is_reusable = false;
    impl_->stream.cancel();
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
