#include <quetzal/gateway/stage_scheduler.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "request_priority.hpp"

namespace quetzal::gateway {

namespace {

// A call that takes longer than its expected time multiplied by this factor marks its endpoint as
// slow and is hedged: its pieces are queued again for other endpoints.
constexpr double slow_factor = 1.8;
// After a change of the coordinator the former one finishes its jobs, and calls of both queue
// behind each other at the endpoints. The jobs of most classes have ended after this time.
constexpr duration handover_time = std::chrono::seconds(3);
constexpr unsigned max_piece_retries = 12; // retries of all pieces of one job
// Number of pieces of a call at typical load, as a share of a full call.
constexpr double typical_fill = 0.6;
// Moving results between zones takes transfer time on shared links. For an endpoint of the piece's
// zone, the piece is ordered as if it were due earlier by this bonus than for one of another zone.
// A piece waits until an endpoint of its zone should have become idle before one of another zone
// may take it, at least for this time, unless it is urgent: less than `urgent_slack` is left beyond
// the time of a call.
constexpr duration same_zone_bonus = std::chrono::milliseconds(400);
constexpr duration min_other_zone_wait = std::chrono::milliseconds(40);
constexpr duration urgent_slack = std::chrono::milliseconds(250);
constexpr duration max_result_hold = std::chrono::seconds(30); // of results for a request
constexpr duration min_retry_after = std::chrono::milliseconds(200);
constexpr duration max_retry_after = std::chrono::seconds(5);

duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

duration call_duration(const stage_capacity& capacity, double pieces)
{
    return capacity.call_time + scaled(capacity.piece_time, pieces);
}

} // namespace

stage_scheduler::stage_scheduler(const catalog& view, retry_budget_options budget, std::string zone)
    : view_(view), budget_(budget), backlog_(view), workers_(view, std::move(zone))
{
}

duration stage_scheduler::typical_call_time(const job_stage& stage) const
{
    const auto* definition = view_.find_service(stage.service);
    if (stage.pieces == 0 || definition == nullptr || !definition->stage) {
        return duration::zero();
    }
    return call_duration(*definition->stage, definition->stage->batch * typical_fill);
}

duration stage_scheduler::expected_time(const stage_job& content, time_point now) const
{
    std::vector<duration> finished(content.stages.size());
    duration last{};
    for (std::size_t index = 0; index < content.stages.size(); ++index) {
        const job_stage& stage = content.stages[index];
        for (const std::uint32_t earlier : stage.after) {
            if (earlier < index) {
                finished[index] = std::max(finished[index], finished[earlier]);
            }
        }
        const duration own = typical_call_time(stage);
        if (own == duration::zero()) {
            continue;
        }
        // Endpoints process their committed work while earlier stages run.
        const duration begin = std::max(
            finished[index],
            backlog_.expected_wait(stage, content, workers_.active_count(stage.service, now)));
        finished[index] = begin + own;
        last = std::max(last, finished[index]);
    }
    return last;
}

scheduler_actions stage_scheduler::add(job_number number, const stage_job& content, time_point now)
{
    action_list actions;
    const duration expected = expected_time(content, now);
    if (handover_until_ == time_point{}) {
        // Calls of a coordinator that failed with all its jobs may still run at the endpoints.
        handover_until_ = now + handover_time;
    }
    const duration latency_budget = std::chrono::milliseconds(content.latency_budget_ms);
    const duration remaining = std::chrono::milliseconds(content.remaining_ms);
    // A request whose latency target has passed already is still admitted if it is expected to
    // finish within half of the time until its deadline.
    const duration allowed = latency_budget > duration::zero() ? latency_budget : remaining / 2;
    if (expected > allowed) {
        const duration wait = std::clamp(expected - allowed, min_retry_after, max_retry_after);
        job_outcome refused;
        refused.status = job_status::refused;
        refused.retry_after_ms = static_cast<std::uint32_t>(wait / std::chrono::milliseconds(1));
        refused.expected_ms = static_cast<std::uint32_t>(expected / std::chrono::milliseconds(1));
        refused.allowed_ms = static_cast<std::int32_t>(allowed / std::chrono::milliseconds(1));
        actions.push_back(job_ended{number, std::move(refused)});
        return actions;
    }
    backlog_.record_arrival(content, now);
    auto [position, added] = jobs_.insert_or_assign(number, running_job(content.stages));
    running_job& job = position->second;
    job.request_id = content.request_id;
    job.piece_key = content.piece_key;
    job.customer = content.customer;
    job.zone = content.zone.empty() ? backlog_.least_loaded_zone(content) : content.zone;
    job.stages = content.stages;
    job.priority = content.priority;
    job.latency_deadline = now + latency_budget;
    job.deadline = now + remaining;
    job.later_stage_times.assign(content.stages.size(), duration::zero());
    for (std::size_t index = content.stages.size(); index-- > 0;) {
        const duration own = typical_call_time(content.stages[index]);
        for (const std::uint32_t earlier : content.stages[index].after) {
            if (earlier < index) {
                job.later_stage_times[earlier] =
                    std::max(job.later_stage_times[earlier], job.later_stage_times[index] + own);
            }
        }
    }
    for (const job_stage& stage : job.stages) {
        job.pending.push_back(stage.pieces);
        backlog_.add(stage.service, job.origin(), stage.pieces);
    }
    if (job.plan.finished()) {
        end_job(number, job_status::done, now, actions);
        return actions;
    }
    queue_ready_pieces(number, job, now);
    return actions;
}

void stage_scheduler::remove_pending_work(const running_job& job)
{
    for (std::size_t stage = 0; stage < job.stages.size(); ++stage) {
        backlog_.remove(job.stages[stage].service, job.origin(), job.pending[stage]);
    }
}

void stage_scheduler::queue_ready_pieces(job_number number, running_job& job, time_point now)
{
    for (const std::size_t stage : job.plan.take_ready()) {
        const std::string inputs_zone = workers_.most_common_zone(job.plan.inputs_of(stage));
        const std::string& zone = inputs_zone.empty() ? job.zone : inputs_zone;
        for (std::size_t piece = 0; piece < job.stages[stage].pieces; ++piece) {
            queue_piece(number, job, stage, piece, zone, now);
        }
    }
}

void stage_scheduler::queue_piece(job_number number, const running_job& job, std::size_t stage,
                                  std::size_t piece, const std::string& zone, time_point now)
{
    const job_stage& definition = job.stages[stage];
    waiting_[definition.service].push_back(
        {number, stage, piece, job.priority, job.latency_deadline - job.later_stage_times[stage],
         job.deadline - job.later_stage_times[stage], definition.result_size, zone, now});
}

void stage_scheduler::drop_ended_pieces()
{
    if (!std::exchange(has_ended_pieces_, false)) {
        return;
    }
    for (auto& [service, waiting] : waiting_) {
        std::erase_if(waiting,
                      [&](const waiting_piece& piece) { return !jobs_.contains(piece.job); });
    }
}

void stage_scheduler::end_job(job_number number, job_status status, time_point now,
                              action_list& actions)
{
    const auto found = jobs_.find(number);
    if (found == jobs_.end() || found->second.finished) {
        return;
    }
    running_job& job = found->second;
    remove_pending_work(job);
    job_outcome outcome;
    outcome.status = status;
    if (status == job_status::done) {
        outcome.results = job.plan.final_results();
        job.finished = true;
        job.finished_at = now;
        actions.push_back(job_ended{number, std::move(outcome)});
        return;
    }
    has_ended_pieces_ = true;
    release_handles(job.plan.held_results(), actions);
    outcome.retry_after_ms =
        static_cast<std::uint32_t>(min_retry_after / std::chrono::milliseconds(1));
    jobs_.erase(found);
    actions.push_back(job_ended{number, std::move(outcome)});
}

scheduler_actions stage_scheduler::cancel(job_number number)
{
    action_list actions;
    const auto found = jobs_.find(number);
    if (found == jobs_.end()) {
        return actions;
    }
    if (!found->second.finished) {
        remove_pending_work(found->second);
        has_ended_pieces_ = true;
    }
    release_handles(found->second.plan.held_results(), actions);
    jobs_.erase(found);
    return actions;
}

scheduler_actions stage_scheduler::hand_back_jobs(time_point now)
{
    handover_until_ = now + handover_time;
    std::vector<job_number> unstarted;
    for (const auto& [number, job] : jobs_) {
        if (!job.has_calls && !job.finished) {
            unstarted.push_back(number);
        }
    }
    action_list actions;
    for (const job_number number : unstarted) {
        end_job(number, job_status::handed_back, now, actions);
    }
    return actions;
}

void stage_scheduler::release_handles(std::vector<std::string> handles, action_list& actions)
{
    if (handles.empty()) {
        return;
    }
    actions.push_back(release_results{std::move(handles)});
}

void stage_scheduler::confirm_released(const std::vector<std::string>& handles)
{
    workers_.remove_results(handles);
}

std::vector<place_claim> stage_scheduler::claims_of(const std::vector<waiting_piece>& waiting,
                                                    const stage_capacity& capacity,
                                                    const endpoint& target, time_point now) const
{
    std::map<std::string_view, double> shares;
    std::vector<place_claim> claims;
    claims.reserve(waiting.size());
    for (const waiting_piece& piece : waiting) {
        const std::string& customer = jobs_.at(piece.job).customer;
        const auto [share, added] = shares.try_emplace(customer, 0);
        if (added) {
            share->second = usage_.share_of(customer, now);
        }
        const bool same_zone = piece.zone.empty() || piece.zone == target.zone;
        claims.push_back({piece.priority / internal::route_priority_levels,
                          piece.priority % internal::route_priority_levels, share->second,
                          piece.latency_deadline - capacity.call_time,
                          same_zone ? duration::zero() : same_zone_bonus, piece.job});
    }
    return claims;
}

place_supply stage_scheduler::supply_of(const std::string& service, const stage_capacity& capacity,
                                        time_point now) const
{
    const duration full_call = call_duration(capacity, static_cast<double>(capacity.batch));
    const std::size_t calls = std::max<std::size_t>(workers_.active_count(service, now), 1) *
                              std::max(capacity.slots, 1u);
    return {capacity.batch, full_call / static_cast<duration::rep>(calls), full_call};
}

std::map<std::string, duration> stage_scheduler::zone_waits_of(const std::string& service,
                                                               const stage_capacity& capacity) const
{
    std::map<std::string, std::uint32_t> calls;
    for (const endpoint* value : view_.usable_endpoints(service)) {
        calls[value->zone] += std::max(capacity.slots, 1u);
    }
    const duration full_call = call_duration(capacity, static_cast<double>(capacity.batch));
    std::map<std::string, duration> waits;
    for (const auto& [zone, count] : calls) {
        waits[zone] = std::max(full_call / static_cast<duration::rep>(count), min_other_zone_wait);
    }
    return waits;
}

std::vector<std::size_t> stage_scheduler::choose_pieces(const std::vector<waiting_piece>& waiting,
                                                        const stage_capacity& capacity,
                                                        const endpoint& target,
                                                        time_point now) const
{
    const auto order = order_claims(claims_of(waiting, capacity, target, now),
                                    supply_of(target.service, capacity, now), now);
    const std::map<std::string, duration> zone_waits = zone_waits_of(target.service, capacity);
    const auto zone_wait = [&](const std::string& zone) {
        const auto known = zone_waits.find(zone);
        return known == zone_waits.end() ? duration::zero() : known->second;
    };
    std::uint64_t used = workers_.used_memory(target.id, capacity.result_lifetime, now);
    const std::size_t most = workers_.call_limit(target.id, capacity);
    std::vector<std::size_t> chosen;
    for (const std::size_t index : order) {
        if (chosen.size() >= most) {
            break;
        }
        const waiting_piece& piece = waiting[index];
        const bool fits =
            capacity.result_memory == 0 || used + piece.result_size <= capacity.result_memory;
        const bool zone_allowed = piece.zone.empty() || piece.zone == target.zone ||
                                  now - piece.queued >= zone_wait(piece.zone) ||
                                  piece.latency_deadline < now + capacity.call_time + urgent_slack;
        if (fits && zone_allowed) {
            used += piece.result_size;
            chosen.push_back(index);
        }
    }
    return chosen;
}

std::vector<called_piece> stage_scheduler::build_call(std::vector<waiting_piece>& waiting,
                                                      const stage_capacity& capacity,
                                                      const endpoint& target, time_point now)
{
    std::erase_if(waiting, [&](const waiting_piece& piece) {
        const auto job = jobs_.find(piece.job);
        // The job has ended, or another call has run the piece.
        return job == jobs_.end() || job->second.plan.has_result(piece.stage, piece.piece);
    });
    std::vector<called_piece> call;
    std::vector<bool> taken_pieces(waiting.size());
    for (const std::size_t index : choose_pieces(waiting, capacity, target, now)) {
        const waiting_piece& piece = waiting[index];
        running_job& job = jobs_.at(piece.job);
        job.has_calls = true;
        called_piece taken;
        taken.job = piece.job;
        taken.stage = piece.stage;
        taken.piece = piece.piece;
        taken.request_id = job.request_id;
        taken.inputs = job.plan.inputs_of(piece.stage);
        if (taken.inputs.empty()) {
            taken.key = job.piece_key;
        }
        taken.result_size = piece.result_size;
        taken.deadline = job.deadline;
        call.push_back(std::move(taken));
        taken_pieces[index] = true;
    }
    std::size_t kept = 0;
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        if (taken_pieces[index]) {
            continue;
        }
        if (kept != index) {
            waiting[kept] = std::move(waiting[index]);
        }
        ++kept;
    }
    waiting.resize(kept);
    return call;
}

