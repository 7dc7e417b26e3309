#include <quetzal/net/http_server.hpp>

#include <cerrno>
#include <list>
#include <memory>
#include <mutex>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <poll.h>
#include <sys/socket.h>

#include "listening.hpp"

namespace quetzal::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

using plain_stream = beast::tcp_stream;
using tls_stream = asio::ssl::stream<beast::tcp_stream>;

constexpr duration accept_retry_delay =
    std::chrono::milliseconds(50); // after a failed accept, such as no free descriptor
constexpr duration unread_bytes_check_interval =
    std::chrono::seconds(1); // for a close behind bytes that are not read yet

auto await_with_error(boost::system::error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace

namespace internal {

// The connections whose next request is not complete, the longest waiting first. Thread-safe.
class waiting_connections
{
public:
    using place = std::list<std::weak_ptr<server_connection>>::iterator;

    place add(std::weak_ptr<server_connection> connection)
    {
        const std::lock_guard lock(mutex_);
        return list_.insert(list_.end(), std::move(connection));
    }

    void remove(place at)
    {
        const std::lock_guard lock(mutex_);
        list_.erase(at);
    }

    // Returns the longest waiting connection, which moves to the end, or null if there is none.
    std::shared_ptr<server_connection> next()
    {
        const std::lock_guard lock(mutex_);
        if (list_.empty()) {
            return nullptr;
        }
        list_.splice(list_.end(), list_, list_.begin());
        return list_.back().lock();
    }

private:
    std::mutex mutex_;
    std::list<std::weak_ptr<server_connection>> list_;
};

struct server_state
{
    server_state(asio::any_io_executor io_executor, server_limits configured_limits,
                 std::shared_ptr<tls_context> tls_holder, http_handler request_handler)
        : executor(std::move(io_executor)), limits(configured_limits), tls(std::move(tls_holder)),
          handler(std::move(request_handler)), acceptor(executor)
    {
    }

    asio::any_io_executor executor;
    server_limits limits;
    std::shared_ptr<tls_context> tls;
    http_handler handler;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    server_counters counters;
    waiting_connections waiting;
};

struct server_connection : std::enable_shared_from_this<server_connection>
{
    server_connection(std::variant<plain_stream, tls_stream> open_stream,
                      std::shared_ptr<server_state> owning_server,
                      std::shared_ptr<asio::ssl::context> ssl_context)
        : context(std::move(ssl_context)), stream(std::move(open_stream)),
          server(std::move(owning_server))
    {
    }

    beast::tcp_stream& lowest_layer()
    {
        return std::visit(
            [](auto& layered) -> beast::tcp_stream& { return beast::get_lowest_layer(layered); },
            stream);
    }

    std::shared_ptr<asio::ssl::context> context;
    std::variant<plain_stream, tls_stream> stream;
    std::shared_ptr<server_state> server;
    beast::flat_buffer buffer;
    bool responded = false; // a complete response was sent
    bool keep_alive = false;
    bool streaming = false;
    std::shared_ptr<std::function<void()>> close_callback;
};

} // namespace internal

namespace {

using internal::server_connection;
using internal::server_state;

template <class Operation>
asio::awaitable<bool> write_with_timeout(server_connection& connection, Operation operation)
{
    connection.lowest_layer().expires_after(connection.server->limits.write_timeout);
    const bool written = co_await std::visit(
        [&operation](auto& stream) -> asio::awaitable<bool> { return operation(stream); },
        connection.stream);
    co_return written;
}

template <class Stream>
asio::awaitable<bool> write_response(Stream& stream, http::response<http::string_body>& message)
{
    boost::system::error_code error;
    co_await http::async_write(stream, message, await_with_error(error));
    co_return !error;
}

template <class Stream>
asio::awaitable<bool> write_head(Stream& stream, http::response<http::empty_body>& message)
{
    boost::system::error_code error;
    http::response_serializer<http::empty_body> serializer(message);
    co_await http::async_write_header(stream, serializer, await_with_error(error));
    co_return !error;
}

template <class Stream>
asio::awaitable<bool> write_chunk(Stream& stream, std::string_view chunk)
{
    boost::system::error_code error;
    const asio::const_buffer data(chunk.data(), chunk.size());
    co_await asio::async_write(stream, http::make_chunk(data), await_with_error(error));
    co_return !error;
}

template <class Stream>
asio::awaitable<bool> write_last_chunk(Stream& stream)
{
    boost::system::error_code error;
    co_await asio::async_write(stream, http::make_chunk_last(), await_with_error(error));
    co_return !error;
}

// What the peer has done since the last bytes were read.
enum class peer_activity
{
    none,
    sent_bytes,
    closed // or reset
};

// A socket can be reported readable although nothing can be read any more, so only an end of the
// stream or an error of the connection counts as a close, also behind unread bytes. Consumes no
// bytes.
peer_activity detect_peer_activity(tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        pollfd connection{socket.native_handle(), POLLRDHUP, 0};
        const bool ended = ::poll(&connection, 1, 0) > 0;
        return ended ? peer_activity::closed : peer_activity::sent_bytes;
    }
    const bool open = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return open ? peer_activity::none : peer_activity::closed;
}

// Calls the callback if the caller closes the connection while a response is being written. Ends
// without a call when the response has ended. Bytes that arrive, of a pipelined request or of the
// end of a TLS session, are read later; until then the socket stays readable, so a close is looked
// for at intervals.
asio::awaitable<void> watch_for_close(std::shared_ptr<server_connection> connection,
                                      std::weak_ptr<std::function<void()>> callback)
{
    auto& socket = connection->lowest_layer().socket();
    asio::steady_timer next_check(socket.get_executor());
    auto activity = peer_activity::none;
    while (activity != peer_activity::closed && !callback.expired()) {
        boost::system::error_code error;
        if (activity == peer_activity::sent_bytes) {
            next_check.expires_after(unread_bytes_check_interval);
            co_await next_check.async_wait(await_with_error(error));
        } else {
            co_await socket.async_wait(tcp::socket::wait_read, await_with_error(error));
        }
        activity = error ? peer_activity::closed : detect_peer_activity(socket);
    }
    if (const auto locked = callback.lock();
        locked != nullptr && activity == peer_activity::closed && *locked)
    {
        (*locked)();
    }
}

http_request to_request(http::request<http::string_body>&& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    const std::string_view target(message.target().data(), message.target().size());
    const auto query_separator = target.find('?');
    request.path = percent_decode(target.substr(0, query_separator));
    if (query_separator != std::string_view::npos) {
        request.query = std::string(target.substr(query_separator + 1));
    }
    for (const auto& field : message) {
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

// Returns the error response for a request that could not be read, or nullopt if the error calls
// for no response, for example because the connection was closed.
std::optional<http_response> make_read_error_response(const boost::system::error_code& error)
{
    if (error == http::error::header_limit) {
        return json_response(431, R"({"verdict":"not_run","reason":"invalid_request",)"
                                  R"("detail":"the request headers exceed the limit"})");
    }
    if (error == http::error::body_limit) {
        return json_response(413, R"({"verdict":"not_run","reason":"invalid_request",)"
                                  R"("detail":"the request body exceeds the limit"})");
    }
    if (error == beast::error::timeout) {
        return json_response(408, R"({"verdict":"not_run","reason":"invalid_request",)"
                                  R"("detail":"the request did not arrive in time"})");
    }
    if (error.category() == http::make_error_code(http::error::bad_version).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message)
    {
        return json_response(400, R"({"verdict":"not_run","reason":"invalid_request",)"
                                  R"("detail":"the request is not valid HTTP/1.1"})");
    }
    return std::nullopt;
}

// Counts a connection among the waiting ones during the lifetime of the object.
class waiting_guard
{
public:
    explicit waiting_guard(server_connection& connection)
        : waiting_(connection.server->waiting), place_(waiting_.add(connection.weak_from_this()))
    {
    }
    waiting_guard(const waiting_guard&) = delete;
    waiting_guard& operator=(const waiting_guard&) = delete;
    ~waiting_guard() { waiting_.remove(place_); }

private:
    internal::waiting_connections& waiting_;
    internal::waiting_connections::place place_;
};

struct read_outcome
{
    std::optional<http_request> request;
    boost::system::error_code error;
    bool keep_alive = false;
    bool has_received_bytes = false;
};

template <class Stream>
asio::awaitable<read_outcome> read_request(Stream& stream, server_connection& connection)
{
    const auto& limits = connection.server->limits;
    const waiting_guard waiting(connection);
    read_outcome outcome;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_size));
    parser.body_limit(limits.body_size);
    auto& lowest_layer = beast::get_lowest_layer(stream);
    if (connection.buffer.size() == 0) {
        lowest_layer.expires_after(limits.idle_timeout);
        co_await lowest_layer.socket().async_wait(tcp::socket::wait_read,
                                                  await_with_error(outcome.error));
        if (outcome.error) {
            co_return outcome;
        }
    }
    // `expires_after` would close the socket before the error response could be sent, so a separate
    // timer cancels the read.
    lowest_layer.expires_never();
    auto expired = std::make_shared<bool>(false);
    asio::steady_timer timer(lowest_layer.get_executor(), limits.request_timeout);
    timer.async_wait([expired, &lowest_layer, self = connection.shared_from_this()](
                         const boost::system::error_code& cancelled) {
        if (!cancelled) {
            *expired = true;
            lowest_layer.cancel();
        }
    });
    co_await http::async_read(stream, connection.buffer, parser, await_with_error(outcome.error));
    timer.cancel();
    if (*expired && outcome.error) {
        outcome.error = beast::error::timeout;
    }
    outcome.has_received_bytes = parser.got_some();
    if (!outcome.error) {
        outcome.keep_alive = parser.get().keep_alive();
        outcome.request = to_request(parser.release());
    }
    co_return outcome;
}

asio::awaitable<void> reject_unreadable_request(server_connection& connection,
                                                const read_outcome& outcome)
{
    auto& counters = connection.server->counters;
    if (outcome.error == beast::error::timeout) {
        ++counters.timed_out;
    }
    if (auto error_response = make_read_error_response(outcome.error);
        error_response && outcome.has_received_bytes)
    {
        ++counters.malformed;
        connection.keep_alive = false;
        response_stream response(connection);
        co_await response.send(std::move(*error_response));
    }
}

asio::awaitable<void> serve_requests(std::shared_ptr<server_connection> connection)
{
    do {
        read_outcome outcome = co_await std::visit(
            [&connection](auto& stream) { return read_request(stream, *connection); },
            connection->stream);
        if (!outcome.request) {
            co_await reject_unreadable_request(*connection, outcome);
            co_return;
        }
        connection->responded = false;
        connection->keep_alive = outcome.keep_alive && !connection->server->stopping;
        connection->close_callback = std::make_shared<std::function<void()>>();
        response_stream response(*connection);
        connection->lowest_layer().expires_never();
        co_await connection->server->handler(*outcome.request, response);
        connection->close_callback.reset();
        connection->lowest_layer().socket().cancel();
    } while (connection->responded && connection->keep_alive && !connection->server->stopping);
}

asio::awaitable<bool> perform_handshake(server_connection& connection)
{
    auto* encrypted = std::get_if<tls_stream>(&connection.stream);
    if (encrypted == nullptr) {
        co_return true;
    }
    boost::system::error_code error;
    connection.lowest_layer().expires_after(connection.server->limits.request_timeout);
    co_await encrypted->async_handshake(asio::ssl::stream_base::server, await_with_error(error));
    co_return !error;
}

asio::awaitable<void> shut_down(server_connection& connection)
{
    boost::system::error_code error;
    if (auto* encrypted = std::get_if<tls_stream>(&connection.stream);
        encrypted != nullptr && connection.responded)
    {
        connection.lowest_layer().expires_after(std::chrono::seconds(1));
        co_await encrypted->async_shutdown(await_with_error(error));
    }
    connection.lowest_layer().socket().shutdown(tcp::socket::shutdown_both, error);
    connection.lowest_layer().close();
}

// Counts a connection as open during the lifetime of the object.
class open_connection_guard
{
public:
    explicit open_connection_guard(server_counters& counters) : counters_(counters)
    {
        ++counters_.open;
    }
    open_connection_guard(const open_connection_guard&) = delete;
    open_connection_guard& operator=(const open_connection_guard&) = delete;
    ~open_connection_guard() { --counters_.open; }

private:
    server_counters& counters_;
};

asio::awaitable<void> run_connection(std::shared_ptr<server_state> server, tcp::socket socket)
{
    const open_connection_guard open_guard(server->counters);
    socket.set_option(tcp::no_delay(true));
    beast::tcp_stream lowest_layer(std::move(socket));
    std::shared_ptr<asio::ssl::context> context = server->tls ? server->tls->current() : nullptr;
    auto open_stream =
        context ? std::variant<plain_stream, tls_stream>(std::in_place_type<tls_stream>,
                                                         std::move(lowest_layer), *context)
                : std::variant<plain_stream, tls_stream>(std::in_place_type<plain_stream>,
                                                         std::move(lowest_layer));
    auto connection = std::make_shared<server_connection>(std::move(open_stream), server, context);
    if (co_await perform_handshake(*connection)) {
        co_await serve_requests(connection);
    }
    co_await shut_down(*connection);
}

// Closes a connection that waits for a request. Returns false if there is none, or if the server
// does not make room.
bool make_room(server_state& server)
{
    // Those that are being closed still count as open until their reads have ended.
    const bool is_flooded = server.counters.open >= 2 * server.limits.connections;
    if (!server.limits.makes_room || is_flooded) {
        return false;
    }
    const auto longest = server.waiting.next();
    if (!longest) {
        return false;
    }
    ++server.counters.displaced;
    const auto executor = longest->lowest_layer().get_executor();
    asio::post(executor, [longest] { longest->lowest_layer().close(); });
    return true;
}

asio::awaitable<void> accept_connections(std::shared_ptr<server_state> server)
{
    while (!server->stopping) {
        boost::system::error_code error;
        tcp::socket socket = co_await server->acceptor.async_accept(
            asio::make_strand(server->executor), await_with_error(error));
        if (error == asio::error::operation_aborted || server->stopping) {
            co_return;
        }
        if (error) {
            asio::steady_timer retry_timer(server->executor, accept_retry_delay);
            co_await retry_timer.async_wait(await_with_error(error));
            continue;
        }
        ++server->counters.accepted;
        if (server->counters.open >= server->limits.connections && !make_room(*server)) {
            ++server->counters.rejected;
            continue; // the socket closes here
        }
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, run_connection(server, std::move(socket)), asio::detached);
    }
}

