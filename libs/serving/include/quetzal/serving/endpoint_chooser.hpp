#ifndef QUETZAL_SERVING_ENDPOINT_CHOOSER_HPP
#define QUETZAL_SERVING_ENDPOINT_CHOOSER_HPP

// Chooses the endpoint of one pool for a stage call: the least expected cost among a few random
// candidates and the likely holders of the prompt's prefix. Also ejects outliers and adapts the
// concurrency of engines to the between-token objective.

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/serving/latency_quantiles.hpp>
#include <quetzal/serving/prefix_cache_map.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// Constants of the choice.
struct chooser_options
{
    std::uint32_t concurrency = 8; // calls that a warm endpoint runs at once
    std::size_t choices = 3;       // random candidates (d), at most 8
    duration same_zone{0};
    duration other_zone = std::chrono::milliseconds(1);
    // Time that one cached token of the prompt saves: a prefill rate of 20,000 tokens/s.
    duration per_cached_token = std::chrono::microseconds(50);
    // An endpoint is an outlier when its mean latency exceeds that of the other endpoints by this
    // factor, or when more than this share of its answers fail.
    double outlier_latency = 3.0;
    double outlier_failures = 0.25; // and far above that of the others
    double certain_failures = 0.5;  // an outlier whatever the others do
    std::uint32_t outlier_samples = 5;
    duration ejection = std::chrono::seconds(5); // doubles with each ejection in a row
    duration max_ejection = std::chrono::seconds(60);
    std::uint32_t probes_to_return = 2;     // successful probes in a row before an endpoint returns
    std::size_t cached_prefixes = 1u << 14; // 0: the pool has no prefix cache
};

// Why an endpoint cannot be chosen; several may hold at once.
enum class exclusion : std::uint8_t
{
    none = 0,
    zone_out = 1,    // its availability zone is out of service
    leaving = 2,     // the platform's list says that it leaves
    unconnected = 4, // its incarnation is not known
    cold = 8,        // not declared warm, and this instance holds no right to it
    ejected = 16,    // outlier
    refusing = 32    // the endpoint refused work as overloaded a moment ago
};

// A call to place.
struct choice_request
{
    std::span<const prompt_prefix> prefixes; // ascending length; empty: no prompt
    std::span<const endpoint_index> avoid;   // endpoints already tried
    std::optional<std::uint32_t> avoid_zone; // zone number of a failed attempt
    // How many times its usual time the call may take without endangering its targets.
    double slowdown = std::numeric_limits<double>::infinity();
};

// A chosen endpoint and the figures behind the choice.
struct choice
{
    endpoint_index endpoint = no_endpoint_index;
    duration expected_wait{};
    duration cache_gain{};
    prompt_prefix expected_prefix; // longest prefix believed cached there; tokens 0: none
    std::uint32_t candidates = 0;  // endpoints compared
};

// Probe requested for an ejected endpoint.
struct probe_due
{
    endpoint_index endpoint = no_endpoint_index;
};

// How an attempt ended.
struct attempt_outcome
{
    bool success = false;
    bool too_slow = false; // cancelled for its slowness; failed only in so far
    bool counts = true; // false: cancelled or refused before running; no evidence on the endpoint
    duration latency{}; // to the first chunk for streams, else whole
    duration whole{};
    std::optional<std::uint32_t> cached_tokens; // as the engine reported them
    prompt_prefix prompt;                       // longest prefix of the prompt; tokens 0: none
    prompt_prefix expected_prefix;              // of the choice
};

// The endpoints of one pool as one instance sees them. Not thread-safe. `choose`, `started`,
// `finished` and `report` allocate no memory.
class endpoint_chooser
{
public:
    explicit endpoint_chooser(chooser_options options = {});

    // Adds an endpoint, unconnected and cold, and returns its position. `zone` is any number that
    // is equal for endpoints of one zone; `distant` tells whether it is another zone than ours.
    endpoint_index add(const endpoint_id& id, std::uint32_t zone, bool distant);
    void remove(endpoint_index endpoint);

    // Sets or clears one reason against an endpoint.
    void exclude(endpoint_index endpoint, exclusion why, bool excluded);

    // Limits the calls that this instance may have at the endpoint (cold ramp); the pool's
    // concurrency is the upper bound.
    void limit(endpoint_index endpoint, std::uint32_t calls);

    // Changes the concurrency of the pool.
    void resize(std::uint32_t concurrency);

    // Forgets latency, load and cache of an endpoint that restarted.
    void restarted(endpoint_index endpoint);

    void report(endpoint_index endpoint, const load_report& report, time_point now);
    void apply(endpoint_index endpoint, const cache_event& event);

    // Returns the best endpoint with a free place, if any. `random` supplies the candidates.
    std::optional<choice> choose(const choice_request& request, random_source& random,
                                 time_point now) const;

    void started(endpoint_index endpoint, time_point now);
    void finished(endpoint_index endpoint, const attempt_outcome& outcome, time_point now);

    // Feeds the between-token gap of an endpoint; `objective` is that of the call's class. Once a
    // second the batch size shrinks by a quarter when more than 5% of the gaps exceed it, and grows
    // by one otherwise.
    void gap(endpoint_index endpoint, duration measured, duration objective, time_point now);

    // Returns the probes due and starts the next wait for each.
    std::vector<probe_due> due_probes(time_point now);
    void probed(endpoint_index endpoint, bool success, time_point now);

