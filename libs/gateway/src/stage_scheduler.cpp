#include <quetzal/gateway/stage_scheduler.hpp>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace quetzal::gateway {

namespace {

// A call slower than this many times its expected time marks its endpoint as slow, and its pieces
// are made elsewhere too.
constexpr double slow_factor = 1.8;
// After a change of conductor the former one finishes its jobs, and calls of both wait for each
// other at the endpoints. The jobs of most classes have ended after this time.
constexpr duration shared_time = std::chrono::seconds(3);
constexpr unsigned repeat_limit = 12; // pieces of one job that are made again
// Share of a full call that a piece finds around it at usual load.
constexpr double usual_fill = 0.6;
// Results that move between zones cost transfer time on shared links. A piece gains this much
// urgency in its own zone, and waits this long before an endpoint of another zone takes it, unless
// it is pressed for time.
constexpr duration same_zone_bonus = std::chrono::milliseconds(400);
constexpr duration other_zone_wait = std::chrono::milliseconds(40);
constexpr duration pressed_slack = std::chrono::milliseconds(250);
constexpr duration longest_held = std::chrono::seconds(30); // of results by a request
constexpr duration least_retry_after = std::chrono::milliseconds(200);
constexpr duration longest_retry_after = std::chrono::seconds(5);

duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

duration call_duration(const stage_capacity& capacity, double pieces)
{
    return capacity.call_time + scaled(capacity.piece_time, pieces);
}

} // namespace

stage_scheduler::stage_scheduler(const catalog& view, fleet_budget_options budget)
    : view_(view), budget_(budget), backlog_(view), workers_(view)
{
}

duration stage_scheduler::usual_call_time(const job_stage& stage) const
{
    const auto* definition = view_.find_service(stage.service);
    if (stage.pieces == 0 || definition == nullptr || !definition->stage) {
        return duration::zero();
    }
    return call_duration(*definition->stage, definition->stage->batch * usual_fill);
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
        const duration own = usual_call_time(stage);
        if (own == duration::zero()) {
            continue;
        }
        // Endpoints work off what is committed to them while earlier stages run.
        const duration begin =
            std::max(finished[index], backlog_.wait(stage.service, content.priority,
                                                    workers_.active(stage.service, now)));
        finished[index] = begin + own;
        last = std::max(last, finished[index]);
    }
    return last;
}

scheduler_actions stage_scheduler::add(job_number number, const stage_job& content, time_point now)
{
    action_list actions;
    const duration expected = expected_time(content, now);
    if (shared_until_ == time_point{}) {
        // Calls of conductors that died with all jobs may still be at the endpoints.
        shared_until_ = now + shared_time;
    }
    const duration useful = std::chrono::milliseconds(content.useful_ms);
    const duration remaining = std::chrono::milliseconds(content.remaining_ms);
    // A request whose latency target has passed already is worth serving late.
    const duration allowed = useful > duration::zero() ? useful : remaining / 2;
    if (expected > allowed) {
        const duration wait =
            std::clamp(expected - allowed, least_retry_after, longest_retry_after);
        job_outcome refused;
        refused.fate = job_fate::refused;
        refused.retry_after_ms = static_cast<std::uint32_t>(wait / std::chrono::milliseconds(1));
        refused.expected_ms = static_cast<std::uint32_t>(expected / std::chrono::milliseconds(1));
        refused.allowed_ms = static_cast<std::int32_t>(allowed / std::chrono::milliseconds(1));
        actions.push_back(job_ended{number, std::move(refused)});
        return actions;
    }
    backlog_.note_arrival(content, now);
    auto [position, added] = jobs_.insert_or_assign(number, running_job(content.stages));
    running_job& job = position->second;
    job.request_id = content.request_id;
    job.piece_key = content.piece_key;
    job.zone = content.zone.empty() ? backlog_.least_loaded_zone(content) : content.zone;
    job.stages = content.stages;
    job.priority = content.priority;
    job.useful_until = now + useful;
    job.deadline = now + remaining;
    job.following.assign(content.stages.size(), duration::zero());
    for (std::size_t index = content.stages.size(); index-- > 0;) {
        const duration own = usual_call_time(content.stages[index]);
        for (const std::uint32_t earlier : content.stages[index].after) {
            if (earlier < index) {
                job.following[earlier] =
                    std::max(job.following[earlier], job.following[index] + own);
            }
        }
    }
    for (const job_stage& stage : job.stages) {
        job.open.push_back(stage.pieces);
        backlog_.add(stage.service, job.zone, job.priority, stage.pieces);
    }
    if (job.plan.finished()) {
        end_job(number, job_fate::done, now, actions);
        return actions;
    }
    queue_ready(number, job, now);
    return actions;
}

