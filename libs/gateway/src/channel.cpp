#include <quetzal/gateway/channel.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/http_status.hpp>

namespace quetzal::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// A connection is closed when sent data stays unacknowledged for this time, because the peer is
// unreachable or has failed.
constexpr int unacknowledged_data_timeout_ms = 3000;
// An idle connection is probed after 2 s, then once a second, and closed after 2 unanswered probes.
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

constexpr std::uint32_t max_response_header_size = 32u << 10; // bytes
// Bytes that wait to be parsed: a head, or the header, extension or trailer of a chunk. The parser
// itself limits only the head.
constexpr std::size_t max_unparsed_size = 40u << 10;
constexpr std::size_t max_recent_bodies = 16; // hashes kept for each connection
constexpr unsigned max_interim_responses = 8; // skipped before a response
// How often the connection of an ended response is checked while its request is not acknowledged.
constexpr duration acknowledgement_check = std::chrono::milliseconds(5);

void set_socket_option(int socket, int level, int name, int value)
{
    ::setsockopt(socket, level, name, &value, sizeof(value));
}

} // namespace

void configure_socket(asio::ip::tcp::socket& socket)
{
    const int handle = socket.native_handle();
    set_socket_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set_socket_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_data_timeout_ms);
    set_socket_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_socket_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_socket_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_socket_option(handle, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

tl::expected<void, std::string> open_acceptor(asio::ip::tcp::acceptor& acceptor,
                                              const asio::ip::tcp::endpoint& address,
                                              listen_options options)
{
    const asio::socket_base::receive_buffer_size buffer(options.receive_buffer);
    boost::system::error_code error;
    // Connections take the size of the buffer from the acceptor, also before they are accepted.
    if (acceptor.open(address.protocol(), error) ||
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error) ||
        (options.receive_buffer > 0 && acceptor.set_option(buffer, error)) ||
        acceptor.bind(address, error) || acceptor.listen(options.backlog, error))
    {
        return tl::unexpected(error.message());
    }
    return {};
}

peer_activity detect_peer_activity(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) {
        return peer_activity::sent_bytes;
    }
    const bool open = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return open ? peer_activity::none : peer_activity::closed;
}

std::string post_head(const std::string& target, const std::string& host, std::size_t body_size,
                      const std::string& expected_header, const std::string& expected_id)
{
    return "POST " + target + " HTTP/1.1\r\nHost: " + host +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body_size) +
           "\r\n" + expected_header + ": " + expected_id + "\r\n\r\n";
}

channel::channel(const asio::any_io_executor& executor, std::shared_ptr<body_memory> memory,
                 int receive_buffer)
    : socket_(executor), timeout_(executor,
                                  [this] {
                                      timed_out_ = true;
                                      close();
                                  }),
      memory_(std::move(memory)), receive_buffer_(receive_buffer), buffer_(max_unparsed_size)
{
}

asio::awaitable<result<void>> channel::open(asio::ip::tcp::endpoint address, duration timeout)
{
    boost::system::error_code error;
    timeout_.expires_after(timeout);
    socket_.open(address.protocol(), error);
    if (!error) {
        socket_.set_option(asio::socket_base::receive_buffer_size(receive_buffer_), error);
    }
    if (error) {
        timeout_.clear();
        failed_ = true;
        co_return not_run(reason::endpoint_failed, error.message());
    }
    co_await socket_.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    timeout_.clear();
    if (error) {
        failed_ = true;
        record_loss(error);
        co_return not_run(reason::endpoint_failed,
                          timed_out_ ? "connection timed out" : error.message());
    }
    configure_socket(socket_);
    co_return result<void>{};
}

asio::awaitable<result<void>> channel::send(std::string_view head, std::string_view body,
                                            duration timeout)
{
    boost::system::error_code error;
    const std::array<asio::const_buffer, 2> parts{asio::buffer(head), asio::buffer(body)};
    timeout_.expires_after(timeout);
    co_await asio::async_write(socket_, parts, asio::redirect_error(asio::use_awaitable, error));
    timeout_.clear();
    if (error) {
        record_loss(error);
        co_return tl::unexpected(connection_failure(
            timed_out_ ? "sending timed out" : "sending failed: " + error.message()));
    }
    co_return result<void>{};
}

