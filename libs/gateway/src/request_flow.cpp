#include <quetzal/gateway/request_flow.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <quetzal/base/hash.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/http_status.hpp>

#include "request_priority.hpp"

namespace quetzal::gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr duration poll_interval = 15ms; // while there is no configuration
constexpr unsigned max_refusals = 3;     // attempts that endpoints may refuse, for each request
constexpr unsigned max_unreachable = 6;  // failed connections, for each request
constexpr duration min_attempt_time = 20ms;
constexpr duration default_retry_after = 300ms;
// How long after its start an instance lets requests wait for the configuration. After a restart of
// the whole fleet, callers would otherwise spend their retries on instances that are about to have
// it.
constexpr duration startup_time = 1500ms;
// A request waits for the configuration for this part of the caller's time at most.
constexpr int startup_time_divisor = 3;
// Stage results of at least this many bytes are computed in the availability zone of the endpoint
// that fetches them.
constexpr std::uint64_t large_result_size = 256u << 10;
// Expected duration of the request itself after its stages.
constexpr duration time_after_stages = 250ms;

unsigned status_for(const failure& why)
{
    if (why.run == verdict::not_run) {
        return http_status::unavailable;
    }
    return why.why == reason::deadline_passed ? http_status::gateway_timeout
                                              : http_status::bad_gateway;
}

} // namespace

request_flow::request_flow(asio::io_context& context, catalog& view, endpoint_pools& pools,
                           channel_pool& channels, stage_coordinator& coordinator,
                           member_table& members, part_quarantine& quarantine,
                           const header_names& names, retry_budget_options budget,
                           telemetry::metrics& metrics)
    : context_(context), view_(view), pools_(pools), channels_(channels), coordinator_(coordinator),
      members_(members), quarantine_(quarantine), names_(names), budget_(budget), metrics_(metrics),
      started_(boot_clock::now())
{
}

void request_flow::record_outcome(const running_request& request, std::string_view outcome)
{
    ++ended_;
    const std::string route = request.matched ? request.matched->name : "none";
    metrics_.count("quetzal_requests_total", {{"route", route},
                                              {"customer", request.caller.customer},
                                              {"outcome", std::string(outcome)}});
    metrics_.observe("quetzal_request_seconds", {{"route", route}},
                     boot_clock::now() - request.message.received);
}

std::optional<failure> request_flow::resolve_route_and_customer(running_request& request,
                                                                unsigned& status)
{
    const auto matched = view_.find_route(request.message.host, request.message.path());
    if (matched == nullptr) {
        status = http_status::not_found;
        return failure{verdict::not_run, reason::not_found, "no route matches", {}};
    }
    request.matched = matched;
    request.caller = {};
    if (!matched->open) {
        auto caller = view_.find_customer(request.message.key);
        if (!caller) {
            status = http_status::unauthorized;
            return failure{verdict::not_run, reason::unauthorized, "no customer holds the key", {}};
        }
        request.caller = std::move(*caller);
    }
    request.priority = internal::effective_priority(request.caller, *matched);
    return std::nullopt;
}

std::optional<failure> request_flow::admit(running_request& request, unsigned& status)
{
    if (!view_.configured()) {
        status = http_status::unavailable;
        return failure{verdict::not_run, reason::stale_view, "no configuration is known yet",
                       std::chrono::milliseconds(500)};
    }
    if (auto refused = resolve_route_and_customer(request, status)) {
        return refused;
    }
    if (auto refused = quarantine_refusal(request, false)) {
        status = http_status::unavailable;
        return refused;
    }
    const route& matched = *request.matched;
    const time_point received = request.message.received;
    const duration caller_timeout = request.message.caller_timeout.value_or(matched.timeout);
    request.deadline = received + std::min(caller_timeout, matched.timeout);
    request.target_deadline = received + matched.latency_target;
    return std::nullopt;
}

