// What a call at an endpoint is expected to cost, by which `endpoint_chooser` compares endpoints.

#include <quetzal/serving/endpoint_chooser.hpp>

namespace quetzal::serving {

namespace {

// A call may warm up a cold endpoint if it would meet its targets even with a stage duration of
// this many times the 95th percentile.
constexpr double min_warm_up_slowdown = 2;
// An endpoint with calls in flight has stalled if no call has succeeded for this many times the
// mean duration of a whole call.
constexpr double stall_factor = 2;
constexpr double last_resort_cost = 1e9; // ns, exceeds any acceptable expected wait

double nanoseconds(duration value)
{
    return static_cast<double>(value.count());
}

} // namespace

// Returns the time that a call takes at an endpoint without the wait for others, in nanoseconds.
double endpoint_chooser::service_time(const endpoint_state& state, time_point now) const noexcept
{
    if (pace_.known()) {
        const double expected = state.pace.expected_duration(pace_, now);
        return expected > 0 ? expected : initial_latency * state.pace.expected(pace_, now);
    }
    const double service = state.samples > 0 ? state.latency : pool_mean_latency_;
    return service > 0 ? service : initial_latency;
}

double endpoint_chooser::expected_cost(const endpoint_state& state, const choice_request& request,
                                       time_point now) const noexcept
{
    const double service = service_time(state, now);
    const double load = estimated_other_load(state, now) + state.in_flight + 1;
    double cost = load * service / options_.concurrency;
    if (pace_.known()) {
        // Endpoints of different paces differ in the call's own duration too, also when idle.
        cost += service;
    }
    cost += nanoseconds(state.in_other_zone ? options_.other_zone_cost : options_.same_zone_cost);
    if (request.avoid_zone && *request.avoid_zone == state.zone) {
        cost += service; // prefer any other zone to that of a failed attempt
    }
    const bool stalled =
        state.in_flight > 0 && pool_mean_duration_ > 0 &&
        nanoseconds(now - state.last_progress) > stall_factor * pool_mean_duration_;
    if (stalled) {
        return cost + last_resort_cost;
    }
    if (is_warming_up(state)) {
        // Calls warm the endpoint up, and no other instance sends it any. It is therefore preferred
        // for calls that tolerate the delay, and the last resort for all others.
        return request.slowdown >= min_warm_up_slowdown ? 0 : cost + last_resort_cost;
    }
    return cost;
}

} // namespace quetzal::serving
