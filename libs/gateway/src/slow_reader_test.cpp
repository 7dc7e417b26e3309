// Tests that an endpoint that cuts off responses which remain unread does not cut off the stream of
// a slow caller, within the bound, and that a stream that is cut off does not end as complete.

#include "request_flow_fixture.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::seconds;

namespace {

constexpr milliseconds unread_limit{700};  // of the endpoint
constexpr milliseconds write_time{1500};   // of the caller, for each part
constexpr int endpoint_buffer_size = 4096; // bytes
constexpr std::size_t event_size = 4u << 10;

std::string large_event(std::size_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(event_size, 'x') + "\n\n";
}

std::string large_events(std::size_t events)
{
    std::string all;
    for (std::size_t number = 0; number < events; ++number) {
        all += large_event(number);
    }
    return all;
}

// An endpoint that resets the connection if the rest of its stream cannot be sent in time.
class impatient_endpoint
{
public:
    impatient_endpoint(asio::io_context& context, std::size_t events)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}), events_(events)
    {
        asio::co_spawn(context, serve(), asio::detached);
    }

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    bool has_cut_off() const { return cut_off_; }

private:
    asio::awaitable<void> serve()
    {
        boost::system::error_code error;
        tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        socket.set_option(asio::socket_base::send_buffer_size(endpoint_buffer_size), error);
        asio::streambuf received;
        co_await asio::async_read_until(socket, received, "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, error));
        std::string bytes = stream_response_head("1");
        for (std::size_t number = 0; number < events_; ++number) {
            bytes += chunk(large_event(number));
        }
        bytes += "0\r\n\r\n";
        asio::steady_timer limit(acceptor_.get_executor(), unread_limit);
        limit.async_wait([&](const boost::system::error_code& cancelled) {
            if (!cancelled) {
                cut_off_ = true;
                boost::system::error_code ignored; // the connection is reset in any case
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
                socket.close(ignored);
            }
        });
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        limit.cancel();
        // The handler of the timer must not run after the end of its captures.
        co_await asio::post(acceptor_.get_executor(), asio::use_awaitable);
    }

    tcp::acceptor acceptor_;
    std::size_t events_;
    bool cut_off_ = false;
};

// A caller that takes its time for every part of a stream.
class slow_caller final : public response_writer
{
public:
    explicit slow_caller(asio::io_context& context) : timer_(context) {}

    asio::awaitable<bool> write_response(unsigned status, std::string, std::string) override
    {
        timer_.expires_after(write_time);
        co_await timer_.async_wait(asio::use_awaitable);
        status_ = status;
        co_return true;
    }

    asio::awaitable<bool> write_stream_part(unsigned, const std::string&, std::string events,
                                            bool last) override
    {
        check(!writing_, "one part is written at a time");
        writing_ = true;
        stream_started_ = true;
        timer_.expires_after(write_time);
        co_await timer_.async_wait(asio::use_awaitable);
        body_ += events;
        complete_ = last;
        writing_ = false;
        co_return true;
    }

    bool has_started_stream() const override { return stream_started_; }
    bool caller_disconnected() override { return false; }
    void abort_connection() override { aborted_ = true; }

    asio::steady_timer timer_;
    unsigned status_ = 0;
    std::string body_;
    bool writing_ = false;
    bool stream_started_ = false;
    bool complete_ = false;
    bool aborted_ = false;
};

// A gateway with a slow caller and an impatient endpoint.
struct slow_gateway
{
    explicit slow_gateway(std::size_t events, milliseconds timeout = seconds(20))
        : gateway(route_kind::stream, false, {{}}), endpoint(gateway.context, events),
          caller(gateway.context)
    {
        gateway.configuration.routes.front().timeout = timeout;
        ++gateway.configuration.version;
        gateway.view.apply(gateway.configuration);
        quetzal::gateway::endpoint first = *gateway.view.find_endpoint("e1");
        first.address = endpoint.address();
        gateway.view.put_endpoint(first);
        gateway.pools.refresh(gateway.view, 1, boot_clock::now());
    }

