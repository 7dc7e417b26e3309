// Tests what counts as a held-up event loop.

#include <quetzal/gateway/loop_delay.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
using namespace std::chrono_literals;

// Guards against an event loop that is held up for a second at the end of the grace period, which
// nothing shows.
Test(loop_delay, a_late_timer_is_a_hold_up)
{
    constexpr time_point start(1h);
    loop_delay delay;
    delay.timer_set(start, 5s);
    section("given a timer in time, or little too late", [&] {
        check(!delay.check(start + loop_delay_interval, 5s), "in time");
        check(!delay.check(start + loop_delay_interval + max_loop_delay, 5s), "at the limit");
    });
    section("given a loop that ends before the timer runs",
            [&] { check(!delay.check(start + 1ms, 5s), "it was not held up"); });
    section("given a timer that runs late", [&] {
        const auto found = delay.check(start + loop_delay_interval + 700ms, 5s + 30ms);
        check(found.has_value(), "it is found");
        check(found->delay == 700ms, "with how late it was");
        check(found->processor_time == 30ms, "and what the thread used of the time");
    });
    section("given that the timer is set again", [&] {
        delay.timer_set(start + 800ms, 6s);
        check(!delay.check(start + 900ms, 6s), "one hold-up is found once");
    });
}
