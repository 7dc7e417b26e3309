#include "http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <quetzal/config/settings.hpp>
#include <quetzal/net/http_client.hpp>

namespace quetzal::ctl {

namespace asio = boost::asio;

namespace {

constexpr duration call_timeout = std::chrono::seconds(5);
constexpr duration stream_timeout = std::chrono::seconds(60);
constexpr std::size_t body_limit = 64u << 20; // bytes

// Runs a coroutine to its end on a context of its own.
template <class Value>
Value run(std::function<asio::awaitable<Value>(const asio::any_io_executor&)> function)
{
    asio::io_context context(1);
    auto future = asio::co_spawn(context, function(context.get_executor()), asio::use_future);
    context.run();
    return future.get();
}

// Splits the text into events; an incomplete one stays in `pending`.
void take_events(std::string& pending, const std::function<void(const server_event&)>& on_event)
{
    std::size_t end = 0;
    while ((end = pending.find("\n\n")) != std::string::npos) {
        server_event event;
        std::size_t begin = 0;
        while (begin < end) {
            const auto line_end = std::min(pending.find('\n', begin), end);
            const std::string_view line(pending.data() + begin, line_end - begin);
            if (line.starts_with("id: ")) {
                event.id = line.substr(4);
            } else if (line.starts_with("event: ")) {
                event.name = line.substr(7);
            } else if (line.starts_with("data: ")) {
                event.data = line.substr(6);
            }
            begin = line_end + 1;
        }
        pending.erase(0, end + 2);
        on_event(event);
    }
}

asio::awaitable<result<stream_outcome>>
read_stream(asio::any_io_executor executor, config::socket_address address,
            net::http_request request, std::function<void(const server_event&)> on_event)
{
    auto connection = co_await net::http_connection::connect(executor, address.address,
                                                             address.port, call_timeout);
    if (!connection) {
        co_return tl::unexpected(connection.error());
    }
    if (auto sent = co_await (*connection)->send(request, call_timeout); !sent) {
        co_return tl::unexpected(sent.error());
    }
    auto head = co_await (*connection)->read_head(stream_timeout);
    if (!head) {
        co_return tl::unexpected(head.error());
    }
    stream_outcome outcome;
    outcome.status = head->status;
    outcome.headers = std::move(head->headers);
    const auto type = outcome.headers.find("Content-Type");
    const bool events = type && *type == "text/event-stream";
    std::string pending;
    const auto watch = [&](const server_event& event) {
        outcome.ended = outcome.ended || event.name == "end" || event.name == "refusal";
        on_event(event);
    };
    while (true) {
        auto piece = co_await (*connection)->read_some(stream_timeout);
        if (!piece || !piece->has_value()) {
            break; // `ended` tells whether the answer is whole
        }
        if (events) {
            pending += **piece;
            take_events(pending, watch);
        } else {
            outcome.body += **piece;
        }
    }
    co_return outcome;
}

result<config::socket_address> parse_address(const std::string& instance)
{
    if (auto address = config::parse_socket_address(instance)) {
        return std::move(*address);
    }
    return not_run(reason::invalid_request,
                   "\"" + instance + "\" is not a numeric address with a port");
}

} // namespace

result<net::http_response> call(const std::string& instance, const net::http_request& request)
{
    const auto address = parse_address(instance);
    if (!address) {
        return tl::unexpected(address.error());
    }
    return run<result<net::http_response>>([&](const asio::any_io_executor& executor) {
        return net::fetch(executor, address->address, address->port, request, call_timeout,
                          body_limit);
    });
}

result<stream_outcome> stream(const std::string& instance, const net::http_request& request,
                              const std::function<void(const server_event&)>& on_event)
{
    const auto address = parse_address(instance);
    if (!address) {
        return tl::unexpected(address.error());
    }
    return run<result<stream_outcome>>([&](const asio::any_io_executor& executor) {
        return read_stream(executor, *address, request, on_event);
    });
}

} // namespace quetzal::ctl
