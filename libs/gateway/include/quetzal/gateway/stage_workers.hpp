#ifndef QUETZAL_GATEWAY_STAGE_WORKERS_HPP
#define QUETZAL_GATEWAY_STAGE_WORKERS_HPP

// Tracks the state of the endpoints that run stages: their running calls, the memory that results
// take, and which endpoints are avoided because they fail or are slow.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <quetzal/base/time.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/serving/endpoint_pace.hpp>

namespace quetzal::gateway {

class stage_workers
{
public:
    // Only the endpoints of `zone` are used; of all availability zones if it is empty.
    explicit stage_workers(const catalog& view, std::string zone = {})
        : view_(view), zone_(std::move(zone))
    {
    }

    // Returns the number of usable endpoints of the service that are not avoided because of
    // failures.
    std::size_t active_count(const std::string& service, time_point now) const;

    // Returns the best usable endpoint with a free slot, or null if there is none. Endpoints in
    // `skip` are excluded. An avoided endpoint is returned only if no other endpoint of the service
    // runs a call.
    const endpoint* choose_idle(const std::string& service, const stage_capacity& capacity,
                                time_point now, const std::vector<std::string>& skip);

    // Returns the bytes of results that an endpoint holds or is computing.
    std::uint64_t used_memory(const std::string& id, duration result_lifetime,
                              time_point now) const;

    // Returns the number of pieces that the next call to an endpoint may carry. It is small if the
    // last call was slow, to test whether the endpoint has recovered.
    std::size_t call_limit(const std::string& id, const stage_capacity& capacity) const;

    // Record the start and the end of a call. `reserved` is the memory for its results, in bytes.
    // These and the following functions have no effect if the endpoint has restarted since the call
    // was sent: the new incarnation holds nothing of it.
    void call_started(const endpoint& target, std::uint64_t reserved);
    void call_ended(const endpoint& target, std::uint64_t reserved);

    // Record the outcome of a call.
    void record_response(const endpoint& target);
    void record_on_time_call(const endpoint& target);
    void record_slow_call(const endpoint& target, time_point now);
    void record_failure(const endpoint& target, time_point now);
    void record_full(const endpoint& target, time_point now);
    // Records that the endpoint had no memory for results of that size, in bytes, although it
    // should have by the results known here. It holds results of calls that another instance has
    // sent.
    void record_out_of_memory(const endpoint& target, std::uint64_t size, duration result_lifetime,
                              time_point now);

    // Records the pace that an endpoint reported. Endpoints that are clearly faster now are chosen
    // first.
    void record_pace(const endpoint& target, double pace, time_point now);

    // Records that an endpoint holds a result until that time.
    void add_result(const endpoint& target, const std::string& handle, std::uint64_t size,
                    time_point expires);
    void remove_results(const std::vector<std::string>& handles);

    // Removes the results that have expired at their endpoints. Does so at intervals, as its cost
    // grows with the number of results.
    void expire(time_point now);

    // Returns the availability zone that holds most of these results; empty if none is known.
    std::string most_common_zone(const std::vector<std::string>& handles) const;

private:
    struct held_result
    {
        std::uint64_t size = 0;
        time_point expires;
    };

    struct worker
    {
        endpoint incarnation;
        unsigned calls = 0;
        unsigned failures = 0;      // in a row
        unsigned slow_calls = 0;    // in a row; if above 0, calls are small
        time_point avoided_until{}; // slow or failing: used only if no other one works
        time_point full_until{};    // has refused a call because it was full: not used
        std::uint64_t reserved = 0; // bytes of results being computed
        // Bytes of results of calls that this scheduler did not send, such as those of a
        // coordinator that was lost. They expire at the endpoint: the estimate falls to zero within
        // the lifetime of a result.
        std::uint64_t unaccounted = 0;
        time_point unaccounted_since{};
        std::map<std::string, held_result> held; // by handle
        std::uint64_t held_bytes = 0;            // sum of the sizes of `held`
        serving::endpoint_pace pace;
    };

    static std::uint64_t unaccounted_memory(const worker& target, duration lifetime,
                                            time_point now);
    static std::uint64_t used_memory(const worker& target, duration lifetime, time_point now);

    // Returns the expected pace in steps that are clearly different; 0 for all endpoints of a
    // service without reports.
    long pace_step(const worker& target, const std::string& service, time_point now) const;

    // Returns what is known of the listed incarnation, after dropping what is known of a former
    // one.
    worker& current_worker(const endpoint& listed);
    // Returns what is known of the incarnation that a call was sent to, or null if another one is
    // known by now.
    worker* worker_of(const endpoint& target);

    const catalog& view_;
    std::string zone_;
    time_point next_expiry_{};
    std::map<std::string, worker> workers_;               // by endpoint ID
    std::map<std::string, std::string> result_endpoints_; // endpoint ID by handle
    std::map<std::string, serving::pool_pace> paces_;     // by service
};

} // namespace quetzal::gateway

#endif
