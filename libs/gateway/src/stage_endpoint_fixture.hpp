#ifndef QUETZAL_GATEWAY_STAGE_ENDPOINT_FIXTURE_HPP
#define QUETZAL_GATEWAY_STAGE_ENDPOINT_FIXTURE_HPP

// A stage endpoint that keeps its results until they are released or expire. Used only by tests.

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/gateway/stage_protocol.hpp>

namespace quetzal::gateway::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Splits a list of handles of results.
inline std::vector<std::string> split_handles(std::string_view list)
{
    std::vector<std::string> handles;
    while (!list.empty()) {
        const std::size_t end = std::min(list.find(','), list.size());
        handles.emplace_back(list.substr(0, end));
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return handles;
}

inline std::string join_handles(const std::vector<std::string>& handles)
{
    std::string list;
    for (const auto& handle : handles) {
        list += (list.empty() ? "" : ",") + handle;
    }
    return list;
}

// The protocol of `stage_endpoint`: a handle is "NUMBER@IP:PORT", a call has a comma for each
// further piece, and its response and the body of a release are lists of handles.
inline stage_protocol test_stage_protocol()
{
    stage_protocol made;
    made.run_target = "/run";
    made.release_target = "/release";
    made.encode_call = [](const std::vector<called_piece>& pieces, time_point) {
        return std::string(pieces.size() - 1, ',');
    };
    made.decode_call = [](std::string_view body, std::size_t pieces) {
        std::optional<std::vector<piece_outcome>> outcomes;
        const auto handles = split_handles(body);
        if (handles.size() == pieces) {
            outcomes.emplace();
            for (const auto& handle : handles) {
                outcomes->push_back({piece_status::done, handle});
            }
        }
        return outcomes;
    };
    made.encode_release = join_handles;
    made.endpoint_address_of = [](std::string_view handle) {
        return std::string(handle.substr(handle.find('@') + 1));
    };
    return made;
}

class stage_endpoint
{
public:
    // Each call takes `call_time`, and its results are kept for `lifetime` after its end.
    stage_endpoint(asio::io_context& context, duration call_time, duration lifetime)
        : context_(context), acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
          call_time_(call_time), lifetime_(lifetime)
    {
        asio::co_spawn(context_, accept_loop(), asio::detached);
    }

    asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

    // Returns the number of calls that have begun.
    std::size_t calls() const { return calls_; }

    // Whether an engine could fetch each result of the list now.
    bool has_all(std::string_view list) const
    {
        const auto handles = split_handles(list);
        return std::all_of(handles.begin(), handles.end(), [this](const std::string& handle) {
            const auto found = results_.find(handle);
            return found != results_.end() && boot_clock::now() < found->second;
        });
    }

private:
    asio::awaitable<void> accept_loop()
    {
        while (true) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket =
                co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            asio::co_spawn(context_,
                           serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket))),
                           asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<asio::ip::tcp::socket> socket)
    {
        boost::beast::flat_buffer buffer;
        while (true) {
            http::request<http::string_body> call;
            boost::system::error_code error;
            co_await http::async_read(*socket, buffer, call,
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            http::response<http::string_body> response;
            if (call.target() == "/run") {
                ++calls_;
                asio::steady_timer timer(context_, call_time_);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
                response.body() = make_results(call.body().size() + 1);
            } else {
                for (const auto& handle : split_handles(call.body())) {
                    results_.erase(handle);
                }
            }
            response.prepare_payload();
            co_await http::async_write(*socket, response,
                                       asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
        }
    }

    std::string make_results(std::size_t number)
    {
        std::vector<std::string> handles;
        for (std::size_t piece = 0; piece < number; ++piece) {
            handles.push_back(std::to_string(++made_) +
                              "@127.0.0.1:" + std::to_string(address().port()));
            results_[handles.back()] = boot_clock::now() + lifetime_;
        }
        return join_handles(handles);
    }

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    duration call_time_;
    duration lifetime_;
    std::size_t calls_ = 0;
    std::size_t made_ = 0;
    std::map<std::string, time_point> results_; // by handle, with the time at which they expire
};

} // namespace quetzal::gateway::testing

#endif
