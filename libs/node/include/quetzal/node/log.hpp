#ifndef QUETZAL_NODE_LOG_HPP
#define QUETZAL_NODE_LOG_HPP

// Structured log. Each line is one record with an event name and named fields, written as key=value
// pairs or JSON. Fields must never contain a customer's key or a payload.

#include <initializer_list>
#include <string>
#include <string_view>

#include <quetzal/config/settings.hpp>

namespace quetzal::node {

// One named field of a record.
struct log_field
{
    log_field(std::string_view field, std::string_view text) : name(field), value(text) {}
    log_field(std::string_view field, const char* text) : name(field), value(text) {}
    log_field(std::string_view field, std::uint64_t number)
        : name(field), value(std::to_string(number)), numeric(true)
    {
    }

    std::string_view name;
    std::string value;
    bool numeric = false;
};

// Sets the level, the format and the instance name of all records. Must be called once, before the
// first record.
void configure_log(const config::log_settings& settings, const instance_id& self);

// Writes one record to standard error. Thread-safe.
void log(config::log_level level, std::string_view event, std::initializer_list<log_field> fields);

// Returns the text of a record without the prefix of time, level and instance. Declared for tests;
// `log` uses it too.
std::string format_record(config::log_format format, std::string_view event,
                          std::initializer_list<log_field> fields);

} // namespace quetzal::node

#endif
