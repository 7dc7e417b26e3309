// What a planned stop changes for the requests being served. The rest of the processing is in
// request_flow.cpp.

#include <algorithm>

#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/request_flow.hpp>

namespace quetzal::gateway {

namespace {

// Retry-After when no other instance is ready; otherwise callers may retry at once.
constexpr std::chrono::milliseconds retry_after_without_peers{500};

} // namespace

void request_flow::begin_drain(drain_window window)
{
    drain_.begin(window);
    enforce_drain(boot_clock::now());
}

request_flow::stream_ages request_flow::longest_streams(time_point now) const
{
    stream_ages ages;
    for (const request_ptr& request : running_) {
        if (request->sent && request->phase == request_phase::stream) {
            duration& longest = ages[request->matched->name];
            longest = std::max<duration>(longest, now - *request->sent);
        }
    }
    return ages;
}

time_point request_flow::latest_send(const running_request& request,
                                     const stream_ages& running) const
{
    const auto found = running.find(request.matched->name);
    return drain_.latest_send({request.matched->name, request.matched->kind == route_kind::stream,
                               request.message.received, request.deadline,
                               found == running.end() ? duration::zero() : found->second});
}

time_point request_flow::latest_send(const running_request& request) const
{
    if (!drain_.window()) {
        return time_point::max();
    }
    if (request.matched->kind != route_kind::stream) {
        return latest_send(request, {});
    }
    return latest_send(request, longest_streams(boot_clock::now()));
}

bool request_flow::other_instance_ready(time_point now) const
{
    const auto live = members_.live(now);
    return std::any_of(live.begin(), live.end(), [&](const auto& member) {
        return member.ready && !member.leaving && member.address != members_.self().address;
    });
}

failure request_flow::drain_refusal(time_point now) const
{
    return {verdict::not_run, reason::stopping,
            "the instance stops before the response could be complete",
            other_instance_ready(now) ? std::chrono::milliseconds::zero()
                                      : retry_after_without_peers};
}

void request_flow::enforce_drain(time_point now)
{
    if (!drain_.window()) {
        return;
    }
    const bool ending = now >= drain_.window()->responses_end;
    const stream_ages running = longest_streams(now);
    // Whether a request that has not been sent can no longer be sent in time, or does better to
    // wait at another instance.
    const auto should_refuse = [&](const running_request& request) {
        const time_point latest = latest_send(request, running);
        return now > latest || (request.waits_for_place &&
                                latest < std::min(request.target_deadline, request.deadline) &&
                                other_instance_ready(now));
    };
    for (const request_ptr& request : std::set(running_)) {
        if (!request->sent && (ending || should_refuse(*request))) {
            request->abort(drain_refusal(now));
        } else if (ending && request->phase != request_phase::stream) {
            // An error status is a complete response; a closed connection is none.
            request->abort({verdict::may_have_run,
                            reason::stopping,
                            "the instance stops before the endpoint has responded",
                            {}});
        }
    }
}

void request_flow::log_unfinished(time_point stop_began) const
{
    const time_point now = boot_clock::now();
    for (const request_ptr& request : running_) {
        log_event("request_unfinished",
                  {{"request", request->message.id},
                   {"route", request->matched->name},
                   {"phase", to_string(request->phase)},
                   {"received_ms", whole_milliseconds(request->message.received - stop_began)},
                   {"sent", request->sent.has_value()},
                   {"sent_ms", whole_milliseconds(request->sent.value_or(now) - stop_began)},
                   {"age_ms", whole_milliseconds(now - request->message.received)},
                   {"connection_request", request->connection_request}});
    }
}

} // namespace quetzal::gateway