void stage_scheduler::remove_open(const running_job& job)
{
    for (std::size_t stage = 0; stage < job.stages.size(); ++stage) {
        backlog_.remove(job.stages[stage].service, job.zone, job.priority, job.open[stage]);
    }
}

void stage_scheduler::queue_ready(job_number number, running_job& job, time_point now)
{
    for (const std::size_t stage : job.plan.take_ready()) {
        const std::string inputs_lie = workers_.zone_of_most(job.plan.inputs_of(stage));
        const std::string& zone = inputs_lie.empty() ? job.zone : inputs_lie;
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
        {number, stage, piece, job.priority, job.useful_until - job.following[stage],
         job.deadline - job.following[stage], definition.result_size, zone, now});
}

void stage_scheduler::drop_waiting(job_number number)
{
    for (auto& [service, waiting] : waiting_) {
        std::erase_if(waiting, [&](const waiting_piece& piece) { return piece.job == number; });
    }
}

void stage_scheduler::end_job(job_number number, job_fate fate, time_point now,
                              action_list& actions)
{
    const auto found = jobs_.find(number);
    if (found == jobs_.end() || found->second.finished) {
        return;
    }
    running_job& job = found->second;
    remove_open(job);
    job_outcome outcome;
    outcome.fate = fate;
    if (fate == job_fate::done) {
        outcome.results = job.plan.final_results();
        job.finished = true;
        job.finished_at = now;
        actions.push_back(job_ended{number, std::move(outcome)});
        return;
    }
    drop_waiting(number);
    release_handles(job.plan.held_results(), actions);
    outcome.retry_after_ms =
        static_cast<std::uint32_t>(least_retry_after / std::chrono::milliseconds(1));
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
        remove_open(found->second);
        drop_waiting(number);
    }
    release_handles(found->second.plan.held_results(), actions);
    jobs_.erase(found);
    return actions;
}

