#include <quetzal/gateway/decision_log.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <map>
#include <memory>
#include <thread>

#include <poll.h>
#include <unistd.h>

#include <quetzal/base/time.hpp>
#include <spdlog/async.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include "json_text.hpp"

namespace quetzal::gateway {

namespace {

constexpr std::size_t max_queued_lines = 4096;     // further lines replace the oldest queued line
constexpr std::uint32_t max_lines_per_second = 40; // for each kind of event
// Events that tell which requests a stopping process serves, and how a request or the process
// ended. A stopping process may write `max_end_lines` of them without regard to the limit per
// second.
constexpr std::array<std::string_view, 14> end_events{"request_in_stop",
                                                      "request_ended",
                                                      "request_unfinished",
                                                      "response_incomplete",
                                                      "response_confirmed",
                                                      "response_unconfirmed",
                                                      "attempt_failed",
                                                      "attempt_repeated",
                                                      "request_refused",
                                                      "caller_left",
                                                      "request_failed",
                                                      "response_not_written",
                                                      "stopped",
                                                      "exiting"};
constexpr std::uint32_t max_end_lines = 2000;
// How long the exit waits until the queued lines are written.
constexpr std::chrono::milliseconds max_stop_wait{200};
constexpr std::chrono::milliseconds stop_check_interval{1};

// Rate limit of one kind of event.
struct event_rate_limit
{
    std::chrono::seconds second{};
    std::uint32_t written = 0;
    std::uint64_t dropped = 0; // since the last written line of this kind
};

// Lines that the log's thread has taken from the queue. Outlives the thread.
struct line_counts
{
    std::atomic<std::uint64_t> taken = 0;
    std::atomic<std::uint64_t> failed = 0; // those that could not be written
};

constinit line_counts counts;

// Writes all of `text` and waits for room where necessary. Returns false if nothing more can be
// written, e.g. because the reader of a pipe has closed it.
bool write_all(int file, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t written = ::write(file, text.data(), text.size());
        if (written >= 0) {
            text.remove_prefix(static_cast<std::size_t>(written));
        } else if (errno == EAGAIN) {
            constexpr int without_limit = -1;
            pollfd output{file, POLLOUT, 0};
            ::poll(&output, 1, without_limit);
        } else if (errno != EINTR) {
            return false;
        }
    }
    return true;
}

// Writes each line to standard output with a system call of its own, and counts the lines.
class output_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        line_.assign(message.payload.data(), message.payload.size());
        line_ += '\n';
        if (!write_all(STDOUT_FILENO, line_)) {
            ++counts.failed;
        }
        ++counts.taken;
    }

    void flush_() override {}

private:
    std::string line_;
};

struct log_state
{
    std::string instance;
    std::shared_ptr<spdlog::logger> logger;
    std::map<std::string, event_rate_limit, std::less<>> rates;
    std::uint64_t dropped = 0;
    std::uint64_t queued = 0; // lines given to the log's thread
    bool stopping = false;
    std::uint32_t end_lines = 0; // written without regard to the limit per second
};

std::uint64_t overrun_lines()
{
    return spdlog::thread_pool() ? spdlog::thread_pool()->overrun_counter() : 0;
}

log_state& state()
{
    static log_state value;
    return value;
}

// Whether a line is one of the limited number of lines for the end of a stopping process.
bool take_end_line(std::string_view event)
{
    if (!state().stopping || state().end_lines >= max_end_lines ||
        std::find(end_events.begin(), end_events.end(), event) == end_events.end())
    {
        return false;
    }
    ++state().end_lines;
    return true;
}

} // namespace

void start_log(const std::string& instance)
{
    spdlog::init_thread_pool(max_queued_lines, 1);
    auto sink = std::make_shared<output_sink>();
    state().instance = instance;
    state().queued = counts.taken; // the log may have run before
    state().logger =
        std::make_shared<spdlog::async_logger>("decisions", std::move(sink), spdlog::thread_pool(),
                                               spdlog::async_overflow_policy::overrun_oldest);
}

void log_stopping()
{
    state().stopping = true;
}

bool stop_log()
{
    if (!state().logger) {
        return true;
    }
    const time_point until = boot_clock::now() + max_stop_wait;
    while (counts.taken + overrun_lines() < state().queued) {
        if (boot_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(stop_check_interval);
    }
    state().logger.reset();
    spdlog::shutdown();
    return true;
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
    if (!take_end_line(event) && ++rate.written > max_lines_per_second) {
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
    ++state().queued;
    state().logger->info(line);
}

std::uint64_t dropped_log_lines()
{
    return state().dropped + overrun_lines() + counts.failed;
}

} // namespace quetzal::gateway
