#include <memory>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <quetzal/gateway/caller_server.hpp>
#include <quetzal/gateway/machine_budget.hpp>
#include <quetzal/testing/section.hpp>

#include "test_names.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::gateway::testing::test_names;
using quetzal::testing::check;
using quetzal::testing::section;
namespace asio = boost::asio;

namespace {

published_configuration configuration(std::uint64_t version, duration idle)
{
    published_configuration value;
    value.version = version;
    value.limits.idle_timeout = idle;
    return value;
}

// A server that responds to every request with the body of the request, and one connection to it.
struct server_fixture
{
    explicit server_fixture(std::size_t body_memory = 1u << 20,
                            std::shared_ptr<memory_ledger> memory = {}, listen_options listen = {})
        : names(test_names()),
          server(context,
                 {{asio::ip::make_address("127.0.0.1"), 0},
                  16,
                  body_memory,
                  std::chrono::seconds(5),
                  std::move(memory),
                  listen},
                 view, names,
                 [this](std::shared_ptr<running_request> request,
                        response_writer& writer) -> asio::awaitable<void> {
                     ++served;
                     std::string headers;
                     std::string body = request->message.body;
                     co_await writer.write_response(200, std::move(headers), std::move(body));
                 })
    {
        view.apply(configuration(1, std::chrono::seconds(5)));
        check(server.start().has_value(), "the server starts listening");
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    }

