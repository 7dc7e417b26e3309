// Admission and refusal of requests, explanations and statistics.

#include "dispatcher_state.hpp"

#include <algorithm>
#include <cmath>

namespace quetzal::serving {

namespace {

constexpr std::size_t max_explanation_steps = 32;

// For a class that finishes late work, the total time of a request as a multiple of its deadline.
// Without this limit, a request whose pool was removed would wait forever.
constexpr int late_deadline_factor = 4;

// Requests admitted in addition to the free capacity and the arriving work, so that the bottleneck
// stage is never idle for lack of an admission.
constexpr double admission_reserve = 1;
// Factor that allows for variation of the delay from admission to the bottleneck stage.
constexpr double upstream_headroom = 1.25;

duration seconds_to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::chrono::milliseconds round_up_to_milliseconds(duration value)
{
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(value),
                    std::chrono::milliseconds(1));
}

} // namespace

std::string internal::milliseconds_text(duration value)
{
    return std::to_string(std::chrono::round<std::chrono::milliseconds>(value).count()) + " ms";
}

using internal::milliseconds_text;

void dispatcher::implementation::add_step(request_state& request, time_point now, std::string what)
{
    if (request.steps.size() < max_explanation_steps) {
        request.steps.push_back({now, std::move(what)});
    }
}

void dispatcher::implementation::keep_explanation(request_state& request)
{
    if (options_.kept_explanations == 0) {
        return;
    }
    if (finished_explanations_.size() >= options_.kept_explanations) {
        finished_explanations_.pop_front();
    }
    finished_explanations_.push_back({request.start.request, std::move(request.steps)});
}

explanation dispatcher::implementation::explain(request_key key) const
{
    if (const auto running = requests_.find(key); running != requests_.end()) {
        return {key, running->second.steps};
    }
    const auto ended = std::find_if(finished_explanations_.rbegin(), finished_explanations_.rend(),
                                    [&](const explanation& kept) { return kept.request == key; });
    return ended == finished_explanations_.rend() ? explanation{key, {}} : *ended;
}

void dispatcher::implementation::refuse_request(request_key key, failure why, time_point now)
{
    if (const auto found = requests_.find(key); found != requests_.end()) {
        add_step(found->second, now,
                 "refused: " + std::string(to_string(why.why)) + " (" + why.detail + ")");
        keep_explanation(found->second);
        requests_.erase(found);
    }
    pending_actions_.emplace_back(request_refused{key, std::move(why)});
}

// A saturated pool gives this instance, per second, as many seconds of stage time as it runs calls
// of this instance, and at least the instance's even share of the pool. Without a usable endpoint
// the wait is unknown; zero is returned, and the queue expires the request.
duration dispatcher::implementation::expected_wait(const pool_state& pool,
                                                   const customer_id& customer,
                                                   time_point now) const
{
    const bool idle = pool.calls.empty() && pool.admissions.empty();
    if (pool.chooser.usable() == 0 || (idle && pool.chooser.free_capacity(now) > 0)) {
        return duration::zero();
    }
    const double ahead = pool.calls.cost_ahead(customer) + pool.admissions.cost_ahead(customer) + 1;
    const double share =
        static_cast<double>(pool.chooser.total_capacity()) / static_cast<double>(live_instances_);
    const double rate = std::max({static_cast<double>(pool.running), share, 1.0});
    return seconds_to_duration(ahead * pool.mean_cost / rate);
}

std::vector<duration> dispatcher::implementation::expected_waits(const pipeline_state& pipeline,
                                                                 const customer_id& customer,
                                                                 time_point now) const
{
    std::vector<duration> waits;
    for (const auto& pool : pipeline.pools) {
        waits.push_back(expected_wait(*pool, customer, now));
    }
    return waits;
}

// Returns the stage whose pool needs the longest time for the work that it already has.
std::size_t dispatcher::implementation::find_bottleneck(const pipeline_state& pipeline)
{
    std::size_t bottleneck = 0;
    double longest = -1;
    for (std::size_t stage = 0; stage < pipeline.pools.size(); ++stage) {
        const pool_state& pool = *pipeline.pools[stage];
        const double work = 1 + pool.calls.queued_cost() + pool.admissions.queued_cost() +
                            static_cast<double>(pool.running + pool.upstream);
        const double capacity = std::max(pool.chooser.total_capacity(), 1u);
        const double needed = work * pool.mean_cost / capacity;
        if (needed > longest) {
            longest = needed;
            bottleneck = stage;
        }
    }
    return bottleneck;
}

