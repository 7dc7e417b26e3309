#include <quetzal/rights/credit_wallet.hpp>

#include <algorithm>
#include <cmath>

namespace quetzal::rights {

namespace {

constexpr duration prefetch = std::chrono::milliseconds(200);
constexpr duration repeat_interval = std::chrono::milliseconds(100);
constexpr std::uint32_t max_tries = 3; // sendings of one request
constexpr duration shortest_pause = std::chrono::milliseconds(10);
constexpr duration longest_pause = std::chrono::seconds(1);
constexpr duration after_refusal = std::chrono::milliseconds(20);
constexpr duration idle_time = std::chrono::milliseconds(400); // before unused credits go back
constexpr duration waiting_memory = std::chrono::seconds(1);   // after the last unserved request
constexpr double demand_worth_prefetching = 2;                 // credits in `prefetch`

double fraction(duration part, duration whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

double credit_wallet::demand(time_point now) const
{
    if (demand_ <= 0 || now <= demand_at_) {
        return demand_;
    }
    return demand_ * std::exp(-fraction(now - demand_at_, prefetch));
}

void credit_wallet::note_demand(time_point now)
{
    demand_ = demand(now) + 1;
    demand_at_ = std::max(demand_at_, now);
}

bool credit_wallet::spend(std::uint64_t config, time_point now)
{
    lot* first = nullptr;
    for (auto& entry : lots_) {
        const bool valid = entry.until > now || !safe_.credit_expiry;
        if (entry.tokens > 0 && valid && entry.config <= config &&
            (first == nullptr || entry.until < first->until))
        {
            first = &entry;
        }
    }
    if (first == nullptr) {
        return false;
    }
    --first->tokens;
    ++spent_;
    note_demand(now);
    last_use_ = now;
    return true;
}

void credit_wallet::wait(time_point now)
{
    waiting_ = std::min(waiting_ + 1, 1'000'000u);
    waiting_at_ = now;
    last_use_ = now;
}

std::uint32_t credit_wallet::held(time_point now) const noexcept
{
    std::uint32_t sum = 0;
    for (const auto& entry : lots_) {
        sum += entry.until > now || !safe_.credit_expiry ? entry.tokens : 0;
    }
    return sum;
}

std::uint32_t credit_wallet::wanted(bool small, time_point now) const
{
    const bool waiting = waiting_ > 0 && now < waiting_at_ + waiting_memory;
    const double expected = (waiting ? waiting_ : 0) + (small ? 0.0 : std::ceil(demand(now)));
    const std::uint32_t kept = held(now);
    if (waiting && kept == 0) {
        return static_cast<std::uint32_t>(expected);
    }
    const bool low = !small && demand(now) >= demand_worth_prefetching && kept < expected / 2;
    return low ? static_cast<std::uint32_t>(expected) - kept : 0;
}

bool credit_wallet::report_due(bool small, time_point now) const
{
    // After `believed_until_` the home has written the credits off by itself.
    if (believed_ == 0 || now >= believed_until_) {
        return false;
    }
    if (small && held(now) < believed_) {
        return true; // the refill waits for it
    }
    return now >= last_use_ + idle_time;
}

credit_wallet::action credit_wallet::due(bool small, time_point now) const
{
    if (in_flight_) {
        if (now < sent_at_ + repeat_interval) {
            return action::none;
        }
        return tries_ < max_tries ? action::repeat : action::give_up;
    }
    if (now < not_before_) {
        return action::none;
    }
    return wanted(small, now) > 0 || report_due(small, now) ? action::ask : action::none;
}

time_point credit_wallet::wake(bool small, time_point now) const
{
    if (in_flight_) {
        return sent_at_ + repeat_interval;
    }
    if (wanted(small, now) > 0 || (small && report_due(small, now))) {
        return std::max(not_before_, now);
    }
    if (believed_ > 0 && now < believed_until_) {
        return std::max(not_before_, std::min(last_use_ + idle_time, believed_until_));
    }
    return time_point::max();
}

peer::credit_request credit_wallet::ask(const instance_id& home, std::uint32_t sequence, bool small,
                                        time_point now)
{
    request_ = {};
    request_.sequence = sequence;
    request_.wanted = wanted(small, now);
    if (request_.wanted == 0 && now >= last_use_ + idle_time) {
        lots_ = {}; // given back by this report
    }
    request_.held = held(now);
    request_.spent = spent_;
    believed_ = request_.held; // more until this request arrives
    asked_ = home;
    asked_at_ = sent_at_ = now;
    asked_waiting_ = waiting_;
    waiting_ = 0;
    tries_ = 1;
    in_flight_ = request_.wanted > 0;
    not_before_ = now + shortest_pause;
    return request_;
}

const peer::credit_request& credit_wallet::repeat(time_point now)
{
    ++tries_;
    sent_at_ = now;
    return request_;
}

void credit_wallet::give_up(time_point now)
{
    in_flight_ = false;
    waiting_ = std::max(waiting_, asked_waiting_);
    not_before_ = now;
}

void credit_wallet::add(const lot& entry)
{
    // Lots that expire or are empty first make room; the youngest two merge otherwise, with the
    // earlier end.
    const auto by_end = [](const lot& left, const lot& right) {
        return std::pair(left.tokens > 0, left.until) < std::pair(right.tokens > 0, right.until);
    };
    std::ranges::sort(lots_, by_end);
    lot& place = lots_.front();
    if (place.tokens > 0) {
        lots_[1].tokens += place.tokens;
        lots_[1].until = place.until;
        lots_[1].config = std::max(lots_[1].config, place.config);
    }
    place = entry;
}

bool credit_wallet::on_grant(const instance_id& from, const peer::credit_grant& grant,
                             time_point now)
{
    const bool expected = in_flight_ && from == asked_ && grant.sequence == request_.sequence;
    if (!expected && (safe_.credit_sequence || grant.tokens == 0)) {
        return false;
    }
    in_flight_ = false;
    home_delay_ = grant.retry_after;
    if (!grant.is_home) {
        give_up(now);
        not_before_ = now + after_refusal;
        return true;
    }
    if (grant.tokens == 0) {
        waiting_ = std::max(waiting_, asked_waiting_);
        not_before_ = now + std::clamp<duration>(grant.retry_after, after_refusal, longest_pause);
        return true;
    }
    const time_point until = asked_at_ + grant.valid_for;
    for (auto& entry : lots_) {
        if (entry.until <= now && safe_.credit_expiry) {
            entry = {};
        }
    }
    add({grant.tokens, grant.config_version, until});
    believed_ = held(now);
    believed_until_ = until;
    return true;
}

time_point credit_wallet::retry_at(time_point now) const noexcept
{
    constexpr duration answer_time = std::chrono::milliseconds(5);
    return in_flight_ ? now + answer_time : std::max(not_before_, now) + answer_time;
}

bool credit_wallet::idle(time_point now) const noexcept
{
    const bool waiting = waiting_ > 0 && now < waiting_at_ + waiting_memory;
    return !in_flight_ && !waiting && (believed_ == 0 || now >= believed_until_);
}

} // namespace quetzal::rights
