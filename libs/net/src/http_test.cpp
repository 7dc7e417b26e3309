#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <quetzal/net/http_client.hpp>
#include <quetzal/net/http_server.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::net;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;
namespace asio = boost::asio;

namespace {

asio::awaitable<void> answer(const http_request& request, response_stream& response)
{
    if (request.path == "/cut" || request.path == "/stream") {
        const header_list headers;
        co_await response.begin(200, headers);
        co_await response.write("part");
        if (request.path == "/stream") {
            co_await response.end();
        }
        co_return; // "/cut" returns without an end
    }
    http_response whole{200, {}, request.method + " " + request.path + " " + request.body};
    co_await response.send(std::move(whole));
}

// A server with small limits on a thread of its own.
struct running_server
{
    running_server()
        : server(context.get_executor(),
                 {.header_size = 1024,
                  .body_size = 100,
                  .connections = 4,
                  .slow_sender = 300ms,
                  .idle = 2s},
                 nullptr, answer)
    {
        port = server.listen("127.0.0.1", 0).value();
        worker = std::jthread([this] { context.run(); });
    }

    ~running_server()
    {
        server.stop();
        context.stop();
    }

    // Sends raw bytes and returns what comes back until the server closes.
    std::string raw(const std::string& bytes)
    {
        asio::io_context own;
        asio::ip::tcp::socket socket(own);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(received), error);
        return received;
    }

    result<http_response> get(const std::string& path)
    {
        asio::io_context own;
        http_request request;
        request.method = "GET";
        request.path = path;
        auto future = asio::co_spawn(own, fetch(own.get_executor(), "127.0.0.1", port, request, 2s),
                                     asio::use_future);
        own.run();
        return future.get();
    }

    asio::io_context context{1};
    http_server server;
    std::uint16_t port = 0;
    std::jthread worker;
};

bool is_refusal(const std::string& response, const std::string& status)
{
    return response.starts_with("HTTP/1.1 " + status) &&
           response.find("\"verdict\":\"not_run\"") != std::string::npos;
}

} // namespace

// Guards against bad input that crashes the server, blocks other callers or gets no clear refusal.
Test(http_server, refuses_bad_input_and_goes_on)
{
    running_server running;
    const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\n";
    section("a header beyond the limit", [&] {
        const auto response = running.raw(head + "A: " + std::string(2000, 'a') + "\r\n\r\n");
        check(is_refusal(response, "431"), response);
    });
    section("a body beyond the limit", [&] {
        check(is_refusal(running.raw(head + "Content-Length: 101\r\n\r\n"), "413"), "413");
    });
    section("what is not HTTP",
            [&] { check(is_refusal(running.raw("GET / NONSENSE\r\n\r\n"), "400"), "400"); });
    section("a sender that stops in the middle", [&] {
        check(is_refusal(running.raw(head + "Content-Length: 10\r\n\r\nabc"), "408"), "408");
        check(running.server.counters().timed_out == 1, "counted");
    });
    section("other callers are served all the time", [&] {
        const auto response = running.get("/x");
        check(response && response->body == "GET /x ", "whole response");
    });
}

// Guards against a cut answer that is taken for a whole one.
Test(http_client, tells_a_cut_answer_from_a_whole_one)
{
    running_server running;
    section("a stream with its end is whole", [&] {
        const auto response = running.get("/stream");
        check(response && response->body == "part", "whole");
    });
    section("a stream that the server leaves is cut, and may have run", [&] {
        const auto response = running.get("/cut");
        check(!response, "no response");
        check(response.error().why == reason::answer_truncated, "truncated");
        check(response.error().run == verdict::may_have_run, "may have run");
    });
}

// Guards against "may have run" where nothing was sent, which would forbid a retry.
Test(http_client, a_refused_connection_did_not_run)
{
    std::uint16_t closed_port = 0;
    {
        running_server gone;
        closed_port = gone.port;
    }
    asio::io_context own;
    const http_request request{"GET", "/", "", {}, ""};
    auto future = asio::co_spawn(
        own, fetch(own.get_executor(), "127.0.0.1", closed_port, request, 1s), asio::use_future);
    own.run();
    const auto response = future.get();
    check(!response && response.error().run == verdict::not_run, "not run");
}

// Guards against unbounded connections.
Test(http_server, bounds_its_connections)
{
    running_server running;
    asio::io_context own;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int index = 0; index < 8; ++index) {
        sockets.emplace_back(own);
        sockets.back().connect({asio::ip::make_address("127.0.0.1"), running.port});
        std::this_thread::sleep_for(10ms);
    }
    check(running.server.counters().open <= 4, "at most four are open");
    check(running.server.counters().rejected >= 4, "the others were closed and counted");
}
