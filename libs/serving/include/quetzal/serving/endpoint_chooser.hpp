#ifndef QUETZAL_SERVING_ENDPOINT_CHOOSER_HPP
#define QUETZAL_SERVING_ENDPOINT_CHOOSER_HPP

// Chooses the endpoint of one pool for a stage call: the one with the least expected cost among a
// few random candidates and the endpoints that probably have the prompt's prefix cached. Also
// ejects outliers and adapts the batch size of engines to the between-token objective.

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/serving/endpoint_pace.hpp>
#include <quetzal/serving/latency_quantiles.hpp>
#include <quetzal/serving/prefix_cache_map.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// Parameters of the choice.
struct chooser_options
{
    std::uint32_t concurrency = 8; // calls that a warm endpoint runs at once
    std::size_t choices = 3;       // random candidates (d), at most 8
    // Costs of the distance to an endpoint in the same or another availability zone.
    duration same_zone_cost{0};
    duration other_zone_cost = std::chrono::milliseconds(1);
    // Time that one cached token of the prompt saves, for a prefill rate of 20,000 tokens/s.
    duration per_cached_token = std::chrono::microseconds(50);
    // An endpoint is an outlier when its mean latency exceeds that of the other endpoints by this
    // factor, or when more than this fraction of its calls fail.
    double outlier_latency = 3.0;
    double outlier_failures = 0.25;      // only if far above that of the others
    double absolute_failure_bound = 0.5; // an outlier regardless of the others
    std::uint32_t outlier_samples = 5;
    duration ejection = std::chrono::seconds(5); // doubles with each consecutive ejection
    duration max_ejection = std::chrono::seconds(60);
    std::uint32_t probes_to_return = 2; // consecutive successful probes before an endpoint returns
    std::size_t cached_prefixes = 1u << 14; // 0 for a pool without a prefix cache
};

// Why an endpoint cannot be chosen; several reasons may apply at once.
enum class exclusion : std::uint8_t
{
    none = 0,
    zone_evacuated = 1, // its availability zone is evacuated
    leaving = 2,        // the platform's list marks it as leaving
    unconnected = 4,    // its incarnation is not known
    cold = 8,           // not declared warm, and not held by this instance
    ejected = 16,       // ejected as an outlier
    refusing = 32       // recently refused a call because of overload
};

// A call that needs an endpoint.
struct choice_request
{
    std::span<const prompt_prefix> prefixes; // in ascending length; empty without a prompt
    std::span<const endpoint_index> avoid;   // endpoints already tried
    std::optional<std::uint32_t> avoid_zone; // zone number of a failed attempt
    // Factor by which the call may exceed its usual duration without missing its targets.
    double slowdown = std::numeric_limits<double>::infinity();
};

// A chosen endpoint and the estimates behind the choice.
struct choice
{
    endpoint_index endpoint = no_endpoint_index;
    duration expected_wait{};
    duration cache_gain{};
    prompt_prefix expected_prefix; // longest prefix assumed cached there; 0 tokens if none
    std::uint32_t candidates = 0;  // number of endpoints compared
};

// A probe to send to an ejected endpoint.
struct probe_due
{
    endpoint_index endpoint = no_endpoint_index;
};

// The outcome of an attempt.
struct attempt_outcome
{
    bool success = false;
    bool too_slow = false; // cancelled because it was too slow, without another failure
    bool counts = true; // false if cancelled or refused before running: no evidence on the endpoint
    duration latency{}; // to the first chunk of a stream, else the whole duration
    duration whole{};   // duration of the whole call
    std::optional<double> pace; // as reported with the response, see `endpoint_pace`
    std::optional<std::uint32_t> cached_tokens; // as reported by the engine
    prompt_prefix prompt;                       // longest prefix of the prompt; 0 tokens if none
    prompt_prefix expected_prefix;              // as in the choice
};

// The endpoints of one pool as seen by one instance. Not thread-safe. `choose`, `started`,
// `finished` and `report` don't allocate memory.
class endpoint_chooser
{
public:
    explicit endpoint_chooser(chooser_options options = {});

    // Adds an endpoint, unconnected and cold, and returns its index. `zone` is any number that is
    // equal for all endpoints of a zone; `in_other_zone` is set if that is not this instance's
    // zone.
    endpoint_index add(const endpoint_id& id, std::uint32_t zone, bool in_other_zone);
    void remove(endpoint_index endpoint);

