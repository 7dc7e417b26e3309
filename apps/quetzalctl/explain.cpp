// `quetzalctl explain REQUEST FILE...`: the log lines of all instances about one request, in order,
// and the one that decided it.

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <optional>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "commands.hpp"

namespace quetzal::ctl {

namespace json = boost::json;

namespace {

// Events that end a request, the last of which decided it.
constexpr std::array<std::string_view, 5> deciding_events{
    "request_refused", "caller_left", "answer_late", "answer_failed", "request_malformed"};

struct log_line
{
    std::int64_t time_ms = 0;
    json::object fields;
};

std::string text_field(const json::object& fields, std::string_view name)
{
    const json::value* value = fields.if_contains(name);
    if (value == nullptr) {
        return {};
    }
    return value->is_string() ? std::string(value->get_string().c_str()) : json::serialize(*value);
}

// Returns the line if it is about the request. Anything before the JSON object, such as the time
// that a log collector adds, is skipped.
std::optional<log_line> read_line(const std::string& text, const std::string& request)
{
    const auto begin = text.find('{');
    if (begin == std::string::npos || text.find(request) == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const json::value parsed = json::parse({text.data() + begin, text.size() - begin}, error);
    if (error || !parsed.is_object()) {
        return std::nullopt; // a line of another program
    }
    const json::object& fields = parsed.get_object();
    const bool about =
        text_field(fields, "request") == request || text_field(fields, "first_request") == request;
    const json::value* time = fields.if_contains("time_ms");
    if (!about || time == nullptr || !time->is_int64()) {
        return std::nullopt;
    }
    return log_line{time->get_int64(), fields};
}

bool decides(const log_line& line)
{
    const std::string event = text_field(line.fields, "event");
    return std::find(deciding_events.begin(), deciding_events.end(), event) !=
           deciding_events.end();
}

void print_line(const log_line& line, std::int64_t first, bool deciding)
{
    std::printf(
        "%c %+7lld ms  %s  %s", deciding ? '>' : ' ', static_cast<long long>(line.time_ms - first),
        text_field(line.fields, "instance").c_str(), text_field(line.fields, "event").c_str());
    for (const auto& [name, value] : line.fields) {
        const std::string_view key(name.data(), name.size());
        if (key != "time_ms" && key != "instance" && key != "event" && key != "request") {
            // Texts with spaces keep their quotation marks.
            std::string text = text_field(line.fields, key);
            if (text.find(' ') != std::string::npos) {
                text.insert(0, 1, '"').push_back('"');
            }
            std::printf("  %s=%s", std::string(key).c_str(), text.c_str());
        }
    }
    std::printf("\n");
}

} // namespace

int run_explain_logs(const options& chosen)
{
    const std::string& request = chosen.arguments.front();
    std::vector<log_line> lines;
    for (std::size_t index = 1; index < chosen.arguments.size(); ++index) {
        std::ifstream file(chosen.arguments[index]);
        if (!file) {
            std::fprintf(stderr, "quetzalctl: %s cannot be read\n",
                         chosen.arguments[index].c_str());
            return exit_invalid;
        }
        for (std::string text; std::getline(file, text);) {
            if (auto line = read_line(text, request)) {
                lines.push_back(std::move(*line));
            }
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const log_line& left, const log_line& right) {
        return left.time_ms < right.time_ms;
    });
    const auto last = std::find_if(lines.rbegin(), lines.rend(), decides);
    if (chosen.json) {
        json::array all;
        for (const auto& line : lines) {
            all.push_back(line.fields);
        }
        json::object answer{{"request", request}, {"lines", std::move(all)}};
        if (last != lines.rend()) {
            answer["decided"] = last->fields;
        }
        std::printf("%s\n", json::serialize(answer).c_str());
    } else {
        for (const auto& line : lines) {
            print_line(line, lines.front().time_ms, last != lines.rend() && &line == &*last);
        }
    }
    if (lines.empty()) {
        std::fprintf(stderr, "quetzalctl: no line about request %s\n", request.c_str());
        return exit_failed;
    }
    return exit_ok;
}

} // namespace quetzal::ctl
