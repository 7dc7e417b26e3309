// Tests how the requests of a planned stop are counted and logged.

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/stop_record.hpp>
#include <quetzal/testing/section.hpp>

#include "logged_text.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;

namespace {

void check_contains(const std::string& line, const std::string& part)
{
    std::string detail = part;
    detail += " in ";
    detail += line;
    check(line.find(part) != std::string::npos, detail);
}

// A stream of route "r" that was received 50 ms before `began` and has passed on 3 events.
running_request make_stream(const std::string& id, time_point began)
{
    caller_request message;
    message.id = id;
    message.received = began - milliseconds(50);
    running_request request(std::move(message));
    route matched;
    matched.name = "r";
    request.matched = std::make_shared<const route>(matched);
    request.phase = request_phase::stream;
    request.sent = began - milliseconds(40);
    request.progress.endpoint = "e1";
    request.progress.events = 3;
    request.progress.first_event = began - milliseconds(20);
    request.progress.last_event = began + milliseconds(5);
    return request;
}

request_state state_of(const running_request& request)
{
    request_state state;
    state.id = request.message.id;
    state.request = &request;
    state.received = request.message.received;
    state.status = 200;
    state.bytes = 70;
    return state;
}

// Requests that are being read, the first one received last.
class waiting_requests
{
public:
    waiting_requests(std::size_t size, time_point began)
    {
        for (std::size_t number = 0; number < size; ++number) {
            request_state& state = states_.emplace_back();
            state.id = ids_.emplace_back("w" + std::to_string(number));
            state.received = began - milliseconds(number);
        }
    }

    const std::vector<request_state>& states() const { return states_; }

private:
    std::deque<std::string> ids_;
    std::vector<request_state> states_;
};

} // namespace

// Guards against a process that is killed or crashes during its stop, and of whose requests nothing
// is known.
Test(stop_record, names_the_requests_in_flight)
{
    const time_point began = boot_clock::now();
    const running_request stream = make_stream("1", began);
    request_state reading;
    reading.id = "2";
    reading.received = began - milliseconds(10);
    const auto text = logged_text([&] {
        log_stopping();
        stop_record stop(began, {reading, state_of(stream)});
        check(stop.counts().in_flight == 2 && stop.counts().unfinished() == 2, "both count");
    });
    section("a stream", [&] {
        const std::string line = line_of(text, "request_in_stop", "1");
        for (const std::string part :
             {"\"route\":\"r\"", "\"phase\":\"stream\"", "\"received_ms\":-50", "\"sent_ms\":-40",
              "\"endpoint\":\"e1\"", "\"status\":200", "\"events\":3", "\"bytes\":70",
              "\"last_event_ms\":5"})
        {
            check_contains(line, part);
        }
    });
    section("a request that is not read completely", [&] {
        const std::string line = line_of(text, "request_in_stop", "2");
        for (const std::string part : {"\"phase\":\"reading\"", "\"received_ms\":-10",
                                       "\"sent_ms\":null", "\"last_event_ms\":null"})
        {
            check_contains(line, part);
        }
    });
}

// Guards against lines about requests in flight that leave no lines for the ends of requests.
Test(stop_record, lines_about_requests_in_flight_are_bounded)
{
    const time_point began = boot_clock::now();
    const waiting_requests waiting(500, began);
    section("when the stop begins", [&] {
        const auto text = logged_text([&] {
            log_stopping();
            const stop_record stop(began, waiting.states());
            check(stop.counts().in_flight == 500, "all count");
        });
        check(count_lines(text, "request_in_stop") == 400, "a bound holds");
        check(!line_of(text, "request_in_stop", "w499").empty(), "the oldest one is named");
        check(line_of(text, "request_in_stop", "w0").empty(), "the youngest one is not");
        check(count_lines(text, "requests_not_named") == 1, "a line says that some are missing");
    });
    section("later", [&] {
        const auto text = logged_text([&] {
            stop_record stop(began, {});
            for (int second = 0; second < 8; ++second) {
                stop.log_in_flight(waiting.states());
            }
        });
        check(count_lines(text, "request_in_stop") == 400, "a bound holds for the whole stop");
    });
}

// Guards against a request whose end at a stop cannot be told from the log.
Test(stop_record, tells_how_each_request_ended)
{
    const time_point began = boot_clock::now();
    running_request stream = make_stream("1", began);
    request_state state = state_of(stream);
    const auto outcome = [&] { return outcome_of(state); };
    section("given a stream whose connection was closed", [&] {
        check(outcome() == request_outcome::cut, "it is cut");
        section("by the caller", [&] {
            stream.progress.ended_by_instance = reason::cancelled;
            check(outcome() == request_outcome::caller_left, "the caller has left");
        });
        section("after the caller did not take all bytes", [&] {
            state.write_failed = true;
            check(outcome() == request_outcome::not_written, "it is not written");
            state.write_failed = false;
        });
        section("because the instance stops", [&] {
            stream.progress.ended_by_instance = reason::stopping;
            check(outcome() == request_outcome::cut, "it is cut");
        });
    });
    section("given a complete response", [&] {
        state.complete = true;
        check(outcome() == request_outcome::refused, "of the instance: it is refused");
        stream.progress.ended_by_instance.reset();
        check(outcome() == request_outcome::complete, "of an endpoint: it is complete");
    });
    section("given a request that was not read completely", [&] {
        state.request = nullptr;
        check(outcome() == request_outcome::refused, "with a response: it is refused");
        state.caller_closed = true;
        check(outcome() == request_outcome::caller_left, "whose caller closed: it has left");
    });
}

// Guards against a line that does not tell at which time of the stop a stream ended, and against
// counts that do not balance.
Test(stop_record, logs_and_counts_ends)
{
    const time_point began = boot_clock::now();
    running_request cut = make_stream("1", began);
    cut.progress.ended_by_instance = reason::stopping;
    const running_request whole = make_stream("2", began);
    request_state complete = state_of(whole);
    complete.complete = true;
    const auto text = logged_text([&] {
        log_stopping();
        stop_record stop(began, {state_of(cut)});
        stop.count_received();
        stop.count_received();
        stop.log_end(state_of(cut));
        stop.log_end(complete);
        const stop_counts& counts = stop.counts();
        check(counts.with(request_outcome::cut) == 1, "one is cut");
        check(counts.with(request_outcome::complete) == 1, "one is complete");
        check(counts.with(request_outcome::refused) == 0, "none is refused");
        check(counts.in_flight == 1 && counts.received == 2 && counts.unfinished() == 1,
              "one has not ended");
    });
    const std::string line = line_of(text, "request_ended", "1");
    for (const std::string part :
         {"\"route\":\"r\"", "\"outcome\":\"cut\"", "\"reason\":\"stopping\"", "\"status\":200",
          "\"events\":3", "\"bytes\":70", "\"endpoint\":\"e1\"", "\"received_ms\":-50",
          "\"sent_ms\":-40", "\"first_event_ms\":-20", "\"last_event_ms\":5", "\"ended_ms\":"})
    {
        check_contains(line, part);
    }
    check_contains(line_of(text, "request_ended", "2"), "\"outcome\":\"complete\",\"reason\":\"\"");
}
