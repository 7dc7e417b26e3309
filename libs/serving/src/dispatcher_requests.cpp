// Admission and refusal of requests, explanations and figures.

#include "dispatcher_state.hpp"

#include <algorithm>
#include <cmath>

namespace quetzal::serving {

namespace {

constexpr std::size_t max_steps = 32; // of one explanation

// A class that finishes late work gives it this many times its deadline in all. Without an end, a
// request whose pool is gone would wait for ever.
constexpr int late_deadlines = 4;

// Requests admitted beyond the free places and the work on its way, so that the bottleneck stage
// never idles for want of an admission.
constexpr double admission_reserve = 1;
// Headroom for the variation of the delay between admission and bottleneck stage.
constexpr double upstream_headroom = 1.25;

duration seconds_to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::chrono::milliseconds whole_milliseconds(duration value)
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

void dispatcher::implementation::note(request_state& request, time_point now, std::string what)
{
    if (request.steps.size() < max_steps) {
        request.steps.push_back({now, std::move(what)});
    }
}

void dispatcher::implementation::keep_explanation(request_state& request)
{
    if (options_.explained == 0) {
        return;
    }
    if (explained_.size() >= options_.explained) {
        explained_.pop_front();
    }
    explained_.push_back({request.start.request, std::move(request.steps)});
}

explanation dispatcher::implementation::explain(request_key key) const
{
    if (const auto running = requests_.find(key); running != requests_.end()) {
        return {key, running->second.steps};
    }
    const auto ended = std::find_if(explained_.rbegin(), explained_.rend(),
                                    [&](const explanation& kept) { return kept.request == key; });
    return ended == explained_.rend() ? explanation{key, {}} : *ended;
}

void dispatcher::implementation::refuse_request(request_key key, failure why, time_point now)
{
    if (const auto found = requests_.find(key); found != requests_.end()) {
        note(found->second, now,
             "refused: " + std::string(to_string(why.why)) + " (" + why.detail + ")");
        keep_explanation(found->second);
        requests_.erase(found);
    }
    out_.emplace_back(request_refused{key, std::move(why)});
}

// Saturated, the pool gives this instance as many seconds of stage time a second as it runs calls
// of this instance, at least its even share. Without a usable endpoint nothing is known, and the
// queue decides.
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
        static_cast<double>(pool.chooser.total_capacity()) / static_cast<double>(instances_);
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

// Returns the stage whose pool needs the longest time to work off what it has.
std::size_t dispatcher::implementation::find_bottleneck(const pipeline_state& pipeline)
{
    std::size_t bottleneck = 0;
    double longest = -1;
    for (std::size_t stage = 0; stage < pipeline.pools.size(); ++stage) {
        const pool_state& pool = *pipeline.pools[stage];
        const double work = 1 + pool.calls.queued_cost() + pool.admissions.queued_cost() +
                            static_cast<double>(pool.running + pool.upstream);
        const double places = std::max(pool.chooser.total_capacity(), 1u);
        const double needed = work * pool.mean_cost / places;
        if (needed > longest) {
            longest = needed;
            bottleneck = stage;
        }
    }
    return bottleneck;
}

void dispatcher::implementation::submit_request(const request_start& start, time_point now)
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
    const bool finish = declared->late == config::late_policy::finish;
    request.end = finish ? request.deadline + (late_deadlines - 1) * whole : request.deadline;
    request.done.assign(request.pipeline->pools.size(), false);

