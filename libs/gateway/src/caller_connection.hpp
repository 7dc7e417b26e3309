#ifndef QUETZAL_GATEWAY_CALLER_CONNECTION_HPP
#define QUETZAL_GATEWAY_CALLER_CONNECTION_HPP

// The state of the server for callers, and a caller's connection with its responses.

#include <array>
#include <cstdio>
#include <linux/sockios.h>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/status.hpp>
#include <quetzal/gateway/caller_server.hpp>
#include <quetzal/gateway/channel.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/http_status.hpp>
#include <quetzal/gateway/lazy_deadline.hpp>

#include "request_reader.hpp"

namespace quetzal::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using internal::connection_memory;

namespace internal {

constexpr duration linger_time = std::chrono::seconds(2);              // for the caller's close
constexpr duration recent_response_time = std::chrono::seconds(4);     // may still be on its way
constexpr duration progress_interval = std::chrono::milliseconds(400); // of what callers take
constexpr std::size_t read_buffer_limit = 64u << 10;                   // bytes
constexpr std::size_t max_logged_id = 200; // characters of a request's id that is not read yet

inline std::string status_line(unsigned status)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason.data(), reason.size()) +
           "\r\n";
}

} // namespace internal

struct caller_server::implementation : std::enable_shared_from_this<implementation>
{
    struct connection;

    implementation(asio::io_context& io, caller_server_options settings, const catalog& catalog,
                   const header_names& header, handler serve)
        : context(io), options(std::move(settings)), view(catalog), names(header),
          serve_request(std::move(serve)), acceptor(io)
    {
        if (!options.memory) {
            options.memory = std::make_shared<memory_ledger>(memory_limits{});
        }
        options.memory->on_give_way([this](memory_ledger::holder id) { give_way(id); });
    }

    ~implementation() { options.memory->on_give_way({}); }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    static asio::awaitable<void> accept_loop(std::shared_ptr<implementation> self);
    static asio::awaitable<void> serve(std::shared_ptr<implementation> self,
                                       std::shared_ptr<connection> caller);

    // Serves an accepted connection.
    void admit(tcp::socket socket);

    // Frees the memory of a connection.
    void give_way(memory_ledger::holder id);

    // Returns the requests that are being read or served.
    std::vector<request_state> open_requests() const;

    // Closes the connections that wait for a request, and further ones as soon as they do.
    void close_idle_connections();

    asio::io_context& context;
    caller_server_options options;
    const catalog& view;
    const header_names& names;
    handler serve_request;
    tcp::acceptor acceptor;
    bool draining = false;
    std::optional<stop_record> stop; // once draining
    bool closing_idle = false;
    std::size_t active_requests = 0;
    std::size_t body_bytes = 0;
    std::set<connection*> connections; // accepted and not closed
};

