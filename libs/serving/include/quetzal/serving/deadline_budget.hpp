#ifndef QUETZAL_SERVING_DEADLINE_BUDGET_HPP
#define QUETZAL_SERVING_DEADLINE_BUDGET_HPP

// Divides the time that a request has left among the stages of its pipeline, and recognises
// requests that cannot meet their targets before they cost anything.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <quetzal/config/published.hpp>
#include <quetzal/serving/latency_quantiles.hpp>

namespace quetzal::serving {

// Constants of the budget.
struct budget_options
{
    // Quantile that divides the time among stages.
    double share_quantile = 0.95;
    // Quantile of each stage's latency below which no request is expected to stay. A low value
    // avoids wrongful refusals: only a request that is late even when every stage is fast is
    // refused.
    double hope_quantile = 0.25;
    // Samples of a stage before its quantiles are used; until then the stage counts as instant.
    std::uint32_t least_samples = 8;
};

// When one stage call has to be done.
struct stage_limits
{
    time_point target;       // the stage's part of the remaining time ends here
    time_point urgent_by;    // a later start misses the deadline or the first-token objective
    time_point latest_start; // a later start misses the deadline, even when every stage is fast
    time_point give_up;      // an attempt that ends later misses the deadline
};

// Whether a request can still meet its targets.
struct reach
{
    bool deadline = true;
    bool first_token = true; // also true where the class has no such objective
    duration needed{};       // least time until the whole answer
    duration available{};    // time left until the deadline
};

// The stage latencies of one pipeline and what follows from them. Not thread-safe.
class deadline_budget
{
public:
    explicit deadline_budget(const config::pipeline& pipeline, budget_options options = {});

    // Records that a stage's answer took `whole`, and its first chunk `first_chunk`, measured from
    // the start of the call at its endpoint.
    void record(std::size_t stage, duration whole, std::optional<duration> first_chunk,
                time_point now);

    // Records the time between two chunks of the last stage's answer.
    void record_gap(duration gap, time_point now);

    // Returns the latency of a stage at quantile `q`; zero while too few samples are known.
    duration stage_latency(std::size_t stage, double q) const;

    // Returns the time between chunks at quantile `q`; zero while too few samples are known.
    duration gap(double q) const noexcept { return gaps_.quantile(q); }

    // Returns the longest path, at quantile `q`, through the stages that depend on `stage`, without
    // `stage` itself.
    duration tail(std::size_t stage, double q) const;

    // Returns the longest path through the stages that are not in `done`, at quantile `q`, plus
    // `waits[stage]`, the expected wait for an endpoint (empty: no waits). `to_first_chunk` counts
    // the last stage only up to its first chunk.
    duration longest_path(const std::vector<bool>& done, const std::vector<duration>& waits,
                          double q, bool to_first_chunk) const;

    // Returns whether a request that arrived at `arrived` can meet its deadline and its first-token
    // objective when its remaining stages start now. The class's late policy is not applied.
    reach judge(const config::target& objective, time_point arrived, time_point deadline,
                const std::vector<bool>& done, const std::vector<duration>& waits,
                time_point now) const;

    // Returns the limits of a stage of a request with the given bounds when it becomes ready now.
    stage_limits limits(std::size_t stage, const config::target& objective, time_point arrived,
                        time_point deadline, time_point now) const;

    std::size_t stages() const noexcept { return stages_.size(); }

private:
    struct stage_record
    {
        std::vector<std::size_t> after;
        latency_quantiles whole;
        latency_quantiles first_chunk;
    };

    duration tail(std::size_t stage, double q, bool to_first_chunk) const;
    duration latency_of(std::size_t stage, double q, bool to_first_chunk) const;

    std::vector<stage_record> stages_; // at most config::max_stages, in topological order
    latency_quantiles gaps_;
    budget_options options_;
};

} // namespace quetzal::serving

#endif
