#include <quetzal/requests/pipeline_run.hpp>

#include <algorithm>
#include <utility>

#include "stage_record.hpp"

namespace quetzal::requests {

namespace {

using internal::live_attempt;
using internal::stage_phase;
using internal::stage_record;

bool is_frame(const attempt_event& event)
{
    return std::holds_alternative<data_frame>(event) || std::holds_alternative<end_frame>(event) ||
           std::holds_alternative<bad_frame>(event);
}

} // namespace

class pipeline_run::state
{
public:
    using run_actions = std::vector<run_action>;

    explicit state(run_request request)
        : request_(std::move(request)), stages_(request_.pipeline->stages.size())
    {
        for (std::size_t index = 0; index < stages_.size(); ++index) {
            stages_[index].retryable = internal::retryable(request_, index);
        }
    }

    void start(run_actions& actions)
    {
        if (stages_.empty()) {
            end(reason::internal_error, "the pipeline has no stages", {}, actions);
            return;
        }
        start_ready_stages(actions);
    }

    void grant(std::size_t stage, const endpoint_id& endpoint, time_point give_up, bool resumes,
               run_actions& actions)
    {
        if (ended_ || stage >= stages_.size() || stages_[stage].phase != stage_phase::choosing) {
            return;
        }
        stage_record& record = stages_[stage];
        if (!resumes && record.delivered > 0) {
            if (is_last(stage)) {
                // A second run of the stage could produce data that does not match the part already
                // read.
                end_with_last_failure(record, actions);
                return;
            }
            record.clear_result();
        }
        begin_attempt(stage, endpoint, give_up, actions);
    }

    void deny(std::size_t stage, failure why, run_actions& actions)
    {
        if (ended_ || stage >= stages_.size() || stages_[stage].phase != stage_phase::choosing) {
            return;
        }
        stage_record& record = stages_[stage];
        if (record.last_failure) {
            end_with_last_failure(record, actions);
            return;
        }
        end(why.why, std::move(why.detail), why.retry_after, actions);
    }

    void hedge(std::size_t stage, const endpoint_id& endpoint, time_point give_up,
               run_actions& actions)
    {
        if (may_hedge(stage)) {
            begin_attempt(stage, endpoint, give_up, actions);
        }
    }

    void handle(const call_id& call, const attempt_event& event, run_actions& actions)
    {
        live_attempt* const attempt = find_attempt(call);
        if (!attempt) {
            counts_.late += is_frame(event) ? 1 : 0;
            return;
        }
        dispatch(*attempt, event, actions);
    }

    void advance(time_point now, run_actions& actions)
    {
        if (ended_) {
            return;
        }
        if (request_.late == config::late_policy::refuse && now >= request_.deadline) {
            end(reason::deadline_passed, "the deadline has passed", {}, actions);
            return;
        }
        for (const auto& call : timed_out_calls(now)) {
            handle(call, attempt_timed_out{}, actions);
        }
    }

    void caller_disconnected(run_actions& actions)
    {
        if (request_.idempotent) {
            cancel(reason::cancelled, actions);
        }
    }

    void cancel(reason why, run_actions& actions)
    {
        end(why, "the request was cancelled", {}, actions);
    }

    std::vector<stage_result> inputs(std::size_t stage) const
    {
        std::vector<stage_result> results;
        for (const std::size_t before : request_.pipeline->stages.at(stage).after) {
            results.push_back({before, stages_[before].result});
        }
        return results;
    }

    bool may_hedge(std::size_t stage) const
    {
        if (ended_ || stage >= stages_.size()) {
            return false;
        }
        const stage_record& record = stages_[stage];
        return record.phase == stage_phase::running && record.retryable &&
               record.live.size() == 1 && record.delivered == 0 &&
               record.attempts < request_.max_attempts;
    }

    std::optional<time_point> next_deadline() const
    {
        std::optional<time_point> next;
        if (ended_) {
            return next;
        }
        if (request_.late == config::late_policy::refuse) {
            next = request_.deadline;
        }
        for (const auto& record : stages_) {
            for (const auto& attempt : record.live) {
                next = next ? std::min(*next, attempt->give_up) : attempt->give_up;
            }
        }
        return next;
    }

    bool ended() const noexcept { return ended_; }

    verdict run() const
    {
        if (complete_) {
            return verdict::ran;
        }
        const bool any = std::any_of(stages_.begin(), stages_.end(), [](const auto& record) {
            return record.may_have_run ||
                   std::any_of(record.live.begin(), record.live.end(), [](const auto& attempt) {
                       return attempt->machine.run() != verdict::not_run;
                   });
        });
        return any ? verdict::may_have_run : verdict::not_run;
    }

    frame_counts counts() const
    {
        frame_counts sum = counts_;
        for (const auto& record : stages_) {
            for (const auto& attempt : record.live) {
                sum += attempt->machine.counts();
            }
        }
        return sum;
    }

private:
    bool is_last(std::size_t stage) const noexcept { return stage + 1 == stages_.size(); }

