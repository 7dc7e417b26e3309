// Tests that a response without a length, which ends with its connection, is whole only if the
// connection was not reset and its endpoint has received the whole request.

#include "request_flow_fixture.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::seconds;

namespace {

// How an endpoint goes on after it has answered the head of a request.
enum class ending
{
    reset,
    close_with_unread_bytes, // the kernel sends a reset
    end_then_reset,          // ends its side, and resets the connection after a pause
    end_after_pause,         // ends its side after a pause, and reads the rest of the request
    end_then_read            // ends its side, and reads the rest of the request after a pause
};

constexpr milliseconds pause_before_end{200};
constexpr int receive_buffer_size = 4096; // bytes; the rest of a long request stays unacknowledged

// An endpoint that answers each request as soon as it has received its head.
class early_endpoint
{
public:
    early_endpoint(asio::io_context& context, std::string answer, ending then)
        : acceptor_(context), answer_(std::move(answer)), then_(then)
    {
        const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
        acceptor_.open(any.protocol());
        acceptor_.set_option(asio::socket_base::receive_buffer_size(receive_buffer_size));
        acceptor_.bind(any);
        acceptor_.listen();
        asio::co_spawn(context, accept_loop(), asio::detached);
    }

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    int requests() const { return requests_; }

private:
    asio::awaitable<void> accept_loop()
    {
        boost::system::error_code error;
        while (!error) {
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (!error) {
                asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
            }
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::system::error_code error;
        asio::streambuf received(4096);
        co_await asio::async_read_until(socket, received, "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        ++requests_;
        co_await asio::async_write(socket, asio::buffer(answer_),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (then_ == ending::end_then_reset || then_ == ending::end_then_read) {
            socket.shutdown(tcp::socket::shutdown_send, error);
        }
        if (then_ != ending::reset && then_ != ending::close_with_unread_bytes) {
            asio::steady_timer timer(acceptor_.get_executor(), pause_before_end);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        if (then_ == ending::end_after_pause) {
            socket.shutdown(tcp::socket::shutdown_send, error);
        }
        if (then_ == ending::end_after_pause || then_ == ending::end_then_read) {
            std::array<char, 4096> discarded{};
            while (!error) {
                co_await socket.async_read_some(asio::buffer(discarded),
                                                asio::redirect_error(asio::use_awaitable, error));
            }
            co_return;
        }
        if (then_ != ending::close_with_unread_bytes) {
            socket.set_option(asio::socket_base::linger(true, 0), error);
        }
        socket.close(error);
    }

    tcp::acceptor acceptor_;
    std::string answer_;
    ending then_;
    int requests_ = 0;
};

// A gateway whose first endpoint answers early. The second one, if any, sends `other`.
struct early_gateway
{
    early_gateway(route_kind kind, const std::string& answer, ending then,
                  const std::vector<scripted_response>& other = {}, std::uint64_t seed = 1)
        : gateway(kind, kind == route_kind::stream && !other.empty(), endpoints(other),
                  {0.2, 52, std::chrono::seconds(10)}, {}, seed),
          early(gateway.context, answer, then)
    {
        gateway.configuration.routes.front().timeout = seconds(4);
        ++gateway.configuration.version;
        gateway.view.apply(gateway.configuration);
        quetzal::gateway::endpoint first = *gateway.view.find_endpoint("e1");
        first.address = early.address();
        gateway.view.put_endpoint(first);
        gateway.pools.refresh(gateway.view, 1, boot_clock::now());
    }

    static std::vector<std::vector<scripted_response>>
    endpoints(const std::vector<scripted_response>& other)
    {
        std::vector<std::vector<scripted_response>> all(1);
        if (!other.empty()) {
            all.push_back(other);
        }
        return all;
    }

    recorded_response upload(std::size_t size)
    {
        caller_request message = gateway_fixture::make_message("1", "key", "/a/x");
        message.method = "POST";
        message.body = std::string(size, 'x');
        return gateway.serve(std::move(message));
    }

    gateway_fixture gateway;
    early_endpoint early;
};

const std::string unframed_head = "HTTP/1.1 200 OK\r\nId: 1\r\nSign: s\r\n\r\n";
const std::string part = unframed_head + "part";
const std::string part_of_stream = unframed_head + event(0);
// None, one that fits into the buffers of the kernel, and one that is still being written.
constexpr std::array<std::size_t, 3> upload_sizes{1, 40u << 10, 16u << 20};
// The second endpoint reads only as much as the buffers of the kernel hold.
constexpr std::size_t readable_upload_size = 40u << 10;
constexpr std::array<ending, 3> resets{ending::reset, ending::close_with_unread_bytes,
                                       ending::end_then_reset};

std::string name_of(std::size_t size, ending then)
{
    return std::to_string(size) + " bytes, ending " + std::to_string(static_cast<int>(then));
}

// Whether the endpoint ends an upload of `size` bytes with a reset. If it has received everything,
// the end of its side is the end of the response.
bool resets_within(std::size_t size, ending then)
{
    return size > receive_buffer_size || then == ending::reset;
}

} // namespace

// Guards against a part of a response that is forwarded as a whole one: its endpoint answered
// before it had read the request, and reset the connection.
Test(reset_response, part_of_a_response_is_not_taken_for_a_whole_one, .timeout = 120)
{
    for (const std::size_t size : upload_sizes) {
        for (const ending then : resets) {
            if (!resets_within(size, then)) {
                continue;
            }
            section("given a request that may run once", [&] {
                early_gateway played(route_kind::non_idempotent, part, then);
                const auto response = played.upload(size);
                check(played.early.requests() == 1, "it is not run again: " + name_of(size, then));
                check(response.status_ == 502 && response.body_.find("part") == std::string::npos,
                      "the caller gets a failure, not status " + std::to_string(response.status_) +
                          ": " + name_of(size, then));
            });
            section("given an error with a signature", [&] {
                const std::string error = "HTTP/1.1 500 Error" + part.substr(part.find("\r\n"));
                early_gateway played(route_kind::non_idempotent, error, then);
                check(played.upload(size).status_ == 502,
                      "a part of it is not forwarded: " + name_of(size, then));
            });
            if (size > readable_upload_size) {
                continue;
            }
            section("given an idempotent request", [&] {
                early_gateway played(route_kind::idempotent, part, then,
                                     {{response_with("1", "whole")}});
                const auto response = played.upload(size);
                check(response.status_ == 502 || response.body_ == "whole",
                      "the caller gets a failure or the whole body of another run: " +
                          name_of(size, then));
            });
        }
    }
}

// Guards against a stream that ends as if it were complete, after the events that arrived before
// its connection was reset.
Test(reset_response, part_of_a_stream_is_not_taken_for_a_whole_one, .timeout = 120)
{
    for (const std::size_t size : upload_sizes) {
        for (const ending then : resets) {
            if (!resets_within(size, then)) {
                continue;
            }
            section("given a stream that cannot be resumed", [&] {
                early_gateway played(route_kind::stream, part_of_stream, then);
                const auto response = played.upload(size);
                check(!response.complete_, "it does not end as complete: " + name_of(size, then));
                check(response.status_ != 200 || response.connection_aborted_,
                      "the connection is closed: " + name_of(size, then));
            });
            if (size > readable_upload_size) {
                continue;
            }
            section("given a stream that another endpoint can resume", [&] {
                const scripted_response rest{stream_response_head("1") + chunk(event(1)) +
                                             "0\r\n\r\n"};
                early_gateway played(route_kind::stream, part_of_stream, then, {rest});
                const auto response = played.upload(size);
                check(!response.complete_ || response.body_.ends_with(event(1)),
                      "it is complete only with the events of the other endpoint: " +
                          name_of(size, then));
            });
        }
    }
    section("given a reset by the endpoint that resumes a stream", [] {
        const scripted_response interrupted{stream_response_head("1") + chunk(event(0)), true};
        const std::string rest = unframed_head + event(1);
        int resumed = 0;
        // The seed decides which endpoint is tried first.
        for (std::uint64_t seed = 1; seed <= 8 && resumed == 0; ++seed) {
            early_gateway played(route_kind::stream, rest, ending::end_then_reset, {interrupted},
                                 seed);
            const auto response = played.upload(40u << 10);
            if (played.early.requests() == 1 && response.body_.starts_with(event(0))) {
                ++resumed;
                check(!response.complete_, "it does not end as complete: " + response.body_);
            }
        }
        check(resumed > 0, "a stream is resumed");
    });
}

// Guards against the opposite mistake: a whole response without a length that counts as lost.
Test(reset_response, whole_response_without_length_is_forwarded, .timeout = 60)
{
    for (const std::size_t size : upload_sizes) {
        for (const ending then : {ending::end_after_pause, ending::end_then_read}) {
            early_gateway played(route_kind::non_idempotent, part, then);
            const auto response = played.upload(size);
            check(response.status_ == 200 && response.body_ == "part",
                  "the response is forwarded, not status " + std::to_string(response.status_) +
                      ": " + name_of(size, then));
            early_gateway streamed(route_kind::stream, part_of_stream, then);
            const auto events = streamed.upload(size);
            check(events.complete_ && events.body_ == event(0),
                  "the stream is complete: " + name_of(size, then));
        }
    }
}
