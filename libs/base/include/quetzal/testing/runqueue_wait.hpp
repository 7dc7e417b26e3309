#ifndef QUETZAL_TESTING_RUNQUEUE_WAIT_HPP
#define QUETZAL_TESTING_RUNQUEUE_WAIT_HPP

// How long the calling thread was ready to run while other threads had the processor. Tests with a
// time limit subtract it, so that they measure the program and not the other processes of a busy
// machine. Used only by tests.

#include <chrono>
#include <cstdint>
#include <fstream>

#include <quetzal/base/time.hpp>

namespace quetzal::testing {

// Returns the time since the start of the thread, or zero where the kernel does not tell.
inline duration runqueue_wait()
{
    std::ifstream file("/proc/thread-self/schedstat");
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    if (!(file >> running >> waiting)) {
        return duration::zero();
    }
    return std::chrono::nanoseconds(waiting);
}

} // namespace quetzal::testing

#endif