    void run(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    // Sends bytes and returns the bytes received within `time`.
    std::string exchange(const std::string& bytes,
                         std::chrono::milliseconds time = std::chrono::milliseconds(60))
    {
        boost::system::error_code error;
        asio::write(caller, asio::buffer(bytes), error);
        run(time);
        std::string response(caller.available(error), '\0');
        const std::size_t size = caller.read_some(asio::buffer(response), error);
        response.resize(response.empty() ? 0 : size);
        return response;
    }

    asio::io_context context{1};
    catalog view;
    header_names names;
    int served = 0;
    caller_server server;
    asio::ip::tcp::socket caller{context};
};

const std::string get = "GET /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";

bool is_success(const std::string& response)
{
    return response.starts_with("HTTP/1.1 200");
}

} // namespace

Test(caller_server, configuration_change_keeps_idle_connections)
{
    section("given an idle connection", [] {
        server_fixture connection;
        check(is_success(connection.exchange(get)), "the first request is served");
        section("when several configurations replace one another", [&] {
            // Objects of the same size reuse the memory of replaced configurations, so that a read
            // of freed memory yields timeouts of zero.
            published_configuration zero;
            zero.limits.header_timeout = zero.limits.idle_timeout = duration::zero();
            std::vector<std::shared_ptr<const published_configuration>> reused;
            for (std::uint64_t version = 2; version < 6; ++version) {
                connection.view.apply(configuration(version, std::chrono::seconds(5)));
                for (int copies = 0; copies < 16; ++copies) {
                    reused.push_back(std::make_shared<const published_configuration>(zero));
                }
                connection.run(std::chrono::milliseconds(5));
            }
            section("then the next request is served with valid timeouts", [&] {
                // Guards against a reference to the replaced limits, which makes the server close
                // the connection after a timeout read from freed memory.
                check(is_success(connection.exchange(get)), "the second request is served");
                check(is_success(connection.exchange(get)), "the third request is served");
            });
        });
    });
}

Test(caller_server, ambiguous_framing_is_rejected)
{
    section("given a request whose body length is ambiguous or invalid", [] {
        for (const std::string framing :
             {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n",
              "Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: +3\r\n"})
        {
            server_fixture connection;
            const std::string response = connection.exchange(
                "POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n" + framing +
                "\r\n0\r\n\r\nGET /smuggled/ HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n");
            section("then no part of it is served: " + framing, [&] {
                check(connection.served == 0, "no request reaches the handler");
                check(response.empty() || response.starts_with("HTTP/1.1 400"),
                      "the request is rejected");
            });
        }
    });
}

Test(caller_server, sequential_requests_on_one_connection)
{
    section("given two pipelined requests", [] {
        server_fixture connection;
        const std::string response = connection.exchange(
            "POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\n\r\n" +
            get);
        section("then both receive a response", [&] {
            check(connection.served == 2, "both requests are served");
            check(response.find("\r\n\r\nabc") != std::string::npos,
                  "the chunks of the body are joined");
        });
    });
    section("given a body larger than the limit", [] {
        server_fixture connection;
        const std::string response =
            connection.exchange("POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: "
                                "99999999\r\n\r\n");
        check(response.starts_with("HTTP/1.1 413"),
              "the request is rejected before memory is allocated");
    });
}

// Guards against a stop that resets requests unread: they have arrived on accepted connections
// while the process was held up, and no request is being served.
Test(caller_server, requests_that_wait_to_be_read_are_not_overlooked)
{
    section("given a request that arrives while the process is held up", [] {
        server_fixture connection;
        connection.run(std::chrono::milliseconds(20));
        asio::write(connection.caller, asio::buffer(get));
        asio::ip::tcp::socket queued(connection.context);
        queued.connect({asio::ip::make_address("127.0.0.1"), connection.server.port()});
        asio::write(queued, asio::buffer(get));
        connection.server.drain();
        connection.server.stop_accepting();
        section("when the port has been closed", [&] {
            check(connection.server.active_requests() == 0, "no request is being served");
            check(connection.server.has_unread_requests(), "the unread requests are known");
        });
        section("when the process runs again", [&] {
            connection.run(std::chrono::milliseconds(60));
            check(connection.served == 2, "the open and the queued connection are served");
            check(!connection.server.has_unread_requests(), "nothing is left to be read");
        });
        section("when a caller sends bytes after its last response", [&] {
            asio::write(queued, asio::buffer(get));
            check(!connection.server.has_unread_requests(), "they do not hold up the stop");
        });
    });
}

// Guards against a process that exits while its last responses are on their way: it takes them for
// delivered when it has written them.
Test(caller_server, connections_stay_open_until_their_callers_close)
{
    const auto end_of_stream = [](asio::ip::tcp::socket& caller) {
        char byte = 0;
        boost::system::error_code error;
        caller.non_blocking(true);
        caller.read_some(asio::buffer(&byte, 1), error);
        return error;
    };
    section("given an idle connection that may be used again", [&] {
        server_fixture connection;
        check(is_success(connection.exchange(get)), "its request is served");
        connection.server.drain();
        connection.server.close_idle_connections();
        connection.run(std::chrono::milliseconds(50));
        section("as long as the caller has not closed it", [&] {
            check(end_of_stream(connection.caller) == asio::error::eof,
                  "the caller sees the end after the last response");
            check(connection.server.open_connections() == 1, "the connection counts as open");
        });
        section("when the caller has closed it", [&] {
            connection.caller.close();
            connection.run(std::chrono::milliseconds(50));
            check(connection.server.open_connections() == 0, "no connection is left");
        });
    });
    section("given a request that crosses the close", [&] {
        server_fixture connection;
        check(is_success(connection.exchange(get)), "the first request is served");
        connection.server.close_idle_connections();
        const std::string response = connection.exchange(get);
        check(connection.served == 1 && response.empty(), "it is not read");
        check(connection.server.open_connections() == 0, "the connection is closed at once");
    });
    section("given a request that has arrived before the close", [&] {
        server_fixture connection;
        connection.run(std::chrono::milliseconds(20));
        asio::write(connection.caller, asio::buffer(get));
        connection.server.drain();
        connection.server.close_idle_connections();
        connection.run(std::chrono::milliseconds(50));
        check(connection.served == 1, "it is served");
        check(connection.server.open_connections() == 1,
              "the connection stays open until the caller has the response");
    });
    section("given a caller that never closes", [&] {
        server_fixture connection;
        check(is_success(connection.exchange(get)), "its request is served");
        connection.server.close_idle_connections();
        connection.run(std::chrono::milliseconds(2300));
        check(connection.server.open_connections() == 0, "the connection is closed after 2 s");
    });
}

// Guards against a ledger that refuses the largest body that the configuration allows while the
// instance has nothing else to do, at the memory of the smallest machines.
Test(caller_server, the_largest_body_is_served_in_calm)
{
    constexpr std::size_t machine_memory = 160u << 20; // bytes
    const std::size_t size = caller_limits{}.body_size;
    const auto answer_size = [&](const std::string& text) {
        memory_limits limits;
        const machine_budget budget = divide_machine(machine_memory, 4100);
        limits.total = budget.ledger;
        server_fixture connection(machine_memory / 3, std::make_shared<memory_ledger>(limits),
                                  {budget.callers.backlog, budget.callers.receive_buffer});
        connection.caller.non_blocking(true);
        std::size_t sent = 0;
        std::string response;
        for (int turn = 0; turn < 2000 && response.size() < size; ++turn) {
            boost::system::error_code error; // nothing can be sent or read now
            sent += connection.caller.write_some(
                asio::buffer(text.data() + sent, text.size() - sent), error);
            std::string part(connection.caller.available(error), '\0');
            part.resize(connection.caller.read_some(asio::buffer(part), error));
            response += part;
            connection.run(std::chrono::milliseconds(2));
        }
        check(is_success(response), "it is served: " + response.substr(0, 100));
    };
    const std::string head = "POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n";
    section("given a body with a length", [&] {
        answer_size(head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
                    std::string(size, 'a'));
    });
    section("given chunks", [&] {
        std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t rest = size; rest > 0; rest -= 4096) {
            text += "1000\r\n" + std::string(4096, 'a') + "\r\n";
        }
        answer_size(text + "0\r\n\r\n");
    });
}