    live_attempt* find_attempt(const call_id& call)
    {
        if (call.process != request_.process || call.request != request_.sequence ||
            call.stage >= stages_.size())
        {
            return nullptr;
        }
        for (const auto& attempt : stages_[call.stage].live) {
            if (attempt->machine.id() == call) {
                return attempt.get();
            }
        }
        return nullptr;
    }

    std::vector<call_id> timed_out_calls(time_point now) const
    {
        std::vector<call_id> timed_out;
        for (const auto& record : stages_) {
            for (const auto& attempt : record.live) {
                if (attempt->give_up <= now) {
                    timed_out.push_back(attempt->machine.id());
                }
            }
        }
        return timed_out;
    }

    // Requests endpoints for the blocked stages whose inputs are complete.
    void start_ready_stages(run_actions& actions)
    {
        for (std::size_t index = 0; index < stages_.size(); ++index) {
            const auto& after = request_.pipeline->stages[index].after;
            const bool ready = std::all_of(after.begin(), after.end(), [this](std::size_t before) {
                return stages_[before].phase == stage_phase::done;
            });
            if (stages_[index].phase == stage_phase::blocked && ready) {
                stages_[index].phase = stage_phase::choosing;
                actions.emplace_back(choose_endpoint{index, {}});
            }
        }
    }

    void begin_attempt(std::size_t stage, const endpoint_id& endpoint, time_point give_up,
                       run_actions& actions)
    {
        stage_record& record = stages_[stage];
        record.phase = stage_phase::running;
        const call_id call{request_.process, request_.sequence, static_cast<std::uint32_t>(stage),
                           record.attempts++};
        record.live.push_back(std::make_unique<live_attempt>(
            live_attempt{stage_attempt(call, record.delivered), endpoint, give_up}));
        dispatch(*record.live.back(), attempt_started{}, actions);
    }

    // Passes an event to an attempt and applies the resulting actions. The attempt may be destroyed
    // on return.
    void dispatch(live_attempt& attempt, const attempt_event& event, run_actions& actions)
    {
        // Moved out while in use, because cancelling another attempt calls `dispatch` recursively.
        auto attempt_actions = std::exchange(action_buffer_, {});
        attempt_actions.clear();
        attempt.machine.handle(event, attempt_actions);
        const call_id call = attempt.machine.id();
        for (auto& action : attempt_actions) {
            std::visit([&](auto& value) { apply(call, value, actions); }, action);
        }
        action_buffer_ = std::move(attempt_actions);
        if (stages_[call.stage].result_bytes > max_stage_result_bytes) {
            end(reason::endpoint_failed, "the result of a stage is too large", {}, actions);
        }
    }

    void apply(const call_id& call, const open_connection&, run_actions& actions)
    {
        actions.emplace_back(open_call{call, find_attempt(call)->endpoint});
    }

    static void apply(const call_id& call, const run_final_checks&, run_actions& actions)
    {
        actions.emplace_back(check_call{call});
    }

    static void apply(const call_id& call, const send_work& action, run_actions& actions)
    {
        actions.emplace_back(send_call{call, action.offset});
    }

    void apply(const call_id& call, const release_connection& action, run_actions& actions)
    {
        const verdict run = find_attempt(call)->machine.run();
        actions.emplace_back(end_call{call, action.reusable, false, run == verdict::ran, run});
    }

    // Always comes directly after the `release_connection` of the same attempt.
    static void apply(const call_id&, const cancel_at_endpoint&, run_actions& actions)
    {
        std::get<end_call>(actions.back()).cancel = true;
    }

    void apply(const call_id& call, deliver& action, run_actions& actions)
    {
        if (ended_) {
            return;
        }
        stage_record& record = stages_[call.stage];
        if (record.delivered++ == 0) {
            cancel_others(call, actions);
        }
        if (is_last(call.stage)) {
            actions.emplace_back(append_answer{std::move(action.data)});
            return;
        }
        record.result_bytes += action.data.charge();
        record.result.push_back(std::move(action.data));
    }

    void apply(const call_id& call, const attempt_finished&, run_actions& actions)
    {
        if (ended_) {
            return;
        }
        stage_record& record = stages_[call.stage];
        record.phase = stage_phase::done;
        remove(call);
        cancel_others(call, actions);
        const bool all_done = std::all_of(stages_.begin(), stages_.end(), [](const auto& one) {
            return one.phase == stage_phase::done;
        });
        if (!all_done) {
            start_ready_stages(actions);
            return;
        }
        complete_ = true;
        ended_ = true;
        actions.emplace_back(finish_answer{});
    }