    const auto waits = expected_waits(*request.pipeline, start.customer, now);
    const reach reachable = request.pipeline->budget.judge(
        declared->objective, start.arrived, request.deadline, request.done, waits, now);
    if (!reachable.deadline && !finish) {
        const bool passed = reachable.available <= duration::zero();
        const duration missing = reachable.needed - reachable.available;
        refuse_request(start.request,
                       {verdict::not_run,
                        passed ? reason::deadline_passed : reason::deadline_unreachable,
                        "needs at least " + milliseconds_text(reachable.needed) + ", has " +
                            milliseconds_text(reachable.available),
                        passed ? std::nullopt : std::optional(whole_milliseconds(missing))},
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
    const double hope = options_.budget.hope_quantile;
    queue_entry entry;
    entry.key = static_cast<std::uint64_t>(request.start.request);
    entry.customer = request.start.customer;
    entry.deadline = request.end;
    const time_point latest =
        request.deadline - pipeline.budget.longest_path(request.done, {}, hope, false);
    // Under overload the queue serves every entry at its urgent time. With a hopeful estimate all
    // of them would then be late; late ones lose their urgency instead.
    const double usual = options_.budget.share_quantile;
    entry.urgent_by =
        request.deadline - pipeline.budget.longest_path(request.done, {}, usual, false);
    if (objective.first_token) {
        const duration first = pipeline.budget.longest_path(request.done, {}, usual, true);
        entry.urgent_by =
            std::min(entry.urgent_by, request.start.arrived + *objective.first_token - first);
    }
    const bool finish = request.work_class.late == config::late_policy::finish;
    entry.expires = finish ? request.end : latest;
    entry.late_extension = objective.deadline;
    pool_state& pool = *pipeline.pools[request.bottleneck];
    note(request, now,
         "waits for admission ahead of stage " +
             pipeline.declared.stages[request.bottleneck].id.name + " with " +
             std::to_string(pool.admissions.size()) + " others");
    if (const auto shed = pool.admissions.push(std::move(entry))) {
        refuse_removed({*shed}, pool, now);
    }
}

bool dispatcher::implementation::can_admit(const pool_state& pool, time_point now) const
{
    if (pool.chooser.usable() == 0) {
        return pool.upstream < borrowable(pool);
    }
    // Little's law: what the pool starts during the delay from an admission to the call there.
    const double rate = pool.mean_cost > 0 ? static_cast<double>(pool.running) / pool.mean_cost : 0;
    const double on_the_way = rate * pool.upstream_delay * upstream_headroom;
    return static_cast<double>(pool.upstream) <
           pool.chooser.free_capacity(now) + on_the_way + admission_reserve;
}

gate_answer dispatcher::implementation::check_admission(const request_state& request) const
{
    for (const auto& needed : request.pipeline->pools) {
        if (needed->chooser.usable() == 0 && borrowable(*needed) == 0) {
            return {start_gate::hold, reason::no_endpoint,
                    "no endpoint of pool " + needed->declared.id.name + " is usable"};
        }
    }
    return gate_ ? gate_({request.start.request, request.start.customer, request.start.work_class,
                          true})
                 : gate_answer{};
}

// Notes why a request waits, once for each cause in a row.
void dispatcher::implementation::note_delay(request_state& request, time_point now,
                                            const std::string& cause)
{
    const std::string what = "waits: " + cause;
    if (request.steps.empty() || request.steps.back().what != what) {
        note(request, now, what);
    }
}

void dispatcher::implementation::pump_admissions(pool_state& pool, time_point now)
{
    std::vector<removed_entry> removed;
    pool.admissions.expire(now, removed);
    const auto check = [&](const queue_entry& entry) {
        request_state& request = requests_.at(static_cast<request_key>(entry.key));
        gate_answer answer = check_admission(request);
        if (answer.decision == start_gate::hold) {
            note_delay(request, now, answer.detail);
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
        note(request, now, "admitted after " + milliseconds_text(now - request.start.arrived));
        out_.emplace_back(request_admitted{request.start.request});
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
            why.retry_after = whole_milliseconds(expected_wait(pool, item.entry.customer, now));
        }
        refuse_request(static_cast<request_key>(item.entry.key), std::move(why), now);
    }
}

void dispatcher::implementation::leave_bottleneck(request_state& request)
{
    if (request.admitted && !request.past_bottleneck) {
        request.past_bottleneck = true;
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
            abandon(state, 0, now, false);
        }
        erase_call(state);
    }
    if (!request.admitted) {
        request.pipeline->pools[request.bottleneck]->admissions.cancel(
            static_cast<std::uint64_t>(key));
    }
    leave_bottleneck(request);
    note(request, now, completed ? "completed" : "ended without a whole answer");
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
