#include <quetzal/gateway/loop_delay.hpp>

namespace quetzal::gateway {

void loop_delay::timer_set(time_point now, duration processor_time)
{
    due_ = now + loop_delay_interval;
    processor_time_ = processor_time;
}

std::optional<loop_hold_up> loop_delay::check(time_point now, duration processor_time) const
{
    const duration delay = now - due_;
    if (delay <= max_loop_delay) {
        return std::nullopt;
    }
    return loop_hold_up{delay, processor_time - processor_time_};
}

} // namespace quetzal::gateway