asio::awaitable<void> request_flow::pause(duration time) const
{
    asio::steady_timer timer(context_, time);
    boost::system::error_code ignored; // the timer is not cancelled
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> request_flow::await_configuration(const running_request& request,
                                                        response_writer& writer)
{
    time_point until = started_ + startup_time;
    if (request.message.caller_timeout) {
        until =
            std::min<time_point>(until, request.message.received +
                                            *request.message.caller_timeout / startup_time_divisor);
    }
    while (!view_.configured() && boot_clock::now() < until && !drain_.window() &&
           !writer.caller_disconnected())
    {
        co_await pause(poll_interval);
    }
}

asio::awaitable<void> request_flow::serve(request_ptr request, response_writer& writer)
{
    if (!view_.configured()) {
        co_await await_configuration(*request, writer);
    }
    unsigned status = 0;
    if (const auto refused = admit(*request, status)) {
        co_await reject(*request, writer, status, *refused);
        co_return;
    }
    running_.insert(request);
    lazy_deadline timeout(context_.get_executor(), [request] {
        request->abort({verdict::may_have_run, reason::deadline_passed, "deadline passed", {}});
    });
    timeout.expires_after(request->deadline - boot_clock::now());
    attempt_state state;
    // Keeps the route alive: a retry may replace the request's route from a new configuration.
    const std::shared_ptr<const route> admitted = request->matched;
    const route& matched = *admitted;
    state.retryable = matched.kind == route_kind::idempotent ||
                      (matched.kind == route_kind::stream && matched.resumable);
    result<void> outcome;
    try {
        // The stages run for each attempt of a stream that has started, and once more for results
        // that expire before the endpoint fetches them.
        for (unsigned round = 0; round <= matched.max_attempts; ++round) {
            if (!matched.stages.empty()) {
                auto inputs = co_await obtain_inputs(request, writer, state.stage_ticket);
                if (!inputs) {
                    outcome = tl::unexpected(inputs.error());
                    break;
                }
                state.inputs = std::move(*inputs);
                state.inputs_released = false;
            }
            outcome = co_await run_attempts(request, writer, state);
            const bool rerun_stages = !outcome && outcome.error().run == verdict::not_run &&
                                      outcome.error().why == reason::answer_mismatch;
            if (!rerun_stages) {
                break;
            }
            coordinator_.release(state.stage_ticket);
        }
    } catch (...) {
        coordinator_.release(state.stage_ticket);
        running_.erase(request);
        throw; // the caller's connection answers
    }
    coordinator_.release(state.stage_ticket);
    running_.erase(request);
    if (!outcome && state.runs > 0 && outcome.error().run == verdict::not_run) {
        outcome.error().run = verdict::may_have_run; // an earlier attempt may have run
    }
    if (!outcome) {
        co_await reject(*request, writer, status_for(outcome.error()), outcome.error());
    } else if (!state.last_response) {
        record_outcome(*request, "answered");
        // The time of an error response says nothing about the time of a stream.
        if (request->sent && (matched.kind != route_kind::stream || writer.has_started_stream())) {
            drain_.record_response(matched.name, boot_clock::now() - *request->sent);
        }
    }
}

asio::awaitable<result<std::vector<std::string>>>
request_flow::run_stages(const request_ptr& request, const response_writer& writer,
                         std::uint64_t& ticket)
{
    struct pending_stages
    {
        explicit pending_stages(asio::io_context& context) : wakeup(context) {}

        asio::steady_timer wakeup; // never expires; cancelled to resume the coroutine
        std::optional<job_outcome> outcome;
    };
    const route& matched = *request->matched;
    request->phase = request_phase::stages;
    const auto counts = parse_piece_counts(request->message.piece_counts);
    if (!counts) {
        co_return not_run(reason::invalid_request, "the piece counts are malformed");
    }
    local_job job;
    // The latency target and the limits of a first send do not apply to a stream that has started.
    const bool started_stream = writer.has_started_stream();
    const time_point latest = started_stream ? latest_end(*request) : latest_send(*request);
    const time_point wanted =
        (started_stream ? latest : request->target_deadline) - time_after_stages;
    if (boot_clock::now() > latest) {
        co_return tl::unexpected(drain_refusal(boot_clock::now()));
    }
    job.latency_deadline = std::min(wanted, latest);
    job.deadline = std::min(request->deadline, latest);
    job.content.request_id = request->message.id;
    job.content.piece_key = request->message.piece_key;
    job.content.priority = request->priority;
    job.content.customer = request->caller.customer;
    for (std::size_t index = 0; index < matched.stages.size(); ++index) {
        const stage_definition& stage = matched.stages[index];
        job.content.stages.push_back({stage.service,
                                      {stage.after.begin(), stage.after.end()},
                                      stage.result_size,
                                      index < counts->size() ? (*counts)[index] : 0});
    }
    job.content.zone = preferred_zone(*request, job.content.stages);
    const auto pending = std::make_shared<pending_stages>(context_);
    pending->wakeup.expires_at(asio::steady_timer::time_point::max());
    request->set_abort_handler([pending] { pending->wakeup.cancel(); });
    ticket = coordinator_.submit(std::move(job), [pending](job_outcome outcome) {
        pending->outcome = std::move(outcome);
        pending->wakeup.cancel();
    });
    if (!pending->outcome && !request->abort_reason()) {
        boost::system::error_code ignored; // cancelled when the stages or the request ended
        co_await pending->wakeup.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    request->set_abort_handler({});
    if (request->abort_reason() || !pending->outcome) {
        // Running stages does not count as running the request.
        failure why = request->abort_reason().value_or(
            failure{verdict::not_run, reason::internal_error, "no answer of the conductor", {}});
        why.run = verdict::not_run;
        co_return tl::unexpected(why);
    }
    job_outcome& outcome = *pending->outcome;
    const std::chrono::milliseconds retry_after(outcome.retry_after_ms);
    switch (outcome.status) {
    case job_status::done:
        co_return std::move(outcome.results);
    case job_status::refused:
        if (latest < wanted) {
            co_return tl::unexpected(drain_refusal(boot_clock::now()));
        }
        co_return not_run(reason::overloaded,
                          "the stages need " + std::to_string(outcome.expected_ms) +
                              " ms but are allowed " + std::to_string(outcome.allowed_ms) + " ms",
                          retry_after);
    case job_status::deadline_exceeded:
        co_return not_run(reason::deadline_unreachable, "the stages were too slow", retry_after);
    case job_status::failed:
    case job_status::handed_back: // handled by the coordinator itself
        break;
    }
    co_return not_run(reason::endpoint_failed, "a stage failed", retry_after);
}

std::string request_flow::select_service(const running_request& request) const
{
    const auto& services = request.matched->services;
    double total = 0;
    for (const auto& candidate : services) {
        total += candidate.weight;
    }
    // All attempts of one request use the same service, chosen by the hash of its id.
    double position =
        total * static_cast<double>(stable_hash(request.message.id) >> 11) * 0x1.0p-53;
    for (const auto& candidate : services) {
        position -= candidate.weight;
        if (position < 0) {
            return candidate.service;
        }
    }
    return services.back().service;
}

std::string request_flow::preferred_zone(const running_request& request,
                                         const std::vector<job_stage>& stages)
{
    std::vector<bool> has_successor(stages.size());
    for (const job_stage& stage : stages) {
        for (const std::uint32_t earlier : stage.after) {
            if (stage.pieces > 0 && earlier < stages.size()) {
                has_successor[earlier] = true;
            }
        }
    }
    std::uint64_t fetched = 0; // bytes that the endpoint fetches
    for (std::size_t index = 0; index < stages.size(); ++index) {
        fetched += has_successor[index] ? 0 : stages[index].pieces * stages[index].result_size;
    }
    if (fetched < large_result_size) {
        return {};
    }
    return pools_.likely_zone(view_, select_service(request), {request.message.prefixes, {}},
                              boot_clock::now());
}

asio::awaitable<result<void>> request_flow::run_attempts(const request_ptr& request,
                                                         response_writer& writer,
                                                         attempt_state& state)
{
    while (true) {
        if (request->abort_reason()) {
            failure why = *request->abort_reason();
            why.run = state.runs > 0 ? verdict::may_have_run : verdict::not_run;
            co_return tl::unexpected(why);
        }
        if (state.runs == 0 && boot_clock::now() > latest_send(*request)) {
            co_return tl::unexpected(drain_refusal(boot_clock::now()));
        }
        auto chosen = co_await choose_endpoint(request, writer, state);
        if (!chosen && state.last_response && !writer.has_started_stream()) {
            co_return co_await send_saved_response(request, writer, state);
        }
        if (!chosen) {
            failure why = chosen.error();
            why.run = state.runs > 0 ? verdict::may_have_run : why.run;
            co_return tl::unexpected(why);
        }
        unsigned status = 0;
        if (auto refused = resolve_route_and_customer(*request, status)) {
            serving::attempt_outcome unused;
            unused.counts = false;
            pools_.finish_request(*chosen, unused, boot_clock::now());
            refused->run = state.runs > 0 ? verdict::may_have_run : verdict::not_run;
            co_return tl::unexpected(*refused);
        }
        auto ended = co_await attempt(request, writer, state, *chosen);
        if (std::holds_alternative<delivered>(ended)) {
            state.last_response.reset();
            co_return result<void>{};
        }
        auto& failed = std::get<attempt_failure>(ended);
        if (!failed.inputs_expired) { // which is no fault of the endpoint
            state.tried_endpoints.push_back(chosen->target.id);
        }
        const bool ran = failed.error.run != verdict::not_run;
        (ran ? state.runs : state.was_sent ? state.refusals : state.unreachable) += 1;
        if (state.runs == 0) {
            request->sent.reset(); // no endpoint works on it, so a stop may still refuse it
        }
        if (failed.response) {
            state.last_response = std::move(failed.response);
        }
        if (request->abort_reason()) {
            continue;
        }
        const bool again = co_await await_retry(request, state, failed, writer);
        if (request->abort_reason()) {
            continue;
        }
        if (!again) {
            if (state.last_response && !writer.has_started_stream()) {
                co_return co_await send_saved_response(request, writer, state);
            }
            failure why = failed.error;
            why.run = state.runs > 0 ? verdict::may_have_run : why.run;
            co_return tl::unexpected(why);
        }
        metrics_.count("quetzal_attempts_repeated_total", {});
        log_event("attempt_repeated", {{"request", request->message.id},
                                       {"endpoint", chosen->target.id},
                                       {"verdict", to_string(failed.error.run)},
                                       {"detail", failed.error.detail},
                                       {"runs", state.runs},
                                       {"events_sent", writer.has_started_stream()}});
        if (failed.inputs_expired || state.inputs_released) {
            co_return not_run(reason::answer_mismatch, "the result of a stage no longer exists");
        }
    }
}

asio::awaitable<result<void>> request_flow::send_saved_response(const request_ptr& request,
                                                                response_writer& writer,
                                                                attempt_state& state)
{
    saved_response& saved = *state.last_response;
    record_outcome(*request, "endpoint_failed");
    log_event("answer_failed", {{"request", request->message.id},
                                {"endpoint", state.tried_endpoints.back()},
                                {"status", saved.status},
                                {"runs", state.runs}});
    co_await writer.write_response(saved.status, std::move(saved.headers), std::move(saved.body));
    co_return result<void>{};
}

bool request_flow::may_send_again(const running_request& request, const attempt_state& state,
                                  bool started_stream, time_point now) const
{
    return now + min_attempt_time < request.deadline && state.refusals < max_refusals &&
           state.unreachable < max_unreachable && (started_stream || now <= latest_send(request));
}

bool request_flow::may_repeat(const running_request& request, const attempt_state& state,
                              const attempt_failure& failed, bool started_stream,
                              time_point now) const
{
    const bool ran = failed.error.run != verdict::not_run;
    return failed.error.why != reason::quarantined &&
           may_send_again(request, state, started_stream, now) &&
           (!ran || (state.retryable && state.runs < request.matched->max_attempts));
}

bool request_flow::take_retry(const running_request& request, attempt_state& state, time_point now)
{
    return !state.was_sent || std::exchange(state.retry_reserved, false) ||
           budget_.try_retry(select_service(request), members_.recent_size(now), now);
}

asio::awaitable<void> request_flow::reject(running_request& request, response_writer& writer,
                                           unsigned status, const failure& why)
{
    const bool caller_disconnected = why.why == reason::cancelled;
    if (why.why == reason::unauthorized && why.run == verdict::not_run) {
        status = http_status::unauthorized;
    } else if (why.why == reason::not_found && why.run == verdict::not_run) {
        status = http_status::not_found;
    } else if (why.why == reason::invalid_request) {
        status = http_status::bad_request;
    }
    record_outcome(request, to_string(why.why));
    request.progress.ended_by_instance = why.why;
    log_event(caller_disconnected ? "caller_left" : "request_refused",
              {{"request", request.message.id},
               {"route", request.matched ? std::string_view(request.matched->name) : "none"},
               {"status", status},
               {"verdict", to_string(why.run)},
               {"reason", to_string(why.why)},
               {"detail", why.detail},
               {"configuration", view_.version()},
               {"priority", request.priority},
               {"patience_ms",
                whole_milliseconds(request.message.caller_timeout.value_or(duration::zero()))},
               {"timeout_ms", request.matched ? whole_milliseconds(request.matched->timeout) : 0},
               {"customer", request.caller.customer},
               {"after_ms", whole_milliseconds(boot_clock::now() - request.message.received)}});
    if (caller_disconnected || writer.has_started_stream()) {
        writer.abort_connection();
        co_return;
    }
    std::string headers = "Content-Type: application/json\r\n";
    if (status == http_status::unavailable) {
        const double seconds =
            std::chrono::duration<double>(why.retry_after ? duration(*why.retry_after)
                                                          : default_retry_after)
                .count();
        headers += "Retry-After: " + std::to_string(seconds) + "\r\n";
    }
    std::string body = "{\"verdict\":\"";
    body += to_string(why.run);
    body += "\",\"reason\":\"";
    body += to_string(why.why);
    body += "\"}";
    co_await writer.write_response(status, std::move(headers), std::move(body));
}

} // namespace quetzal::gateway
