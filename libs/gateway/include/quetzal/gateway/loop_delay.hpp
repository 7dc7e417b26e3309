#ifndef QUETZAL_GATEWAY_LOOP_DELAY_HPP
#define QUETZAL_GATEWAY_LOOP_DELAY_HPP

// Finds out whether the event loop is held up, from how late a periodic timer runs.

#include <optional>

#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

// The interval of the timer. With `max_loop_delay` it bounds the findings to three a second.
constexpr duration loop_delay_interval = std::chrono::milliseconds(100);

// How late the timer may run without a finding.
constexpr duration max_loop_delay = std::chrono::milliseconds(250);

// One time at which the event loop was held up.
struct loop_hold_up
{
    duration delay{};          // how late the timer ran
    duration processor_time{}; // what the loop's thread used of it; the rest it waited for
};

// Judges the runs of a timer. Reads no clock: `now` is the time, and `processor_time` what the
// loop's thread has used so far.
class loop_delay
{
public:
    // The timer is set to run after `loop_delay_interval`.
    void timer_set(time_point now, duration processor_time);

    // The timer runs, or the loop has ended. Returns a finding if the timer is too late.
    std::optional<loop_hold_up> check(time_point now, duration processor_time) const;

private:
    time_point due_{};
    duration processor_time_{}; // when the timer was set
};

} // namespace quetzal::gateway

#endif