void stage_scheduler::dispatch_service(const std::string& service,
                                       std::vector<waiting_piece>& waiting, time_point now,
                                       action_list& actions)
{
    const auto* definition = view_.find_service(service);
    if (definition == nullptr || !definition->stage) {
        return;
    }
    const stage_capacity& capacity = *definition->stage;
    const double work_of_piece =
        std::chrono::duration<double>(capacity.piece_time + capacity.call_time / capacity.batch)
            .count();
    std::set<job_number> late_jobs;
    for (const waiting_piece& piece : waiting) {
        if (piece.latest_finish < now + capacity.call_time) {
            late_jobs.insert(piece.job);
        }
    }
    for (const job_number number : late_jobs) {
        end_job(number, job_status::deadline_exceeded, now, actions);
    }
    std::vector<std::string> skipped_endpoints;
    while (!waiting.empty()) {
        const endpoint* target = workers_.choose_idle(service, capacity, now, skipped_endpoints);
        if (target == nullptr) {
            return;
        }
        auto pieces = build_call(waiting, capacity, *target, now);
        if (pieces.empty()) {
            skipped_endpoints.push_back(target->id);
            continue;
        }
        running_call call;
        call.target = *target;
        call.service = service;
        call.pieces = pieces;
        call.started = now;
        call.expected = call_duration(capacity, static_cast<double>(pieces.size()));
        for (const called_piece& piece : pieces) {
            call.reserved += piece.result_size;
            usage_.record(jobs_.at(piece.job).customer, work_of_piece, now);
        }
        workers_.call_started(*target, call.reserved);
        const std::uint64_t number = next_call_++;
        actions.push_back(start_call{number, *target, std::move(pieces), call.expected});
        calls_.emplace(number, std::move(call));
    }
}

