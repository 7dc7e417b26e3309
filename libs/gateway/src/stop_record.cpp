#include <quetzal/gateway/stop_record.hpp>

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

#include <quetzal/gateway/decision_log.hpp>

namespace quetzal::gateway {

namespace {

// Lines that name requests when a stop begins, and later. They leave most of the lines that a
// stopping process may write for the ends of requests.
constexpr std::size_t max_first_lines = 400;
constexpr std::size_t max_later_lines = 400;

// Returns the time of an event relative to `began` in milliseconds; null if it has not happened.
log_value relative_time(std::string_view field, const std::optional<time_point>& event,
                        time_point began)
{
    log_value value(field, event ? whole_milliseconds(*event - began) : 0);
    if (!event) {
        value.value = "null";
    }
    return value;
}

std::string_view route_name(const request_state& state)
{
    return state.request && state.request->matched ? std::string_view(state.request->matched->name)
                                                   : "none";
}

std::string_view phase_name(const request_state& state)
{
    return state.request ? to_string(state.request->phase) : "reading";
}

// Returns what has happened to a request so far.
request_progress progress_of(const request_state& state)
{
    return state.request ? state.request->progress : request_progress{};
}

std::optional<time_point> sent_time(const request_state& state)
{
    return state.request ? state.request->sent : std::nullopt;
}

} // namespace

std::string_view to_string(request_outcome value) noexcept
{
    switch (value) {
    case request_outcome::complete:
        return "complete";
    case request_outcome::refused:
        return "refused";
    case request_outcome::cut:
        return "cut";
    case request_outcome::caller_left:
        return "caller_left";
    case request_outcome::not_written:
        return "not_written";
    }
    return "unknown";
}

request_outcome outcome_of(const request_state& ended)
{
    const auto ended_by_instance = progress_of(ended).ended_by_instance;
    if (ended.write_failed) {
        return request_outcome::not_written;
    }
    if (ended.caller_closed || ended_by_instance == reason::cancelled) {
        return request_outcome::caller_left;
    }
    if (!ended.complete) {
        return request_outcome::cut;
    }
    return ended_by_instance || !ended.request ? request_outcome::refused
                                               : request_outcome::complete;
}

std::size_t stop_counts::unfinished() const
{
    return in_flight + received - std::accumulate(ended.begin(), ended.end(), std::size_t{0});
}

stop_record::stop_record(time_point began, std::vector<request_state> in_flight)
    : began_(began), lines_left_(max_later_lines)
{
    counts_.in_flight = in_flight.size();
    log_requests(std::move(in_flight), max_first_lines);
}

void stop_record::log_in_flight(std::vector<request_state> requests)
{
    const std::size_t lines = std::min(requests.size(), lines_left_);
    lines_left_ -= lines;
    log_requests(std::move(requests), lines);
}

void stop_record::log_requests(std::vector<request_state> requests, std::size_t max_lines) const
{
    std::sort(requests.begin(), requests.end(),
              [](const request_state& left, const request_state& right) {
                  return left.received < right.received;
              });
    const time_point now = boot_clock::now();
    for (const request_state& state : requests) {
        if (max_lines == 0) {
            log_event("requests_not_named", {{"requests", requests.size()}});
            return;
        }
        --max_lines;
        const request_progress progress = progress_of(state);
        log_event("request_in_stop",
                  {{"request", state.id},
                   {"route", route_name(state)},
                   {"phase", phase_name(state)},
                   {"at_ms", whole_milliseconds(now - began_)},
                   relative_time("received_ms", state.received, began_),
                   relative_time("sent_ms", sent_time(state), began_),
                   {"endpoint", progress.endpoint},
                   {"status", state.status},
                   {"events", progress.events},
                   {"bytes", state.bytes},
                   relative_time("last_event_ms", progress.last_event, began_),
                   {"connection_request", state.request ? state.request->connection_request : 0}});
    }
}

void stop_record::log_end(const request_state& ended)
{
    const request_outcome outcome = outcome_of(ended);
    ++counts_.ended[static_cast<std::size_t>(outcome)];
    const request_progress progress = progress_of(ended);
    log_event("request_ended",
              {{"request", ended.id},
               {"route", route_name(ended)},
               {"outcome", to_string(outcome)},
               {"reason", progress.ended_by_instance ? to_string(*progress.ended_by_instance)
                                                     : std::string_view()},
               {"phase", phase_name(ended)},
               {"status", ended.status},
               {"events", progress.events},
               {"bytes", ended.bytes},
               {"endpoint", progress.endpoint},
               relative_time("received_ms", ended.received, began_),
               relative_time("sent_ms", sent_time(ended), began_),
               relative_time("first_event_ms", progress.first_event, began_),
               relative_time("last_event_ms", progress.last_event, began_),
               relative_time("ended_ms", boot_clock::now(), began_)});
}

} // namespace quetzal::gateway
