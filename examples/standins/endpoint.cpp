#include "endpoint.hpp"

#include <map>
#include <set>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <quetzal/base/digest.hpp>
#include <quetzal/base/random.hpp>

namespace quetzal::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using net::http_request;
using net::http_response;
using net::json_response;
using net::response_stream;

namespace {

constexpr duration slot_poll_interval = std::chrono::milliseconds(2);
constexpr std::uint32_t cold_slowdown = 4; // a cold endpoint takes so many times its service time

std::string header(const http_request& request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(""));
}

// The part of a call identity that names the request: everything before the last two separators.
std::string request_of(const std::string& call)
{
    const auto attempt = call.rfind('-');
    const auto stage = attempt == std::string::npos ? attempt : call.rfind('-', attempt - 1);
    return call.substr(0, stage);
}

std::string frame(const std::string& call, std::uint64_t sequence, const std::string& data)
{
    return json::serialize(json::object{{"call", call}, {"seq", sequence}, {"data", data}}) + "\n";
}

std::string end_frame(const std::string& call, std::uint64_t frames)
{
    return json::serialize(json::object{{"call", call}, {"end", true}, {"frames", frames}}) + "\n";
}

// Returns the request text of a run body {"request":"...","results":{...}}, or the body itself.
std::string request_text(const std::string& body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (!error && value.is_object()) {
        if (const auto* text = value.get_object().if_contains("request");
            text != nullptr && text->is_string())
        {
            return std::string(text->get_string());
        }
    }
    return body;
}

class endpoint
{
public:
    endpoint(asio::io_context& context, endpoint_options options)
        : context_(context), options_(std::move(options)), random_(stable_seed(options_.name)),
          incarnation_(static_cast<std::uint64_t>(wall_now().time_since_epoch().count()))
    {
    }

    asio::awaitable<void> handle(const http_request& request, response_stream& response)
    {
        saw_key_ = saw_key_ || request.headers.find("Authorization").has_value();
        if (request.path == "/v1/run" && request.method == "POST") {
            co_await run(request, response);
        } else {
            auto message = respond(request);
            co_await response.send(std::move(message));
        }
    }

private:
    static std::uint64_t stable_seed(const std::string& name)
    {
        return std::hash<std::string>{}(name);
    }

    http_response respond(const http_request& request)
    {
        if (request.path.starts_with("/v1/run/") && request.method == "DELETE") {
            cancelled_.insert(request.path.substr(std::string("/v1/run/").size()));
            return {204, {}, {}};
        }
        if (request.path == "/v1/load") {
            return load();
        }
        if (request.path == "/v1/orders" && request.method == "POST") {
            return order(request);
        }
        if (request.path == "/v1/cache-events") {
            return json_response(200, R"({"next":0,"events":[]})");
        }
        if (request.path == "/control") {
            return control(request);
        }
        return json_response(404, R"({"detail":"no such path"})");
    }

    bool warm() const { return finished_since_cold_ >= options_.warm_after; }

