// Tests how connections of callers end: after a failure while a request is served, after a timeout,
// and after the last response.

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <quetzal/gateway/caller_server.hpp>
#include <quetzal/testing/section.hpp>

#include "test_names.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::gateway::testing::test_names;
using quetzal::testing::check;
using quetzal::testing::section;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

const std::string get = "GET /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";

// A server and one connection to it, whose receive buffer is small.
struct connection_fixture
{
    explicit connection_fixture(caller_server::handler serve, duration write_timeout = {})
        : names(test_names()), server(context, options(write_timeout), view, names, serve)
    {
        published_configuration configuration;
        configuration.version = 1;
        configuration.limits.header_timeout = milliseconds(150);
        configuration.limits.idle_timeout = milliseconds(400);
        configuration.limits.body_size = 1u << 20;
        view.apply(configuration);
        check(server.start().has_value(), "the server starts listening");
        caller.open(asio::ip::tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(16 << 10));
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        caller.non_blocking(true);
    }

    static caller_server_options options(duration write_timeout)
    {
        caller_server_options value;
        value.address = {asio::ip::make_address("127.0.0.1"), 0};
        if (write_timeout > duration::zero()) {
            value.write_timeout = write_timeout;
        }
        return value;
    }

    void run(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code error;
        asio::write(caller, asio::buffer(bytes), error);
    }

    // Runs the server and reads what it sends, at most `rate` bytes at a time every 10 ms. Stops
    // when the server closes the connection, or when nothing has arrived for `silence`.
    std::string receive(milliseconds silence = milliseconds(300), std::size_t rate = 1u << 20)
    {
        std::string received;
        std::string part(rate, '\0');
        milliseconds quiet{};
        while (quiet < silence && !ended) {
            run(milliseconds(10));
            const std::size_t size = caller.read_some(asio::buffer(part), ended);
            if (ended == asio::error::would_block) {
                ended = {};
            }
            received.append(part, 0, size);
            quiet = size > 0 ? milliseconds(0) : quiet + milliseconds(10);
        }
        return received;
    }

    asio::io_context context{1};
    catalog view;
    header_names names;
    caller_server server;
    asio::ip::tcp::socket caller{context};
    boost::system::error_code ended; // how the server closed the connection
};

// Responds with a body of the given size.
caller_server::handler responds_with(std::size_t size)
{
    return
        [size](std::shared_ptr<running_request>, response_writer& writer) -> asio::awaitable<void> {
            std::string headers;
            std::string body(size, 'x');
            co_await writer.write_response(200, std::move(headers), std::move(body));
        };
}

asio::awaitable<void> throw_before_response(std::shared_ptr<running_request>, response_writer&)
{
    throw std::runtime_error("failed");
    co_return;
}

asio::awaitable<void> throw_within_stream(std::shared_ptr<running_request>, response_writer& writer)
{
    const std::string headers;
    std::string events = "id: 0\n\n";
    co_await writer.write_stream_part(200, headers, std::move(events), false);
    throw std::runtime_error("failed");
}

} // namespace

// Guards against requests that get no answer, and a stop that waits for them, after an exception
// while they are served.
Test(caller_connection, exception_while_a_request_is_served)
{
    section("given an exception before the response", [] {
        connection_fixture connection(throw_before_response);
        connection.send(get);
        const std::string response = connection.receive();
        check(response.starts_with("HTTP/1.1 502"), "the caller gets a response: " + response);
        check(connection.ended == asio::error::eof, "the connection is closed");
        check(connection.server.active_requests() == 0, "the request is not active any more");
        connection.caller.close();
        connection.run(milliseconds(20));
        check(connection.server.open_connections() == 0, "the connection is not open any more");
    });
    section("given an exception within a stream", [] {
        connection_fixture connection(throw_within_stream);
        connection.send(get);
        const std::string response = connection.receive();
        check(response.starts_with("HTTP/1.1 200") && !response.ends_with("0\r\n\r\n"),
              "the stream does not look complete");
        check(bool(connection.ended), "the connection is closed");
        check(connection.server.active_requests() == 0, "the request is not active any more");
    });
}

