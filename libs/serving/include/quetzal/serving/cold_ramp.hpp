#ifndef QUETZAL_SERVING_COLD_RAMP_HPP
#define QUETZAL_SERVING_COLD_RAMP_HPP

// Limits the concurrent calls of this instance to one endpoint, depending on whether the endpoint's
// current process is warm. Only the holder of the exclusive right sends to a cold endpoint; all
// other instances wait until the holder declares the incarnation warm.

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// The holder's declaration that an endpoint is warm or cold. A declaration with a greater
// (fence, sequence) replaces one with a smaller.
struct warmth_declaration
{
    incarnation process;
    bool warm = false;
    std::uint64_t fence = 0;
    std::uint32_t sequence = 0;
};

// Why an endpoint is treated as cold.
enum class cold_cause
{
    new_incarnation,
    zone_returned,
    slow_answers,
    reported_cold,
    cache_lost,
    reported_by_peer
};

// Action of the holder: send the declaration to all instances.
struct declare_warmth
{
    warmth_declaration declaration;
};

// Action of any other instance: report its observation to the holder. With `cold` false, it only
// requests the current declaration.
struct notify_holder
{
    incarnation process;
    bool cold = true;
    cold_cause cause = cold_cause::slow_answers;
};

using ramp_action = std::variant<declare_warmth, notify_holder>;

// Parameters of the warm-up.
struct ramp_options
{
    std::uint32_t concurrency = 8;
    std::uint32_t cold_concurrency = 1;
    std::uint32_t slow_answers = 3; // consecutive; they make a warm endpoint cold
    // Wait between queries to the holder, which doubles with each query up to `max_query_wait`.
    duration initial_query_wait = std::chrono::seconds(1);
    duration max_query_wait = std::chrono::seconds(8);
};

// The warm-up state of one endpoint. Not thread-safe.
class cold_ramp
{
public:
    explicit cold_ramp(ramp_options options = {}) : options_(options) {}

    // Sets the concurrency of a warm endpoint and the initial concurrency of a cold one.
    void resize(std::uint32_t concurrency, std::uint32_t cold_concurrency);

    // Records the process that runs at the endpoint. A process other than the previous one is cold.
    std::vector<ramp_action> connected(incarnation process, time_point now);

    // Records that this instance gained the exclusive right with fencing token `fence`, or lost it.
    std::vector<ramp_action> hold(std::optional<std::uint64_t> fence, time_point now);

    // Applies a declaration of the holder unless a newer one is known.
    void declared(const warmth_declaration& declaration);

    // Records a response of the endpoint: `normal` if its latency is within the pool's normal
    // latency, `slow` if it exceeds the outlier bound (failures count as slow). Responses to calls
    // that started before the last change of the limit don't count towards the next doubling.
    std::vector<ramp_action> answered(bool normal, bool slow, time_point started, time_point now);

    // Marks the current process as cold for a cause other than slow responses.
    std::vector<ramp_action> mark_cold(cold_cause cause, time_point now);

    // Handles a report of another instance at the holder. With `cold` false, the other instance
    // only requests the declaration.
    std::vector<ramp_action> peer_reported(incarnation process, bool cold, time_point now);

    // The endpoint's zone is evacuated: all earlier declarations become invalid.
    void zone_evacuated();

    // The endpoint's zone is back in service: the endpoint warms up again from cold.
    std::vector<ramp_action> zone_returned(time_point now);

    // Queries the holder again when an expected declaration has not arrived.
    std::vector<ramp_action> tick(time_point now);

    // Returns the number of calls that this instance may have in flight at the endpoint; 0 means
    // that it must not send any.
    std::uint32_t allowed_calls() const noexcept;

    bool warm() const noexcept { return warm_; }
    bool holder() const noexcept { return fence_.has_value(); }
    std::optional<incarnation> process() const noexcept { return process_; }
    cold_cause cause() const noexcept { return cause_; }

private:
    std::vector<ramp_action> turn_cold(cold_cause cause, time_point now);
    warmth_declaration next_declaration(bool warm);
    bool is_newer(const warmth_declaration& declaration) const noexcept;

    ramp_options options_;
    std::optional<incarnation> process_;
    std::optional<std::uint64_t> fence_; // set while this instance is the holder
    std::optional<warmth_declaration> last_declaration_;
    bool warm_ = false;
    cold_cause cause_ = cold_cause::new_incarnation;
    std::uint32_t limit_ = 0;           // concurrency limit of the holder while cold
    std::uint32_t normal_in_row_ = 0;   // consecutive normal responses since the limit changed
    std::uint32_t abnormal_in_row_ = 0; // consecutive responses that were not normal
    std::uint32_t slow_in_row_ = 0;
    time_point limit_changed_at_{};
    std::optional<time_point> next_query_at_;
    duration query_wait_{};
};

} // namespace quetzal::serving

#endif
