#ifndef QUETZAL_SERVING_DEADLINE_BUDGET_HPP
#define QUETZAL_SERVING_DEADLINE_BUDGET_HPP

// Divides the remaining time of a request among the stages of its pipeline, and detects requests
// that cannot meet their targets before any stage runs.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <quetzal/config/published.hpp>
#include <quetzal/serving/latency_quantiles.hpp>

namespace quetzal::serving {

struct budget_options
{
    // Quantile of the stage latencies by which the remaining time is divided among stages.
    double share_quantile = 0.95;
    // Quantile of each stage's latency that serves as the optimistic estimate. A low value avoids
    // wrongful refusals: a request is refused only when it misses its deadline even though every
    // stage is fast.
    double optimistic_quantile = 0.25;
    // Number of samples of a stage from which its quantiles are used. With fewer samples, the
    // latency of the stage counts as zero.
    std::uint32_t min_samples = 8;
};

// Time limits of one stage call.
struct stage_limits
{
    time_point target;       // end of the stage's share of the remaining time
    time_point urgent_by;    // a later start misses the deadline or the first-token objective
    time_point latest_start; // a later start misses the deadline even when every stage is fast
    time_point give_up;      // an attempt that ends later misses the deadline
};

// Whether a request can still meet its targets.
struct feasibility
{
    bool meets_deadline = true;
    bool meets_first_token = true; // also true when the class has no first-token objective
    duration needed{};             // shortest expected time until the complete answer
    duration available{};          // time left until the deadline
};

// Measured stage latencies of one pipeline, and the time limits derived from them. Not thread-safe.
class deadline_budget
{
public:
    explicit deadline_budget(const config::pipeline& pipeline, budget_options options = {});

    // Records the time from the start of a stage call at its endpoint to the complete answer
    // (`total`) and to its first chunk (`first_chunk`; `total` when absent).
    void record(std::size_t stage, duration total, std::optional<duration> first_chunk,
                time_point now);

    // Records the time between two consecutive chunks of the last stage's answer.
    void record_gap(duration gap, time_point now);

    // Returns the latency of a stage at quantile `q`, or zero when there are too few samples.
    duration stage_latency(std::size_t stage, double q) const;

    // Returns the time between chunks at quantile `q`, or zero when nothing was recorded.
    duration gap(double q) const noexcept { return gaps_.quantile(q); }

    // Returns the longest path, at quantile `q`, through the stages that depend on `stage`,
    // excluding `stage` itself.
    duration longest_path_after(std::size_t stage, double q) const;

    // Returns the longest path, at quantile `q`, through the stages that are not in `done`. Each
    // stage on the path adds `waits[stage]`, its expected wait for an endpoint; empty `waits` adds
    // none. With `to_first_chunk`, the last stage counts only up to its first chunk.
    duration longest_path(const std::vector<bool>& done, const std::vector<duration>& waits,
                          double q, bool to_first_chunk) const;

    // Returns whether a request that arrived at `arrived` can meet its deadline and its first-token
    // objective when its remaining stages start now. Ignores the class's late policy.
    feasibility assess(const config::target& objective, time_point arrived, time_point deadline,
                       const std::vector<bool>& done, const std::vector<duration>& waits,
                       time_point now) const;

    // Returns the time limits of a stage that becomes ready now, for a request with the given
    // objective, arrival and deadline.
    stage_limits limits(std::size_t stage, const config::target& objective, time_point arrived,
                        time_point deadline, time_point now) const;

    std::size_t stages() const noexcept { return stages_.size(); }

private:
    struct stage_record
    {
        std::vector<std::size_t> after;
        latency_quantiles total;
        latency_quantiles first_chunk;
    };

    duration longest_path_after(std::size_t stage, double q, bool to_first_chunk) const;
    duration latency_of(std::size_t stage, double q, bool to_first_chunk) const;

    std::vector<stage_record> stages_; // at most config::max_stages, in topological order
    latency_quantiles gaps_;
    budget_options options_;
};

} // namespace quetzal::serving

#endif