    void serve()
    {
        auto request =
            std::make_shared<running_request>(gateway_fixture::make_message("1", "key", "/a/x"));
        asio::co_spawn(gateway.context, gateway.flow.serve(request, caller), asio::detached);
        const time_point give_up = boot_clock::now() + seconds(25);
        while (gateway.flow.ended() == 0 && boot_clock::now() < give_up) {
            gateway.context.run_for(milliseconds(10));
            gateway.context.restart();
        }
    }

    gateway_fixture gateway;
    impatient_endpoint endpoint;
    slow_caller caller;
};

} // namespace

// Guards against a stream that its endpoint cuts off because it remains unread while the caller
// takes the first events.
Test(slow_reader, stream_within_the_bound_is_read_on, .timeout = 60)
{
    constexpr std::size_t events = 50;
    slow_gateway played(events);
    played.serve();
    check(!played.endpoint.has_cut_off(), "the endpoint does not wait for the caller");
    check(played.caller.complete_ && played.caller.body_ == large_events(events),
          "the caller gets the whole stream");
}

// Guards against a stream that looks complete although its endpoint has cut it off, and against
// what waits for one slow caller without a bound.
Test(slow_reader, stream_beyond_the_bound_does_not_end_as_complete, .timeout = 60)
{
    constexpr std::size_t events = 4096; // 16 MiB
    slow_gateway played(events);
    played.serve();
    check(played.endpoint.has_cut_off(), "the endpoint cuts the stream off");
    check(!played.caller.complete_ && played.caller.aborted_, "it does not look complete");
    check(!played.caller.body_.empty() && large_events(events).starts_with(played.caller.body_),
          "the caller gets its first events");
}

// Guards against events that are written after the deadline of a request, and against a request
// that does not end then.
Test(slow_reader, deadline_drops_what_waits, .timeout = 60)
{
    slow_gateway played(4096, milliseconds(2000));
    const time_point started = boot_clock::now();
    played.serve();
    check(boot_clock::now() - started < 2 * write_time + seconds(2),
          "the request ends after the write in progress");
    check(!played.caller.complete_ && played.caller.aborted_, "it does not look complete");
}

// Guards against callers that read slowly and thereby keep endpoints from other callers.
Test(slow_reader, an_endpoint_is_free_when_it_has_sent_its_response, .timeout = 60)
{
    const auto play = [](route_kind kind, const std::vector<scripted_response>& responses) {
        gateway_fixture gateway(kind, false, {responses});
        gateway.configuration.routes.front().timeout = seconds(20);
        gateway.configuration.services.front().max_connections = 2;
        ++gateway.configuration.version;
        gateway.view.apply(gateway.configuration);
        gateway.pools.refresh(gateway.view, 1, boot_clock::now());
        slow_caller first(gateway.context);
        slow_caller second(gateway.context);
        const auto serve = [&](const char* id, response_writer& writer) {
            auto request =
                std::make_shared<running_request>(gateway_fixture::make_message(id, "key", "/a/x"));
            asio::co_spawn(gateway.context, gateway.flow.serve(request, writer), asio::detached);
            gateway.context.run_for(milliseconds(100));
            gateway.context.restart();
        };
        serve("1", first);
        serve("2", second);
        check(gateway.received_requests() == 2 && gateway.flow.ended() == 0, "both are written");
        check(gateway.pools.has_free_endpoint(gateway.view, "s", {}, boot_clock::now()),
              "the endpoint accepts a further request meanwhile");
        const recorded_response third = gateway.serve("3");
        check(third.status_ == 200, "which is answered");
        check(gateway.channels.opened_connections() == 1, "on the connection of the others");
        gateway.context.run_for(2 * write_time);
        check(gateway.flow.ended() == 3, "the others end");
        return first.status_ == 200 || first.complete_;
    };
    section("given whole responses", [&] {
        check(
            play(route_kind::idempotent,
                 {{response_with("1", "a")}, {response_with("2", "b")}, {response_with("3", "c")}}),
            "the first caller gets its response");
    });
    section("given streams", [&] {
        const auto stream = [](const std::string& id) {
            return scripted_response{stream_response_head(id) + chunk(event(1)) + "0\r\n\r\n"};
        };
        check(play(route_kind::stream, {stream("1"), stream("2"), stream("3")}),
              "the first caller gets its stream");
    });
}
