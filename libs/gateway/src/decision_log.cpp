#include <quetzal/gateway/decision_log.hpp>

#include <array>
#include <chrono>
#include <map>
#include <memory>

#include <quetzal/base/time.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace quetzal::gateway {

namespace {

constexpr std::size_t queued_lines = 4096;     // further lines replace the oldest
constexpr std::uint32_t lines_per_second = 40; // of one kind of event

// Allows `lines_per_second` lines of one kind of event and counts the rest.
struct event_rate
{
    std::chrono::seconds second{};
    std::uint32_t written = 0;
    std::uint64_t left_out = 0; // since the last line of this kind
};

struct log_state
{
    std::string instance;
    std::shared_ptr<spdlog::logger> logger;
    std::map<std::string, event_rate, std::less<>> rates;
    std::uint64_t left_out = 0;
};

log_state& state()
{
    static log_state value;
    return value;
}

void append_text(std::string& line, std::string_view text)
{
    line += '"';
    for (const char symbol : text) {
        if (symbol == '"' || symbol == '\\') {
            line += '\\';
            line += symbol;
        } else if (static_cast<unsigned char>(symbol) < ' ') {
            line += ' '; // control characters carry no meaning in these fields
        } else {
            line += symbol;
        }
    }
    line += '"';
}

} // namespace

void start_log(const std::string& instance)
{
    spdlog::init_thread_pool(queued_lines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    state().instance = instance;
    state().logger =
        std::make_shared<spdlog::async_logger>("decisions", std::move(sink), spdlog::thread_pool(),
                                               spdlog::async_overflow_policy::overrun_oldest);
    state().logger->set_pattern("%v");
    state().logger->flush_on(spdlog::level::info);
}

void stop_log()
{
    state().logger.reset();
    spdlog::shutdown();
}

void log_event(std::string_view event, std::initializer_list<log_value> values)
{
    if (!state().logger) {
        return; // tests of decisions run without a log
    }
    const wall_time now = wall_now();
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    auto found = state().rates.find(event);
    if (found == state().rates.end()) {
        found = state().rates.emplace(std::string(event), event_rate{}).first;
    }
    event_rate& rate = found->second;
    if (rate.second != second) {
        rate.second = second;
        rate.written = 0;
    }
    if (++rate.written > lines_per_second) {
        ++rate.left_out;
        ++state().left_out;
        return;
    }
    std::string line = "{\"time_ms\":" + std::to_string(now.time_since_epoch().count()) +
                       ",\"instance\":\"" + state().instance + "\",\"event\":\"";
    line += event;
    line += '"';
    for (const log_value& field : values) {
        line += ",\"";
        line += field.name;
        line += "\":";
        if (field.numeric) {
            line += field.value;
        } else {
            append_text(line, field.value);
        }
    }
    if (rate.left_out > 0) {
        line += ",\"left_out\":" + std::to_string(rate.left_out);
        rate.left_out = 0;
    }
    line += '}';
    state().logger->info(line);
}

std::uint64_t log_lines_left_out()
{
    return state().left_out +
           (spdlog::thread_pool() ? spdlog::thread_pool()->overrun_counter() : 0);
}

} // namespace quetzal::gateway
