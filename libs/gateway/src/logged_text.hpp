#ifndef QUETZAL_GATEWAY_LOGGED_TEXT_HPP
#define QUETZAL_GATEWAY_LOGGED_TEXT_HPP

// The text of the decision log that a part of a test writes. Used only by tests.

#include <cstdio>
#include <fstream>
#include <functional>
#include <string>

#include <unistd.h>

#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/testing/section.hpp>

namespace quetzal::gateway::testing {

// Runs `body` with a log, and returns the text that it wrote.
inline std::string logged_text(const std::function<void()>& body)
{
    const std::string path = "/tmp/logged_text." + std::to_string(::getpid()) + ".log";
    quetzal::testing::check(std::freopen(path.c_str(), "w", stdout) != nullptr,
                            "the log is written to a file");
    start_log("test");
    body();
    quetzal::testing::check(stop_log(), "all lines are written");
    std::ifstream file(path);
    std::string text(std::istreambuf_iterator<char>(file), {});
    std::remove(path.c_str());
    return text;
}

// Returns the number of lines of an event.
inline int count_lines(const std::string& text, const std::string& event)
{
    const std::string part = "\"event\":\"" + event + "\"";
    int lines = 0;
    for (auto found = text.find(part); found != std::string::npos;
         found = text.find(part, found + 1)) {
        ++lines;
    }
    return lines;
}

// Returns the first line of an event of the request, from the name of the event; empty if there is
// none.
inline std::string line_of(const std::string& text, const std::string& event,
                           const std::string& request)
{
    const std::string part = "\"event\":\"" + event + "\",\"request\":\"" + request + "\"";
    const auto found = text.find(part);
    return found == std::string::npos ? std::string()
                                      : text.substr(found, text.find('\n', found) - found);
}

} // namespace quetzal::gateway::testing

#endif