    // Sets or clears one reason for excluding an endpoint.
    void exclude(endpoint_index endpoint, exclusion why, bool excluded);

    // Limits the calls that this instance may have in flight at the endpoint (see `cold_ramp`); the
    // pool's concurrency is the upper bound.
    void limit(endpoint_index endpoint, std::uint32_t calls);

    // Sets the concurrency of the pool's endpoints.
    void resize(std::uint32_t concurrency);

    // Drops latency, load and cache entries of an endpoint that restarted.
    void restarted(endpoint_index endpoint);

    void report(endpoint_index endpoint, const load_report& report, time_point now);
    void apply(endpoint_index endpoint, const cache_event& event);

    // Returns the best endpoint with free capacity, if any. `random` selects the candidates.
    std::optional<choice> choose(const choice_request& request, random_source& random,
                                 time_point now) const;

    void started(endpoint_index endpoint, time_point now);
    void finished(endpoint_index endpoint, const attempt_outcome& outcome, time_point now);

    // Records a between-token gap of an endpoint; `objective` is that of the call's class. Once per
    // second, the batch size shrinks by a quarter if more than 5% of the gaps exceed the objective,
    // and grows by one otherwise.
    void record_gap(endpoint_index endpoint, duration measured, duration objective, time_point now);

    // Returns the probes that are due and schedules the next one for each endpoint.
    std::vector<probe_due> due_probes(time_point now);
    void probed(endpoint_index endpoint, bool success, time_point now);

    // Returns the number of calls that could start now at all usable endpoints, according to load
    // reports and this instance's own calls.
    std::uint32_t free_capacity(time_point now) const;

    // Returns the number of concurrent calls that all usable endpoints can run.
    std::uint32_t total_capacity() const;

    // Returns the number of usable endpoints (those without an exclusion).
    std::size_t usable() const noexcept { return usable_.size(); }
    std::size_t size() const noexcept { return present_; }
    std::size_t ejected() const noexcept { return ejected_; }

    std::uint8_t exclusions(endpoint_index endpoint) const { return endpoints_[endpoint].excluded; }
    const endpoint_id& id(endpoint_index endpoint) const { return endpoints_[endpoint].id; }
    std::uint32_t zone(endpoint_index endpoint) const { return endpoints_[endpoint].zone; }
    std::uint32_t in_flight(endpoint_index endpoint) const
    {
        return endpoints_[endpoint].in_flight;
    }
    std::uint32_t batch_limit(endpoint_index endpoint) const;
    std::optional<endpoint_index> find(const endpoint_id& id) const;

    // Returns quantile `q` of the latency of successful calls at warm endpoints.
    duration normal_latency(double q) const noexcept { return latency_.quantile(q); }
    std::uint32_t latency_samples() const noexcept { return latency_.samples(); }

    // Returns the score of one endpoint for a request, in nanoseconds: the expected wait plus the
    // cost of the distance minus the cache gain. `choose` prefers the least score; public for
    // comparison with a naive choice.
    double score(endpoint_index endpoint, const choice_request& request, time_point now) const;

    // Returns the expected number of calls at an endpoint: the reported load of other instances,
    // adjusted for the age of the report, plus this instance's own calls.
    double expected_load(endpoint_index endpoint, time_point now) const;

    // Returns this instance's share of the free capacity in the endpoint's last report, minus the
    // calls that it has started there since. Negative if it has started more calls than its share.
    double quota(endpoint_index endpoint) const { return endpoints_[endpoint].quota; }

    // Returns the pace of an endpoint and what is known of it in the whole pool.
    const endpoint_pace& pace(endpoint_index endpoint) const { return endpoints_[endpoint].pace; }
    const pool_pace& pace() const noexcept { return pace_; }

    // Returns whether the last report of the endpoint is recent enough for the quota to apply.
    bool has_fresh_report(endpoint_index endpoint, time_point now) const;

private:
    // Latency in ns that is assumed before the first successful call; it only scales the scores.
    static constexpr double initial_latency = 1e8;

