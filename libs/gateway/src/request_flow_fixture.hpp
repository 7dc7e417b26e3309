#ifndef QUETZAL_GATEWAY_REQUEST_FLOW_FIXTURE_HPP
#define QUETZAL_GATEWAY_REQUEST_FLOW_FIXTURE_HPP

// A request flow with endpoints on raw sockets that fail in different ways. Used only by tests.

#include <array>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <quetzal/gateway/request_flow.hpp>

#include "test_names.hpp"

namespace quetzal::gateway::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// An endpoint's response to one request: the bytes that it sends, the rest that follows after a
// pause, and whether it closes the connection afterwards.
struct scripted_response
{
    std::string bytes;
    bool close = false;
    bool silent = false; // sends nothing and keeps the connection open
    milliseconds pause{};
    std::string rest{}; // sent after the pause
};

inline std::string response_with(const std::string& id, const std::string& body,
                                 const std::string& status = "200 OK",
                                 const std::string& more = "Sign: s\r\n")
{
    return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string& data)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", data.size());
    return std::string(size.data()) + "\r\n" + data + "\r\n";
}

inline std::string stream_response_head(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSign: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

// Returns the value of a header of a received request, empty if there is none.
inline std::string header_of(const std::string& request, const std::string& name)
{
    const std::size_t line = request.find("\r\n" + name + ": ");
    if (line == std::string::npos) {
        return {};
    }
    const std::size_t begin = line + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

// An endpoint on a raw socket that sends one scripted response per request, in order.
class fake_endpoint
{
public:
    fake_endpoint(asio::io_context& context, std::vector<scripted_response> responses)
        : context_(context), acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
          address_(acceptor_.local_endpoint()),
          script_(std::make_shared<script>(responses.begin(), responses.end()))
    {
        asio::co_spawn(context_, accept_loop(), asio::detached);
    }

    tcp::endpoint address() const { return address_; }
    const std::vector<std::string>& requests() const { return requests_; }

    // From now on the endpoint crashes when it receives a request that contains `text`: it closes
    // its connections and its port.
    void crash_on(std::string text) { crash_text_ = std::move(text); }
    bool has_crashed() const { return crashed_; }

    // From now on both endpoints send the responses of the other one's script in turn, whichever
    // is asked first.
    void share_script(const fake_endpoint& other) { script_ = other.script_; }

    void append(scripted_response response) { script_->push_back(std::move(response)); }

    // From now on the endpoint answers a request that `has_inputs` rejects with 409, as not run,
    // and keeps the scripted response for a later request.
    void require_inputs(std::function<bool(const std::string& request)> has_inputs)
    {
        has_inputs_ = std::move(has_inputs);
    }

private:
    using script = std::deque<scripted_response>;

    asio::awaitable<void> accept_loop()
    {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            asio::co_spawn(context_, serve(std::make_shared<tcp::socket>(std::move(socket))),
                           asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        asio::streambuf buffer;
        while (!script_->empty()) {
            boost::system::error_code error;
            const std::size_t size = co_await asio::async_read_until(
                *socket, buffer, "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            requests_.emplace_back(asio::buffers_begin(buffer.data()),
                                   asio::buffers_begin(buffer.data()) +
                                       static_cast<std::ptrdiff_t>(size));
            buffer.consume(size);
            if (!crash_text_.empty() && requests_.back().find(crash_text_) != std::string::npos) {
                crashed_ = true;
                acceptor_.close();
                open_sockets_.clear();
                co_return;
            }
            if (has_inputs_ && !has_inputs_(requests_.back())) {
                const std::string expired = response_with(header_of(requests_.back(), "Id"), "",
                                                          "409 Conflict", "Not-Run: 1\r\n");
                co_await asio::async_write(*socket, asio::buffer(expired),
                                           asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            const scripted_response next = script_->front();
            script_->pop_front();
            if (next.silent) {
                open_sockets_.push_back(socket);
                co_return;
            }
            co_await asio::async_write(*socket, asio::buffer(next.bytes),
                                       asio::redirect_error(asio::use_awaitable, error));
            if (!next.rest.empty()) {
                asio::steady_timer timer(context_, next.pause);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
                co_await asio::async_write(*socket, asio::buffer(next.rest),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
            if (next.close) {
                co_return;
            }
        }
        open_sockets_.push_back(socket);
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    tcp::endpoint address_;
    std::string crash_text_;
    std::function<bool(const std::string&)> has_inputs_;
    bool crashed_ = false;
    std::shared_ptr<script> script_;
    std::vector<std::string> requests_;
    std::vector<std::shared_ptr<tcp::socket>> open_sockets_; // kept open without sending
};

// Records the response that the flow writes.
class recorded_response final : public response_writer
{
public:
    asio::awaitable<bool> write_response(unsigned status, std::string headers,
                                         std::string body) override
    {
        status_ = status;
        headers_ = std::move(headers);
        body_ = std::move(body);
        co_return true;
    }

    asio::awaitable<bool> write_stream_part(unsigned status, const std::string&, std::string bytes,
                                            bool last) override
    {
        status_ = status;
        stream_started_ = true;
        body_ += bytes;
        complete_ = last;
        co_return true;
    }

    bool has_started_stream() const override { return stream_started_; }
    bool caller_disconnected() override { return caller_disconnected_; }
    void abort_connection() override { connection_aborted_ = true; }

    unsigned status_ = 0;
    std::string headers_;
    std::string body_;
    bool stream_started_ = false;
    bool complete_ = false;
    bool connection_aborted_ = false;
    bool caller_disconnected_ = false;
};

// A gateway with one route, one service and an endpoint for each list of responses.
class gateway_fixture
{
public:
    gateway_fixture(route_kind kind, bool resumable,
                    std::vector<std::vector<scripted_response>> endpoint_responses,
                    retry_budget_options budget = {0.2, 52, std::chrono::seconds(10)},
                    stage_protocol stages = {}, std::uint64_t seed = 1)
        : members({}, self(), boot_clock::now() - std::chrono::seconds(10)), pools({"z", {}, seed}),
          channels(context.get_executor()), peers(context, {"127.0.0.1", 0, 0, {}}, members),
          coordinator(context, view, channels, members, peers, names, std::move(stages), {}),
          flow(context, view, pools, channels, coordinator, members, quarantine, names, budget,
               metrics)
    {
        configuration.version = 1;
        route matched;
        matched.name = "r";
        matched.host = "h";
        matched.prefix = "/a/";
        matched.kind = kind;
        matched.resumable = resumable;
        matched.timeout = milliseconds(700);
        matched.latency_target = milliseconds(100);
        matched.max_attempts = 2;
        matched.services.push_back({"s", 1});
        configuration.routes.push_back(matched);
        service_definition service;
        service.name = "s";
        service.max_connections = 50;
        configuration.services.push_back(service);
        configuration.customers.push_back({"c", {"key"}, {}});
        view.apply(configuration);
        for (auto& responses : endpoint_responses) {
            endpoints.push_back(std::make_unique<fake_endpoint>(context, std::move(responses)));
            quetzal::gateway::endpoint value;
            value.id = "e" + std::to_string(endpoints.size());
            value.service = "s";
            value.zone = "z";
            value.address = endpoints.back()->address();
            view.put_endpoint(value);
        }
        pools.refresh(view, 1, boot_clock::now());
    }

    static member_record self()
    {
        member_record record;
        record.address = "127.0.0.1";
        return record;
    }

    // Serves one request and returns the recorded response.
    recorded_response serve(const std::string& id, const std::string& key = "key",
                            const std::string& target = "/a/x")
    {
        return serve(make_message(id, key, target));
    }

    recorded_response serve(caller_request message)
    {
        recorded_response response;
        request = std::make_shared<running_request>(std::move(message));
        asio::co_spawn(context, flow.serve(request, response), asio::detached);
        const auto ended = flow.ended();
        for (int step = 0; step < 400 && flow.ended() == ended; ++step) {
            context.restart();
            context.run_for(milliseconds(10));
        }
        context.restart();
        context.run_for(milliseconds(5));
        return response;
    }

    static caller_request make_message(const std::string& id, const std::string& key,
                                       const std::string& target)
    {
        caller_request message;
        message.method = "GET";
        message.target = target;
        message.host = "h";
        message.id = id;
        message.key = key;
        message.piece_counts = "1"; // read only on routes with stages
        message.forwarded_headers = "Host: h\r\nId: " + id + "\r\n";
        message.received = boot_clock::now();
        return message;
    }

    std::size_t received_requests() const
    {
        std::size_t number = 0;
        for (const auto& endpoint : endpoints) {
            number += endpoint->requests().size();
        }
        return number;
    }

    asio::io_context context{1};
    header_names names = test_names();
    catalog view;
    published_configuration configuration;
    member_table members;
    telemetry::metrics metrics;
    endpoint_pools pools;
    channel_pool channels;
    part_quarantine quarantine;
    peer_link peers;
    stage_coordinator coordinator;
    request_flow flow;
    std::vector<std::unique_ptr<fake_endpoint>> endpoints;
    std::shared_ptr<running_request> request;
};

} // namespace quetzal::gateway::testing

#endif
