#include <quetzal/gateway/caller_server.hpp>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/http_status.hpp>
#include <quetzal/gateway/spawn.hpp>

#include "caller_connection.hpp"
#include "request_reader.hpp"

namespace quetzal::gateway {

using internal::framing_error;
using internal::read_end;
using internal::read_failure;
using internal::read_result;
using internal::request_parser;

namespace {

constexpr duration accept_pause = std::chrono::milliseconds(50); // after a failed accept
constexpr read_result memory_refused{http_status::unavailable, "the memory for requests is in use",
                                     false};

} // namespace

asio::awaitable<void> caller_server::implementation::serve(std::shared_ptr<implementation> self,
                                                           std::shared_ptr<connection> caller)
{
    const auto forget = [&self](connection* ended) {
        ended->end_request();
        self->connections.erase(ended);
    };
    const std::unique_ptr<connection, decltype(forget)> registration(caller.get(), forget);
    while (caller->persistent && caller->socket.is_open()) {
        // Copied because a new configuration may replace the limits while the connection waits.
        const caller_limits limits = self->view.limits();
        std::optional<request_parser> receiving(std::in_place);
        request_parser& parser = *receiving;
        parser.header_limit(limits.header_size);
        parser.body_limit(limits.body_size);
        boost::system::error_code error;
        if (caller->buffer.size() == 0) {
            caller->buffer.shrink_to_fit();
            caller->memory.set_phase(holder_phase::idle);
            caller->memory.resize(0);
            if (caller->gives_way) {
                break;
            }
            caller->waiting_for_request = true;
            caller->timeout.expires_after(limits.idle_timeout);
            if (self->closing_idle) {
                caller->close_when_idle();
            }
            co_await caller->socket.async_wait(tcp::socket::wait_read,
                                               asio::redirect_error(asio::use_awaitable, error));
            caller->waiting_for_request = false;
            if (caller->send_side_closed) {
                caller->confirm_close(error);
            }
            if (error || caller->send_side_closed) {
                break;
            }
            if (caller->unconfirmed && self->stop) {
                caller->confirm_close({});
            }
        }
        caller->unconfirmed = false;
        caller->last_request.clear();
        caller->timed_out = false;
        caller->reading = true;
        caller->timeout.expires_after(limits.header_timeout);
        read_end ended = read_end::refused;
        if (caller->memory.set_phase(holder_phase::receiving)) {
            ended = co_await internal::read_request(caller->socket, caller->buffer, parser,
                                                    caller->memory, false, error);
        }
        const time_point received = boot_clock::now();
        read_result outcome;
        if (ended == read_end::refused || caller->gives_way) {
            outcome = memory_refused;
        } else if (error) {
            outcome = read_failure(error, caller->timed_out, true);
        } else if (const char* problem = framing_error(parser)) {
            outcome = {http_status::bad_request, problem, false};
        }
        if (!error && outcome.rejection_status == 0) {
            if (std::exchange(caller->timed_out, false)) { // the head was complete before
                caller->timeout.expires_after(limits.header_timeout);
            }
            ++self->active_requests;
            const auto id = parser.get()[self->names.request_id];
            caller->begin_request({id.data(), id.size()}, received);
            if (!parser.is_done() && caller->buffer.size() == 0 &&
                boost::beast::iequals(parser.get()[http::field::expect], "100-continue"))
            {
                caller->reading = false;
                std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
                co_await caller->write(std::move(interim));
                caller->reading = true;
                caller->timeout.expires_after(limits.header_timeout);
            }
            ended = co_await internal::read_request(caller->socket, caller->buffer, parser,
                                                    caller->memory, true, error);
            --self->active_requests;
            if (ended == read_end::refused || (caller->gives_way && !parser.is_done())) {
                outcome = memory_refused;
            } else if (error) {
                outcome = read_failure(error, caller->timed_out, true);
            }
        }
        caller->timeout.clear();
        caller->reading = false;
        if (outcome.rejection_status == http_status::request_timeout) {
            log_event("request_not_received",
                      {{"detail", outcome.detail}, {"head_complete", parser.is_header_done()}});
        }
        caller->timed_out = false;
        caller->awaiting_request = false;
        if (outcome.closed) {
            caller->end_request(true);
            break;
        }
        caller->persistent =
            outcome.rejection_status == 0 && parser.get().keep_alive() && !caller->gives_way;
        caller->head_request = parser.is_header_done() && parser.get().method() == http::verb::head;
        caller->stream_started = false;
        caller->response_complete = false;
        result<caller_request> request =
            not_run(reason::invalid_request, std::string(outcome.detail));
        if (outcome.rejection_status == 0) {
            auto& message = parser.get();
            std::string method(message.method_string().data(), message.method_string().size());
            std::string target(message.target().data(), message.target().size());
            request = read_caller_request(std::move(method), std::move(target), message.base(),
                                          std::move(message.body()), self->names, received);
        }
        receiving.reset();
        if (!request) {
            const unsigned status =
                outcome.rejection_status == 0 ? http_status::bad_request : outcome.rejection_status;
            const bool refused = status == http_status::unavailable;
            log_event(refused ? "request_not_received" : "request_malformed",
                      {{"detail", request.error().detail}});
            caller->persistent = false;
            caller->release_buffer();
            caller->memory.leave();
            std::string headers = refused ? "Retry-After: 0.5\r\n" : "";
            co_await caller->write_response(status, std::move(headers), {});
            caller->end_request();
            caller->unconfirmed = true;
            break;
        }
        const std::size_t body_size = request->body.size();
        if (self->body_bytes + body_size > self->options.max_body_memory) {
            log_event("request_refused",
                      {{"request", request->id},
                       {"status", http_status::unavailable},
                       {"verdict", "not_run"},
                       {"reason", "overloaded"},
                       {"detail", "the memory limit for request bodies is reached"}});
            co_await caller->write_response(http_status::unavailable, "Retry-After: 0.5\r\n", {});
            caller->end_request();
            caller->unconfirmed = true;
            caller->awaiting_request = caller->persistent;
            continue;
        }
        caller->memory.set_phase(holder_phase::kept);
        self->body_bytes += body_size;
        ++self->active_requests;
        caller->current = std::make_shared<running_request>(std::move(*request));
        caller->last_request = caller->current->message.id;
        caller->current->connection_request = ++caller->requests;
        caller->watch_for_disconnect();
        std::optional<std::string> exception;
        try {
            co_await self->serve_request(caller->current, *caller);
        } catch (const std::exception& thrown) {
            exception = thrown.what();
        }
        if (exception) {
            co_await caller->end_failed_request(*exception);
        }
        if (!caller->response_complete) {
            log_event("response_incomplete",
                      {{"request", caller->current->message.id},
                       {"phase", to_string(caller->current->phase)},
                       {"events_sent", caller->stream_started},
                       {"connection_request", caller->current->connection_request}});
        }
        caller->end_request();
        caller->current.reset();
        --self->active_requests;
        self->body_bytes -= body_size;
        if (!caller->response_complete) {
            break;
        }
        caller->awaiting_request = caller->persistent;
        caller->unconfirmed = true;
    }
    caller->awaiting_request = false;
    if (caller->response_complete && !caller->send_side_closed && caller->socket.is_open()) {
        co_await caller->linger();
    }
    caller->close();
}

asio::awaitable<void>
caller_server::implementation::accept_loop(std::shared_ptr<implementation> self)
{
    while (self->acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket =
            co_await self->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            log_event("accept_failed", {{"error", error.message()}});
            asio::steady_timer pause(self->context, accept_pause);
            boost::system::error_code ignored; // the timer is not cancelled
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        self->admit(std::move(socket));
    }
}

void caller_server::implementation::admit(tcp::socket socket)
{
    if (connections.size() >= options.max_connections) {
        log_event("connection_refused", {{"open", connections.size()}});
        return; // the destructor closes the socket
    }
    boost::system::error_code error;
    const auto remote = socket.remote_endpoint(error); // fails if the caller has left
    const auto holder = options.memory->open(remote.address().to_string(),
                                             internal::connection_size, boot_clock::now());
    if (holder == 0) {
        log_event("connection_refused",
                  {{"open", connections.size()}, {"detail", memory_refused.detail}});
        return;
    }
    configure_socket(socket);
    auto caller = std::make_shared<connection>(std::move(socket), *this, holder);
    connections.insert(caller.get());
    spawn(context, "serve", serve(shared_from_this(), std::move(caller)));
}

void caller_server::implementation::give_way(memory_ledger::holder id)
{
    const auto found =
        std::find_if(connections.begin(), connections.end(),
                     [&](const connection* caller) { return caller->memory.id() == id; });
    if (found != connections.end()) {
        (*found)->give_way();
    }
}

std::vector<request_state> caller_server::implementation::open_requests() const
{
    std::vector<request_state> open;
    for (const connection* caller : connections) {
        if (caller->has_open_request) {
            open.push_back(caller->state());
        }
    }
    return open;
}

void caller_server::implementation::close_idle_connections()
{
    closing_idle = true;
    for (connection* caller : connections) {
        if (caller->waiting_for_request && !caller->send_side_closed) {
            caller->close_when_idle();
        }
    }
}

caller_server::caller_server(asio::io_context& context, caller_server_options options,
                             const catalog& view, const header_names& names, handler serve)
    : self_(std::make_shared<implementation>(context, std::move(options), view, names,
                                             std::move(serve)))
{
}

caller_server::~caller_server() = default;

tl::expected<void, std::string> caller_server::start()
{
    if (const auto opened =
            open_acceptor(self_->acceptor, self_->options.address, self_->options.listen);
        !opened)
    {
        return tl::unexpected("cannot listen on the port for callers: " + opened.error());
    }
    spawn(self_->context, "accept_loop", implementation::accept_loop(self_));
    return {};
}

std::uint16_t caller_server::port() const
{
    boost::system::error_code ignored; // 0 when the port is not open
    return self_->acceptor.local_endpoint(ignored).port();
}

void caller_server::drain(time_point began)
{
    if (std::exchange(self_->draining, true)) {
        return;
    }
    self_->stop.emplace(began, self_->open_requests());
}

void caller_server::log_in_flight()
{
    if (self_->stop) {
        self_->stop->log_in_flight(self_->open_requests());
    }
}

stop_counts caller_server::counts() const
{
    return self_->stop ? self_->stop->counts() : stop_counts{};
}

void caller_server::stop_accepting()
{
    // Closing the port resets the connections that wait to be accepted.
    boost::system::error_code error;
    self_->acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(self_->context);
        self_->acceptor.accept(socket, error);
        if (!error) {
            self_->admit(std::move(socket));
        }
    }
    boost::system::error_code ignored; // the port is closed in any case
    self_->acceptor.close(ignored);
}

void caller_server::close_idle_connections()
{
    self_->close_idle_connections();
}

void caller_server::log_unconfirmed() const
{
    for (auto* caller : self_->connections) {
        caller->log_unconfirmed("the process exits");
    }
}

std::size_t caller_server::active_requests() const
{
    return self_->active_requests;
}

bool caller_server::has_unread_requests() const
{
    return std::any_of(self_->connections.begin(), self_->connections.end(),
                       [](auto* caller) { return caller->has_unread_request(); });
}

std::size_t caller_server::open_connections() const
{
    return self_->connections.size();
}

} // namespace quetzal::gateway
