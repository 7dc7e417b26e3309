// Stage calls, from submission to completion or failure.

#include "dispatcher_state.hpp"

#include <algorithm>
#include <limits>

namespace quetzal::serving {

using internal::milliseconds_text;

namespace {

constexpr double min_cost = 0.05;       // multiple of the mean cost; keeps virtual time advancing
constexpr double cost_smoothing = 0.05; // weight of the newest call in a pool's means
// Time without new work for an endpoint that refused work before running it.
constexpr duration refusal_pause = std::chrono::milliseconds(200);
constexpr std::uint32_t priority_levels = 10;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::uint32_t priority_of(duration slack, duration whole)
{
    if (slack <= duration::zero() || whole <= duration::zero()) {
        return 0;
    }
    const auto tenth = std::max<duration::rep>(whole.count() / priority_levels, 1);
    return static_cast<std::uint32_t>(
        std::min<duration::rep>(slack.count() / tenth, priority_levels - 1));
}

} // namespace

internal::call_state* dispatcher::implementation::find(call_key key)
{
    const auto found = calls_.find(key);
    return found == calls_.end() ? nullptr : &found->second;
}

std::optional<std::size_t> dispatcher::implementation::position_of(const call_state& call,
                                                                   std::uint32_t attempt)
{
    for (std::size_t position = 0; position < call.running.size(); ++position) {
        if (call.running[position].number == attempt) {
            return position;
        }
    }
    return std::nullopt;
}

void dispatcher::implementation::submit_call(const call_submission& start, time_point now)
{
    const auto found = requests_.find(start.request);
    if (found == requests_.end() || !found->second.admitted) {
        pending_actions_.emplace_back(
            call_failed{start.request,
                        start.call,
                        {verdict::not_run, reason::not_found, "request is not admitted", {}}});
        return;
    }
    request_state& request = found->second;
    const deadline_budget& budget = request.pipeline->budget;
    call_state& call = calls_[start.call];
    call.start = start;
    call.request = &request;
    call.pool = request.pipeline->pools[start.stage].get();
    call.limits = budget.limits(start.stage, request.work_class.objective, request.start.arrived,
                                request.deadline, now);
    const bool finishes_late = request.work_class.late == config::late_policy::finish;
    if (finishes_late) {
        call.limits.give_up = request.end;
    }
    const double expected = start.cost.value_or(seconds(budget.stage_latency(start.stage, 0.5)));
    if (call.pool->mean_cost > 0 && expected > 0) {
        call.cost = std::max(expected / call.pool->mean_cost, min_cost);
    }
    if (start.stage == request.bottleneck && !request.reached_bottleneck) {
        double& delay = call.pool->upstream_delay;
        delay += (seconds(now - request.admitted_at) - delay) * cost_smoothing;
    }
    request.calls.insert(start.call);
    queue_call(call, finishes_late ? request.end : call.limits.latest_start);
}

void dispatcher::implementation::queue_call(call_state& call, time_point expires)
{
    queue_entry entry;
    entry.key = static_cast<std::uint64_t>(call.start.call);
    entry.customer = call.request->start.customer;
    entry.urgent_by = call.limits.urgent_by;
    entry.expires = expires;
    entry.deadline = call.request->end;
    entry.late_extension = call.request->work_class.objective.deadline;
    entry.committed = true;
    entry.cost = call.cost;
    call.queued = true;
    call.pool->calls.push(std::move(entry));
}

// Returns by which factor the call may be slower than usual and still meet its targets.
double dispatcher::implementation::tolerable_slowdown(const call_state& call, time_point now)
{
    constexpr double usual = 0.95; // quantile
    const request_state& request = *call.request;
    const auto ratio = [](duration left, duration needed) {
        return needed > duration::zero() ? seconds(left) / seconds(needed)
                                         : std::numeric_limits<double>::infinity();
    };
    const duration whole = request.pipeline->budget.stage_latency(call.start.stage, usual);
    double tolerable = ratio(call.limits.give_up - now, whole);
    const auto& first_token = request.work_class.objective.first_token;
    if (first_token && call.start.stage + 1 == request.done.size()) {
        const duration first = call.pool->chooser.normal_latency(usual);
        tolerable = std::min(tolerable, ratio(request.start.arrived + *first_token - now, first));
    }
    return tolerable;
}

std::optional<choice> dispatcher::implementation::choose(const call_state& call, time_point now)
{
    choice_request request;
    request.prefixes = call.start.prefixes;
    request.avoid = call.tried;
    request.avoid_zone = call.failed_zone;
    request.slowdown = tolerable_slowdown(call, now);
    const endpoint_chooser& chooser = call.pool->chooser;
    if (auto chosen = chooser.choose(request, random_, now)) {
        return chosen;
    }
    // Endpoints that were already tried are considered again only when no other one is usable.
    const auto usable_tried =
        std::count_if(call.tried.begin(), call.tried.end(),
                      [&](endpoint_index tried) { return chooser.exclusions(tried) == 0; });
    if (!call.running.empty() || chooser.usable() > static_cast<std::size_t>(usable_tried)) {
        return std::nullopt;
    }
    request.avoid = {};
    return chooser.choose(request, random_, now);
}

gate_result dispatcher::implementation::check_start(const call_state& call, time_point now,
                                                    std::optional<choice>& chosen)
{
    if (gate_) {
        const request_submission& request = call.request->start;
        gate_result answer = gate_({request.request, request.customer, request.work_class, false});
        if (answer.decision != gate_decision::start) {
            return answer;
        }
    }
    chosen = choose(call, now);
    return {chosen ? gate_decision::start : gate_decision::defer, {}, {}};
}

void dispatcher::implementation::start_queued_calls(pool_state& pool, time_point now)
{
    std::vector<removed_entry> removed;
    pool.calls.expire(now, removed);
    std::optional<choice> chosen;
    const auto check = [&](const queue_entry& entry) {
        return check_start(calls_.at(static_cast<call_key>(entry.key)), now, chosen);
    };
    while (!pool.calls.empty() && pool.chooser.free_capacity(now) > 0) {
        const auto entry = pool.calls.pop(now, check, removed);
        if (!entry) {
            break;
        }
        call_state& call = calls_.at(static_cast<call_key>(entry->key));
        call.queued = false;
        start(call, *chosen, false, now);
    }
    fail_removed(removed, pool, now);
}

void dispatcher::implementation::start(call_state& call, const choice& chosen, bool hedge,
                                       time_point now)
{
    pool_state& pool = *call.pool;
    endpoint_record& record = *pool.records[chosen.endpoint];
    request_state& request = *call.request;
    pool.chooser.started(chosen.endpoint, now);
    ++pool.running;
    call.retry_token = false;
    attempt_state attempt;
    attempt.number = ++call.attempts;
    attempt.endpoint = &record;
    attempt.started = now;
    attempt.last_chunk = now;
    attempt.expected_prefix = chosen.expected_prefix;
    attempt.hedge = hedge;
    attempt.borrowed = !record.ramp.warm() && !record.ramp.holder();
    call.running.push_back(attempt);
    if (call.start.stage == request.bottleneck) {
        mark_bottleneck_reached(request);
    }
    set_timer(call);
    add_step(request, now,
             "stage " + call.stage().id.name + ": " + (hedge ? "hedge " : "attempt ") +
                 std::to_string(attempt.number) + " on " + record.id.name + ", expected wait " +
                 milliseconds_text(chosen.expected_wait) + ", cache gain " +
                 milliseconds_text(chosen.cache_gain) + ", best of " +
                 std::to_string(chosen.candidates));
    start_attempt action;
    action.request = request.start.request;
    action.call = call.start.call;
    action.attempt = attempt.number;
    action.endpoint = record.id;
    action.process = record.ramp.process().value_or(incarnation{});
    action.offset = call.offset;
    action.give_up = call.limits.give_up;
    action.priority =
        priority_of(call.limits.urgent_by - now, request.work_class.objective.deadline);
    action.hedge = hedge;
    action.cold = !record.ramp.warm();
    if (attempt.borrowed) {
        action.start_by = record.borrowed.start_by();
        action.give_up = std::min(action.give_up, record.borrowed.take(now));
    }
    pending_actions_.emplace_back(std::move(action));
}

// Updates the pool's mean cost, and corrects the customer's virtual time by the measured cost of
// the call.
void dispatcher::implementation::update_mean_cost(call_state& call, duration whole)
{
    pool_state& pool = *call.pool;
    const double cost = seconds(whole);
    pool.mean_cost += pool.mean_cost > 0 ? (cost - pool.mean_cost) * cost_smoothing : cost;
    if (pool.mean_cost <= 0) {
        return;
    }
    const double difference = cost / pool.mean_cost - call.cost;
    pool.calls.charge(call.request->start.customer, difference);
    if (call.start.stage == call.request->bottleneck) {
        pool.admissions.charge(call.request->start.customer, difference);
    }
}

void dispatcher::implementation::attempt_succeeded(const attempt_success& success, time_point now)
{
    call_state* call = find(success.call);
    auto position = call == nullptr ? std::nullopt : position_of(*call, success.attempt);
    if (!position) {
        return;
    }
    if (!call->selected) {
        select(*call, success.attempt, now);
        position = position_of(*call, success.attempt);
    }
    const attempt_state attempt = call->running[*position];
    attempt_outcome outcome;
    outcome.success = true;
    outcome.whole = now - attempt.started;
    outcome.latency = attempt.first_chunk.value_or(now) - attempt.started;
    outcome.cached_tokens = success.cached_tokens;
    outcome.expected_prefix = attempt.expected_prefix;
    if (!call->start.prefixes.empty()) {
        outcome.prompt = call->start.prefixes.back();
    }
    end_attempt(*call, *position, outcome, now);
    request_state& request = *call->request;
    call->pool->budget.succeeded();
    if (call->offset == 0) { // the time of a resumed stream is not that of a complete answer
        request.pipeline->budget.record(call->start.stage, outcome.whole, outcome.latency, now);
        update_mean_cost(*call, outcome.whole);
    }
    request.done[call->start.stage] = true;
    add_step(request, now,
             "stage " + call->stage().id.name + ": answered in " +
                 milliseconds_text(outcome.whole));
    pending_actions_.emplace_back(call_done{request.start.request, success.call, success.attempt});
    erase_call(*call);
}

void dispatcher::implementation::attempt_failed(const attempt_failure& failed, time_point now)
{
    call_state* call = find(failed.call);
    const auto position = call == nullptr ? std::nullopt : position_of(*call, failed.attempt);
    if (!position) {
        return;
    }
    endpoint_record& record = *call->running[*position].endpoint;
    const std::uint32_t zone = call->pool->chooser.zone(record.index);
    call->tried.push_back(record.index);
    call->failed_zone = zone;
    if (failed.refused_by_endpoint) {
        record.refusing_until = now + refusal_pause;
        update_availability(record);
    }
    attempt_outcome outcome;
    outcome.counts = !failed.refused_by_endpoint && failed.why.why != reason::cancelled;
    end_attempt(*call, *position, outcome, now);
    call->run = call->run ? combine(*call->run, failed.why.run) : failed.why.run;
    call->last_failure = failed.why;
    set_timer(*call);
    if (!call->running.empty()) {
        return; // the other attempt may still answer
    }
    failed_attempt attempt;
    attempt.run = failed.why.run;
    attempt.attempts = call->attempts;
    attempt.offset = failed.offset;
    attempt.idempotent = call->stage().idempotent;
    attempt.resumes_streams = call->pool->declared.resumes_streams;
    attempt.give_up = call->limits.give_up;
    attempt.expected_latency = call->request->pipeline->budget.stage_latency(
        call->start.stage, options_.budget.optimistic_quantile);
    const retry_decision answer = decide_retry(attempt, call->pool->budget, now);
    add_step(*call->request, now,
             "stage " + call->stage().id.name + ": attempt " + std::to_string(failed.attempt) +
                 " failed (" + std::string(to_string(failed.why.why)) + "), " + to_string(answer));
    if (answer != retry_decision::retry) {
        fail_call(*call, failed.why, now);
        return;
    }
    ++call->pool->retries;
    call->retry_token = true;
    call->offset = failed.offset;
    call->selected.reset();
    queue_call(*call, call->limits.give_up - attempt.expected_latency);
}

void dispatcher::implementation::fail_call(call_state& call, failure why, time_point now)
{
    why.run = call.run.value_or(verdict::not_run);
    add_step(*call.request, now,
             "stage " + call.stage().id.name + ": failed, " + std::string(to_string(why.why)) +
                 ", " + std::string(to_string(why.run)));
    const request_key request = call.request->start.request;
    const call_key key = call.start.call;
    erase_call(call);
    pending_actions_.emplace_back(call_failed{request, key, std::move(why)});
}

void dispatcher::implementation::fail_removed(const std::vector<removed_entry>& removed,
                                              const pool_state& pool, time_point now)
{
    for (const removed_entry& item : removed) {
        call_state& call = calls_.at(static_cast<call_key>(item.entry.key));
        call.queued = false;
        failure why{verdict::not_run, item.why, item.detail, item.retry_after};
        if (item.why == reason::deadline_unreachable && pool.chooser.usable() == 0) {
            why.why = reason::no_endpoint;
            why.detail = "no endpoint of pool \"" + pool.declared.id.name + "\" is usable";
        }
        fail_call(call, std::move(why), now);
    }
}

// Removes a call that has no running attempts.
void dispatcher::implementation::erase_call(call_state& call)
{
    if (call.queued) {
        call.pool->calls.cancel(static_cast<std::uint64_t>(call.start.call));
    }
    if (call.retry_token) {
        call.pool->budget.refund();
    }
    if (call.timer) {
        timers_.erase({*call.timer, call.start.call});
    }
    call.request->calls.erase(call.start.call);
    calls_.erase(call_key(call.start.call));
}

void dispatcher::implementation::tick(time_point now)
{
    tick_endpoints(now);
    tick_slots(now);
    while (!timers_.empty() && timers_.begin()->first <= now) {
        apply_timer(calls_.at(timers_.begin()->second), now);
    }
}

actions dispatcher::implementation::take_actions(time_point now)
{
    for (const auto& [id, pool] : pools_) {
        start_queued_calls(*pool, now);
    }
    for (const auto& [id, pool] : pools_) {
        admit_waiting_requests(*pool, now);
    }
    return std::exchange(pending_actions_, {});
}

std::optional<time_point> dispatcher::implementation::next_tick() const
{
    std::optional<time_point> next;
    const auto earlier = [&](std::optional<time_point> candidate) {
        if (candidate && (!next || *candidate < *next)) {
            next = candidate;
        }
    };
    if (!timers_.empty()) {
        earlier(timers_.begin()->first);
    }
    for (const auto& [id, pool] : pools_) {
        earlier(pool->calls.next_expiry());
        earlier(pool->admissions.next_expiry());
    }
    return next;
}

} // namespace quetzal::serving