asio::awaitable<result<unsigned>> channel::read_head(duration timeout, bool head_request)
{
    boost::system::error_code error;
    timeout_.expires_after(timeout);
    for (unsigned interim = 0; interim <= max_interim_responses; ++interim) {
        parser_.emplace();
        parser_->header_limit(max_response_header_size);
        parser_->body_limit(boost::none);
        parser_->skip(head_request);
        co_await http::async_read_header(socket_, buffer_, *parser_,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            timeout_.clear();
            record_loss(error);
            co_return tl::unexpected(
                connection_failure(read_error("the response's head", error, timeout)));
        }
        const unsigned status = parser_->get().result_int();
        if (http_status::is_final(status)) {
            timeout_.clear();
            ++responses_;
            co_return status;
        }
        if (!http_status::is_interim(status)) {
            timeout_.clear();
            co_return tl::unexpected(connection_failure("the response's status " +
                                                        std::to_string(status) + " is invalid"));
        }
    }
    timeout_.clear();
    co_return tl::unexpected(connection_failure(
        "more than " + std::to_string(max_interim_responses) + " interim responses"));
}

asio::awaitable<result<bool>> channel::read_body(std::string& into, duration timeout)
{
    timeout_.expires_after(timeout);
    auto more = co_await read_body_part(into);
    timeout_.clear();
    if (!more && timed_out_) {
        more.error().detail = read_error("the next part of the body", {}, timeout);
    }
    co_return more;
}

asio::awaitable<result<bool>> channel::read_body_part(std::string& into)
{
    if (parser_->is_done()) {
        co_return false;
    }
    const std::size_t before = into.size();
    into.resize(before + body_read_size);
    auto& body = parser_->get().body();
    body.data = into.data() + before;
    body.size = body_read_size;
    body.more = true;
    boost::system::error_code error;
    co_await http::async_read_some(socket_, buffer_, *parser_,
                                   asio::redirect_error(asio::use_awaitable, error));
    into.resize(before + body_read_size - body.size);
    if (error && error != http::error::need_buffer) {
        record_loss(error);
        co_return tl::unexpected(
            connection_failure(read_error("the response's body", error, duration::zero())));
    }
    if (parser_->is_done() && !has_length()) {
        if (const auto reset = co_await confirm_end()) {
            record_loss(reset);
            co_return tl::unexpected(
                connection_failure(read_error("the response's body", reset, duration::zero())));
        }
    }
    co_return into.size() > before || !parser_->is_done();
}

asio::awaitable<boost::system::error_code> channel::confirm_end()
{
    asio::steady_timer timer(socket_.get_executor());
    while (socket_.is_open()) {
        // After the end of the stream, reads do not return the error of a reset that follows it.
        int error = 0;
        socklen_t size = sizeof(error);
        if (::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
            error = errno;
        }
        int unacknowledged = 0;
        if (::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) != 0) {
            const std::string detail = boost::system::system_category().message(errno);
            log_event("unacknowledged_bytes_unknown", {{"error", detail}});
        }
        if (error != 0 || unacknowledged == 0) {
            co_return boost::system::error_code(error, boost::system::system_category());
        }
        timer.expires_after(acknowledgement_check);
        boost::system::error_code ignored; // the timer is not cancelled
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return asio::error::operation_aborted; // by `close` or a timeout
}

