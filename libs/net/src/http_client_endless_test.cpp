// Tests the HTTP client against servers that send bytes without end, in a head or in a body, reset
// the connection within a response, or send a status that is none.

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
using quetzal::testing::memory_growth;
using quetzal::testing::section;
namespace asio = boost::asio;

namespace {

constexpr auto call_timeout = 500ms;
constexpr auto complete_timeout = 5s; // where a complete response is expected, on a busy machine
constexpr auto total_limit = 6 * call_timeout; // sending, head, and four times for the body
constexpr auto trickle_pause = 20ms;
constexpr std::size_t body_limit = 1u << 20;
constexpr std::size_t growth_limit_kib = 8u << 10;

struct variant
{
    std::string name;
    std::string prefix;
    std::string unit;
};

std::vector<variant> variants()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"no status line", "", "x"},
        {"header lines", head, "A: b\r\n"},
        {"one header line", head + "A: ", "b"},
        {"interim 100", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"empty lines", "", "\r\n"},
        {"line feeds", "", "\n"},
        {"length too large", head + "Content-Length: 999999999999\r\n\r\n", "x"},
        {"length within the limit", head + "Content-Length: 1000000\r\n\r\n", "x"},
        {"chunks", chunked, "8\r\nxxxxxxxx\r\n"},
        {"chunk extension", chunked + "1;", "x"},
        {"trailer lines", chunked + "1\r\nx\r\n0\r\n", "A: b\r\n"},
        {"trailer line", chunked + "1\r\nx\r\n0\r\nA: ", "b"},
        {"no length", head + "\r\n", "x"},
    };
}

// The outcome of one call.
struct played_call
{
    std::optional<result<http_response>> response;
    duration took{};
    bool reusable = false;
};

asio::awaitable<void> call(std::uint16_t port, duration timeout, played_call& played)
{
    const auto executor = co_await asio::this_coro::executor;
    const time_point started = boot_clock::now();
    auto connection = co_await http_connection::connect(executor, "127.0.0.1", port, timeout);
    const http_request request{"GET", "/", "", {}, ""};
    auto response = co_await (*connection)->exchange(request, timeout, body_limit);
    played.response = std::move(response);
    played.took = boot_clock::now() - started;
    played.reusable = (*connection)->reusable();
}

} // namespace

// Guards against endless bytes that are buffered without limit, read beyond the timeout, or taken
// for a response.
Test(http_client, endless_responses_fail_within_their_timeout, .timeout = 120)
{
    std::size_t broken = 0;
    for (const variant& sent : variants()) {
        for (const auto pause : {0ms, std::chrono::milliseconds(trickle_pause)}) {
            const bool complete = pause == 0ms && sent.name == "length within the limit";
            endless_server server([&](const std::string&, std::size_t) {
                return endless_bytes{sent.prefix, sent.unit, pause};
            });
            asio::io_context context(1);
            const memory_growth growth;
            played_call played;
            const duration timeout = complete ? duration(complete_timeout) : duration(call_timeout);
            asio::co_spawn(context, call(server.port(), timeout, played), asio::detached);
            context.run_for(complete ? complete_timeout : total_limit + 500ms);
            const std::size_t growth_kib = growth.kib();
            const bool responded = played.response && *played.response;
            std::fprintf(stderr, "| %s | %s | %s | %lld | %zu |\n", sent.name.c_str(),
                         pause == 0ms ? "full speed" : "trickle",
                         !played.response ? "none"
                         : responded      ? std::to_string((*played.response)->status).c_str()
                                          : played.response->error().detail.c_str(),
                         static_cast<long long>(whole_milliseconds(played.took)), growth_kib);
            const auto expect = [&](bool condition, const char* text) {
                if (!condition) {
                    ++broken;
                    std::fprintf(stderr, "    BROKEN: %s\n", text);
                }
            };
            expect(played.response && (complete || played.took < total_limit + 150ms),
                   "the call ends within its timeout");
            expect(responded == complete, "only a complete response is returned");
            expect(complete || !played.reusable, "the connection is not reused");
            expect(growth_kib < growth_limit_kib, "memory stays bounded");
        }
    }
    check(broken == 0, std::to_string(broken) + " expectations are broken");
}

// Guards against bytes after a complete response that are taken for the next one.
Test(http_client, bytes_after_a_response_prevent_reuse)
{
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
    endless_server server([&](const std::string&, std::size_t) {
        return endless_bytes{first + first, {}, {}};
    });
    asio::io_context context(1);
    played_call played;
    asio::co_spawn(context, call(server.port(), complete_timeout, played), asio::detached);
    context.run_for(complete_timeout);
    check(played.response.has_value(), "the call ends");
    check(played.response->has_value(), *played.response ? "" : (*played.response).error().detail);
    check((*played.response)->body == "1", "the response is returned");
    check(!played.reusable, "the connection is not reused");
}

// Guards against a status that no caller knows, and against the bytes after such a status that are
// taken for the response.
Test(http_client, invalid_statuses_are_failures)
{
    const std::string hidden = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhidden";
    for (const std::string status : {"000 Error", "099 Error", "101 Switching Protocols",
                                     "600 Error", "999 Error", "20 OK", "2000 OK"})
    {
        for (const std::string& body : {std::string("odd"), hidden}) {
            endless_server server([&](const std::string&, std::size_t) {
                return endless_bytes{"HTTP/1.1 " + status + "\r\nContent-Length: " +
                                         std::to_string(body.size()) + "\r\n\r\n" + body,
                                     {},
                                     {}};
            });
            asio::io_context context(1);
            played_call played;
            asio::co_spawn(context, call(server.port(), call_timeout, played), asio::detached);
            context.run_for(total_limit);
            check(played.response && !*played.response && !played.reusable,
                  "the call fails and the connection is not reused: " + status + ", " + body);
            check(played.response->error().run == verdict::may_have_run,
                  "it may have run: " + status);
        }
    }
}

// Guards against a part of a response without a length that counts as whole because the server has
// reset the connection.
Test(http_client, reset_is_no_end_of_a_response)
{
    endless_server server([&](const std::string&, std::size_t) {
        return endless_bytes{"HTTP/1.1 200 OK\r\n\r\npart", {}, {}, true};
    });
    asio::io_context context(1);
    played_call played;
    asio::co_spawn(context, call(server.port(), call_timeout, played), asio::detached);
    context.run_for(total_limit);
    check(played.response && !*played.response, "the call fails");
}
