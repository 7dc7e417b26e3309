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

constexpr duration poll_interval = 15ms;  // while all endpoints are full
constexpr unsigned refusal_limit = 3;     // endpoints that may refuse one request
constexpr unsigned unreachable_limit = 6; // endpoints that may be down at once for one request
constexpr duration least_time_for_attempt = 20ms;
constexpr duration default_retry_after = 300ms;
// Results of this many bytes are made where the endpoint is that will fetch them.
constexpr std::uint64_t large_results = 256u << 10;
// Expected time of the request itself after its stages.
constexpr duration after_stages = 250ms;

unsigned status_of(const failure& why)
{
    if (why.run == verdict::not_run) {
        return http_status::unavailable;
    }
    return why.why == reason::deadline_passed ? http_status::gateway_timeout
                                              : http_status::bad_gateway;
}

} // namespace

request_flow::request_flow(asio::io_context& context, const catalog& view, endpoint_pools& pools,
                           channel_pool& channels, stage_coordinator& coordinator,
                           member_table& members, const header_names& names,
                           retry_budget_options budget, telemetry::metrics& figures)
    : context_(context), view_(view), pools_(pools), channels_(channels), coordinator_(coordinator),
      members_(members), names_(names), budget_(budget), figures_(figures)
{
}

void request_flow::count(const running_request& request, std::string_view outcome)
{
    ++ended_;
    const std::string route = request.matched ? request.matched->name : "none";
    figures_.count("quetzal_requests_total", {{"route", route},
                                              {"customer", request.caller.customer},
                                              {"outcome", std::string(outcome)}});
    figures_.observe("quetzal_request_seconds", {{"route", route}},
                     boot_clock::now() - request.message.received);
}

std::optional<failure> request_flow::check_view(running_request& request, unsigned& status)
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
    if (auto refused = check_view(request, status)) {
        return refused;
    }
    const route& matched = *request.matched;
    const time_point received = request.message.received;
    const duration patience = request.message.patience.value_or(matched.timeout);
    request.deadline = received + std::min(patience, matched.timeout);
    request.target_until = received + matched.latency_target;
    return std::nullopt;
}

asio::awaitable<void> request_flow::serve(request_ptr request, answer_writer& answer)
{
    unsigned status = 0;
    if (const auto refused = admit(*request, status)) {
        co_await refuse(*request, answer, status, *refused);
        co_return;
    }
    ++running_;
    lazy_deadline timeout(context_.get_executor(), [request] {
        request->abort({verdict::may_have_run, reason::deadline_passed, "deadline passed", {}});
    });
    timeout.expires_after(request->deadline - boot_clock::now());
    attempt_state state;
    // Kept here: a new configuration may replace the request's route while it waits.
    const std::shared_ptr<const route> admitted = request->matched;
    const route& matched = *admitted;
    state.repeatable = matched.kind == route_kind::idempotent ||
                       (matched.kind == route_kind::stream && matched.resumable);
    result<void> outcome;
    // Results of stages can expire before the endpoint fetches them; then they are made once more.
    for (int round = 0; round < 2; ++round) {
        if (!matched.stages.empty()) {
            auto inputs = co_await run_stages(request, state.job);
            if (!inputs) {
                outcome = tl::unexpected(inputs.error());
                break;
            }
            state.inputs = std::move(*inputs);
        }
        outcome = co_await run_attempts(request, answer, state);
        const bool again = !outcome && outcome.error().why == reason::answer_mismatch;
        if (!again) {
            break;
        }
        coordinator_.release(state.job);
    }
    coordinator_.release(state.job);
    --running_;
    if (!outcome) {
        co_await refuse(*request, answer, status_of(outcome.error()), outcome.error());
    } else if (!state.last_answer) {
        count(*request, "answered");
    }
}

