#ifndef QUETZAL_BENCH_EVENT_QUEUE_HPP
#define QUETZAL_BENCH_EVENT_QUEUE_HPP

// The virtual clock of the bench: actions run in order of their time.

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include <quetzal/base/time.hpp>

namespace quetzal::bench {

// Start of every run. Not zero, so that a time in the past of the start can be expressed.
inline constexpr time_point start_of_run = time_point(std::chrono::hours(1));

// Time before the start in which the instances find each other.
inline constexpr duration pre_roll = std::chrono::seconds(10);

// Discrete-event queue. Actions of equal time run in the order in which they were added, so a run
// depends on its seed alone.
class event_queue
{
public:
    using action = std::function<void()>;

    time_point now() const noexcept { return now_; }

    // Adds an action; a time that has passed means now.
    void at(time_point when, action run)
    {
        entries_.push({std::max(when, now_), next_++, std::move(run)});
    }

    void after(duration delay, action run) { at(now_ + delay, std::move(run)); }

    // Runs actions up to and including `end` and leaves the clock there.
    void run_until(time_point end)
    {
        while (!entries_.empty() && entries_.top().when <= end) {
            // Moving out of top() is safe: the entry is popped before anything compares it again,
            // and the comparison doesn't read the action.
            action run = std::move(const_cast<entry&>(entries_.top()).run);
            now_ = entries_.top().when;
            entries_.pop();
            run();
        }
        now_ = end;
    }

private:
    struct entry
    {
        time_point when;
        std::uint64_t order;
        action run;

        bool operator<(const entry& other) const noexcept
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };

    time_point now_ = start_of_run - pre_roll;
    std::uint64_t next_ = 0;
    std::priority_queue<entry> entries_;
};

} // namespace quetzal::bench

#endif
