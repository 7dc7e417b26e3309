#ifndef QUETZAL_GATEWAY_SIMULATED_STAGE_POOL_HPP
#define QUETZAL_GATEWAY_SIMULATED_STAGE_POOL_HPP

#include <map>
#include <set>

#include <quetzal/gateway/stage_scheduler.hpp>

namespace quetzal::gateway::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const time_point start{seconds(100)};
inline constexpr retry_budget_options budget{0.2, 52, seconds(10)};

// Simulates a pool of stage endpoints in virtual time, driven by the scheduler under test.
class simulated_pool
{
public:
    simulated_pool(std::size_t endpoints, stage_capacity capacity) : scheduler(view, budget)
    {
        service_definition service;
        service.name = "s";
        service.stage = capacity;
        published_configuration configuration;
        configuration.version = 1;
        configuration.services.push_back(service);
        view.apply(std::move(configuration));
        for (std::size_t index = 0; index < endpoints; ++index) {
            endpoint value;
            value.id = "e" + std::to_string(index);
            value.service = "s";
            value.zone = std::string(1, static_cast<char>('a' + index % 3));
            view.put_endpoint(value);
        }
    }

    // Submits a job with one stage.
    job_number submit(std::uint32_t pieces, std::int32_t priority, milliseconds target,
                      std::uint64_t size = 0, milliseconds deadline = milliseconds(6000),
                      const std::string& customer = {})
    {
        stage_job job;
        job.request_id = "r" + std::to_string(++last);
        job.priority = priority;
        job.customer = customer;
        job.stages.push_back({"s", {}, size, pieces});
        job.latency_budget_ms = static_cast<std::int32_t>(target.count());
        job.remaining_ms = static_cast<std::uint32_t>(deadline.count());
        submitted[last] = now;
        perform(scheduler.add(last, job, now));
        return last;
    }

    // Advances the time in steps of 5 ms; in each step, ends the calls that are due and starts new
    // ones.
    void advance(milliseconds time)
    {
        for (const time_point end = now + time; now < end; now += milliseconds(5)) {
            for (auto call = calls.begin(); call != calls.end();) {
                if (call->second.ends > now) {
                    ++call;
                    continue;
                }
                const auto ended = call->second;
                const auto number = call->first;
                call = calls.erase(call);
                end_call(number, ended);
            }
            perform(scheduler.dispatch(now));
        }
    }

    struct running_call
    {
        start_call content;
        time_point ends;
    };

    void end_call(std::uint64_t number, const running_call& call)
    {
        if (failing.contains(call.content.target.id)) {
            perform(scheduler.call_failed(number, verdict::may_have_run, false, now));
            return;
        }
        std::vector<piece_outcome> outcomes;
        for (std::size_t index = 0; index < call.content.pieces.size(); ++index) {
            outcomes.push_back(
                {piece_status::done, call.content.target.id + "/" + std::to_string(++handles)});
        }
        perform(scheduler.call_ended(number, outcomes, now));
    }

    void perform(const scheduler_actions& actions)
    {
        for (const auto& action : actions) {
            std::visit([this](const auto& content) { perform(content); }, action);
        }
    }

    void perform(const start_call& action)
    {
        const auto slow_factor = slow.find(action.target.id);
        const int factor = slow_factor == slow.end() ? 1 : slow_factor->second;
        ++started;
        pieces_called += action.pieces.size();
        std::uint64_t size = 0;
        for (const auto& piece : action.pieces) {
            size += piece.result_size;
        }
        largest_call = std::max(largest_call, size);
        auto& largest = largest_batch[action.target.id];
        largest = now < start + seconds(14) ? 0 : std::max(largest, action.pieces.size());
        calls[action.call] = {action, now + action.expected * factor};
    }

    void perform(const job_ended& action)
    {
        ended[action.job] = action.outcome;
        took[action.job] = now - submitted[action.job];
        if (action.outcome.status == job_status::done && !hold_results) {
            perform(scheduler.cancel(action.job));
        }
    }

    void perform(const release_results& action)
    {
        released += action.handles.size();
        scheduler.confirm_released(action.handles);
    }

    // Returns the number of jobs that ended with that status.
    std::size_t count(job_status status) const
    {
        std::size_t number = 0;
        for (const auto& [job, outcome] : ended) {
            number += outcome.status == status ? 1 : 0;
        }
        return number;
    }

    catalog view;
    stage_scheduler scheduler;
    time_point now = start;
    std::map<std::uint64_t, running_call> calls;
    std::map<job_number, job_outcome> ended;
    std::map<job_number, time_point> submitted;
    std::map<job_number, duration> took;
    std::set<std::string> failing;
    std::map<std::string, int> slow; // by endpoint: factor on the time of its calls
    std::size_t started = 0;
    std::size_t pieces_called = 0;
    std::size_t handles = 0;
    std::size_t released = 0;
    std::uint64_t largest_call = 0;
    std::map<std::string, std::size_t> largest_batch; // by endpoint: pieces, after the first 14 s
    bool hold_results = false;
    job_number last = 0;
};

inline stage_capacity lookup_capacity()
{
    stage_capacity capacity;
    capacity.batch = 16;
    capacity.call_time = milliseconds(200);
    capacity.piece_time = milliseconds(11);
    capacity.result_lifetime = seconds(4);
    return capacity;
}

} // namespace quetzal::gateway::testing

#endif
