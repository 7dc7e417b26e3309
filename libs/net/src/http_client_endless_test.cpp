// Tests the HTTP client against servers that send bytes without end, in a head or in a body.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <quetzal/net/http_client.hpp>
#include <quetzal/testing/endless_server.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::net;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::endless_bytes;
using quetzal::testing::endless_server;
namespace asio = boost::asio;

namespace {

constexpr auto call_timeout = 300ms;
constexpr auto total_limit = 6 * call_timeout; // sending, head, and four times for the body
constexpr std::size_t body_limit = 1u << 20;

// The outcome of one call.
struct played_call
{
    std::optional<result<http_response>> response;
    duration took{};
    bool reusable = false;
};

asio::awaitable<void> call(std::uint16_t port, played_call& played)
{
    const auto executor = co_await asio::this_coro::executor;
    const time_point started = boot_clock::now();
    auto connection = co_await http_connection::connect(executor, "127.0.0.1", port, call_timeout);
    const http_request request{"GET", "/", "", {}, ""};
    auto response = co_await (*connection)->exchange(request, call_timeout, body_limit);
    played.response = std::move(response);
    played.took = boot_clock::now() - started;
    played.reusable = (*connection)->reusable();
}

} // namespace

// Guards against bytes after a complete response that are taken for the next one.
Test(http_client, bytes_after_a_response_prevent_reuse)
{
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
    endless_server server([&](const std::string&, std::size_t) {
        return endless_bytes{first + first, {}, {}};
    });
    asio::io_context context(1);
    played_call played;
    asio::co_spawn(context, call(server.port(), played), asio::detached);
    context.run_for(total_limit);
    check(played.response && *played.response && (*played.response)->body == "1",
          "the response is returned");
    check(!played.reusable, "the connection is not reused");
}
