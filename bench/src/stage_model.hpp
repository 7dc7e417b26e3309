#ifndef QUETZAL_BENCH_STAGE_MODEL_HPP
#define QUETZAL_BENCH_STAGE_MODEL_HPP

// Model of one endpoint: continuous batching, a prefix cache, cold start, priorities, streams,
// cancellation and faults.

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "event_queue.hpp"
#include <quetzal/base/ids.hpp>
#include <quetzal/base/random.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::bench {

// How the endpoints of one pool behave. Times are for a call of size 1 that runs alone.
struct pool_profile
{
    duration base{};      // time to the answer, or to the first chunk of a stream
    duration per_chunk{}; // time of each further chunk; 0: the answer is not a stream
    double batch_slope = 0; // slow-down of all calls of a batch by each further call
    unsigned concurrency = 8;
    unsigned cold_concurrency = 1;
    double cold_factor = 3;         // slow-down of an endpoint that has just started
    std::size_t cache_prefixes = 0; // prefixes that fit into the cache; 0: no cache
    double cached_share = 1;        // share of `base` left when the prefix is cached
};

// One attempt of a stage on an endpoint.
struct call
{
    std::uint64_t id = 0;
    std::uint32_t request = 0;
    std::uint32_t stage = 0;
    std::uint32_t instance = 0;
    std::uint32_t endpoint = 0;
    std::int32_t priority = 0; // smaller runs first
    std::uint64_t prefix = 0;
    double size = 1;
    std::uint32_t chunks = 0;
    std::uint64_t process = 0; // refused by any other process of the endpoint; 0: any process
    bool cached = false;       // set by the endpoint: the prefix was in its cache
};

// What an endpoint tells about a call.
enum class call_event
{
    first_chunk,
    chunk,
    finished,
    refused, // not run
    failed   // may have run
};

struct load_report
{
    incarnation process;
    bool warm = true;
    unsigned running = 0;
    unsigned waiting = 0;
    time_point taken;
};

// A change of the cache. `sequence` shows gaps; the model itself loses nothing.
struct cache_event
{
    enum class kind
    {
        stored,
        evicted,
        cleared
    };

    std::uint64_t sequence = 0;
    kind what = kind::stored;
    std::uint64_t prefix = 0;
};

// An endpoint. All running calls progress at one rate, which falls with the size of the batch, with
// coldness and with a slow-down. A cold endpoint warms up by the calls that it finishes; it bears
// `cold_concurrency` calls at first and more with its warmth. A call above that bound is an
// overload: it slows the endpoint down further and undoes half of the warmth.
class stage_model
{
public:
    using listener = std::function<void(const call&, call_event)>;
    using cache_listener = std::function<void(const cache_event&)>;

    // `profile` and `events` must outlive the model.
    stage_model(const pool_profile& profile, event_queue& events, std::uint64_t seed,
                listener on_call, cache_listener on_cache);

    // Takes a call; every outcome is reported to the listener.
    void receive(const call& work);

    // Forgets a call, running or waiting. Nothing is reported.
    void cancel(std::uint64_t id);

    // Stops the process: calls fail and new ones are refused.
    void stop();

    // Starts a new process, cold.
    void start();

    // Makes a warm endpoint cold without a new process, e.g. after it has lost its cache.
    void turn_cold();

    void set_slow_down(double factor);

    // Makes this share of the calls fail shortly after their start.
    void set_failing(double share) { failing_ = share; }

    bool up() const noexcept { return up_; }
    bool warm() const noexcept { return warmth_ >= 1; }
    double slow_down() const noexcept { return slow_; }
    double failing() const noexcept { return failing_; }
    load_report report() const;

    // Counters of the run.
    std::uint64_t cold_overloads() const noexcept { return cold_overloads_; }
    std::uint64_t undetected_overloads() const noexcept { return undetected_overloads_; }
    std::uint64_t cache_hits() const noexcept { return cache_hits_; }
    std::uint64_t cache_misses() const noexcept { return cache_misses_; }

    // Called with each call that leaves the endpoint and the time it held a slot.
    std::function<void(const call&)> on_execution; // an execution has begun
    std::function<void(const call&, duration)> on_slot_time;

private:
    struct job
    {
        call work;
        double milestone = 0; // progress at which the next event of the call is due
        std::uint32_t chunks_left = 0;
        bool first = true;
        bool fails = false;
        time_point begun;
    };

    void advance();
    double rate() const;
    double borne() const;
    void schedule();
    void reach_milestones(std::uint64_t generation);
    bool pass_milestone(job& entry);
    void fill();
    void begin(const call& work);
    void leave(const job& entry);
    void warm_up();
    bool touch_cache(std::uint64_t prefix);
    void clear_cache();

    const pool_profile& profile_;
    event_queue& events_;
    random_source random_;
    listener on_call_;
    cache_listener on_cache_;
    std::vector<job> running_;
    std::vector<call> waiting_;
    std::vector<std::uint64_t> cache_; // least recently used first
    double progress_ = 0;              // seconds of work that each running call has received
    time_point advanced_ = start_of_run;
    std::uint64_t generation_ = 0; // invalidates scheduled events
    std::uint64_t process_ = 1;
    std::uint64_t cache_sequence_ = 0;
    bool up_ = true;
    double warmth_ = 1;
    double slow_ = 1;
    double failing_ = 0;
    time_point turned_cold_ = start_of_run - pre_roll; // without a new process
    std::uint64_t cold_overloads_ = 0;
    std::uint64_t undetected_overloads_ = 0; // too soon after turning cold for anyone to know
    std::uint64_t cache_hits_ = 0;
    std::uint64_t cache_misses_ = 0;
};

} // namespace quetzal::bench

#endif