// Guards against a response that is destroyed on its way, because the connection is closed while
// bytes of the caller are unread.
Test(caller_connection, last_response_reaches_a_caller_that_has_sent_more)
{
    section("given a large response and a further request behind the last one", [] {
        constexpr std::size_t size = 2u << 20;
        connection_fixture connection(responds_with(size));
        connection.send("GET /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n");
        connection.run(milliseconds(50));
        connection.send(get);
        const std::string response = connection.receive();
        check(response.size() > size, "the caller receives the whole response, not only " +
                                          std::to_string(response.size()) + " bytes");
        check(connection.ended == asio::error::eof,
              "the connection ends without a reset: " + connection.ended.message());
    });
    section("given a body above the limit", [] {
        connection_fixture connection(responds_with(1));
        connection.send("POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 2000000\r\n\r\n" +
                        std::string(200'000, 'x'));
        const std::string response = connection.receive();
        check(response.starts_with("HTTP/1.1 413"), "the caller receives the response");
        check(connection.ended == asio::error::eof,
              "the connection ends without a reset: " + connection.ended.message());
    });
    section("given a caller that keeps its connection open", [] {
        connection_fixture connection(responds_with(1));
        connection.send("GET /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n");
        connection.run(milliseconds(50));
        check(connection.server.open_connections() == 1, "the server waits for the caller");
        connection.run(milliseconds(2500));
        check(connection.server.open_connections() == 0, "the server closes the connection");
    });
}

// Guards against a response that is cut because the caller reads it slowly, although it reads all
// the time.
Test(caller_connection, slow_reader_receives_the_whole_response)
{
    constexpr std::size_t size = 8u << 20;
    connection_fixture connection(responds_with(size), milliseconds(200));
    connection.send(get);
    const std::string response = connection.receive(milliseconds(300), 64u << 10);
    check(response.size() > size, "the caller receives the whole response, not only " +
                                      std::to_string(response.size()) + " bytes");
}

// Guards against a caller that does not learn whether its request was run, because the connection
// is closed without a response when the request arrives too slowly.
Test(caller_connection, slow_request_is_rejected)
{
    section("given half a head", [] {
        connection_fixture connection(responds_with(1));
        connection.send("GET /a/ HTTP/1.1\r\nHost: h\r\n");
        check(connection.receive().starts_with("HTTP/1.1 408"), "the response states a timeout");
    });
    section("given half a body", [] {
        connection_fixture connection(responds_with(1));
        connection.send("POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf");
        check(connection.receive().starts_with("HTTP/1.1 408"), "the response states a timeout");
        check(connection.server.active_requests() == 0, "the request is not active any more");
    });
    section("given an idle connection", [] {
        connection_fixture connection(responds_with(1));
        check(connection.receive(milliseconds(600)).empty() && connection.ended == asio::error::eof,
              "it is closed without a response");
    });
}

// Guards against a request that is dropped because the process did not run while it arrived.
Test(caller_connection, request_that_arrives_while_the_process_does_not_run)
{
    connection_fixture connection(responds_with(1));
    connection.send("GET /a/ HTTP/1.1\r\n");
    connection.run(milliseconds(50));
    connection.send("Host: h\r\nId: 1\r\n\r\n");
    const time_point resume = boot_clock::now() + milliseconds(200);
    while (boot_clock::now() < resume) {
    }
    check(connection.receive().starts_with("HTTP/1.1 200"), "it is served");
}

// Guards against a caller that waits for an interim response before it sends the body, and whose
// request therefore never ends.
Test(caller_connection, announced_body_is_asked_for)
{
    connection_fixture connection(responds_with(1));
    connection.send("POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 4\r\n"
                    "Expect: 100-continue\r\n\r\n");
    connection.run(milliseconds(30));
    std::string part(1000, '\0');
    boost::system::error_code error;
    part.resize(connection.caller.read_some(asio::buffer(part), error));
    check(part == "HTTP/1.1 100 Continue\r\n\r\n", "the server asks for the body: " + part);
    connection.send("body");
    check(connection.receive().starts_with("HTTP/1.1 200"), "the request is served");
}

// Guards against connections that are reset because the port closes before the process has accepted
// them, although the system has.
Test(caller_connection, connection_that_waits_when_the_port_closes)
{
    connection_fixture connection(responds_with(1));
    connection.run(milliseconds(10));
    connection.caller.close();
    connection.caller.connect({asio::ip::make_address("127.0.0.1"), connection.server.port()});
    connection.caller.non_blocking(true);
    connection.send(get);
    connection.server.drain();
    connection.server.stop_accepting();
    const std::string response = connection.receive();
    check(response.starts_with("HTTP/1.1 200"), "the request is answered: " + response);
    check(response.find("Connection: close\r\n") != std::string::npos,
          "the response announces the close");
}

// Guards against a response that is cut off for a caller that reads slowly, because the time for
// the caller's close counts from the last write.
Test(caller_connection, slow_reader_of_the_last_response)
{
    constexpr std::size_t body_size = 900'000;     // bytes
    constexpr std::size_t slow_read_size = 10'000; // bytes
    connection_fixture connection(responds_with(body_size));
    section("given a response that the system has taken for sending", [&] {
        connection.send(get);
        connection.run(milliseconds(50));
        check(connection.server.active_requests() == 0, "it is written");
        connection.server.drain();
        connection.server.close_idle_connections();
    });
    std::size_t received = 0;
    std::string part(slow_read_size, '\0');
    section("when the caller reads slowly for longer than it may take to close", [&] {
        for (int step = 0; step < 30; ++step) {
            connection.run(milliseconds(100));
            boost::system::error_code error;
            received += connection.caller.read_some(asio::buffer(part), error);
        }
        check(connection.server.open_connections() == 1, "the connection stays open");
    });
    section("when it reads the rest", [&] {
        received += connection.receive().size();
        check(received > body_size, "it has the whole response");
        check(connection.ended == asio::error::eof, "the connection ends in order");
    });
}