    asio::awaitable<void> pause(duration time)
    {
        asio::steady_timer timer(context_, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> run(const http_request& request, response_stream& response)
    {
        const std::string call = header(request, "Quetzal-Call-Id");
        ++calls_;
        if (!warm() && running_ >= options_.cold_concurrency) {
            ++cold_overloads_;
        }
        while (running_ >= options_.concurrency) {
            ++waiting_;
            co_await pause(slot_poll_interval);
            --waiting_;
        }
        ++running_;
        ++executions_[request_of(call)];
        co_await answer(request, call, response);
        --running_;
    }

    asio::awaitable<void> answer(const http_request& request, std::string call,
                                 response_stream& response)
    {
        const std::uint32_t slowdown = warm() ? 1 : cold_slowdown;
        co_await pause(options_.service_time * slowdown + lag_);
        if (random_.unit() < fail_share_ || mode_ == "silent") {
            co_return; // the connection closes without an answer
        }
        if (mode_ == "crossed") {
            std::swap(call, previous_call_);
        }
        const std::string text = request_text(request.body);
        // A named list: GCC 12 rejects initializer lists inside an await expression.
        const net::header_list headers{{"Content-Type", "application/x-ndjson"}};
        if (!co_await response.begin(200, headers)) {
            co_return;
        }
        const std::uint64_t offset =
            std::strtoull(header(request, "Quetzal-Offset").c_str(), nullptr, 10);
        for (std::uint64_t sequence = offset; sequence < options_.tokens; ++sequence) {
            if (sequence > 0) {
                co_await pause(options_.token_interval);
            }
            if (cancelled_.contains(call) ||
                (mode_ == "truncated" && sequence * 2 > options_.tokens)) {
                co_return;
            }
            const std::string piece = frame(call, sequence, token(text, sequence));
            const std::string text_sent = mode_ == "twice" ? piece + piece : piece;
            if (!co_await response.write(text_sent)) {
                co_return;
            }
        }
        if (mode_ == "truncated") {
            co_return;
        }
        const std::string last = end_frame(call, options_.tokens);
        co_await response.write(last);
        ++finished_since_cold_;
        co_await response.end();
    }

    std::string token(const std::string& text, std::uint64_t sequence) const
    {
        if (options_.tokens == 1) {
            return options_.stage + " of \"" + text + "\" by " + options_.name;
        }
        return sequence == 0 ? "answer to \"" + text + "\":" : " word" + std::to_string(sequence);
    }

    http_response load() const
    {
        return json_response(200, json::serialize(json::object{{"incarnation", incarnation_},
                                                               {"warm", warm()},
                                                               {"running", running_},
                                                               {"waiting", waiting_},
                                                               {"age_ms", 0},
                                                               {"fence", fence_},
                                                               {"models", models_}}));
    }

    http_response order(const http_request& request)
    {
        const std::uint64_t fence =
            std::strtoull(header(request, "Quetzal-Fence").c_str(), nullptr, 10);
        if (options_.checks_fence && fence < fence_) {
            return json_response(409, json::serialize(json::object{{"fence", fence_}}));
        }
        fence_ = std::max(fence_, fence);
        boost::system::error_code error;
        const json::value value = json::parse(request.body, error);
        if (!error && value.is_object() && value.get_object().contains("model")) {
            models_.push_back(value.get_object().at("model"));
        }
        return json_response(200, json::serialize(json::object{{"fence", fence_}}));
    }

    http_response control(const http_request& request)
    {
        boost::system::error_code error;
        const json::value value = json::parse(request.body, error);
        if (!error && value.is_object()) {
            const auto& object = value.get_object();
            if (const auto* lag = object.if_contains("lag_ms")) {
                lag_ = std::chrono::milliseconds(lag->to_number<int>());
            }
            if (const auto* share = object.if_contains("fail")) {
                fail_share_ = share->to_number<double>();
            }
            if (const auto* mode = object.if_contains("answer")) {
                mode_ = std::string(mode->as_string());
            }
            if (const auto* cold = object.if_contains("cold"); cold != nullptr && cold->as_bool()) {
                finished_since_cold_ = 0;
            }
        }
        json::object executions;
        for (const auto& [name, count] : executions_) {
            executions[name] = count;
        }
        return json_response(200,
                             json::serialize(json::object{{"calls", calls_},
                                                          {"cold_overloads", cold_overloads_},
                                                          {"saw_key", saw_key_},
                                                          {"executions", std::move(executions)}}));
    }

    asio::io_context& context_;
    endpoint_options options_;
    random_source random_;
    std::uint64_t incarnation_;
    std::uint64_t calls_ = 0;
    std::uint64_t cold_overloads_ = 0;
    std::uint64_t fence_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint32_t finished_since_cold_ = 0;
    bool saw_key_ = false;
    double fail_share_ = 0;
    duration lag_{};
    std::string mode_ = "normal";
    std::string previous_call_ = "0-0-0-0";
    json::array models_;
    std::set<std::string> cancelled_;
    std::map<std::string, std::uint64_t> executions_;
};

} // namespace

net::http_handler make_endpoint(asio::io_context& context, endpoint_options options)
{
    auto served = std::make_shared<endpoint>(context, std::move(options));
    return [served](const http_request& request, response_stream& response) {
        return served->handle(request, response);
    };
}

} // namespace quetzal::standins
