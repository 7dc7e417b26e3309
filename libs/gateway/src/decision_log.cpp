#include <quetzal/gateway/decision_log.hpp>

#include <array>
#include <chrono>
#include <map>
#include <memory>

#include <quetzal/base/time.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "json_text.hpp"

namespace quetzal::gateway {

namespace {

constexpr std::size_t max_queued_lines = 4096;     // further lines replace the oldest queued line
constexpr std::uint32_t max_lines_per_second = 40; // for each kind of event

// Rate limit of one kind of event.
struct event_rate_limit
{
    std::chrono::seconds second{};
    std::uint32_t written = 0;
    std::uint64_t dropped = 0; // since the last written line of this kind
};

struct log_state
{
    std::string instance;
    std::shared_ptr<spdlog::logger> logger;
    std::map<std::string, event_rate_limit, std::less<>> rates;
    std::uint64_t dropped = 0;
};

log_state& state()
{
    static log_state value;
    return value;
}

} // namespace

void start_log(const std::string& instance)
{
    spdlog::init_thread_pool(max_queued_lines, 1);
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
        return; // tests run without a log
    }
    const wall_time now = wall_now();
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    auto found = state().rates.find(event);
    if (found == state().rates.end()) {
        found = state().rates.emplace(std::string(event), event_rate_limit{}).first;
    }
    event_rate_limit& rate = found->second;
    if (rate.second != second) {
        rate.second = second;
        rate.written = 0;
    }
    if (++rate.written > max_lines_per_second) {
        ++rate.dropped;
        ++state().dropped;
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
            append_json_string(line, field.value);
        }
    }
    if (rate.dropped > 0) {
        line += ",\"left_out\":" + std::to_string(rate.dropped);
        rate.dropped = 0;
    }
    line += '}';
    state().logger->info(line);
}

std::uint64_t dropped_log_lines()
{
    return state().dropped + (spdlog::thread_pool() ? spdlog::thread_pool()->overrun_counter() : 0);
}

} // namespace quetzal::gateway