void set_headers(auto& message, const header_list& headers)
{
    for (const auto& [name, value] : headers) {
        message.set(name, value);
    }
}

} // namespace

asio::awaitable<bool> response_stream::send(http_response response)
{
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    set_headers(message, response.headers);
    message.body() = std::move(response.body);
    message.keep_alive(connection_.keep_alive);
    message.prepare_payload();
    connection_.responded = co_await write_with_timeout(
        connection_, [&message](auto& stream) { return write_response(stream, message); });
    co_return connection_.responded;
}

asio::awaitable<bool> response_stream::begin(unsigned status, header_list headers)
{
    http::response<http::empty_body> message(static_cast<http::status>(status), 11);
    set_headers(message, headers);
    message.keep_alive(connection_.keep_alive);
    message.chunked(true);
    connection_.streaming = true;
    co_return co_await write_with_timeout(
        connection_, [&message](auto& stream) { return write_head(stream, message); });
}

asio::awaitable<bool> response_stream::write(std::string_view chunk)
{
    if (chunk.empty()) {
        co_return true; // an empty chunk would end the response
    }
    co_return co_await write_with_timeout(
        connection_, [chunk](auto& stream) { return write_chunk(stream, chunk); });
}

asio::awaitable<bool> response_stream::end()
{
    connection_.streaming = false;
    connection_.responded = co_await write_with_timeout(
        connection_, [](auto& stream) { return write_last_chunk(stream); });
    co_return connection_.responded;
}

