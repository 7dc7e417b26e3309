#ifndef QUETZAL_GATEWAY_DECISION_LOG_HPP
#define QUETZAL_GATEWAY_DECISION_LOG_HPP

// Structured log on standard output: one JSON object per line for each decision that affects a
// request or changes the state of the process. Writing never blocks: lines go through a bounded
// queue that drops lines when full, and each kind of event has a rate limit. Dropped lines are
// counted. No field contains a customer's key or a payload.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace quetzal::gateway {

// One named field of a line.
struct log_value
{
    log_value(std::string_view field, std::string_view text) : name(field), value(text) {}
    log_value(std::string_view field, const std::string& text) : name(field), value(text) {}
    log_value(std::string_view field, const char* text) : name(field), value(text) {}
    template <class Integer>
    requires std::is_integral_v<Integer> log_value(std::string_view field, Integer number)
        : name(field), value(std::to_string(number)), numeric(true)
    {
    }

    std::string_view name;
    std::string value;
    bool numeric = false;
};

// Starts the log and sets the instance name of all lines. Must be called once, before the first
// line. SIGPIPE must be ignored, because standard output may be a pipe that its reader closes.
void start_log(const std::string& instance);

// Says that the process stops: from now on, the lines that tell which requests it serves, and how a
// request or the process ended, are not subject to the limit per second, but to one for all of
// them.
void log_stopping();

// Writes the queued lines and stops the log. Returns false if standard output has not taken them
// within a bounded time; the log's thread is then still writing, so that the process has to end
// without destroying its static objects.
bool stop_log();

// Writes one line. `event` is a stable snake-case name.
void log_event(std::string_view event, std::initializer_list<log_value> values);

// Returns the number of lines dropped so far by a rate limit or a full queue, or because standard
// output did not take them.
std::uint64_t dropped_log_lines();

} // namespace quetzal::gateway

#endif