void dispatcher::implementation::submit_request(const request_submission& start, time_point now)
{
    const config::work_class* declared = published_ ? published_->find(start.work_class) : nullptr;
    const auto pipeline =
        declared == nullptr ? pipelines_.end() : pipelines_.find(declared->pipeline);
    if (pipeline == pipelines_.end()) {
        refuse_request(start.request,
                       {verdict::not_run,
                        reason::unknown_class,
                        "class \"" + start.work_class.name + "\" is not declared",
                        {}},
                       now);
        return;
    }
    request_state& request = requests_[start.request];
    request.start = start;
    request.work_class = *declared;
    request.pipeline = pipeline->second;
    const duration whole = declared->objective.deadline;
    request.deadline = start.arrived + whole;
    if (start.deadline) {
        request.deadline = std::min(request.deadline, *start.deadline);
    }
    const bool finishes_late = declared->late == config::late_policy::finish;
    request.end =
        finishes_late ? request.deadline + (late_deadline_factor - 1) * whole : request.deadline;
    request.done.assign(request.pipeline->pools.size(), false);

    const auto waits = expected_waits(*request.pipeline, start.customer, now);
    const feasibility estimate = request.pipeline->budget.assess(
        declared->objective, start.arrived, request.deadline, request.done, waits, now);
    if (!estimate.meets_deadline && !finishes_late) {
        const bool passed = estimate.available <= duration::zero();
        const duration missing = estimate.needed - estimate.available;
        refuse_request(start.request,
                       {verdict::not_run,
                        passed ? reason::deadline_passed : reason::deadline_unreachable,
                        "needs at least " + milliseconds_text(estimate.needed) + ", has " +
                            milliseconds_text(estimate.available),
                        passed ? std::nullopt : std::optional(round_up_to_milliseconds(missing))},
                       now);
        return;
    }
    request.bottleneck = find_bottleneck(*request.pipeline);
    queue_admission(request, now);
}

void dispatcher::implementation::queue_admission(request_state& request, time_point now)
{
    const auto& pipeline = *request.pipeline;
    const config::target& objective = request.work_class.objective;
    const double optimistic = options_.budget.optimistic_quantile;
    queue_entry entry;
    entry.key = static_cast<std::uint64_t>(request.start.request);
    entry.customer = request.start.customer;
    entry.deadline = request.end;
    const time_point latest =
        request.deadline - pipeline.budget.longest_path(request.done, {}, optimistic, false);
    // Under overload the queue serves each entry only at its `urgent_by` time. With the optimistic
    // estimate all of them would then be late, so the usual estimate is used here; entries that
    // become late lose their urgency.
    const double usual = options_.budget.share_quantile;
    entry.urgent_by =
        request.deadline - pipeline.budget.longest_path(request.done, {}, usual, false);
    if (objective.first_token) {
        const duration first = pipeline.budget.longest_path(request.done, {}, usual, true);
        entry.urgent_by =
            std::min(entry.urgent_by, request.start.arrived + *objective.first_token - first);
    }
    const bool finishes_late = request.work_class.late == config::late_policy::finish;
    entry.expires = finishes_late ? request.end : latest;
    entry.late_extension = objective.deadline;
    pool_state& pool = *pipeline.pools[request.bottleneck];
    add_step(request, now,
             "waits for admission ahead of stage " +
                 pipeline.declared.stages[request.bottleneck].id.name + " with " +
                 std::to_string(pool.admissions.size()) + " other requests");
    if (const auto shed = pool.admissions.push(std::move(entry))) {
        refuse_removed({*shed}, pool, now);
    }
}

bool dispatcher::implementation::can_admit(const pool_state& pool, time_point now) const
{
    if (pool.chooser.usable() == 0) {
        return pool.upstream < count_borrowable(pool);
    }
    // Little's law: number of calls that the pool starts during the delay from admission to the
    // call.
    const double rate = pool.mean_cost > 0 ? static_cast<double>(pool.running) / pool.mean_cost : 0;
    const double arriving = rate * pool.upstream_delay * upstream_headroom;
    return static_cast<double>(pool.upstream) <
           pool.chooser.free_capacity(now) + arriving + admission_reserve;
}