    void apply(const call_id& call, attempt_failed& action, run_actions& actions)
    {
        stage_record& record = stages_[call.stage];
        auto endpoint = find_attempt(call)->endpoint;
        remove(call);
        // Another attempt is running, or this one was cancelled because it is no longer needed.
        if (ended_ || record.phase != stage_phase::running || !record.live.empty()) {
            return;
        }
        const bool can_retry = record.retryable || action.why.run == verdict::not_run;
        record.last_failure = std::move(action.why);
        record.failed_endpoint = std::move(endpoint);
        if (!can_retry || record.attempts >= request_.max_attempts) {
            end_with_last_failure(record, actions);
            return;
        }
        record.phase = stage_phase::choosing;
        actions.emplace_back(choose_endpoint{call.stage, record.failed_endpoint});
    }

    // Cancels every other attempt of the stage.
    void cancel_others(const call_id& winner, run_actions& actions)
    {
        std::vector<call_id> others;
        for (const auto& attempt : stages_[winner.stage].live) {
            if (attempt->machine.id() != winner) {
                others.push_back(attempt->machine.id());
            }
        }
        for (const auto& other : others) {
            handle(other, attempt_cancelled{}, actions);
        }
    }

    // Removes an attempt that has ended, and records whether it may have run and its frame counts.
    void remove(const call_id& call)
    {
        stage_record& record = stages_[call.stage];
        const auto found =
            std::find_if(record.live.begin(), record.live.end(),
                         [&](const auto& attempt) { return attempt->machine.id() == call; });
        if (found != record.live.end()) {
            record.may_have_run |= (*found)->machine.run() != verdict::not_run;
            counts_ += (*found)->machine.counts();
            record.live.erase(found);
        }
    }

    void end_with_last_failure(const stage_record& record, run_actions& actions)
    {
        const failure last = *record.last_failure;
        end(last.why, last.detail, last.retry_after, actions);
    }

    void end(reason why, std::string detail, std::optional<std::chrono::milliseconds> retry_after,
             run_actions& actions)
    {
        if (ended_) {
            return;
        }
        ended_ = true;
        std::vector<call_id> calls;
        for (const auto& record : stages_) {
            for (const auto& attempt : record.live) {
                calls.push_back(attempt->machine.id());
            }
        }
        for (const auto& call : calls) {
            handle(call, attempt_cancelled{}, actions);
        }
        const verdict overall_verdict = run();
        if (overall_verdict != verdict::not_run) {
            retry_after.reset();
        }
        actions.emplace_back(
            fail_answer{failure{overall_verdict, why, std::move(detail), retry_after}});
    }

    run_request request_;
    std::vector<stage_record> stages_;
    frame_counts counts_; // of attempts that have ended
    std::vector<attempt_action> action_buffer_;
    bool ended_ = false;
    bool complete_ = false;
};

pipeline_run::pipeline_run(run_request request)
    : state_(std::make_unique<state>(std::move(request)))
{
}

pipeline_run::~pipeline_run() = default;
pipeline_run::pipeline_run(pipeline_run&&) noexcept = default;
pipeline_run& pipeline_run::operator=(pipeline_run&&) noexcept = default;

void pipeline_run::start(std::vector<run_action>& actions)
{
    state_->start(actions);
}

void pipeline_run::grant(std::size_t stage, const endpoint_id& endpoint, time_point give_up,
                         bool resumes, std::vector<run_action>& actions)
{
    state_->grant(stage, endpoint, give_up, resumes, actions);
}

void pipeline_run::deny(std::size_t stage, failure why, std::vector<run_action>& actions)
{
    state_->deny(stage, std::move(why), actions);
}

void pipeline_run::hedge(std::size_t stage, const endpoint_id& endpoint, time_point give_up,
                         std::vector<run_action>& actions)
{
    state_->hedge(stage, endpoint, give_up, actions);
}

void pipeline_run::handle(const call_id& call, const attempt_event& event,
                          std::vector<run_action>& actions)
{
    state_->handle(call, event, actions);
}

void pipeline_run::advance(time_point now, std::vector<run_action>& actions)
{
    state_->advance(now, actions);
}

void pipeline_run::caller_disconnected(std::vector<run_action>& actions)
{
    state_->caller_disconnected(actions);
}

void pipeline_run::cancel(reason why, std::vector<run_action>& actions)
{
    state_->cancel(why, actions);
}

std::vector<stage_result> pipeline_run::inputs(std::size_t stage) const
{
    return state_->inputs(stage);
}

bool pipeline_run::may_hedge(std::size_t stage) const
{
    return state_->may_hedge(stage);
}

std::optional<time_point> pipeline_run::next_deadline() const
{
    return state_->next_deadline();
}

bool pipeline_run::ended() const noexcept
{
    return state_->ended();
}

verdict pipeline_run::run() const
{
    return state_->run();
}

frame_counts pipeline_run::counts() const
{
    return state_->counts();
}

} // namespace quetzal::requests