// Guards against bytes that the kernel holds without a charge, and against long bodies that are
// read too slowly because the kernel receives little ahead while the instance is held up.
Test(caller_server, a_long_body_gets_a_larger_receive_buffer)
{
    constexpr std::size_t large_buffer = 64u << 10; // bytes
    const auto charged_during_body = [&](std::size_t used_otherwise) {
        memory_limits limits;
        limits.total = 1u << 20;
        const auto memory = std::make_shared<memory_ledger>(limits);
        server_fixture connection(1u << 20, memory, {16, 8 << 10});
        check(memory->take(used_otherwise, boot_clock::now()), "there is room");
        const std::string head = "POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n";
        const std::string part = head + "Content-Length: 100000\r\n\r\n" + std::string(1000, 'a');
        asio::write(connection.caller, asio::buffer(part));
        connection.run(std::chrono::milliseconds(50));
        return memory->used() - used_otherwise;
    };
    const std::size_t calm = charged_during_body(0);
    section("in calm", [&] { check(calm > 100000 + large_buffer, "it is charged"); });
    section("while half of the memory is in use", [&] {
        const std::size_t pressed = charged_during_body(512u << 10);
        check(pressed > 100000, "the body is read all the same");
        check(pressed + large_buffer <= calm, "the buffer stays small");
    });
}

// Guards against a request that is read without memory for it, or whose refusal does not tell that
// it has not run.
Test(caller_server, a_body_without_memory_is_refused)
{
    memory_limits limits;
    limits.total = 256u << 10;
    server_fixture connection(1u << 20, std::make_shared<memory_ledger>(limits));
    std::string text = "POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n";
    const auto response = connection.exchange(text + "Transfer-Encoding: chunked\r\n\r\n40000\r\n" +
                                              std::string(0x40000, 'a'));
    check(response.starts_with("HTTP/1.1 503"), response);
    check(response.find("Retry-After: 0.5\r\n") != std::string::npos, response);
    check(response.find("Connection: close\r\n") != std::string::npos, response);
    check(connection.served == 0, "it has not run");
}
