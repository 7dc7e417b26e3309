#include <memory>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
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

namespace {

published_configuration configuration(std::uint64_t version, duration idle)
{
    published_configuration value;
    value.version = version;
    value.limits.idle_timeout = idle;
    return value;
}

// A server that answers every request with its body, and one caller's connection to it.
struct served_connection
{
    served_connection()
        : names(test_names()),
          server(context, {{asio::ip::make_address("127.0.0.1"), 0}, 16, 1u << 20}, view, names,
                 [this](std::shared_ptr<running_request> request,
                        answer_writer& answer) -> asio::awaitable<void> {
                     ++served;
                     std::string headers;
                     std::string body = request->message.body;
                     co_await answer.whole(200, std::move(headers), std::move(body));
                 })
    {
        view.take(configuration(1, std::chrono::seconds(5)));
        check(server.start().has_value(), "the server listens");
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    }

    void run(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    // Sends bytes and returns what came back within the time.
    std::string exchange(const std::string& bytes,
                         std::chrono::milliseconds time = std::chrono::milliseconds(60))
    {
        boost::system::error_code error;
        asio::write(caller, asio::buffer(bytes), error);
        run(time);
        std::string answer(caller.available(error), '\0');
        const std::size_t size = caller.read_some(asio::buffer(answer), error);
        answer.resize(answer.empty() ? 0 : size);
        return answer;
    }

    asio::io_context context{1};
    catalog view;
    header_names names;
    int served = 0;
    caller_server server;
    asio::ip::tcp::socket caller{context};
};

const std::string get = "GET /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";

bool is_success(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 200");
}

} // namespace

Test(caller_server, a_new_configuration_while_a_connection_is_idle)
{
    section("given an idle connection", [] {
        served_connection connection;
        check(is_success(connection.exchange(get)), "the first request is served");
        section("when several configurations replace each other", [&] {
            // Objects of the same size take the memory of replaced configurations, so that a read
            // of it finds timeouts of zero.
            published_configuration zero;
            zero.limits.header_timeout = zero.limits.idle_timeout = duration::zero();
            std::vector<std::shared_ptr<const published_configuration>> reused;
            for (std::uint64_t version = 2; version < 6; ++version) {
                connection.view.take(configuration(version, std::chrono::seconds(5)));
                for (int copies = 0; copies < 16; ++copies) {
                    reused.push_back(std::make_shared<const published_configuration>(zero));
                }
                connection.run(std::chrono::milliseconds(5));
            }
            section("then the next request is served with valid timeouts", [&] {
                // The loop of the connection once kept a reference to the replaced limits, and
                // closed the connection at a timeout read from freed memory.
                check(is_success(connection.exchange(get)), "the second request is served");
                check(is_success(connection.exchange(get)), "the third request is served");
            });
        });
    });
}

Test(caller_server, ambiguous_framing_is_refused)
{
    section("given a request whose body length can be read in two ways", [] {
        for (const std::string framing :
             {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n",
              "Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: +3\r\n"})
        {
            served_connection connection;
            const std::string answer = connection.exchange(
                "POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n" + framing +
                "\r\n0\r\n\r\nGET /smuggled/ HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n");
            section("then nothing of it is served: " + framing, [&] {
                check(connection.served == 0, "no request reached the handler");
                check(answer.empty() || answer.starts_with("HTTP/1.1 400"), "it is refused");
            });
        }
    });
}

Test(caller_server, requests_in_a_row_on_one_connection)
{
    section("given two requests sent at once", [] {
        served_connection connection;
        const std::string answer = connection.exchange(
            "POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\n\r\n" +
            get);
        section("then both are answered, the body whole", [&] {
            check(connection.served == 2, "both are served");
            check(answer.find("\r\n\r\nabc") != std::string::npos, "the chunks are joined");
        });
    });
    section("given a body above the limit", [] {
        served_connection connection;
        const std::string answer =
            connection.exchange("POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: "
                                "99999999\r\n\r\n");
        check(answer.starts_with("HTTP/1.1 413"), "it is refused before memory is taken");
    });
}