asio::awaitable<result<std::vector<std::string>>>
request_flow::run_stages(const request_ptr& request, std::uint64_t& ticket)
{
    struct waiting_answer
    {
        explicit waiting_answer(asio::io_context& context) : arrived(context) {}

        asio::steady_timer arrived; // never expires; cancelled to wake up the waiting coroutine
        std::optional<job_outcome> outcome;
    };
    const route& matched = *request->matched;
    const auto counts = parse_piece_counts(request->message.piece_counts);
    if (!counts) {
        co_return not_run(reason::invalid_request, "the piece counts are malformed");
    }
    local_job job;
    job.latency_deadline = request->target_until - after_stages;
    job.deadline = request->deadline;
    job.content.request_id = request->message.id;
    job.content.piece_key = request->message.piece_key;
    job.content.priority = request->priority;
    for (std::size_t index = 0; index < matched.stages.size(); ++index) {
        const stage_definition& stage = matched.stages[index];
        job.content.stages.push_back({stage.service,
                                      {stage.after.begin(), stage.after.end()},
                                      stage.result_size,
                                      index < counts->size() ? (*counts)[index] : 0});
    }
    job.content.zone = wanted_zone(*request, job.content.stages);
    const auto answer = std::make_shared<waiting_answer>(context_);
    answer->arrived.expires_at(asio::steady_timer::time_point::max());
    request->on_abort([answer] { answer->arrived.cancel(); });
    ticket = coordinator_.submit(std::move(job), [answer](job_outcome outcome) {
        answer->outcome = std::move(outcome);
        answer->arrived.cancel();
    });
    if (!answer->outcome && !request->aborted()) {
        boost::system::error_code ignored; // cancelled: the answer is there, or the request ended
        co_await answer->arrived.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    request->on_abort({});
    if (request->aborted() || !answer->outcome) {
        // Making results of stages is not running the request.
        failure why = request->aborted().value_or(
            failure{verdict::not_run, reason::internal_error, "no answer of the conductor", {}});
        why.run = verdict::not_run;
        co_return tl::unexpected(why);
    }
    job_outcome& outcome = *answer->outcome;
    const std::chrono::milliseconds retry_after(outcome.retry_after_ms);
    switch (outcome.status) {
    case job_status::done:
        co_return std::move(outcome.results);
    case job_status::refused:
        co_return not_run(reason::overloaded,
                          "the stages would take " + std::to_string(outcome.expected_ms) +
                              " ms and may take " + std::to_string(outcome.allowed_ms) + " ms",
                          retry_after);
    case job_status::deadline_exceeded:
        co_return not_run(reason::deadline_unreachable, "the stages were too slow", retry_after);
    case job_status::failed:
    case job_status::handed_back: // answered by the conductor itself
        break;
    }
    co_return not_run(reason::endpoint_failed, "a stage failed", retry_after);
}

std::string request_flow::service_of(const running_request& request) const
{
    const auto& services = request.matched->services;
    double total = 0;
    for (const auto& candidate : services) {
        total += candidate.weight;
    }
    // All attempts of one request go the same way.
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

std::string request_flow::wanted_zone(const running_request& request,
                                      const std::vector<job_stage>& stages)
{
    std::vector<bool> followed(stages.size());
    for (const job_stage& stage : stages) {
        for (const std::uint32_t earlier : stage.after) {
            if (stage.pieces > 0 && earlier < stages.size()) {
                followed[earlier] = true;
            }
        }
    }
    std::uint64_t moved = 0; // bytes that the endpoint fetches
    for (std::size_t index = 0; index < stages.size(); ++index) {
        moved += followed[index] ? 0 : stages[index].pieces * stages[index].result_size;
    }
    if (moved < large_results) {
        return {};
    }
    return pools_.likely_zone(view_, service_of(request), {request.message.prefixes, {}},
                              boot_clock::now());
}

asio::awaitable<result<chosen_endpoint>> request_flow::choose(const request_ptr& request,
                                                              const attempt_state& state)
{
    const std::string service = service_of(*request);
    endpoint_wish wish{request->message.prefixes, state.tried};
    const time_point patience_ends = std::min(request->target_until, request->deadline);
    while (true) {
        const time_point now = boot_clock::now();
        auto chosen = pools_.start(view_, service, wish, members_, now);
        if (chosen) {
            co_return std::move(*chosen);
        }
        if (request->aborted()) {
            failure why = *request->aborted();
            why.run = verdict::not_run;
            co_return tl::unexpected(why);
        }
        if (!pools_.any_usable(view_, service)) {
            co_return not_run(reason::no_endpoint, "no endpoint accepts work",
                              std::chrono::milliseconds(500));
        }
        if (now >= patience_ends || state.last_answer) {
            co_return not_run(reason::overloaded, "all endpoints are full");
        }
        asio::steady_timer timer(context_, poll_interval);
        boost::system::error_code ignored; // the timer is not cancelled
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<result<void>>
request_flow::run_attempts(const request_ptr& request, answer_writer& answer, attempt_state& state)
{
    while (true) {
        if (request->aborted()) {
            failure why = *request->aborted();
            why.run = state.runs > 0 ? verdict::may_have_run : verdict::not_run;
            co_return tl::unexpected(why);
        }
        auto chosen = co_await choose(request, state);
        if (!chosen && state.last_answer && !answer.begun()) {
            co_return co_await deliver_kept(request, answer, state);
        }
        if (!chosen) {
            failure why = chosen.error();
            why.run = state.runs > 0 ? verdict::may_have_run : why.run;
            co_return tl::unexpected(why);
        }
        unsigned status = 0;
        if (auto refused = check_view(*request, status)) {
            serving::attempt_outcome unused;
            unused.counts = false;
            pools_.finish(*chosen, unused, boot_clock::now());
            refused->run = state.runs > 0 ? verdict::may_have_run : verdict::not_run;
            co_return tl::unexpected(*refused);
        }
        auto ended = co_await attempt(request, answer, state, *chosen);
        if (std::holds_alternative<delivered>(ended)) {
            state.last_answer.reset();
            co_return result<void>{};
        }
        auto& failed = std::get<attempt_failed>(ended);
        state.tried.push_back(chosen->target.id);
        const bool ran = failed.error.run != verdict::not_run;
        const bool unreachable = !ran && failed.error.why == reason::no_endpoint;
        (ran ? state.runs : unreachable ? state.unreachable : state.refusals) += 1;
        if (failed.answer) {
            state.last_answer = std::move(failed.answer);
        }
        const time_point now = boot_clock::now();
        if (failed.inputs_gone) {
            co_return not_run(reason::answer_mismatch, "the result of a stage has expired");
        }
        if (request->aborted()) {
            continue;
        }
        if (!may_repeat(*request, state, failed, now)) {
            if (state.last_answer && !answer.begun()) {
                co_return co_await deliver_kept(request, answer, state);
            }
            failure why = failed.error;
            why.run = state.runs > 0 ? verdict::may_have_run : why.run;
            co_return tl::unexpected(why);
        }
        figures_.count("quetzal_attempts_repeated_total", {});
        log_event("attempt_repeated", {{"request", request->message.id},
                                       {"endpoint", chosen->target.id},
                                       {"verdict", to_string(failed.error.run)},
                                       {"detail", failed.error.detail},
                                       {"runs", state.runs},
                                       {"events_sent", answer.begun()}});
    }
}

asio::awaitable<result<void>>
request_flow::deliver_kept(const request_ptr& request, answer_writer& answer, attempt_state& state)
{
    kept_answer& kept = *state.last_answer;
    count(*request, "endpoint_failed");
    log_event("answer_failed", {{"request", request->message.id},
                                {"endpoint", state.tried.back()},
                                {"status", kept.status},
                                {"runs", state.runs}});
    co_await answer.whole(kept.status, std::move(kept.headers), std::move(kept.body));
    co_return result<void>{};
}

bool request_flow::may_repeat(const running_request& request, const attempt_state& state,
                              const attempt_failed& failed, time_point now)
{
    if (now + least_time_for_attempt >= request.deadline || state.refusals >= refusal_limit ||
        state.unreachable >= unreachable_limit)
    {
        return false;
    }
    const bool ran = failed.error.run != verdict::not_run;
    if (ran && (!state.repeatable || state.runs >= request.matched->max_attempts)) {
        return false;
    }
    if (failed.error.why == reason::no_endpoint) {
        return true; // nothing arrived at an endpoint
    }
    return budget_.try_retry(service_of(request), members_.recent_size(now), now);
}

asio::awaitable<void> request_flow::refuse(running_request& request, answer_writer& answer,
                                           unsigned status, const failure& why)
{
    const bool caller_gone = why.why == reason::cancelled;
    if (why.why == reason::unauthorized && why.run == verdict::not_run) {
        status = http_status::unauthorized;
    } else if (why.why == reason::not_found && why.run == verdict::not_run) {
        status = http_status::not_found;
    } else if (why.why == reason::invalid_request) {
        status = http_status::bad_request;
    }
    count(request, to_string(why.why));
    log_event(
        caller_gone ? "caller_left" : "request_refused",
        {{"request", request.message.id},
         {"route", request.matched ? std::string_view(request.matched->name) : "none"},
         {"status", status},
         {"verdict", to_string(why.run)},
         {"reason", to_string(why.why)},
         {"detail", why.detail},
         {"configuration", view_.version()},
         {"priority", request.priority},
         {"patience_ms", whole_milliseconds(request.message.patience.value_or(duration::zero()))},
         {"timeout_ms", request.matched ? whole_milliseconds(request.matched->timeout) : 0},
         {"customer", request.caller.customer},
         {"after_ms", whole_milliseconds(boot_clock::now() - request.message.received)}});
    if (caller_gone || answer.begun()) {
        answer.cut();
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
    co_await answer.whole(status, std::move(headers), std::move(body));
}

} // namespace quetzal::gateway
