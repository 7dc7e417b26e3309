#include <quetzal/node/log.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace quetzal::node {

namespace {

config::log_format& active_format()
{
    static config::log_format format = config::log_format::key_value;
    return format;
}

spdlog::level::level_enum to_spdlog(config::log_level level)
{
    switch (level) {
    case config::log_level::trace:
        return spdlog::level::trace;
    case config::log_level::debug:
        return spdlog::level::debug;
    case config::log_level::info:
        return spdlog::level::info;
    case config::log_level::warning:
        return spdlog::level::warn;
    case config::log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::value(text));
}

bool needs_quotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

void append_field(std::string& line, config::log_format format, const log_field& field)
{
    if (format == config::log_format::json) {
        line +=
            "," + quoted(field.name) + ":" + (field.numeric ? field.value : quoted(field.value));
        return;
    }
    line += " ";
    line += field.name;
    line += "=" + (needs_quotes(field.value) ? quoted(field.value) : field.value);
}

} // namespace

void configure_log(const config::log_settings& settings, const instance_id& self)
{
    active_format() = settings.format;
    auto logger = spdlog::stderr_logger_mt("quetzallever");
    logger->set_level(to_spdlog(settings.level));
    logger->flush_on(spdlog::level::info);
    logger->set_pattern(settings.format == config::log_format::json
                            ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","instance":)" +
                                  quoted(self.name) + ",%v}"
                            : "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l instance=" + self.name + " %v",
                        spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(std::move(logger));
}

std::string format_record(config::log_format format, std::string_view event,
                          std::initializer_list<log_field> fields)
{
    std::string line = format == config::log_format::json ? "\"event\":" + quoted(event)
                                                          : "event=" + std::string(event);
    for (const auto& field : fields) {
        append_field(line, format, field);
    }
    return line;
}

void log(config::log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    auto* logger = spdlog::default_logger_raw();
    if (logger->should_log(to_spdlog(level))) {
        logger->log(to_spdlog(level), format_record(active_format(), event, fields));
    }
}

} // namespace quetzal::node