gate_result dispatcher::implementation::check_admission(const request_state& request) const
{
    for (const auto& needed : request.pipeline->pools) {
        if (needed->chooser.usable() == 0 && count_borrowable(*needed) == 0) {
            return {gate_decision::defer, reason::no_endpoint,
                    "no endpoint of pool " + needed->declared.id.name + " is usable"};
        }
    }
    return gate_ ? gate_({request.start.request, request.start.customer, request.start.work_class,
                          true})
                 : gate_result{};
}

// Adds a step that says why a request waits, unless the last step says the same.
void dispatcher::implementation::add_delay_step(request_state& request, time_point now,
                                                const std::string& cause)
{
    const std::string what = "waits: " + cause;
    if (request.steps.empty() || request.steps.back().what != what) {
        add_step(request, now, what);
    }
}

void dispatcher::implementation::admit_waiting_requests(pool_state& pool, time_point now)
{
    std::vector<removed_entry> removed;
    pool.admissions.expire(now, removed);
    const auto check = [&](const queue_entry& entry) {
        request_state& request = requests_.at(static_cast<request_key>(entry.key));
        gate_result answer = check_admission(request);
        if (answer.decision == gate_decision::defer) {
            add_delay_step(request, now, answer.detail);
        }
        return answer;
    };
    while (!pool.admissions.empty() && can_admit(pool, now)) {
        const auto entry = pool.admissions.pop(now, check, removed);
        if (!entry) {
            break;
        }
        request_state& request = requests_.at(static_cast<request_key>(entry->key));
        request.admitted = true;
        request.admitted_at = now;
        ++pool.upstream;
        add_step(request, now, "admitted after " + milliseconds_text(now - request.start.arrived));
        pending_actions_.emplace_back(request_admitted{request.start.request});
    }
    refuse_removed(removed, pool, now);
}

void dispatcher::implementation::refuse_removed(const std::vector<removed_entry>& removed,
                                                const pool_state& pool, time_point now)
{
    for (const removed_entry& item : removed) {
        failure why{verdict::not_run, item.why, item.detail, item.retry_after};
        const bool expired = item.why == reason::deadline_unreachable;
        if (expired && pool.chooser.usable() == 0) {
            why.why = reason::no_endpoint;
            why.detail = "no endpoint of pool \"" + pool.declared.id.name + "\" is usable";
        }
        if (expired || item.why == reason::overloaded) {
            why.retry_after =
                round_up_to_milliseconds(expected_wait(pool, item.entry.customer, now));
        }
        refuse_request(static_cast<request_key>(item.entry.key), std::move(why), now);
    }
}

void dispatcher::implementation::mark_bottleneck_reached(request_state& request)
{
    if (request.admitted && !request.reached_bottleneck) {
        request.reached_bottleneck = true;
        --request.pipeline->pools[request.bottleneck]->upstream;
    }
}

void dispatcher::implementation::finish_request(request_key key, bool completed, time_point now)
{
    const auto found = requests_.find(key);
    if (found == requests_.end()) {
        return;
    }
    request_state& request = found->second;
    for (const call_key call : std::set(request.calls)) {
        call_state& state = calls_.at(call);
        while (!state.running.empty()) {
            cancel_running(state, 0, now, false);
        }
        erase_call(state);
    }
    if (!request.admitted) {
        request.pipeline->pools[request.bottleneck]->admissions.cancel(
            static_cast<std::uint64_t>(key));
    }
    mark_bottleneck_reached(request);
    add_step(request, now, completed ? "completed" : "ended without a complete answer");
    keep_explanation(request);
    requests_.erase(found);
}

dispatcher::pool_figures dispatcher::implementation::figures(const pool_id& id) const
{
    pool_figures figures;
    if (const auto found = pools_.find(id); found != pools_.end()) {
        const pool_state& pool = *found->second;
        figures = {pool.admissions.size(),
                   pool.calls.size(),
                   pool.running,
                   pool.chooser.usable(),
                   pool.chooser.ejected(),
                   pool.chooser.total_capacity(),
                   pool.budget.tokens(),
                   pool.retries,
                   pool.hedges,
                   pool.chooser.normal_latency(0.95)};
    }
    return figures;
}

} // namespace quetzal::serving
