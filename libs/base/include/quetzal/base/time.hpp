#ifndef QUETZAL_BASE_TIME_HPP
#define QUETZAL_BASE_TIME_HPP

// Time types of the project. Decision code never reads a clock; its callers pass a `time_point`.
// Use `boot_clock` for leases and deadlines, and `wall_time` only for times that leave the process
// or are shown to people.

#include <chrono>
#include <cstdint>

namespace quetzal {

// A clock based on CLOCK_BOOTTIME. It is monotonic and continues while the machine is suspended, so
// a lease that expires during a suspension has expired for its holder too. Thread-safe.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    // Returns the time since boot. Aborts if the kernel does not support CLOCK_BOOTTIME.
    static time_point now() noexcept;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

// Returns the duration in milliseconds, rounded towards zero, for messages and logs.
constexpr std::int64_t whole_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// Milliseconds since the Unix epoch. The wall clocks of two instances may differ by any amount.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// Returns the current wall time.
wall_time wall_now() noexcept;

} // namespace quetzal

#endif
