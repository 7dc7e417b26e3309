// Tests what the log of a stopping process tells about the requests of its callers' connections.

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <quetzal/gateway/caller_server.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/testing/section.hpp>

#include "logged_text.hpp"
#include "test_names.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds stream_time{150}; // between the first and the last event of a stream

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// How the handler of a test ends a stream.
enum class stream_end
{
    complete,
    closed, // without its end
    never
};

// A server that answers "/stream" with a stream of two events and everything else with a response.
struct stop_fixture
{
    explicit stop_fixture(stream_end how = stream_end::complete)
        : end(how), names(test_names()),
          server(context, {{asio::ip::make_address("127.0.0.1"), 0}, 16, 1000}, view, names,
                 [this](std::shared_ptr<running_request> request, response_writer& writer) {
                     return serve(std::move(request), writer);
                 })
    {
        published_configuration configuration;
        configuration.version = 1;
        configuration.limits.idle_timeout = std::chrono::seconds(5);
        configuration.limits.header_timeout = std::chrono::seconds(5);
        configuration.limits.body_size = 1u << 20;
        view.apply(configuration);
        check(server.start().has_value(), "the server starts listening");
    }

    asio::awaitable<void> serve(std::shared_ptr<running_request> request, response_writer& writer)
    {
        std::string headers;
        if (request->message.path() != "/stream") {
            std::string body = "whole";
            co_await writer.write_response(200, std::move(headers), std::move(body));
            co_return;
        }
        request->phase = request_phase::stream;
        std::string event = "id: 1\n\n";
        co_await writer.write_stream_part(200, headers, std::move(event), false);
        asio::steady_timer timer(context, stream_time);
        if (end == stream_end::never) {
            timer.expires_after(std::chrono::seconds(30));
        }
        request->set_abort_handler([&] { timer.cancel(); });
        boost::system::error_code ignored; // cancelled when the caller leaves
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        request->set_abort_handler({});
        if (request->abort_reason()) {
            request->progress.ended_by_instance = request->abort_reason()->why;
        }
        if (request->abort_reason() || end == stream_end::closed) {
            writer.abort_connection();
            co_return;
        }
        std::string last = "id: 2\n\n";
        co_await writer.write_stream_part(200, headers, std::move(last), true);
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket caller(context);
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        return caller;
    }

    asio::ip::tcp::socket send(const std::string& id, const std::string& path,
                               const std::string& more = "\r\n")
    {
        auto caller = connect();
        send_on(caller, id, path, more);
        return caller;
    }

    static void send_on(asio::ip::tcp::socket& caller, const std::string& id,
                        const std::string& path, const std::string& more = "\r\n")
    {
        const std::string bytes = "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n";
        asio::write(caller, asio::buffer(bytes + more));
    }

    void run(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    // Begins a stop as a process does.
    void drain()
    {
        log_stopping();
        server.drain();
    }

    stream_end end;
    asio::io_context context{1};
    catalog view;
    header_names names;
    caller_server server;
};

std::string outcome_in(const std::string& text, const std::string& request)
{
    const std::string line = line_of(text, "request_ended", request);
    const std::string field = "\"outcome\":\"";
    const auto found = line.find(field);
    if (found == std::string::npos) {
        return "none in " + text;
    }
    const auto begin = found + field.size();
    return line.substr(begin, line.find('"', begin) - begin);
}

} // namespace

// Guards against a process that is killed during its stop while it serves a request, and whose log
// does not name that request.
Test(caller_stop, names_the_requests_in_flight)
{
    const auto text = logged_text([] {
        stop_fixture gateway(stream_end::never);
        const auto stream = gateway.send("s", "/stream");
        const auto reading = gateway.send("b", "/", "Content-Length: 9\r\n\r\nhalf");
        const auto idle = gateway.connect();
        gateway.run(milliseconds(50));
        gateway.drain();
        check(gateway.server.counts().in_flight == 2, "the two requests count");
        gateway.server.log_in_flight();
        check(gateway.server.counts().unfinished() == 2, "none has ended");
    });
    check(contains(line_of(text, "request_in_stop", "s"), "\"phase\":\"stream\""),
          "the stream is named: " + text);
    check(contains(line_of(text, "request_in_stop", "b"), "\"phase\":\"reading\""),
          "the request that is being read is named: " + text);
    check(count_lines(text, "request_in_stop") == 4, "both are named again: " + text);
}

