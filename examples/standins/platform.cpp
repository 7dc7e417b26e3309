#include "platform.hpp"

#include <fstream>
#include <sstream>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace quetzal::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using net::http_request;
using net::http_response;
using net::json_response;
using net::response_stream;

namespace {

constexpr duration file_poll_interval = std::chrono::milliseconds(20);
constexpr duration longest_wait = std::chrono::seconds(60);

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

// Returns the number under `name` of a JSON object, or 0 when the text is not complete yet.
std::uint64_t number_in(const std::string& text, std::string_view name)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return 0;
    }
    const auto* found = value.get_object().if_contains(name);
    return found == nullptr ? 0 : found->to_number<std::uint64_t>(error);
}

std::uint64_t query_number(const http_request& request, std::string_view name)
{
    const auto text = request.parameter(name);
    return text ? std::strtoull(text->c_str(), nullptr, 10) : 0;
}

class platform
{
public:
    platform(asio::io_context& context, platform_options options)
        : context_(context), options_(std::move(options))
    {
    }

    asio::awaitable<void> handle(const http_request& request, response_stream& response)
    {
        ++calls_;
        if (request.path == "/control") {
            auto answer = control(request);
            co_await response.send(std::move(answer));
            co_return;
        }
        co_await pause(lag_);
        if (request.path == "/v1/config") {
            if (!config_down_) {
                co_await watch(request, response, options_.config_file, "version");
            }
        } else if (request.path == "/v1/instances") {
            if (!instances_down_) {
                co_await watch(request, response, options_.instances_file, "revision");
            }
        } else if (request.path.starts_with("/v1/weights/")) {
            auto answer = weights(request);
            co_await response.send(std::move(answer));
        } else {
            auto answer = json_response(404, R"({"detail":"no such path"})");
            co_await response.send(std::move(answer));
        }
    }

private:
    asio::awaitable<void> pause(duration time)
    {
        if (time > duration::zero()) {
            asio::steady_timer timer(context_, time);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<void> watch(const http_request& request, response_stream& response,
                                const std::string& file, std::string_view version_name)
    {
        const std::uint64_t after = query_number(request, "after");
        const duration wait = std::min<duration>(
            std::chrono::milliseconds(query_number(request, "wait")), longest_wait);
        const auto until = boot_clock::now() + wait;
        while (true) {
            if (config_down_ && version_name == "version") {
                co_return; // closes the connection without an answer
            }
            std::string text = read_file(file);
            if (number_in(text, version_name) > after) {
                auto answer = json_response(200, std::move(text));
                co_await response.send(std::move(answer));
                co_return;
            }
            if (boot_clock::now() >= until) {
                const http_response unchanged{304, {}, {}};
                co_await response.send(unchanged);
                co_return;
            }
            co_await pause(file_poll_interval);
        }
    }

    http_response weights(const http_request& request)
    {
        const auto now = boot_clock::now();
        const std::chrono::duration<double> gap(1.0 / options_.weight_loads_per_second);
        if (now < next_load_) {
            return {429, {{"Retry-After", "1"}}, {}};
        }
        next_load_ = now + std::chrono::duration_cast<duration>(gap);
        return json_response(
            200, json::serialize(json::object{
                     {"model", request.path.substr(std::string("/v1/weights/").size())}}));
    }

    http_response control(const http_request& request)
    {
        boost::system::error_code error;
        const json::value value = json::parse(request.body, error);
        if (!error && value.is_object()) {
            const auto& object = value.get_object();
            if (const auto* down = object.if_contains("config_down")) {
                config_down_ = down->as_bool();
            }
            if (const auto* down = object.if_contains("instances_down")) {
                instances_down_ = down->as_bool();
            }
            if (const auto* file = object.if_contains("config_file")) {
                options_.config_file = std::string(file->as_string());
            }
            if (const auto* lag = object.if_contains("lag_ms")) {
                lag_ = std::chrono::milliseconds(lag->to_number<int>());
            }
        }
        return json_response(200, json::serialize(json::object{{"calls", calls_}}));
    }

    asio::io_context& context_;
    platform_options options_;
    std::uint64_t calls_ = 0;
    bool config_down_ = false;
    bool instances_down_ = false;
    duration lag_{};
    time_point next_load_{};
};

} // namespace

net::http_handler make_platform(asio::io_context& context, platform_options options)
{
    auto served = std::make_shared<platform>(context, std::move(options));
    return [served](const http_request& request, response_stream& response) {
        return served->handle(request, response);
    };
}

} // namespace quetzal::standins