    // The members that `free_capacity_of` reads come first and share a cache line.
    struct alignas(64) endpoint_state
    {
        std::uint32_t in_flight = 0;
        std::uint32_t limit = 0;          // limit on calls in flight, from `cold_ramp`
        std::uint32_t recovery_limit = 0; // limit on calls in flight after an ejection; 0 if none
        std::uint8_t excluded = 0;
        bool has_report = false;
        time_point last_progress{}; // last success, or first start after an idle time
        bool over_capacity = false; // according to the last report
        double quota = 0;           // calls that this instance may start until the next report
        bool in_other_zone = false;
        bool present = false;
        double batch_size = 0;    // adapted to the between-token objective
        double other_load = 0;    // calls of other instances at `reported_at`
        time_point reported_at{}; // when the endpoint measured its load
        double latency = 0;       // moving average, ns
        std::uint32_t zone = 0;
        std::uint32_t samples = 0; // calls in the moving averages
        double failure_rate = 0;   // moving average
        double late_gap_rate = 0;  // moving average of the fraction of gaps beyond the objective
        time_point batch_changed_at{};
        std::uint32_t consecutive_ejections = 0; // without recovery in between
        std::uint32_t successful_probes = 0;     // consecutive
        time_point next_probe_at{};              // end of the ejection, or time of the next probe
        std::size_t usable_position = 0;
        std::uint64_t id_hash = 0;
        endpoint_id id;
        endpoint_pace pace;
    };

    // Rendezvous choice for one share of all prefixes, valid for one generation of the usable list.
    struct fallback_entry
    {
        std::uint32_t generation = 0;
        endpoint_index endpoint = no_endpoint_index;
    };

    // The cache entries for the prefixes of one request.
    static constexpr std::size_t max_prefixes = 8; // only the longest are looked up
    struct cache_lookup
    {
        std::array<prompt_prefix, max_prefixes> prefixes{}; // longest first
        std::array<prefix_cache_map::holders, max_prefixes> holding{};
        std::size_t count = 0;
        // Chosen by rendezvous hash if no prefix has an entry.
        endpoint_index fallback = no_endpoint_index;
    };

    cache_lookup look_up(const choice_request& request) const;
    endpoint_index rendezvous(std::uint64_t prefix) const noexcept;
    prompt_prefix cached_prefix(const cache_lookup& lookup, endpoint_index endpoint) const noexcept;
    double expected_cache_gain(const cache_lookup& lookup, endpoint_index endpoint) const noexcept;
    double service_time(const endpoint_state& state, time_point now) const noexcept;
    double expected_cost(const endpoint_state& state, const choice_request& request,
                         time_point now) const noexcept;
    std::uint32_t concurrency_limit(const endpoint_state& state) const noexcept;
    bool is_warming_up(const endpoint_state& state) const noexcept;
    double estimated_other_load(const endpoint_state& state, time_point now) const noexcept;
    double free_capacity_of(const endpoint_state& state, time_point now) const noexcept;
    void set_exclusions(endpoint_index endpoint, std::uint8_t excluded);
    bool fails_more_than_others(endpoint_index endpoint) const noexcept;
    bool is_outlier(endpoint_index endpoint) const noexcept;
    void eject(endpoint_index endpoint, time_point now);
    void update_statistics(endpoint_state& state, const attempt_outcome& outcome, time_point now);

    chooser_options options_;
    std::vector<endpoint_state> endpoints_;
    std::vector<endpoint_index> usable_;
    std::vector<std::uint64_t> usable_hashes_; // hashes of the names, parallel to `usable_`
    std::vector<endpoint_index> unused_positions_;
    std::size_t present_ = 0;
    std::size_t ejected_ = 0;
    std::size_t warming_up_ = 0; // endpoints with a limit above 0 and below the concurrency
    latency_quantiles latency_;
    double pool_mean_duration_ = 0; // mean duration of a whole successful call, ns
    double pool_mean_latency_ = 0;  // mean over successful calls at warm endpoints, ns
    double mean_other_load_ = 0;    // mean load by other instances, over reports
    pool_pace pace_;
    prefix_cache_map cache_;
    // Results of costly scans, which are repeated only after a change.
    mutable std::vector<fallback_entry> fallbacks_;
    endpoint_index last_freed_ = no_endpoint_index; // where the last call ended
    std::uint32_t usable_generation_ = 1;           // changes with the usable list
    mutable time_point full_until_{}; // no endpoint has free capacity before this time
};

} // namespace quetzal::serving

#endif
