#ifndef QUETZAL_GATEWAY_CHANNEL_HPP
#define QUETZAL_GATEWAY_CHANNEL_HPP

// One HTTP/1.1 client connection to an endpoint. Every failure states whether the request may have
// run. An endpoint may send bytes without end: what is buffered of a head, of a chunk header or of
// a trailer is limited, and each timeout covers the whole operation however many bytes arrive.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/gateway/body_memory.hpp>
#include <quetzal/gateway/lazy_deadline.hpp>
#include <quetzal/gateway/listen_options.hpp>
#include <tl/expected.hpp>

namespace quetzal::gateway {

// Must be used by one coroutine at a time, except for `close`.
class channel : public std::enable_shared_from_this<channel>
{
public:
    using fields = boost::beast::http::fields;

    // Bytes of a response that the kernel receives ahead, of which it may hold twice as many.
    static constexpr int usual_receive_buffer = 32 << 10;

    // `memory` bounds the bodies of all channels that share it; null: only each one by itself.
    explicit channel(const boost::asio::any_io_executor& executor,
                     std::shared_ptr<body_memory> memory = {},
                     int receive_buffer = usual_receive_buffer);

    // Connects. A failure is always `not_run`.
    boost::asio::awaitable<result<void>> open(boost::asio::ip::tcp::endpoint address,
                                              duration timeout);

    // Writes the complete request to the socket. A failure is `may_have_run`.
    boost::asio::awaitable<result<void>> send(std::string_view head, std::string_view body,
                                              duration timeout);

    // Reads the status and the headers of the next response and returns the status, which is from
    // 200 to 599: a few interim responses are skipped, other statuses are failures. `head_request`
    // means that the response has no body regardless of its headers.
    boost::asio::awaitable<result<unsigned>> read_head(duration timeout, bool head_request = false);

    // The headers of the response; valid after `read_head`.
    const fields& headers() const { return parser_->get().base(); }

    // Appends the next bytes of the body to `into`. Returns false if the response is complete
    // and no bytes were appended. A response without a length is complete if its endpoint has ended
    // its side of the connection, has received the whole request, and has not reset the connection.
    boost::asio::awaitable<result<bool>> read_body(std::string& into, duration timeout);

    // Reads the rest of the body. Fails if it is longer than `limit` bytes, if it does not end
    // within `timeout`, or if the bodies that are read at the same time use too much memory.
    boost::asio::awaitable<result<std::string>> read_whole_body(std::size_t limit,
                                                                duration timeout);

    // Whether another request may be sent: the last response was complete, allows a persistent
    // connection and was not followed by further bytes.
    bool is_reusable() const;

    // Records the hash of a response's body. Returns whether one of the last responses on this
    // connection had the same body. Used for responses that name no request but never repeat.
    bool record_body(std::uint64_t hash);

    // Whether the endpoint refused or ended the connection, except between two responses.
    bool was_lost() const { return lost_ || (parser_ && !has_length() && parser_->is_done()); }

    // Whether the response states where it ends, by its length or in chunks. Otherwise it ends with
    // the connection. Valid after `read_head`.
    bool has_length() const { return !parser_->get().need_eof(); }

    // Returns the number of responses whose heads were read so far.
    std::uint64_t responses() const noexcept { return responses_; }

    // Whether a response has begun and is not complete.
    bool has_partial_response() const;

    // Whether the endpoint has closed the idle connection or sent unexpected bytes on it.
    bool is_stale();

    // Returns how long the endpoint keeps an idle connection open, from the Keep-Alive header of
    // the last response.
    std::optional<std::chrono::seconds> keep_alive() const;

    // Aborts the operation in progress and closes the connection.
    void close();

private:
    static constexpr std::size_t body_read_size = 8u << 10; // maximum bytes of one read

    // Appends the next bytes of the body, without a timeout of its own.
    boost::asio::awaitable<result<bool>> read_body_part(std::string& into);

    // Waits, after the end of a response without a length, until the endpoint has received the
    // whole request. Returns an error if the connection was reset or closed before.
    boost::asio::awaitable<boost::system::error_code> confirm_end();

    // Describes an error of a read; `timeout` is the one that may have expired.
    std::string read_error(std::string_view what, const boost::system::error_code& error,
                           duration timeout) const;
    failure connection_failure(std::string detail);
    // Records whether the error shows that the endpoint ended the connection.
    void record_loss(const boost::system::error_code& error);

    boost::asio::ip::tcp::socket socket_;
    lazy_deadline timeout_;
    std::shared_ptr<body_memory> memory_;
    int receive_buffer_; // bytes
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
    std::vector<std::uint64_t> recent_bodies_; // hashes, the newest last
    bool timed_out_ = false;
    std::uint64_t responses_ = 0;
    bool failed_ = false;
    bool lost_ = false;
};

// Sets the options of every gateway connection: no delay of small writes, and keep-alive probes and
// a timeout that close connections whose peer no longer responds.
void configure_socket(boost::asio::ip::tcp::socket& socket);

// Opens an acceptor on the address. Returns an error message on failure.
tl::expected<void, std::string> open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                              const boost::asio::ip::tcp::endpoint& address,
                                              listen_options options = {});

// Activity of the peer on an otherwise idle connection. Detecting it consumes no bytes.
enum class peer_activity
{
    none,
    sent_bytes,
    closed // or reset
};
peer_activity detect_peer_activity(boost::asio::ip::tcp::socket& socket);

// Builds the head of a POST request with a JSON body that is meant only for the endpoint with the
// id `expected_id`.
std::string post_head(const std::string& target, const std::string& host, std::size_t body_size,
                      const std::string& expected_header, const std::string& expected_id);

} // namespace quetzal::gateway

#endif