void response_stream::on_close(std::function<void()> callback)
{
    if (connection_.close_callback == nullptr) {
        return;
    }
    *connection_.close_callback = std::move(callback);
    asio::co_spawn(connection_.lowest_layer().get_executor(),
                   watch_for_close(connection_.shared_from_this(), connection_.close_callback),
                   asio::detached);
}

http_server::http_server(asio::any_io_executor executor, server_limits limits,
                         std::shared_ptr<tls_context> tls, http_handler handler)
    : state_(std::make_shared<server_state>(std::move(executor), limits, std::move(tls),
                                            std::move(handler)))
{
}

http_server::~http_server()
{
    stop();
}

tl::expected<std::uint16_t, std::string> http_server::listen(const std::string& address,
                                                             std::uint16_t port)
{
    auto bound_port = internal::listen_on(state_->acceptor, address, port, state_->limits.backlog,
                                          state_->limits.receive_buffer);
    if (bound_port) {
        asio::co_spawn(state_->executor, accept_connections(state_), asio::detached);
    }
    return bound_port;
}

void http_server::stop()
{
    if (state_->stopping.exchange(true)) {
        return;
    }
    asio::post(state_->executor, [state = state_] {
        boost::system::error_code error;
        state->acceptor.close(error);
    });
}

const server_counters& http_server::counters() const noexcept
{
    return state_->counters;
}

} // namespace quetzal::net