scheduler_actions stage_scheduler::hand_back(time_point now)
{
    shared_until_ = now + shared_time;
    std::vector<job_number> untouched;
    for (const auto& [number, job] : jobs_) {
        if (!job.called && !job.finished) {
            untouched.push_back(number);
        }
    }
    action_list actions;
    for (const job_number number : untouched) {
        end_job(number, job_fate::moved, now, actions);
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

void stage_scheduler::released(const std::vector<std::string>& handles)
{
    workers_.release(handles);
}

std::vector<called_piece> stage_scheduler::take_call(std::vector<waiting_piece>& waiting,
                                                     const stage_capacity& capacity,
                                                     const endpoint& target, time_point now)
{
    const auto rank = [&](const waiting_piece& piece) {
        const bool late = piece.useful_until < now + capacity.call_time;
        const bool near = piece.zone.empty() || piece.zone == target.zone;
        return std::tuple(late, piece.priority,
                          piece.useful_until + (near ? duration::zero() : same_zone_bonus),
                          piece.job, piece.stage, piece.piece);
    };
    std::sort(waiting.begin(), waiting.end(),
              [&](const waiting_piece& left, const waiting_piece& right) {
                  return rank(left) < rank(right);
              });
    std::uint64_t used = workers_.used_room(target.id, capacity.result_lifetime, now);
    const std::size_t most = workers_.call_limit(target.id, capacity);
    std::vector<called_piece> call;
    std::vector<waiting_piece> rest;
    for (waiting_piece& piece : waiting) {
        const bool fits =
            capacity.result_memory == 0 || used + piece.result_size <= capacity.result_memory;
        const auto job = jobs_.find(piece.job);
        const bool ripe = piece.zone.empty() || piece.zone == target.zone ||
                          now - piece.queued >= other_zone_wait ||
                          piece.useful_until < now + capacity.call_time + pressed_slack;
        if (job == jobs_.end() || job->second.plan.made(piece.stage, piece.piece)) {
            continue; // made by another call meanwhile
        }
        if (call.size() >= most || !fits || !ripe) {
            rest.push_back(std::move(piece));
            continue;
        }
        used += piece.result_size;
        job->second.called = true;
        called_piece taken;
        taken.job = piece.job;
        taken.stage = piece.stage;
        taken.piece = piece.piece;
        taken.request_id = job->second.request_id;
        taken.inputs = job->second.plan.inputs_of(piece.stage);
        if (taken.inputs.empty()) {
            taken.key = job->second.piece_key;
        }
        taken.result_size = piece.result_size;
        taken.deadline = job->second.deadline;
        call.push_back(std::move(taken));
    }
    waiting = std::move(rest);
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
    std::set<job_number> hopeless;
    for (const waiting_piece& piece : waiting) {
        if (piece.hopeless < now + capacity.call_time) {
            hopeless.insert(piece.job);
        }
    }
    for (const job_number number : hopeless) {
        end_job(number, job_fate::late, now, actions);
    }
    std::vector<std::string> without_room;
    while (!waiting.empty()) {
        const endpoint* target = workers_.idle(service, capacity, now, without_room);
        if (target == nullptr) {
            return;
        }
        auto pieces = take_call(waiting, capacity, *target, now);
        if (pieces.empty()) {
            without_room.push_back(target->id);
            continue;
        }
        running_call call;
        call.endpoint_id = target->id;
        call.service = service;
        call.pieces = pieces;
        call.started = now;
        call.expected = call_duration(capacity, static_cast<double>(pieces.size()));
        for (const called_piece& piece : pieces) {
            call.reserved += piece.result_size;
        }
        workers_.call_started(target->id, call.reserved);
        const std::uint64_t number = next_call_++;
        actions.push_back(start_call{number, *target, std::move(pieces), call.expected});
        calls_.emplace(number, std::move(call));
    }
}

scheduler_actions stage_scheduler::dispatch(time_point now)
{
    action_list actions;
    copy_slow_calls(now);
    for (auto& [service, waiting] : waiting_) {
        dispatch_service(service, waiting, now, actions);
    }
    // Results of jobs that were never released have expired at their makers.
    std::erase_if(jobs_, [&](const auto& entry) {
        return entry.second.finished && now - entry.second.finished_at > longest_held;
    });
    workers_.expire(now);
    return actions;
}

std::optional<stage_scheduler::running_call> stage_scheduler::take_ended(std::uint64_t number)
{
    const auto found = calls_.find(number);
    if (found == calls_.end()) {
        return std::nullopt;
    }
    running_call call = std::move(found->second);
    calls_.erase(found);
    workers_.call_ended(call.endpoint_id, call.reserved);
    return call;
}

scheduler_actions stage_scheduler::call_ended(std::uint64_t number,
                                              const std::vector<piece_outcome>& outcomes,
                                              time_point now)
{
    action_list actions;
    const auto ended = take_ended(number);
    if (!ended) {
        return actions;
    }
    const running_call& call = *ended;
    workers_.note_answer(call.endpoint_id);
    if (now - call.started <= slow_after(call)) {
        workers_.note_in_time(call.endpoint_id);
    } else if (!call.copied) {
        workers_.note_slow(call.endpoint_id, now);
    }
    const auto* definition = view_.find_service(call.service);
    const duration lifetime = definition != nullptr && definition->stage
                                  ? definition->stage->result_lifetime
                                  : duration::zero();
    std::uint64_t without_room = 0; // bytes
    for (std::size_t index = 0; index < call.pieces.size() && index < outcomes.size(); ++index) {
        const called_piece& piece = call.pieces[index];
        switch (outcomes[index].fate) {
        case piece_fate::done:
            workers_.hold(call.endpoint_id, outcomes[index].handle, piece.result_size,
                          now + lifetime);
            finish_piece(piece, outcomes[index].handle, now, actions);
            break;
        case piece_fate::no_room:
            without_room += piece.result_size;
            repeat_piece(piece, false, now, actions);
            break;
        case piece_fate::late:
            end_job(piece.job, job_fate::late, now, actions);
            break;
        case piece_fate::gone:
            end_job(piece.job, job_fate::failed, now, actions);
            break;
        case piece_fate::failed:
            if (!call.copied) {
                repeat_piece(piece, true, now, actions);
            }
            break;
        }
    }
    if (without_room > 0) {
        workers_.note_without_room(call.endpoint_id, without_room, lifetime, now);
    }
    return actions;
}

scheduler_actions stage_scheduler::call_failed(std::uint64_t number, verdict run, bool full,
                                               time_point now)
{
    action_list actions;
    const auto ended = take_ended(number);
    if (!ended) {
        return actions;
    }
    const running_call& call = *ended;
    if (full) {
        workers_.note_full(call.endpoint_id, now);
    } else {
        workers_.note_failure(call.endpoint_id, now);
    }
    if (call.copied) {
        return actions;
    }
    for (const called_piece& piece : call.pieces) {
        repeat_piece(piece, run != verdict::not_run, now, actions);
    }
    return actions;
}

duration stage_scheduler::slow_after(const running_call& call) const
{
    const duration allowed = scaled(call.expected, slow_factor);
    const auto* definition = view_.find_service(call.service);
    if (call.started >= shared_until_ || definition == nullptr || !definition->stage) {
        return allowed;
    }
    // One call of the other conductor may go first.
    const stage_capacity& capacity = *definition->stage;
    return allowed + call_duration(capacity, static_cast<double>(capacity.batch));
}

void stage_scheduler::copy_slow_calls(time_point now)
{
    for (auto& [number, call] : calls_) {
        if (call.copied || now - call.started <= slow_after(call)) {
            continue;
        }
        workers_.note_slow(call.endpoint_id, now);
        if (workers_.active(call.service, now) == 0) {
            continue;
        }
        call.copied = true;
        for (const called_piece& piece : call.pieces) {
            const auto job = jobs_.find(piece.job);
            if (job != jobs_.end() && budget_.try_repeat(call.service, 1, now)) {
                queue_piece(piece.job, job->second, piece.stage, piece.piece, job->second.zone,
                            now);
            }
        }
    }
}

void stage_scheduler::finish_piece(const called_piece& piece, std::string handle, time_point now,
                                   action_list& actions)
{
    const auto found = jobs_.find(piece.job);
    if (found == jobs_.end() || found->second.finished) {
        release_handles({std::move(handle)}, actions); // the job was given up meanwhile
        return;
    }
    running_job& job = found->second;
    if (!job.plan.made(piece.stage, piece.piece)) {
        --job.open[piece.stage];
        backlog_.remove(job.stages[piece.stage].service, job.zone, job.priority, 1);
    }
    release_handles(job.plan.done(piece.stage, piece.piece, std::move(handle)), actions);
    if (job.plan.finished()) {
        end_job(piece.job, job_fate::done, now, actions);
    } else {
        queue_ready(piece.job, job, now);
    }
}

void stage_scheduler::repeat_piece(const called_piece& piece, bool may_have_run, time_point now,
                                   action_list& actions)
{
    const auto found = jobs_.find(piece.job);
    if (found == jobs_.end()) {
        return;
    }
    running_job& job = found->second;
    const std::string& service = job.stages[piece.stage].service;
    const bool allowed =
        !may_have_run || (job.repeats++ < repeat_limit && budget_.try_repeat(service, 1, now));
    if (!allowed) {
        end_job(piece.job, job_fate::failed, now, actions);
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
    return found == waiting_.end() ? 0 : found->second.size();
}

} // namespace quetzal::gateway
