#include <quetzal/serving/cold_slots.hpp>

#include <algorithm>

namespace quetzal::serving {

std::optional<duration> lent_slots::lend(const instance_id& to, std::uint32_t sequence,
                                         std::uint32_t free, time_point now)
{
    const auto known = loans_.find(to);
    if (known != loans_.end() && sequence < known->second.sequence) {
        return std::nullopt; // a delayed request that a newer one has overtaken
    }
    if (known != loans_.end() && sequence == known->second.sequence) {
        const duration left = slot_start_window - (now - known->second.lent_at);
        return left > duration::zero() ? std::optional(left) : std::nullopt;
    }
    if (known == loans_.end() && free == 0) {
        return std::nullopt;
    }
    loans_[to] = {sequence, now};
    return slot_start_window;
}

std::optional<time_point> lent_slots::take_back(const instance_id& from, std::uint32_t sequence)
{
    const auto known = loans_.find(from);
    if (known == loans_.end() || known->second.sequence != sequence) {
        return std::nullopt;
    }
    const time_point lent_at = known->second.lent_at;
    loans_.erase(known);
    return lent_at;
}

bool lent_slots::expire(time_point now)
{
    return std::erase_if(loans_, [now](const auto& entry) {
               return now - entry.second.lent_at >= lent_slot_lifetime;
           }) > 0;
}

std::optional<std::uint32_t> borrowed_slot::ask(incarnation process, time_point now)
{
    if (process != process_) {
        reset();
        process_ = process;
    }
    const bool idle = phase_ == phase::none || phase_ == phase::requested;
    if (!idle || (sequence_ != 0 && now - last_requested_at_ < slot_request_interval)) {
        return std::nullopt;
    }
    if (phase_ == phase::none || now - first_requested_at_ >= slot_start_window) {
        // Starting from the clock keeps the sequence numbers of a restarted process above those of
        // the previous process.
        const auto clock =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
        sequence_ = std::max(sequence_ + 1, static_cast<std::uint32_t>(clock.count()));
        first_requested_at_ = now;
    }
    phase_ = phase::requested;
    last_requested_at_ = now;
    return sequence_;
}

void borrowed_slot::granted(incarnation process, std::uint32_t sequence, duration start_within)
{
    if (phase_ == phase::requested && process == process_ && sequence == sequence_) {
        phase_ = phase::granted;
        start_by_ = first_requested_at_ + start_within * 9 / 10;
    }
}

bool borrowed_slot::usable(time_point now) const noexcept
{
    return phase_ == phase::granted && now < start_by_;
}

time_point borrowed_slot::take(time_point now)
{
    phase_ = phase::in_use;
    return now + max_slot_call;
}

std::optional<std::uint32_t> borrowed_slot::finished()
{
    if (phase_ != phase::in_use) {
        return std::nullopt;
    }
    phase_ = phase::none;
    return sequence_;
}

std::optional<std::uint32_t> borrowed_slot::expire(time_point now)
{
    if (phase_ != phase::granted || now < start_by_) {
        return std::nullopt;
    }
    phase_ = phase::none;
    return sequence_;
}

void borrowed_slot::reset()
{
    phase_ = phase::none;
}

} // namespace quetzal::serving