// A caller's connection. Writes its responses.
struct caller_server::implementation::connection final : response_writer,
                                                         std::enable_shared_from_this<connection>
{
    connection(tcp::socket accepted, implementation& owner, memory_ledger::holder holder)
        : socket(std::move(accepted)), server(owner),
          memory(*owner.options.memory, holder, owner.options.listen.receive_buffer > 0),
          timeout(socket.get_executor(), [this] {
              if (writing && may_still_write()) {
                  return;
              }
              if (const int rest = unacknowledged_bytes();
                  awaiting_close && rest > 0 && rest < unacknowledged) {
                  limit_wait_for_close();
                  return;
              }
              timed_out = true;
              if (!reading) {
                  close();
                  return;
              }
              boost::system::error_code ignored; // a read that has ended is not interrupted
              socket.cancel(ignored);
          })
    {
    }

    void close()
    {
        persistent = false;
        boost::system::error_code ignored; // the connection is closed in any case
        socket.close(ignored);
    }

    // Returns the number of written bytes that the caller has not acknowledged.
    int unacknowledged_bytes()
    {
        int bytes = 0;
        ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes);
        return bytes;
    }

    // Starts the time limit for the caller to read anything. The socket accepts further bytes only
    // when a large part of its buffer is free, so a slow caller is noticed by what it acknowledges.
    void limit_write()
    {
        unacknowledged = untaken = unacknowledged_bytes();
        write_limit = boot_clock::now() + server.options.write_timeout;
        timeout.expires_after(
            std::min<duration>(internal::progress_interval, server.options.write_timeout));
    }

    // Records what the caller has taken. Returns false if the time limit of the write is over.
    bool may_still_write()
    {
        record_taken(0);
        const duration left = write_limit - boot_clock::now();
        if (left > duration::zero()) {
            timeout.expires_after(std::min<duration>(internal::progress_interval, left));
            return true;
        }
        if (untaken >= unacknowledged) {
            return false;
        }
        limit_write();
        return true;
    }

    // Records what the caller has taken after `written` further bytes were given to the socket.
    void record_taken(std::size_t written)
    {
        const int now = unacknowledged_bytes();
        const auto taken = static_cast<std::int64_t>(written) + untaken - now;
        untaken = now;
        if (taken > 0) {
            memory.record_progress(static_cast<std::size_t>(taken));
        }
    }

    // Starts the time limit for the caller to read more of the last response, or to close the
    // connection if it has read everything.
    void limit_wait_for_close()
    {
        awaiting_close = true;
        unacknowledged = unacknowledged_bytes();
        timeout.expires_after(internal::linger_time);
    }

    asio::awaitable<bool> write(std::string bytes)
    {
        boost::system::error_code error;
        std::size_t written = 0;
        const std::size_t charged = memory.begin_write(bytes.capacity());
        writing = true;
        while (!error && written < bytes.size()) {
            limit_write();
            const asio::const_buffer rest(bytes.data() + written, bytes.size() - written);
            const std::size_t size = co_await socket.async_write_some(
                rest, asio::redirect_error(asio::use_awaitable, error));
            written += size;
            written_bytes += size;
            if (written < bytes.size()) {
                record_taken(size);
            }
        }
        memory.end_write(charged);
        timeout.clear();
        writing = false;
        last_write = boot_clock::now();
        if (error) {
            write_failed = true;
            log_event("response_not_written",
                      {{"request", current ? std::string_view(current->message.id) : ""},
                       {"detail", timed_out        ? "the caller does not read"
                                  : has_lost_write ? "its memory is needed, the caller reads slowly"
                                                   : error.message()}});
            close();
        }
        co_return !error;
    }

    // Returns the status line and headers of a response, without those that frame its body.
    std::string response_head(unsigned status, const std::string& headers)
    {
        std::string bytes = internal::status_line(status) + headers;
        response_status = status;
        if (server.draining || !persistent) {
            persistent = false;
            bytes += "Connection: close\r\n";
        }
        return bytes;
    }

    asio::awaitable<bool> write_response(unsigned status, std::string headers,
                                         std::string body) override
    {
        std::string bytes = response_head(status, headers);
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!head_request) {
            bytes += body;
        }
        // A caller may read slowly. An assignment of an empty string would keep the memory.
        std::string().swap(body);
        response_complete = true;
        co_return co_await write(std::move(bytes));
    }

    asio::awaitable<bool> write_stream_part(unsigned status, const std::string& headers,
                                            std::string events, bool last) override
    {
        std::string bytes;
        if (!stream_started) {
            stream_started = true;
            bytes = response_head(status, headers);
            bytes += "Transfer-Encoding: chunked\r\n\r\n";
        }
        if (!events.empty()) {
            std::array<char, 20> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", events.size());
            bytes += size.data();
            bytes += events;
            bytes += "\r\n";
        }
        if (last) {
            bytes += "0\r\n\r\n";
            response_complete = true;
        }
        co_return co_await write(std::move(bytes));
    }

    bool has_started_stream() const override { return stream_started; }

    bool caller_disconnected() override
    {
        return detect_peer_activity(socket) == peer_activity::closed;
    }

    void abort_connection() override { close(); }

    // Aborts the request if the caller closes the connection while the request is being served.
    // Stops watching when bytes of a further request arrive.
    void watch_for_disconnect()
    {
        if (watching || !socket.is_open()) {
            return;
        }
        watching = true;
        socket.async_wait(tcp::socket::wait_read,
                          [self = shared_from_this()](const boost::system::error_code& error) {
                              self->watching = false;
                              if (!self->current || (error && self->socket.is_open())) {
                                  return;
                              }
                              const auto activity = error ? peer_activity::closed
                                                          : detect_peer_activity(self->socket);
                              if (activity == peer_activity::none) {
                                  self->watch_for_disconnect();
                              } else if (activity == peer_activity::closed) {
                                  self->current->abort({verdict::may_have_run,
                                                        reason::cancelled,
                                                        "the caller closed the connection",
                                                        {}});
                              }
                          });
    }

    // Frees the bytes that have been read and belong to no request that will be served.
    void release_buffer()
    {
        buffer.consume(buffer.size());
        buffer.shrink_to_fit();
    }

    // Whether bytes of a request have arrived that is not read completely yet.
    bool has_unread_request()
    {
        boost::system::error_code error; // a closed socket has nothing to read
        return awaiting_request && (buffer.size() > 0 || socket.available(error) > 0);
    }

    // Ends the connection after its last response. Closing a connection with unread bytes resets
    // it, which destroys the part of the response that is still on its way.
    asio::awaitable<void> linger()
    {
        boost::system::error_code error;
        lingers = true;
        release_buffer();
        memory.leave();
        socket.shutdown(tcp::socket::shutdown_send, error);
        limit_wait_for_close();
        std::array<char, 4096> discarded{};
        while (!error) {
            co_await socket.async_read_some(asio::buffer(discarded),
                                            asio::redirect_error(asio::use_awaitable, error));
        }
        timeout.clear();
        if (error == asio::error::eof) {
            log_confirmed("the caller has closed the connection");
            unconfirmed = false;
        }
        if (server.draining) {
            log_unconfirmed("the connection ended otherwise than by the caller's close");
        }
    }

    // Ends a connection that waits for a request, unless one has arrived. A request that crosses
    // the close stays unread, so that the caller may send it to another instance.
    void close_when_idle()
    {
        boost::system::error_code error; // a closed socket has nothing to read
        if (socket.available(error) > 0) {
            return;
        }
        send_side_closed = true;
        socket.shutdown(tcp::socket::shutdown_send, error);
        limit_wait_for_close();
    }

    // Frees memory: closes the connection if it waits for a request or a response is written to it,
    // or refuses the request that is being received. Called again, closes the connection at once.
    void give_way()
    {
        const bool is_leaving = std::exchange(gives_way, true) || lingers || send_side_closed;
        boost::system::error_code error; // of a closed socket or a read that has ended
        has_lost_write = writing;
        const bool is_unused =
            waiting_for_request && socket.available(error) == 0 && unacknowledged_bytes() == 0;
        if (is_leaving || writing || is_unused) {
            close();
        } else if (!waiting_for_request) {
            socket.cancel(error);
        } else {
            close_when_idle();
        }
    }

    // Takes the last response for received if the caller has closed its side or sent a request, and
    // logs it otherwise.
    void confirm_close(const boost::system::error_code& wait_error)
    {
        if (wait_error) {
            log_unconfirmed("the caller keeps the connection open");
            return;
        }
        char byte = 0;
        if (::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0) {
            log_unconfirmed("the connection was reset");
            return;
        }
        log_confirmed("the caller has closed the connection or sent a request");
    }

    // Logs the last response if it is recent and the caller has neither closed its connection nor
    // sent a further request since.
    void log_unconfirmed(std::string_view detail)
    {
        if (!unconfirmed || boot_clock::now() - last_write > internal::recent_response_time) {
            return;
        }
        log_event("response_unconfirmed",
                  {{"request", last_request},
                   {"detail", detail},
                   {"unacknowledged", socket.is_open() ? unacknowledged_bytes() : 0},
                   {"written_ms", whole_milliseconds(boot_clock::now() - last_write)}});
    }

    // Records that the head of a request has been read.
    void begin_request(std::string_view id, time_point now)
    {
        last_request = id.substr(0, internal::max_logged_id);
        received = now;
        response_status = 0;
        written_bytes = 0;
        write_failed = false;
        has_open_request = true;
        ended_in_stop = false;
        if (server.stop) {
            server.stop->count_received();
        }
    }

    // Records that the request has ended, or that its connection was closed. `caller_closed` means
    // that the caller closed it before the request was read completely.
    void end_request(bool caller_closed = false)
    {
        if (!std::exchange(has_open_request, false) || !server.stop) {
            return;
        }
        request_state ended = state();
        ended.caller_closed = caller_closed;
        server.stop->log_end(ended);
        ended_in_stop = true;
    }

    // Returns the request that is being read or served.
    request_state state() const
    {
        request_state value;
        value.id = last_request;
        value.request = current.get();
        value.received = received;
        value.status = response_status;
        value.bytes = written_bytes;
        // Until a response starts, `response_complete` is about the request before.
        value.complete = response_status != 0 && response_complete;
        value.write_failed = write_failed;
        return value;
    }

    // Logs that the caller of a request that ended during the stop has its response.
    void log_confirmed(std::string_view detail)
    {
        if (!unconfirmed || !std::exchange(ended_in_stop, false)) {
            return;
        }
        log_event("response_confirmed",
                  {{"request", last_request},
                   {"detail", detail},
                   {"written_ms", whole_milliseconds(boot_clock::now() - last_write)}});
    }

    // Ends a request whose handler has thrown. It may have run.
    asio::awaitable<void> end_failed_request(const std::string& exception)
    {
        log_event("request_failed", {{"request", current->message.id},
                                     {"phase", to_string(current->phase)},
                                     {"error", exception}});
        current->progress.ended_by_instance = reason::internal_error;
        persistent = false;
        if (!stream_started && !response_complete) {
            std::string headers;
            std::string body;
            co_await write_response(http_status::bad_gateway, std::move(headers), std::move(body));
        }
    }

    tcp::socket socket;
    implementation& server;
    connection_memory memory;
    lazy_deadline timeout;
    boost::beast::flat_buffer buffer{internal::read_buffer_limit};
    std::shared_ptr<running_request> current; // being served
    std::uint64_t requests = 0;               // received so far
    bool persistent = true;
    bool head_request = false;
    bool stream_started = false;
    bool response_complete = false;
    bool watching = false;
    bool timed_out = false;
    bool writing = false;
    bool awaiting_close = false;      // by the caller, after the last response
    bool gives_way = false;           // another request needs its memory
    bool lingers = false;             // until the caller has closed it too
    bool reading = false;             // a request, whose timeout is answered
    bool awaiting_request = true;     // no request was read completely since the last response
    bool waiting_for_request = false; // for its first byte
    bool send_side_closed = false;    // while it waited for a request
    bool has_open_request = false;    // whose head was read, and which has not ended
    bool ended_in_stop = false;       // the last request
    bool unconfirmed = false;     // the last response; until the caller closes or sends a request
    std::string last_request;     // id of the last request whose head was read
    time_point received{};        // the head of the last request
    time_point last_write{};      // of any part of a response
    unsigned response_status = 0; // of the last request; 0 if no response has started
    std::uint64_t written_bytes = 0; // since the head of the last request
    bool write_failed = false;       // of the last request's response
    bool has_lost_write = false;     // gave way while a response was written
    int unacknowledged = 0;          // bytes when the time limit of the write was set
    int untaken = 0;                 // unacknowledged bytes when progress was last recorded
    time_point write_limit{};        // when nothing was acknowledged until then
};

} // namespace quetzal::gateway

#endif