asio::awaitable<result<std::string>> channel::read_whole_body(std::size_t limit, duration timeout)
{
    std::string body;
    if (parser_->is_done()) {
        co_return body;
    }
    const std::string too_large = "the response's body exceeds " + std::to_string(limit) + " bytes";
    if (parser_->content_length().value_or(0) > limit) {
        co_return tl::unexpected(connection_failure(too_large));
    }
    body_memory::share memory(memory_);
    parser_->eager(true); // a read returns many small chunks together
    timeout_.expires_after(timeout);
    while (true) {
        const std::size_t needed = body.size() + body_read_size;
        if (needed > body.capacity()) {
            std::size_t size = std::max(needed, 2 * body.capacity());
            if (size >= limit) {
                size = std::max(needed, limit + body_read_size);
            }
            if (!memory.grow(size)) {
                timeout_.clear();
                co_return tl::unexpected(connection_failure("the bodies of all responses exceed " +
                                                            std::to_string(memory_->limit()) +
                                                            " bytes"));
            }
            if (memory_ && memory_->is_scarce()) {
                co_await asio::post(socket_.get_executor(), asio::use_awaitable);
            }
            std::string larger; // `reserve` of a string with content allocates up to twice the size
            larger.reserve(size);
            larger.append(body);
            body.swap(larger);
        }
        auto more = co_await read_body_part(body);
        if (!more || !*more || body.size() > limit) {
            timeout_.clear();
            if (!more && timed_out_) {
                more.error().detail = read_error("the response's body", {}, timeout);
            }
            if (!more) {
                co_return tl::unexpected(more.error());
            }
            if (body.size() > limit) {
                co_return tl::unexpected(connection_failure(too_large));
            }
            co_return body;
        }
    }
}

bool channel::is_reusable() const
{
    return !failed_ && socket_.is_open() && parser_ && parser_->is_done() &&
           parser_->get().keep_alive() && !parser_->get().need_eof() && buffer_.size() == 0;
}

bool channel::record_body(std::uint64_t hash)
{
    if (std::find(recent_bodies_.begin(), recent_bodies_.end(), hash) != recent_bodies_.end()) {
        return true;
    }
    if (recent_bodies_.size() == max_recent_bodies) {
        recent_bodies_.erase(recent_bodies_.begin());
    }
    recent_bodies_.push_back(hash);
    return false;
}

bool channel::has_partial_response() const
{
    return parser_ && !parser_->is_done() && (parser_->is_header_done() || buffer_.size() > 0);
}

bool channel::is_stale()
{
    return detect_peer_activity(socket_) != peer_activity::none;
}

std::optional<std::chrono::seconds> channel::keep_alive() const
{
    constexpr std::string_view parameter = "timeout=";
    if (!parser_) {
        return std::nullopt;
    }
    const auto header = parser_->get()[http::field::keep_alive];
    const std::string_view text(header.data(), header.size());
    const auto found = text.find(parameter);
    if (found == std::string_view::npos) {
        return std::nullopt;
    }
    const char* begin = text.data() + found + parameter.size();
    unsigned seconds = 0;
    if (const auto [end, error] = std::from_chars(begin, text.data() + text.size(), seconds);
        error != std::errc{})
    {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

void channel::close()
{
    failed_ = true;
    boost::system::error_code ignored; // the connection is closed in any case
    socket_.close(ignored);
}

std::string channel::read_error(std::string_view what, const boost::system::error_code& error,
                                duration timeout) const
{
    const std::string subject(what);
    if (timed_out_) {
        return subject + " was not complete after " + std::to_string(whole_milliseconds(timeout)) +
               " ms";
    }
    if (error == http::error::header_limit) {
        return subject + " exceeds " + std::to_string(max_response_header_size) + " bytes";
    }
    if (error == http::error::buffer_overflow) {
        return subject + " has more than " + std::to_string(max_unparsed_size) +
               " bytes in the header or trailer of a chunk";
    }
    return subject + " ended early: " + error.message();
}

void channel::record_loss(const boost::system::error_code& error)
{
    lost_ = error == asio::error::connection_refused || error == asio::error::connection_reset ||
            error == asio::error::broken_pipe || error == asio::error::eof ||
            error == http::error::end_of_stream || error == http::error::partial_message;
}

failure channel::connection_failure(std::string detail)
{
    failed_ = true;
    return {verdict::may_have_run, reason::endpoint_failed, std::move(detail), {}};
}

} // namespace quetzal::gateway
