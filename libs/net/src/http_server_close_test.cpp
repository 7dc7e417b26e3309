#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <quetzal/net/http_server.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::net;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr duration step_limit = 5s; // for the server to do what a test waits for
constexpr int highest_descriptor = 1024;

// A server whose handler waits until the test ends the response. The test runs the server's
// handlers itself, so it decides what happens between two of them.
class watched_exchange
{
public:
    watched_exchange()
        : released_(context_), server_(context_.get_executor(), {}, nullptr,
                                       [this](const http_request&, response_stream& response) {
                                           return handle(response);
                                       }),
          caller_(caller_context_)
    {
        const auto port = server_.listen("127.0.0.1", 0).value();
        caller_.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(const std::string& bytes) { asio::write(caller_, asio::buffer(bytes)); }

    void close_caller() { caller_.close(); }

    // Runs the server until the condition holds. Returns false when the time is over.
    template <class Condition>
    bool run_until(Condition condition, duration time = step_limit)
    {
        const time_point limit = boot_clock::now() + time;
        while (!condition() && boot_clock::now() < limit) {
            context_.run_for(1ms);
        }
        return condition();
    }

    // Reports readable bytes to the server and takes them before the server's handler runs. Returns
    // the number of bytes taken.
    std::size_t take_bytes_before_the_handler()
    {
        const int descriptor = server_descriptor();
        pollfd readable{descriptor, POLLIN, 0};
        ::poll(&readable, 1, static_cast<int>(whole_milliseconds(step_limit)));
        std::size_t taken = 0;
        // The reactor, which is asked first, queues the readiness behind this handler.
        asio::post(context_, [descriptor, &taken] {
            char bytes[64];
            const auto size = ::recv(descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
            taken = size > 0 ? static_cast<std::size_t>(size) : 0;
        });
        context_.poll();
        return taken;
    }

    // Ends the response that the handler is waiting to send.
    void respond() { released_.cancel(); }

    int started() const { return started_; }
    int closes() const { return closes_; }

private:
    asio::awaitable<void> handle(response_stream& response)
    {
        response.on_close([this] { ++closes_; });
        ++started_;
        released_.expires_after(1h);
        boost::system::error_code ignored; // cancelled when the response may end
        co_await released_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        http_response complete{200, {}, "complete"};
        co_await response.send(std::move(complete));
    }

    // The server's end of the connection, found by its addresses because the server does not show
    // its sockets.
    int server_descriptor() const
    {
        const auto wanted = caller_.local_endpoint();
        for (int descriptor = 0; descriptor < highest_descriptor; ++descriptor) {
            tcp::endpoint peer;
            socklen_t size = static_cast<socklen_t>(peer.capacity());
            if (::getpeername(descriptor, peer.data(), &size) == 0 && peer == wanted) {
                return descriptor;
            }
        }
        return -1;
    }

    asio::io_context context_{1};
    asio::io_context caller_context_;
    asio::steady_timer released_;
    http_server server_;
    tcp::socket caller_;
    int started_ = 0;
    int closes_ = 0;
};

const std::string request_text = "GET /watched HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

// Guards against a caller that is taken for gone because its connection was reported readable
// without bytes.
Test(http_server, continues_to_watch_a_caller_after_a_readiness_without_bytes)
{
    watched_exchange exchange;
    section("a caller waits for its response", [&] {
        exchange.send(request_text);
        check(exchange.run_until([&] { return exchange.started() == 1; }), "the handler runs");
    });
    section("the bytes of a readiness are gone when the watch looks", [&] {
        exchange.send("G");
        check(exchange.take_bytes_before_the_handler() == 1, "the byte is taken");
        check(exchange.closes() == 0, "the caller does not count as gone");
    });
    section("the same happens again", [&] {
        exchange.send("ET");
        check(exchange.take_bytes_before_the_handler() == 2, "the bytes are taken");
        check(exchange.closes() == 0, "the caller does not count as gone");
    });
    section("the caller closes the connection", [&] {
        exchange.close_caller();
        check(exchange.run_until([&] { return exchange.closes() > 0; }), "the close is noticed");
        check(exchange.closes() == 1, "the close is reported once");
    });
}

// Guards against a request that runs on after its caller has closed the connection, because bytes
// that the caller sent before hide the close.
Test(http_server, notices_a_close_behind_unread_bytes)
{
    watched_exchange exchange;
    section("a caller sends the next request before it has its response", [&] {
        exchange.send(request_text);
        check(exchange.run_until([&] { return exchange.started() == 1; }), "the handler runs");
        exchange.send(request_text);
        exchange.run_until([&] { return exchange.closes() > 0; }, 1500ms);
        check(exchange.closes() == 0, "the caller does not count as gone");
    });
    section("the caller closes the connection", [&] {
        exchange.close_caller();
        check(exchange.run_until([&] { return exchange.closes() > 0; }), "the close is noticed");
        check(exchange.closes() == 1, "the close is reported once");
    });
}

// Guards against a change of the watch that loses or doubles a pipelined request.
Test(http_server, serves_a_pipelined_request_after_its_predecessor)
{
    watched_exchange exchange;
    section("a caller sends two requests at once", [&] {
        exchange.send(request_text + request_text);
        check(exchange.run_until([&] { return exchange.started() == 1; }), "the first one runs");
    });
    section("the first response ends", [&] {
        exchange.respond();
        check(exchange.run_until([&] { return exchange.started() == 2; }), "the second one runs");
        check(exchange.closes() == 0, "the caller does not count as gone");
    });
    section("the caller closes the connection during the second response", [&] {
        exchange.close_caller();
        check(exchange.run_until([&] { return exchange.closes() > 0; }), "the close is noticed");
        check(exchange.closes() == 1, "the close is reported once");
    });
}
