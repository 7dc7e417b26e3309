#ifndef QUETZAL_SERVING_COLD_SLOTS_HPP
#define QUETZAL_SERVING_COLD_SLOTS_HPP

// Calls of a cold endpoint that its holder lends to other instances. Without them, work that
// arrives at an instance that holds nothing would wait until the holder had warmed every endpoint
// with work of its own.

#include <cstdint>
#include <map>
#include <optional>

#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// A borrower must start its call within this time of its request, and end it within
// `longest_slot_call`.
inline constexpr duration slot_start_window = std::chrono::milliseconds(800);
inline constexpr duration longest_slot_call = std::chrono::seconds(8);
// The holder counts a lent call for this long when no return arrives: window and call with 10% for
// the drift of the two clocks.
inline constexpr duration lent_slot_lifetime = (slot_start_window + longest_slot_call) * 11 / 10;
inline constexpr duration slot_ask_interval = std::chrono::milliseconds(150);

// How a call in a slot ended.
enum class slot_result
{
    unused,
    normal,
    slow
};

// The lent calls of one endpoint, at its holder. Not thread-safe.
class lent_slots
{
public:
    // Lends a call when one is free, and returns the time within which it must start, counted from
    // the first request of that sequence number. A repeated request gets what is left of it; a
    // newer one replaces the former, because a borrower asks again only when no call of its own
    // runs there.
    std::optional<duration> lend(const instance_id& to, std::uint32_t sequence, std::uint32_t free,
                                 time_point now);

    // Takes a lent call back. Returns when it was lent, or nothing for an unknown one.
    std::optional<time_point> take_back(const instance_id& from, std::uint32_t sequence);

    // Forgets calls whose lifetime is over. Returns whether there were any.
    bool expire(time_point now);

    // Forgets all: the endpoint runs another process, which none of them concerns.
    void clear() { lent_.clear(); }

    std::uint32_t count() const noexcept { return static_cast<std::uint32_t>(lent_.size()); }

private:
    struct lent
    {
        std::uint32_t sequence = 0;
        time_point at{};
    };

    std::map<instance_id, lent> lent_; // at most one for each borrower
};

// The borrower's side for one endpoint. Not thread-safe.
class borrowed_slot
{
public:
    // Returns the sequence number of a request to send now, or nothing when a slot is at hand or
    // the last request is too recent. An unanswered request is repeated under its number for the
    // length of the window.
    std::optional<std::uint32_t> ask(incarnation process, time_point now);

    // The holder lent a call. Ignored unless it answers the request under way.
    void granted(incarnation process, std::uint32_t sequence, duration start_within);

    // Whether a call may start now.
    bool usable(time_point now) const noexcept;

    // Whether a slot is at hand or in use.
    bool held() const noexcept { return phase_ == phase::granted || phase_ == phase::in_use; }

    // End of the window of the slot at hand.
    time_point start_by() const noexcept { return start_by_; }

    // A call starts in the slot. Returns when it must have ended.
    time_point take(time_point now);

    // The call in the slot ended. Returns the sequence number to give back, or nothing without such
    // a call.
    std::optional<std::uint32_t> finished();

    // Gives up a slot whose window has passed without a call. Returns the number to give back.
    std::optional<std::uint32_t> expire(time_point now);

    // Forgets all: the endpoint is warm, or runs another process.
    void reset();

private:
    enum class phase
    {
        none,
        asked,
        granted,
        in_use
    };

    phase phase_ = phase::none;
    incarnation process_;
    std::uint32_t sequence_ = 0;
    time_point first_asked_at_{}; // under the present number
    time_point asked_at_{};
    time_point start_by_{};
};

} // namespace quetzal::serving

#endif
