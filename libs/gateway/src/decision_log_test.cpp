// Tests which lines of the decision log are written.

#include <string>

#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/testing/section.hpp>

#include "logged_text.hpp"

using namespace quetzal::gateway;
using quetzal::gateway::testing::count_lines;
using quetzal::gateway::testing::logged_text;
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

// Guards against a stop of which the log does not tell what became of each request, because its
// lines are left out when there are many in a second.
Test(decision_log, all_lines_that_name_requests_of_a_stop_are_written)
{
    constexpr int lines = 120; // more than the usual limit allows
    for (const std::string event :
         {"request_in_stop", "request_ended", "response_confirmed", "attempt_failed",
          "attempt_repeated", "request_refused", "caller_left", "request_failed",
          "response_not_written", "response_incomplete", "response_unconfirmed"})
    {
        section("given a stopping process and lines of " + event, [&] {
            const auto text = logged_text([&] {
                log_stopping();
                write_lines(lines, {event});
            });
            check(count_lines(text, event) == lines, "all are written");
        });
    }
}
