#ifndef QUETZAL_BURN_WINDOW_HPP
#define QUETZAL_BURN_WINDOW_HPP

// Counts good and bad requests over sliding windows, in ring buffers of coarse time slots.

#include <array>
#include <cstddef>
#include <cstdint>
#include <quetzal/base/time.hpp>
#include <quetzal/config/published.hpp>

namespace quetzal::burn {

// Shape of one window of the multi-window burn rate alerts. The two short windows react quickly;
// the two long ones measure how much of the budget is used.
struct window_shape
{
    duration slot{};
    std::size_t slots = 0; // complete slots of the window; the current slot comes on top
    constexpr duration length() const noexcept { return slot * static_cast<duration::rep>(slots); }
};

inline constexpr std::size_t window_count = 4;
inline constexpr std::array<window_shape, window_count> windows{
    {{std::chrono::minutes(1), 5},              // 5 min
     {std::chrono::minutes(10), 6},             // 1 h
     {std::chrono::hours(1), 6},                // 6 h
     {std::chrono::hours(12), 6}}};             // 3 d, the window of the error budget
inline constexpr std::size_t budget_window = 3; // index of the window of the error budget

// Request counts of one slot or window. A request that misses several bounds counts once in `bad`.
// Counters saturate at their maximum value.
struct counts
{
    std::uint32_t total = 0;
    std::uint32_t bad = 0;
    std::uint32_t failed = 0;       // rejected, truncated or failed
    std::uint32_t late = 0;         // missed the deadline
    std::uint32_t slow_first = 0;   // missed the bound on the time to the first token
    std::uint32_t slow_between = 0; // missed the bound on the time between tokens
    // Bad requests per responsible stage, by its index in the pipeline.
    std::array<std::uint32_t, config::max_stages> by_stage{};

    friend bool operator==(const counts&, const counts&) = default;
    counts& operator+=(const counts& other) noexcept;
};

using window_counts = std::array<counts, window_count>;

namespace internal {

// Smaller form of `counts` for slots of at most one hour. The 16-bit counters saturate at 65,535.
// Within one hour this takes 18 bad requests per second of one pair at one instance; at the design
// size an instance receives 8 requests per second in total.
struct short_counts
{
    std::uint32_t total = 0;
    std::uint32_t bad = 0;
    std::uint16_t failed = 0;
    std::uint16_t late = 0;
    std::uint16_t slow_first = 0;
    std::uint16_t slow_between = 0;
    std::array<std::uint16_t, config::max_stages> by_stage{};

    short_counts& operator+=(const counts& other) noexcept;
    counts widened() const noexcept;
};

// Total number of slots of all windows but the longest, including the current slot of each.
inline constexpr std::size_t short_slots = [] {
    std::size_t sum = 0;
    for (std::size_t window = 0; window < budget_window; ++window) {
        sum += windows[window].slots + 1;
    }
    return sum;
}();

} // namespace internal

// The ring buffers of one pair of customer and class.
class windows_ring
{
public:
    // Adds the counts of a request that ended at `now`. A time before the newest slot counts into
    // the newest slot.
    void add(const counts& value, time_point now);

    // Returns the counts of every window at `now`: the current slot and the `slots` slots before
    // it. A window therefore covers between its length and one slot more.
    window_counts sum(time_point now) const;

private:
    std::array<std::int64_t, window_count> newest_{-1, -1, -1, -1}; // number of the newest slot
    std::array<internal::short_counts, internal::short_slots> short_{};
    std::array<counts, windows[budget_window].slots + 1> long_{};
};

} // namespace quetzal::burn

#endif
