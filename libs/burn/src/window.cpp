#include <quetzal/burn/window.hpp>

#include <algorithm>
#include <limits>

namespace quetzal::burn {

namespace {

template <class Number>
void add_saturated(Number& sum, std::uint32_t value) noexcept
{
    constexpr std::uint32_t greatest = std::numeric_limits<Number>::max();
    sum = static_cast<Number>(value > greatest - sum ? greatest : sum + value);
}

// Adds every counter, whatever the two widths.
template <class Sum, class Value>
void add_all(Sum& sum, const Value& value) noexcept
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

// Place of a slot in the ring of its window.
std::size_t ring_index(std::size_t window, std::int64_t number) noexcept
{
    return static_cast<std::size_t>(number) % (windows[window].slots + 1);
}

// Place of a slot among those of the short windows, whose rings lie one after the other.
std::size_t short_index(std::size_t window, std::int64_t number) noexcept
{
    std::size_t begin = 0;
    for (std::size_t before = 0; before < window; ++before) {
        begin += windows[before].slots + 1;
    }
    return begin + ring_index(window, number);
}

// Number of the oldest slot of a window whose newest slot is given.
std::int64_t oldest_slot(std::size_t window, std::int64_t newest) noexcept
{
    return std::max<std::int64_t>(newest - static_cast<std::int64_t>(windows[window].slots), 0);
}

} // namespace

counts& counts::operator+=(const counts& other) noexcept
{
    add_all(*this, other);
    return *this;
}

internal::short_counts& internal::short_counts::operator+=(const counts& other) noexcept
{
    add_all(*this, other);
    return *this;
}

counts internal::short_counts::widened() const noexcept
{
    counts wide;
    add_all(wide, *this);
    return wide;
}

void windows_ring::add(const counts& value, time_point now)
{
    const auto with_slot = [this](std::size_t window, std::int64_t number, auto change) {
        if (window == budget_window) {
            change(long_[ring_index(window, number)]);
        } else {
            change(short_[short_index(window, number)]);
        }
    };
    for (std::size_t window = 0; window < window_count; ++window) {
        const auto number = std::max(slot_number(windows[window], now), newest_[window]);
        // Empties the slots that have passed since the newest one, at most the whole ring.
        for (auto passed = std::max(newest_[window] + 1, oldest_slot(window, number));
             passed <= number; ++passed)
        {
            with_slot(window, passed, [](auto& slot) { slot = {}; });
        }
        newest_[window] = number;
        with_slot(window, number, [&](auto& slot) { slot += value; });
    }
}

window_counts windows_ring::sum(time_point now) const
{
    window_counts sums{};
    for (std::size_t window = 0; window < window_count; ++window) {
        const auto newest = newest_[window];
        const auto number = std::max(slot_number(windows[window], now), newest);
        for (auto kept = oldest_slot(window, number); kept <= newest; ++kept) {
            sums[window] += window == budget_window ? long_[ring_index(window, kept)]
                                                    : short_[short_index(window, kept)].widened();
        }
    }
    return sums;
}

} // namespace quetzal::burn
