#ifndef QUETZAL_BASE_TIME_HPP
#define QUETZAL_BASE_TIME_HPP

// Time types of the project. Decision code never reads a clock: callers pass a `time_point` in. Use
// `boot_clock` for leases and deadlines, `wall_time` only for what leaves the process or is shown
// to people.

#include <chrono>
#include <cstdint>

namespace quetzal {

// Clock over CLOCK_BOOTTIME. It is monotonic and goes on while the machine is suspended, so a lease
// that ended during a suspension has ended for its holder too. Thread-safe.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    // Returns the time since boot. Aborts if the kernel does not know CLOCK_BOOTTIME.
    static time_point now() noexcept;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

// The whole milliseconds of a duration, for messages and logs.
constexpr std::int64_t whole_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// Milliseconds since the Unix epoch. Two instances may disagree by any amount.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// Returns the current wall time.
wall_time wall_now() noexcept;

} // namespace quetzal

#endif
