#ifndef QUETZAL_SERVING_COLD_SLOTS_HPP
#define QUETZAL_SERVING_COLD_SLOTS_HPP

// Call slots of a cold endpoint that its holder lends to other instances. Without them, work that
// arrives at an instance without exclusive rights would wait until the holders had warmed up the
// endpoints with their own work.

#include <cstdint>
#include <map>
#include <optional>

#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// A borrower must start its call within this time after its request, and end it within
// `max_slot_call` after the start.
inline constexpr duration slot_start_window = std::chrono::milliseconds(800);
inline constexpr duration max_slot_call = std::chrono::seconds(8);
// The holder counts a lent slot for this long if the borrower does not return it: start window plus
// call, with a 10% margin for the drift between the two clocks.
inline constexpr duration lent_slot_lifetime = (slot_start_window + max_slot_call) * 11 / 10;
inline constexpr duration slot_request_interval = std::chrono::milliseconds(150);

// How the call in a borrowed slot ended.
enum class slot_result
{
    unused,
    normal,
    slow
};

// The slots of one endpoint that its holder has lent. Not thread-safe.
class lent_slots
{
public:
    // Lends a slot if one of `free` calls is available. Returns the time within which the call must
    // start, counted from the first request with this sequence number. A repeated request gets the
    // remaining time. A newer request replaces the previous one, because a borrower sends a new
    // request only when it has no call at the endpoint.
    std::optional<duration> lend(const instance_id& to, std::uint32_t sequence, std::uint32_t free,
                                 time_point now);

    // Takes a lent slot back. Returns when it was lent, or nothing for an unknown slot.
    std::optional<time_point> take_back(const instance_id& from, std::uint32_t sequence);

    // Removes slots whose lifetime has expired. Returns whether there were any.
    bool expire(time_point now);

    // Removes all slots, because they belong to a previous process of the endpoint.
    void clear() { loans_.clear(); }

    std::uint32_t count() const noexcept { return static_cast<std::uint32_t>(loans_.size()); }

private:
    struct loan
    {
        std::uint32_t sequence = 0;
        time_point lent_at{};
    };

    std::map<instance_id, loan> loans_; // at most one for each borrower
};

// The slot that this instance requests or borrows at one endpoint. Not thread-safe.
class borrowed_slot
{
public:
    // Returns the sequence number of a request to send now, or nothing if a slot is granted or in
    // use, or the last request is too recent. An unanswered request is repeated with the same
    // number during the start window.
    std::optional<std::uint32_t> ask(incarnation process, time_point now);

    // Handles a slot granted by the holder. Ignored unless it answers the current request.
    void granted(incarnation process, std::uint32_t sequence, duration start_within);

    // Returns whether a call may start now.
    bool usable(time_point now) const noexcept;

    // Returns whether a slot is granted or in use.
    bool held() const noexcept { return phase_ == phase::granted || phase_ == phase::in_use; }

    // Returns the end of the start window of the granted slot.
    time_point start_by() const noexcept { return start_by_; }

    // Starts a call in the slot. Returns the deadline of the call.
    time_point take(time_point now);

    // Ends the call in the slot. Returns the sequence number of the slot to return to the holder,
    // or nothing if no call was in the slot.
    std::optional<std::uint32_t> finished();

    // Drops a granted slot whose start window has passed without a call. Returns the sequence
    // number of the slot to return to the holder, if any.
    std::optional<std::uint32_t> expire(time_point now);

    // Drops the slot or request, because the endpoint is warm or runs another process.
    void reset();

private:
    enum class phase
    {
        none,
        requested,
        granted,
        in_use
    };

    phase phase_ = phase::none;
    incarnation process_;
    std::uint32_t sequence_ = 0;
    time_point first_requested_at_{}; // with the current sequence number
    time_point last_requested_at_{};
    time_point start_by_{};
};

} // namespace quetzal::serving

#endif
