// Running attempts: hedges, timeouts, chunks, and the evidence that they give about the endpoint.

#include "dispatcher_state.hpp"

#include <algorithm>

namespace quetzal::serving {

namespace {

// Delay before a hedge that found no free capacity or budget is considered again.
constexpr duration hedge_retry_delay = std::chrono::milliseconds(20);
// An answer is normal up to the pool's median latency, and slow beyond `slow_factor` times the
// pool's 95th percentile. Three answers in a row beyond twice that percentile are unlikely for a
// warm endpoint.
constexpr double normal_quantile = 0.5;
constexpr double slow_factor = 2.0;
constexpr std::uint32_t min_latency_samples = 20; // answers before a pool's quantiles are used
constexpr double p95_quantile = 0.95;

duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

} // namespace

slow_attempt dispatcher::implementation::hedge_candidate(const call_state& call) const
{
    const attempt_state& attempt = call.running.back();
    slow_attempt slow;
    slow.started = attempt.started;
    slow.attempts = call.attempts;
    slow.running = static_cast<std::uint32_t>(call.running.size());
    slow.answered = attempt.first_chunk.has_value();
    slow.idempotent = call.stage().idempotent;
    slow.give_up = call.limits.give_up;
    slow.p95 = call.pool->chooser.normal_latency(p95_quantile);
    slow.samples = options_.hedges ? call.pool->chooser.latency_samples() : 0;
    return slow;
}

void dispatcher::implementation::set_timer(call_state& call)
{
    if (call.timer) {
        timers_.erase({*call.timer, call.start.call});
        call.timer.reset();
    }
    if (call.running.empty()) {
        return;
    }
    call.timer = call.limits.give_up;
    if (const auto due = hedge_time(hedge_candidate(call))) {
        call.timer = std::min(*call.timer, *due);
    }
    timers_.insert({*call.timer, call.start.call});
}

void dispatcher::implementation::apply_timer(call_state& call, time_point now)
{
    if (now >= call.limits.give_up) {
        while (!call.running.empty()) {
            const attempt_state& attempt = call.running.front();
            const duration normal = call.pool->chooser.normal_latency(p95_quantile);
            cancel_running(call, 0, now, now - attempt.started > scaled(normal, slow_factor));
            call.run = verdict::may_have_run;
        }
        fail_call(
            call,
            {verdict::may_have_run, reason::deadline_passed, "no answer before the deadline", {}},
            now);
        return;
    }
    hedge(call, now);
}

void dispatcher::implementation::hedge(call_state& call, time_point now)
{
    const slow_attempt slow = hedge_candidate(call);
    // Looks for an endpoint first, so that no token is taken for a hedge that cannot start.
    call.tried.push_back(call.running.back().endpoint->index);
    std::optional<choice> chosen;
    const bool may_start = check_start(call, now, chosen).decision == gate_decision::start;
    if (may_start && decide_hedge(slow, call.pool->budget, now)) {
        ++call.pool->hedges;
        call.pool->calls.charge(call.request->start.customer, call.cost);
        start(call, *chosen, true, now);
        return;
    }
    call.tried.pop_back();
    timers_.erase({*call.timer, call.start.call});
    call.timer = std::min(call.limits.give_up, now + hedge_retry_delay);
    timers_.insert({*call.timer, call.start.call});
}

// Frees the capacity used by an attempt, records its outcome and removes the attempt.
void dispatcher::implementation::end_attempt(call_state& call, std::size_t position,
                                             const attempt_outcome& outcome, time_point now)
{
    const attempt_state attempt = call.running[position];
    endpoint_record& record = *attempt.endpoint;
    pool_state& pool = *call.pool;
    call.running.erase(call.running.begin() + static_cast<std::ptrdiff_t>(position));
    --pool.running;
    pool.chooser.finished(record.index, outcome, now);
    auto how = slot_result::unused;
    if (outcome.counts) {
        const bool known = pool.chooser.latency_samples() >= min_latency_samples;
        const duration p95 = pool.chooser.normal_latency(p95_quantile);
        const bool normal =
            outcome.success &&
            (!known || outcome.latency <= pool.chooser.normal_latency(normal_quantile));
        const bool slow = outcome.success && known && outcome.latency > scaled(p95, slow_factor) &&
                          may_turn_cold(pool);
        add_ramp_actions(record, record.ramp.answered(normal, slow, attempt.started, now));
        update_availability(record);
        how = normal ? slot_result::normal : slot_result::slow;
    }
    if (attempt.borrowed) {
        if (const auto sequence = record.borrowed.finished()) {
            return_slot(record, *sequence, how);
        }
    }
    remove_if_idle(record);
}

// Cancels an attempt whose answer is no longer needed. With `too_slow`, the attempt counts as a
// failure of the endpoint; otherwise hedges would hide an endpoint that never answers.
void dispatcher::implementation::cancel_running(call_state& call, std::size_t position,
                                                time_point now, bool too_slow)
{
    const attempt_state& attempt = call.running[position];
    pending_actions_.emplace_back(
        cancel_attempt{call.start.call, attempt.number, attempt.endpoint->id});
    attempt_outcome outcome;
    outcome.counts = too_slow;
    outcome.too_slow = too_slow;
    end_attempt(call, position, outcome, now);
}

void dispatcher::implementation::select(call_state& call, std::uint32_t attempt, time_point now)
{
    call.selected = attempt;
    pending_actions_.emplace_back(select_attempt{call.start.call, attempt});
    for (std::size_t position = call.running.size(); position-- > 0;) {
        if (call.running[position].number != attempt) {
            cancel_running(call, position, now, !call.running[position].hedge);
        }
    }
}

void dispatcher::implementation::chunk_received(call_key key, std::uint32_t number, time_point now)
{
    call_state* call = find(key);
    const auto position = call == nullptr ? std::nullopt : position_of(*call, number);
    if (!position) {
        return; // late chunk of a cancelled attempt
    }
    attempt_state& attempt = call->running[*position];
    const config::target& objective = call->request->work_class.objective;
    if (!attempt.first_chunk) {
        attempt.first_chunk = now;
        attempt.last_chunk = now;
        if (!call->selected) {
            select(*call, number, now);
        }
        set_timer(*call);
        return;
    }
    const duration gap = now - attempt.last_chunk;
    attempt.last_chunk = now;
    if (call->start.stage + 1 == call->request->done.size()) {
        call->request->pipeline->budget.record_gap(gap, now);
    }
    if (objective.between_tokens) {
        call->pool->chooser.record_gap(attempt.endpoint->index, gap, *objective.between_tokens,
                                       now);
    }
}

} // namespace quetzal::serving