    // Returns the calls that could start now over all usable endpoints, as reports and own work
    // tell.
    std::uint32_t free_places(time_point now) const;

    // Returns the calls that all usable endpoints run at once.
    std::uint32_t places() const;

    // Returns the usable endpoints (those with no reason against them).
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

    // Returns the latency of successful answers of warm endpoints at quantile `q`.
    duration normal_latency(double q) const noexcept { return latency_.quantile(q); }
    std::uint32_t latency_samples() const noexcept { return latency_.samples(); }

    // Returns the score of one endpoint for a request: the expected wait plus distance minus cache
    // gain, in nanoseconds. `choose` takes the least; exposed for comparison with a naive choice.
    double score(endpoint_index endpoint, const choice_request& request, time_point now) const;

    // Returns the expected calls at an endpoint: reported work of others, aged, plus own.
    double expected_load(endpoint_index endpoint, time_point now) const;

    // Returns this instance's share of the free places that the endpoint's last report showed, less
    // what it started there since. Negative where more has started than the share.
    double quota(endpoint_index endpoint) const { return endpoints_[endpoint].quota; }

    // Whether the endpoint has reported lately enough for the quota to apply.
    bool has_fresh_report(endpoint_index endpoint, time_point now) const;

private:
    // The members that `room` reads come first and share a cache line.
    struct alignas(64) endpoint_state
    {
        std::uint32_t in_flight = 0;
        std::uint32_t limit = 0;     // of the cold ramp
        std::uint32_t returning = 0; // calls allowed after an ejection; 0: no such limit
        std::uint8_t excluded = 0;
        bool has_report = false;
        time_point quiet_since{}; // last answer, or start of the only calls in flight
        bool overfull = false; // by the last report
        double quota = 0;      // calls that may start until the next report
        bool distant = false;
        bool present = false;
        double batch = 0;      // adapted concurrency
        double others = 0;     // work of other instances at `reported`
        time_point reported{}; // when the endpoint measured it
        double latency = 0;    // mean, ns
        std::uint32_t zone = 0;
        std::uint32_t samples = 0; // answers behind the means
        double failures = 0;       // mean share
        double late_gaps = 0;      // mean share of chunks beyond the between-token objective
        time_point batch_changed{};
        std::uint32_t ejections = 0; // in a row
        std::uint32_t probes = 0;    // successful ones in a row
        time_point until{};          // end of the ejection, or of the wait for the next probe
        std::size_t usable_position = 0;
        std::uint64_t id_hash = 0;
        endpoint_id id;
    };

    // Rendezvous choice of one share of all prefixes; valid for one state of the usable list.
    struct fallback_slot
    {
        std::uint32_t generation = 0;
        endpoint_index endpoint = no_endpoint_index;
    };

    // What is believed of the caches for the prefixes of one request.
    static constexpr std::size_t max_prefixes = 8; // the longest ones are looked up
    struct cache_view
    {
        std::array<prompt_prefix, max_prefixes> prefixes{}; // longest first
        std::array<prefix_cache_map::holders, max_prefixes> holding{};
        std::size_t count = 0;
        endpoint_index fallback = no_endpoint_index; // by rendezvous hash, when nothing is known
    };

    cache_view look_up(const choice_request& request) const;
    endpoint_index rendezvous(std::uint64_t prefix) const noexcept;
    prompt_prefix cached(const cache_view& view, endpoint_index endpoint) const noexcept;
    double gain(const cache_view& view, endpoint_index endpoint) const noexcept;
    double wait(const endpoint_state& state, const choice_request& request,
                time_point now) const noexcept;
    std::uint32_t own_limit(const endpoint_state& state) const noexcept;
    bool ramping(const endpoint_state& state) const noexcept;
    double others_now(const endpoint_state& state, time_point now) const noexcept;
    double room(const endpoint_state& state, time_point now) const noexcept;
    void set_excluded(endpoint_index endpoint, std::uint8_t excluded);
    bool fails_more(endpoint_index endpoint) const noexcept;
    bool outlier(endpoint_index endpoint) const noexcept;
    void eject(endpoint_index endpoint, time_point now);
    void learn(endpoint_state& state, const attempt_outcome& outcome, time_point now);

    chooser_options options_;
    std::vector<endpoint_state> endpoints_;
    std::vector<endpoint_index> usable_;
    std::vector<std::uint64_t> usable_hashes_; // of the names, parallel to `usable_`
    std::vector<endpoint_index> free_positions_;
    std::size_t present_ = 0;
    std::size_t ejected_ = 0;
    std::size_t ramping_ = 0; // endpoints with a limit between 0 and the concurrency
    latency_quantiles latency_;
    double pool_whole_ = 0;        // mean time to the whole answer, ns
    double pool_latency_ = 0; // mean over successful answers, ns
    double others_mean_ = 0;  // mean work of other instances over reports
    prefix_cache_map cache_;
    // Memory of costly scans: they are repeated only after something has changed.
    mutable std::vector<fallback_slot> fallbacks_;
    endpoint_index freed_ = no_endpoint_index; // where a call ended last
    std::uint32_t generation_ = 1;             // of the usable list
    mutable time_point full_until_{};          // no endpoint has a free place before
};

} // namespace quetzal::serving

#endif
