#include <quetzal/burn/window.hpp>

#include <algorithm>
#include <limits>

namespace quetzal::burn {

namespace {

template <class Number>
void add_saturated(Number& sum, std::uint32_t value) noexcept
{
    constexpr std::uint32_t maximum = std::numeric_limits<Number>::max();
    sum = static_cast<Number>(value > maximum - sum ? maximum : sum + value);
}

// Adds every counter, for any combination of counter widths.
template <class Sum, class Value>
void add_counters(Sum& sum, const Value& value) noexcept
{
    add_saturated(sum.total, value.total);
    add_saturated(sum.bad, value.bad);
    add_saturated(sum.failed, value.failed);
    add_saturated(sum.late, value.late);
    add_saturated(sum.slow_first, value.slow_first);
    add_saturated(sum.slow_between, value.slow_between);
    for (std::size_t stage = 0; stage < sum.by_stage.size(); ++stage) {
        add_saturated(sum.by_stage[stage], value.by_stage[stage]);
    }
}

std::int64_t slot_number(const window_shape& shape, time_point now) noexcept
{
    return now.time_since_epoch() / shape.slot;
}

// Returns the index of a slot in the ring buffer of its window.
std::size_t ring_index(std::size_t window, std::int64_t number) noexcept
{
    return static_cast<std::size_t>(number) % (windows[window].slots + 1);
}

// Returns the index of a slot in the array of the short windows, whose ring buffers are adjacent.
std::size_t short_index(std::size_t window, std::int64_t number) noexcept
{
    std::size_t begin = 0;
    for (std::size_t previous = 0; previous < window; ++previous) {
        begin += windows[previous].slots + 1;
    }
    return begin + ring_index(window, number);
}

// Returns the number of the oldest slot of a window with the given newest slot.
std::int64_t oldest_slot(std::size_t window, std::int64_t newest) noexcept
{
    return std::max<std::int64_t>(newest - static_cast<std::int64_t>(windows[window].slots), 0);
}

} // namespace

counts& counts::operator+=(const counts& other) noexcept
{
    add_counters(*this, other);
    return *this;
}

internal::short_counts& internal::short_counts::operator+=(const counts& other) noexcept
{
    add_counters(*this, other);
    return *this;
}

counts internal::short_counts::widened() const noexcept
{
    counts wide;
    add_counters(wide, *this);
    return wide;
}

void windows_ring::add(const counts& value, time_point now)
{
    const auto modify_slot = [this](std::size_t window, std::int64_t number, auto change) {
        if (window == budget_window) {
            change(long_[ring_index(window, number)]);
        } else {
            change(short_[short_index(window, number)]);
        }
    };
    for (std::size_t window = 0; window < window_count; ++window) {
        const auto number = std::max(slot_number(windows[window], now), newest_[window]);
        // Clears the slots from after the newest one up to the current one, at most the whole ring.
        for (auto passed = std::max(newest_[window] + 1, oldest_slot(window, number));
             passed <= number; ++passed)
        {
            modify_slot(window, passed, [](auto& slot) { slot = {}; });
        }
        newest_[window] = number;
        modify_slot(window, number, [&](auto& slot) { slot += value; });
    }
}

window_counts windows_ring::sum(time_point now) const
{
    window_counts sums{};
    for (std::size_t window = 0; window < window_count; ++window) {
        const auto newest = newest_[window];
        const auto number = std::max(slot_number(windows[window], now), newest);
        for (auto counted = oldest_slot(window, number); counted <= newest; ++counted) {
            sums[window] += window == budget_window
                                ? long_[ring_index(window, counted)]
                                : short_[short_index(window, counted)].widened();
        }
    }
    return sums;
}

} // namespace quetzal::burn