scheduler_actions stage_scheduler::dispatch(time_point now)
{
    action_list actions;
    hedge_slow_calls(now);
    drop_ended_pieces();
    for (auto& [service, waiting] : waiting_) {
        dispatch_service(service, waiting, now, actions);
    }
    drop_ended_pieces(); // of jobs that cannot meet their deadline
    // Results of jobs that were never released have expired at their endpoints.
    std::erase_if(jobs_, [&](const auto& entry) {
        return entry.second.finished && now - entry.second.finished_at > max_result_hold;
    });
    workers_.expire(now);
    return actions;
}

std::optional<stage_scheduler::running_call> stage_scheduler::remove_call(std::uint64_t number)
{
    const auto found = calls_.find(number);
    if (found == calls_.end()) {
        return std::nullopt;
    }
    running_call call = std::move(found->second);
    calls_.erase(found);
    workers_.call_ended(call.target, call.reserved);
    return call;
}

scheduler_actions stage_scheduler::call_ended(std::uint64_t number,
                                              const std::vector<piece_outcome>& outcomes,
                                              time_point now)
{
    action_list actions;
    const auto ended = remove_call(number);
    if (!ended) {
        return actions;
    }
    const running_call& call = *ended;
    workers_.record_response(call.target);
    if (now - call.started <= slow_threshold(call)) {
        workers_.record_on_time_call(call.target);
    } else if (!call.hedged) {
        workers_.record_slow_call(call.target, now);
    }
    const auto* definition = view_.find_service(call.service);
    const duration lifetime = definition != nullptr && definition->stage
                                  ? definition->stage->result_lifetime
                                  : duration::zero();
    const endpoint* const current = view_.find_endpoint(call.target.id);
    const bool results_lost = current != nullptr && !current->same_incarnation(call.target);
    std::uint64_t rejected_bytes = 0;
    for (std::size_t index = 0; index < call.pieces.size() && index < outcomes.size(); ++index) {
        const called_piece& piece = call.pieces[index];
        switch (outcomes[index].status) {
        case piece_status::done:
            if (results_lost) {
                if (!call.is_requeued(index)) {
                    retry_piece(piece, true, now, actions);
                }
                break;
            }
            workers_.add_result(call.target, outcomes[index].handle, piece.result_size,
                                now + lifetime);
            finish_piece(piece, outcomes[index].handle, now, actions);
            break;
        case piece_status::out_of_memory:
            rejected_bytes += piece.result_size;
            retry_piece(piece, false, now, actions);
            break;
        case piece_status::deadline_exceeded:
            end_job(piece.job, job_status::deadline_exceeded, now, actions);
            break;
        case piece_status::input_missing:
            end_job(piece.job, job_status::failed, now, actions);
            break;
        case piece_status::failed:
            if (!call.is_requeued(index)) {
                retry_piece(piece, true, now, actions);
            }
            break;
        }
    }
    if (rejected_bytes > 0) {
        workers_.record_out_of_memory(call.target, rejected_bytes, lifetime, now);
    }
    return actions;
}

