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

asio::awaitable<void> handle_request(const http_request& request, response_stream& response)
{
    if (request.path == "/cut" || request.path == "/stream") {
        const header_list headers;
        co_await response.begin(200, headers);
        co_await response.write("part");
        if (request.path == "/stream") {
            co_await response.end();
        }
        co_return; // "/cut" returns without ending the response
    }
    http_response complete{200, {}, request.method + " " + request.path + " " + request.body};
    co_await response.send(std::move(complete));
}

// A server with small limits that runs on its own thread.
struct running_server
{
    explicit running_server(bool makes_room = false)
        : server(context.get_executor(),
                 {.header_size = 1024,
                  .body_size = 100,
                  .connections = 4,
                  .makes_room = makes_room,
                  .request_timeout = 300ms,
                  .idle_timeout = 2s},
                 nullptr, handle_request)
    {
        port = server.listen("127.0.0.1", 0).value();
        worker = std::jthread([this] { context.run(); });
    }

    ~running_server()
    {
        server.stop();
        context.stop();
    }

    // Sends raw bytes and returns what the server sends until it closes the connection.
    std::string exchange_raw(const std::string& bytes)
    {
        asio::io_context client_context;
        asio::ip::tcp::socket socket(client_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(received), error);
        return received;
    }

    result<http_response> get(const std::string& path)
    {
        asio::io_context client_context;
        http_request request;
        request.method = "GET";
        request.path = path;
        auto future = asio::co_spawn(
            client_context, fetch(client_context.get_executor(), "127.0.0.1", port, request, 2s),
            asio::use_future);
        client_context.run();
        return future.get();
    }

    asio::io_context context{1};
    http_server server;
    std::uint16_t port = 0;
    std::jthread worker;
};

bool is_error_response(const std::string& response, const std::string& status)
{
    return response.starts_with("HTTP/1.1 " + status) &&
           response.find("\"verdict\":\"not_run\"") != std::string::npos;
}

} // namespace

// Guards against invalid input that crashes the server, blocks other callers or gets no clear error
// response.
Test(http_server, rejects_invalid_input_and_keeps_serving)
{
    running_server running;
    const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\n";
    section("headers beyond the limit get status 431", [&] {
        const auto response =
            running.exchange_raw(head + "A: " + std::string(2000, 'a') + "\r\n\r\n");
        check(is_error_response(response, "431"), response);
    });
    section("a body beyond the limit gets status 413", [&] {
        check(is_error_response(running.exchange_raw(head + "Content-Length: 101\r\n\r\n"), "413"),
              "the response has status 413");
    });
    section("input that is not HTTP gets status 400", [&] {
        check(is_error_response(running.exchange_raw("GET / NONSENSE\r\n\r\n"), "400"),
              "the response has status 400");
    });
    section("a request that stops in the middle gets status 408", [&] {
        check(
            is_error_response(running.exchange_raw(head + "Content-Length: 10\r\n\r\nabc"), "408"),
            "the response has status 408");
        check(running.server.counters().timed_out == 1, "the timeout is counted");
    });
    section("other callers are still served", [&] {
        const auto response = running.get("/x");
        check(response && response->body == "GET /x ", "the response is complete");
    });
}

// Guards against a truncated response that is taken for a complete one.
Test(http_client, distinguishes_truncated_from_complete_responses)
{
    running_server running;
    section("a stream with its last chunk is complete", [&] {
        const auto response = running.get("/stream");
        check(response && response->body == "part", "the response is complete");
    });
    section("a stream without its last chunk is truncated and may have run", [&] {
        const auto response = running.get("/cut");
        check(!response, "no response is returned");
        check(response.error().why == reason::answer_truncated, "the reason is answer_truncated");
        check(response.error().run == verdict::may_have_run, "the verdict is may_have_run");
    });
}

// Guards against the verdict `may_have_run` for a request that was never sent, which would forbid a
// retry.
Test(http_client, reports_not_run_for_a_refused_connection)
{
    std::uint16_t closed_port = 0;
    {
        running_server stopped;
        closed_port = stopped.port;
    }
    asio::io_context client_context;
    const http_request request{"GET", "/", "", {}, ""};
    auto future = asio::co_spawn(
        client_context, fetch(client_context.get_executor(), "127.0.0.1", closed_port, request, 1s),
        asio::use_future);
    client_context.run();
    const auto response = future.get();
    check(!response && response.error().run == verdict::not_run, "the verdict is not_run");
}

// Guards against an unbounded number of open connections.
Test(http_server, limits_open_connections)
{
    running_server running;
    asio::io_context client_context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int index = 0; index < 8; ++index) {
        sockets.emplace_back(client_context);
        sockets.back().connect({asio::ip::make_address("127.0.0.1"), running.port});
        std::this_thread::sleep_for(10ms);
    }
    check(running.server.counters().open <= 4, "at most four connections are open");
    check(running.server.counters().rejected >= 4, "the other connections are closed and counted");
}

// Guards against callers without an answer because others have opened all connections and send no
// complete request.
Test(http_server, makes_room_for_further_connections)
{
    running_server running(true);
    asio::io_context client_context;
    std::vector<asio::ip::tcp::socket> silent;
    const auto open_silent = [&] {
        silent.emplace_back(client_context);
        silent.back().connect({asio::ip::make_address("127.0.0.1"), running.port});
        std::this_thread::sleep_for(10ms);
    };
    while (silent.size() < 4) {
        open_silent();
    }
    const auto response = running.get("/hello");
    check(response && response->status == 200, "an ordinary caller is answered");
    char byte = 0;
    boost::system::error_code error;
    silent.front().read_some(asio::buffer(&byte, 1), error);
    check(error == asio::error::eof, "the longest silent connection is closed");
    check(running.server.counters().displaced == 1, "one connection is closed, and counted");
    check(running.server.counters().rejected == 0, "none is rejected");
}
