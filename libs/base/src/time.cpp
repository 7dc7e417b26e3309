#include <quetzal/base/time.hpp>

#include <cstdlib>
#include <ctime>

namespace quetzal {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec value{};
    if (clock_gettime(CLOCK_BOOTTIME, &value) != 0) {
        std::abort();
    }
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

wall_time wall_now() noexcept
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace quetzal