scheduler_actions stage_scheduler::call_failed(std::uint64_t number, verdict run, bool full,
                                               time_point now)
{
    action_list actions;
    const auto ended = remove_call(number);
    if (!ended) {
        return actions;
    }
    const running_call& call = *ended;
    if (full) {
        workers_.record_full(call.target, now);
    } else {
        workers_.record_failure(call.target, now);
    }
    for (std::size_t index = 0; index < call.pieces.size(); ++index) {
        if (!call.is_requeued(index)) {
            retry_piece(call.pieces[index], run != verdict::not_run, now, actions);
        }
    }
    return actions;
}

duration stage_scheduler::slow_threshold(const running_call& call) const
{
    const duration allowed = scaled(call.expected, slow_factor);
    const auto* definition = view_.find_service(call.service);
    if (call.started >= handover_until_ || definition == nullptr || !definition->stage) {
        return allowed;
    }
    // One call of the other coordinator may be run first.
    const stage_capacity& capacity = *definition->stage;
    return allowed + call_duration(capacity, static_cast<double>(capacity.batch));
}

void stage_scheduler::hedge_slow_calls(time_point now)
{
    for (auto& [number, call] : calls_) {
        if (call.hedged || now - call.started <= slow_threshold(call)) {
            continue;
        }
        workers_.record_slow_call(call.target, now);
        if (workers_.active_count(call.service, now) == 0) {
            continue;
        }
        call.hedged = true;
        for (std::size_t index = 0; index < call.pieces.size(); ++index) {
            const called_piece& piece = call.pieces[index];
            const auto job = jobs_.find(piece.job);
            if (job != jobs_.end() && budget_.try_retry(call.service, schedulers_, now)) {
                queue_piece(piece.job, job->second, piece.stage, piece.piece, job->second.zone,
                            now);
                call.requeued.push_back(index);
            }
        }
    }
}

