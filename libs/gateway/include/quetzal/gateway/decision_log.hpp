#ifndef QUETZAL_GATEWAY_DECISION_LOG_HPP
#define QUETZAL_GATEWAY_DECISION_LOG_HPP

// Structured log on standard output: one JSON object a line for each decision that touches a
// request or changes what the process believes. Writing never blocks: lines go through a bounded
// queue that drops and counts, and each kind of event has a rate limit whose omissions are counted.
// No field holds a customer's key or a payload.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace quetzal::gateway {

// One named value of a line.
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

// Sets the instance name of all lines and starts writing. Call once before the first line.
void start_log(const std::string& instance);

// Writes out what is queued and stops.
void stop_log();

// Writes one line. `event` is a stable snake-case code.
void log_event(std::string_view event, std::initializer_list<log_value> values);

// Lines left out so far because of a rate limit or a full queue.
std::uint64_t log_lines_left_out();

} // namespace quetzal::gateway

#endif
