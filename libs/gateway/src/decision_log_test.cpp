// Tests which lines of the decision log are written.

#include <cstdio>
#include <fstream>
#include <functional>
#include <string>

#include <unistd.h>

#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// The lines of a kind that fit into the two seconds that a test's lines can fall into.
constexpr int max_usual_lines = 80;
constexpr int max_end_lines = 2000;

// Writes `size` lines of each of the events, one after the other.
void write_lines(int size, std::initializer_list<std::string_view> events)
{
    for (const auto event : events) {
        for (int number = 0; number < size; ++number) {
            log_event(event, {{"number", number}});
        }
    }
}

// Runs `body` with a log, and returns the text that it wrote.
std::string logged_text(const std::function<void()>& body)
{
    const std::string path = "/tmp/decision_log_test." + std::to_string(::getpid()) + ".log";
    check(std::freopen(path.c_str(), "w", stdout) != nullptr, "the log is written to a file");
    start_log("test");
    body();
    check(stop_log(), "all lines are written");
    std::ifstream file(path);
    std::string text(std::istreambuf_iterator<char>(file), {});
    std::remove(path.c_str());
    return text;
}

int count_lines(const std::string& text, const std::string& event)
{
    const std::string part = "\"event\":\"" + event + "\"";
    int lines = 0;
    for (auto found = text.find(part); found != std::string::npos;
         found = text.find(part, found + 1)) {
        ++lines;
    }
    return lines;
}

} // namespace

// Guards against a stopping process that leaves out the lines that tell how its requests ended,
// because many end at the same time.
Test(decision_log, end_lines_of_a_stopping_process_have_their_own_limit)
{
    section("given a process that serves", [] {
        const auto text = logged_text([] { write_lines(200, {"response_incomplete"}); });
        const int lines = count_lines(text, "response_incomplete");
        check(lines >= 40 && lines <= max_usual_lines,
              "the limit per second holds: " + std::to_string(lines));
        check(dropped_log_lines() == static_cast<std::uint64_t>(200 - lines),
              "the others are counted");
    });
    section("given a stopping process", [] {
        const std::uint64_t before = dropped_log_lines();
        const auto text = logged_text([] {
            log_stopping();
            write_lines(600, {"response_incomplete", "request_unfinished", "member_live"});
            write_lines(1, {"stopped", "exiting"});
        });
        check(count_lines(text, "response_incomplete") == 600, "how responses ended");
        check(count_lines(text, "request_unfinished") == 600, "how requests ended");
        check(count_lines(text, "stopped") == 1, "how the process stopped");
        check(count_lines(text, "exiting") == 1, "how it ended");
        const int lines = count_lines(text, "member_live");
        check(lines >= 40 && lines <= max_usual_lines,
              "the limit holds for other events: " + std::to_string(lines));
        check(dropped_log_lines() - before == static_cast<std::uint64_t>(600 - lines),
              "only the others are counted");
    });
    section("given more lines than the limit", [] {
        const auto text = logged_text([] {
            write_lines(max_end_lines + 500, {"request_unfinished"});
            write_lines(1, {"stopped", "exiting"});
        });
        const int lines = count_lines(text, "request_unfinished");
        const int left = max_end_lines - 1202; // by the section before
        check(lines >= left && lines <= left + max_usual_lines,
              "a limit holds for all of them: " + std::to_string(lines));
        check(count_lines(text, "stopped") == 1, "how the process stopped, still");
        check(count_lines(text, "exiting") == 1, "how it ended, still");
    });
}