void stage_scheduler::finish_piece(const called_piece& piece, std::string handle, time_point now,
                                   action_list& actions)
{
    const auto found = jobs_.find(piece.job);
    if (found == jobs_.end() || found->second.finished) {
        release_handles({std::move(handle)}, actions); // the job has ended meanwhile
        return;
    }
    running_job& job = found->second;
    if (!job.plan.has_result(piece.stage, piece.piece)) {
        --job.pending[piece.stage];
        backlog_.remove(job.stages[piece.stage].service, job.origin(), 1);
    }
    release_handles(job.plan.record_result(piece.stage, piece.piece, std::move(handle)), actions);
    if (job.plan.finished()) {
        end_job(piece.job, job_status::done, now, actions);
    } else {
        queue_ready_pieces(piece.job, job, now);
    }
}

void stage_scheduler::retry_piece(const called_piece& piece, bool may_have_run, time_point now,
                                  action_list& actions)
{
    const auto found = jobs_.find(piece.job);
    if (found == jobs_.end()) {
        return;
    }
    running_job& job = found->second;
    const std::string& service = job.stages[piece.stage].service;
    const bool allowed = !may_have_run || (job.retries++ < max_piece_retries &&
                                           budget_.try_retry(service, schedulers_, now));
    if (!allowed) {
        end_job(piece.job, job_status::failed, now, actions);
        return;
    }
    queue_piece(piece.job, job, piece.stage, piece.piece, job.zone, now);
}

bool stage_scheduler::has_work() const
{
    return !calls_.empty() || std::any_of(waiting_.begin(), waiting_.end(),
                                          [](const auto& entry) { return !entry.second.empty(); });
}

std::size_t stage_scheduler::waiting_pieces(const std::string& service) const
{
    const auto found = waiting_.find(service);
    if (found == waiting_.end()) {
        return 0;
    }
    const auto open_pieces =
        std::count_if(found->second.begin(), found->second.end(),
                      [&](const waiting_piece& piece) { return jobs_.contains(piece.job); });
    return static_cast<std::size_t>(open_pieces);
}

} // namespace quetzal::gateway