// Guards against a request whose end at a stop leaves no line that names it.
Test(caller_stop, names_the_end_of_every_request)
{
    section("given a complete stream", [] {
        const auto text = logged_text([] {
            stop_fixture gateway;
            auto caller = gateway.send("1", "/stream");
            gateway.run(milliseconds(50));
            gateway.drain();
            gateway.run(stream_time);
            check(gateway.server.counts().with(request_outcome::complete) == 1, "it counts");
            section("whose caller reads it and closes its connection", [&] {
                gateway.server.close_idle_connections();
                gateway.run(milliseconds(20));
                std::string received; // a close with unread bytes would be a reset
                boost::system::error_code end;
                asio::read(caller, asio::dynamic_buffer(received), end);
                check(end == asio::error::eof, "it has the whole response: " + received);
                caller.close();
                gateway.run(milliseconds(50));
            });
        });
        check(outcome_in(text, "1") == "complete", "it is complete: " + outcome_in(text, "1"));
        check(contains(line_of(text, "request_ended", "1"), "\"status\":200"), "with its status");
        check(count_lines(text, "response_confirmed") == 1, "and confirmed: " + text);
        check(count_lines(text, "response_unconfirmed") == 0, "not unconfirmed: " + text);
    });
    section("given a stream whose caller closes its connection unread", [] {
        const auto text = logged_text([] {
            stop_fixture gateway;
            auto caller = gateway.send("1", "/stream");
            gateway.run(milliseconds(50));
            gateway.drain();
            gateway.run(stream_time);
            caller.close();
            gateway.run(milliseconds(50));
        });
        check(outcome_in(text, "1") == "complete", "it is complete: " + outcome_in(text, "1"));
        check(count_lines(text, "response_unconfirmed") == 1, "but not confirmed: " + text);
        check(count_lines(text, "response_confirmed") == 0, "the reset is no confirmation");
    });
    section("given a response to a caller that keeps its connection open", [] {
        const auto text = logged_text([] {
            stop_fixture gateway;
            const auto caller = gateway.connect();
            gateway.run(milliseconds(20));
            gateway.drain();
            asio::ip::tcp::socket other = gateway.send("1", "/");
            gateway.run(milliseconds(50));
        });
        check(outcome_in(text, "1") == "complete", "it is complete: " + outcome_in(text, "1"));
        check(count_lines(text, "response_confirmed") == 0, "but not confirmed: " + text);
    });
    section("given a stream that the instance closes", [] {
        const auto text = logged_text([] {
            stop_fixture gateway(stream_end::closed);
            const auto caller = gateway.send("1", "/stream");
            gateway.run(milliseconds(50));
            gateway.drain();
            gateway.run(stream_time);
        });
        check(outcome_in(text, "1") == "cut", "it is cut: " + outcome_in(text, "1"));
    });
    section("given a caller that leaves", [] {
        const auto text = logged_text([] {
            stop_fixture gateway(stream_end::never);
            auto caller = gateway.send("1", "/stream");
            gateway.run(milliseconds(50));
            gateway.drain();
            caller.close();
            gateway.run(milliseconds(50));
        });
        check(outcome_in(text, "1") == "caller_left", "it is named: " + outcome_in(text, "1"));
    });
    section("given a caller that leaves within its request", [] {
        const auto text = logged_text([] {
            stop_fixture gateway;
            auto caller = gateway.send("1", "/", "Content-Length: 9\r\n\r\nhalf");
            gateway.run(milliseconds(50));
            gateway.drain();
            caller.close();
            gateway.run(milliseconds(50));
        });
        check(outcome_in(text, "1") == "caller_left", "it is named: " + outcome_in(text, "1"));
    });
    section("given a body that finds no memory", [] {
        const auto text = logged_text([] {
            stop_fixture gateway;
            gateway.drain();
            const std::string body(1001, 'x');
            const auto caller = gateway.send("1", "/", "Content-Length: 1001\r\n\r\n" + body);
            gateway.run(milliseconds(50));
        });
        check(outcome_in(text, "1") == "refused", "it is refused: " + outcome_in(text, "1"));
    });
    section("given a process that does not stop", [] {
        const auto text = logged_text([] {
            stop_fixture gateway;
            const auto caller = gateway.send("1", "/");
            gateway.run(milliseconds(50));
        });
        check(count_lines(text, "request_ended") == 0, "no line is written");
    });
}

// Guards against counts of a stop that hide a request without an end.
Test(caller_stop, counts_balance)
{
    stop_fixture gateway(stream_end::never);
    auto leaving = gateway.send("1", "/stream");
    const auto staying = gateway.send("2", "/stream");
    auto reading = gateway.send("3", "/", "Content-Length: 4\r\n\r\nha");
    gateway.run(milliseconds(50));
    gateway.drain();
    leaving.close();
    asio::write(reading, asio::buffer(std::string("lf")));
    const auto later = gateway.send("4", "/");
    const auto malformed = gateway.send("5", "/", "Id: 6\r\n\r\n");
    gateway.run(milliseconds(50));
    const stop_counts counts = gateway.server.counts();
    check(counts.in_flight == 3, "three were there: " + std::to_string(counts.in_flight));
    check(counts.received == 2, "two came later: " + std::to_string(counts.received));
    check(counts.with(request_outcome::complete) == 2, "two are complete");
    check(counts.with(request_outcome::caller_left) == 1, "a caller has left");
    check(counts.with(request_outcome::refused) == 1, "the malformed one is refused");
    check(counts.with(request_outcome::cut) + counts.with(request_outcome::not_written) == 0,
          "nothing else");
    check(counts.unfinished() == 1 && gateway.server.active_requests() == 1,
          "the one that is left is being served");
}
