#include <quetzal/serving/deadline_budget.hpp>

#include <algorithm>
#include <array>

namespace quetzal::serving {

namespace {

using stage_times = std::array<duration, config::max_stages>;

duration expected_wait(const std::vector<duration>& waits, std::size_t stage)
{
    return stage < waits.size() ? waits[stage] : duration::zero();
}

} // namespace

deadline_budget::deadline_budget(const config::pipeline& pipeline, budget_options options)
    : options_(options)
{
    const std::size_t count = std::min(pipeline.stages.size(), config::max_stages);
    for (std::size_t index = 0; index < count; ++index) {
        stages_.push_back({pipeline.stages[index].after, latency_quantiles{}, latency_quantiles{}});
    }
}

void deadline_budget::record(std::size_t stage, duration total, std::optional<duration> first_chunk,
                             time_point now)
{
    stages_[stage].total.record(total, now);
    stages_[stage].first_chunk.record(first_chunk.value_or(total), now);
}

void deadline_budget::record_gap(duration gap, time_point now)
{
    gaps_.record(gap, now);
}

duration deadline_budget::latency_of(std::size_t stage, double q, bool to_first_chunk) const
{
    const bool is_last_stage = stage + 1 == stages_.size();
    const latency_quantiles& latency =
        to_first_chunk && is_last_stage ? stages_[stage].first_chunk : stages_[stage].total;
    return latency.samples() < options_.min_samples ? duration::zero() : latency.quantile(q);
}

duration deadline_budget::stage_latency(std::size_t stage, double q) const
{
    return latency_of(stage, q, false);
}

duration deadline_budget::longest_path_after(std::size_t stage, double q) const
{
    return longest_path_after(stage, q, false);
}

duration deadline_budget::longest_path_after(std::size_t stage, double q, bool to_first_chunk) const
{
    // Longest path from the end of `stage` to the end of each later stage. Negative when the later
    // stage does not depend on `stage`.
    stage_times end;
    end.fill(duration(-1));
    end[stage] = duration::zero();
    duration longest = duration::zero();
    for (std::size_t later = stage + 1; later < stages_.size(); ++later) {
        for (const std::size_t predecessor : stages_[later].after) {
            if (end[predecessor] >= duration::zero()) {
                end[later] =
                    std::max(end[later], end[predecessor] + latency_of(later, q, to_first_chunk));
            }
        }
        longest = std::max(longest, end[later]);
    }
    return longest;
}

duration deadline_budget::longest_path(const std::vector<bool>& done,
                                       const std::vector<duration>& waits, double q,
                                       bool to_first_chunk) const
{
    stage_times end{};
    duration longest = duration::zero();
    for (std::size_t stage = 0; stage < stages_.size(); ++stage) {
        if (stage < done.size() && done[stage]) {
            continue;
        }
        for (const std::size_t predecessor : stages_[stage].after) {
            end[stage] = std::max(end[stage], end[predecessor]);
        }
        end[stage] += expected_wait(waits, stage) + latency_of(stage, q, to_first_chunk);
        longest = std::max(longest, end[stage]);
    }
    return longest;
}

feasibility deadline_budget::assess(const config::target& objective, time_point arrived,
                                    time_point deadline, const std::vector<bool>& done,
                                    const std::vector<duration>& waits, time_point now) const
{
    feasibility answer;
    answer.needed = longest_path(done, waits, options_.optimistic_quantile, false);
    answer.available = deadline - now;
    answer.meets_deadline = answer.needed <= answer.available;
    if (objective.first_token) {
        const duration needed = longest_path(done, waits, options_.optimistic_quantile, true);
        answer.meets_first_token = now + needed <= arrived + *objective.first_token;
    }
    return answer;
}

stage_limits deadline_budget::limits(std::size_t stage, const config::target& objective,
                                     time_point arrived, time_point deadline, time_point now) const
{
    stage_limits answer;
    const double optimistic = options_.optimistic_quantile;
    answer.give_up = deadline - longest_path_after(stage, optimistic);
    answer.latest_start = answer.give_up - stage_latency(stage, optimistic);
    answer.urgent_by = answer.latest_start;
    if (objective.first_token) {
        const time_point first = arrived + *objective.first_token -
                                 longest_path_after(stage, optimistic, true) -
                                 latency_of(stage, optimistic, true);
        answer.urgent_by = std::min(answer.urgent_by, first);
    }
    const duration own = stage_latency(stage, options_.share_quantile);
    const duration rest = longest_path_after(stage, options_.share_quantile);
    const duration left = std::max(deadline - now, duration::zero());
    const double share =
        own + rest > duration::zero()
            ? static_cast<double>(own.count()) / static_cast<double>((own + rest).count())
            : 1.0;
    answer.target =
        now + duration(static_cast<duration::rep>(static_cast<double>(left.count()) * share));
    return answer;
}

} // namespace quetzal::serving
