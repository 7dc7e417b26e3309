#include <quetzal/rights/credit_wallet.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzal::rights {

namespace {

constexpr duration prefetch_window = std::chrono::milliseconds(200);
constexpr duration retry_interval = std::chrono::milliseconds(100);
constexpr std::uint32_t max_attempts = 3; // to send one request
constexpr duration min_request_interval = std::chrono::milliseconds(10);
constexpr duration max_retry_delay = std::chrono::seconds(1);
constexpr duration min_retry_delay = std::chrono::milliseconds(20);
constexpr duration idle_return_delay = std::chrono::milliseconds(400); // for unused credits
constexpr duration waiting_timeout = std::chrono::seconds(1); // after the last failed `spend`
constexpr double min_prefetch_demand = 2;                     // credits per `prefetch_window`

double fraction(duration part, duration whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

double credit_wallet::demand(time_point now) const
{
    if (demand_ <= 0 || now <= last_used_at_) {
        return demand_;
    }
    return demand_ * std::exp(-fraction(now - last_used_at_, prefetch_window));
}

void credit_wallet::record_use(double credits, time_point now)
{
    demand_ = demand(now) + credits;
    last_used_at_ = std::max(last_used_at_, now);
}

// Makes the usable batch that expires first the current one.
bool credit_wallet::select_batch(std::uint64_t config, time_point now)
{
    credit_batch* first = nullptr;
    for (auto& entry : batches_) {
        if (is_usable(entry, config, now) && (first == nullptr || entry.until < first->until)) {
            first = &entry;
        }
    }
    if (first == nullptr) {
        return false;
    }
    std::swap(current_, *first);
    return true;
}

bool credit_wallet::spend(std::uint64_t config, time_point now)
{
    if (!is_usable(current_, config, now) && !select_batch(config, now)) {
        return false;
    }
    --current_.tokens;
    ++spent_;
    record_use(1, now);
    return true;
}

void credit_wallet::add_waiting_request(time_point now)
{
    waiting_ = std::min(waiting_ + 1, 1'000'000u);
    waiting_at_ = now;
    record_use(0, now);
}

std::uint32_t credit_wallet::held(time_point now) const noexcept
{
    const auto count = [&](const credit_batch& entry) {
        return entry.until > now || !safe_.credit_expiry ? entry.tokens : 0;
    };
    std::uint32_t sum = count(current_);
    for (const auto& entry : batches_) {
        sum += count(entry);
    }
    return sum;
}

std::uint32_t credit_wallet::wanted(bool on_demand, time_point now) const
{
    const bool waiting = waiting_ > 0 && now < waiting_at_ + waiting_timeout;
    const double expected = (waiting ? waiting_ : 0) + (on_demand ? 0.0 : std::ceil(demand(now)));
    const std::uint32_t kept = held(now);
    if (waiting && kept == 0) {
        return static_cast<std::uint32_t>(expected);
    }
    const bool low = !on_demand && demand(now) >= min_prefetch_demand && kept < expected / 2;
    return low ? static_cast<std::uint32_t>(expected) - kept : 0;
}

bool credit_wallet::is_report_due(bool on_demand, time_point now) const
{
    // After `home_outstanding_until_` the home no longer counts the credits as outstanding.
    if (home_outstanding_ == 0 || now >= home_outstanding_until_) {
        return false;
    }
    if (on_demand && held(now) < home_outstanding_) {
        return true; // the refill at the home waits for the report
    }
    return now >= last_used_at_ + idle_return_delay;
}

credit_wallet::action credit_wallet::due_action(bool on_demand, time_point now) const
{
    if (in_flight_) {
        if (now < last_sent_at_ + retry_interval) {
            return action::none;
        }
        return attempts_ < max_attempts ? action::retry : action::abandon;
    }
    if (now < next_request_at_) {
        return action::none;
    }
    return wanted(on_demand, now) > 0 || is_report_due(on_demand, now) ? action::start_request
                                                                       : action::none;
}

time_point credit_wallet::next_wakeup(bool on_demand, time_point now) const
{
    if (in_flight_) {
        return last_sent_at_ + retry_interval;
    }
    if (wanted(on_demand, now) > 0 || (on_demand && is_report_due(on_demand, now))) {
        return std::max(next_request_at_, now);
    }
    if (home_outstanding_ > 0 && now < home_outstanding_until_) {
        return std::max(next_request_at_,
                        std::min(last_used_at_ + idle_return_delay, home_outstanding_until_));
    }
    return time_point::max();
}

peer::credit_request credit_wallet::start_request(const instance_id& home, std::uint32_t sequence,
                                                  bool on_demand, time_point now)
{
    request_ = {};
    request_.sequence = sequence;
    request_.wanted = wanted(on_demand, now);
    if (request_.wanted == 0 && now >= last_used_at_ + idle_return_delay) {
        current_ = {}; // returned to the home by this report
        batches_ = {};
    }
    request_.held = held(now);
    request_.spent = spent_;
    home_outstanding_ = request_.held; // the home counts more until this request arrives
    requested_home_ = home;
    first_sent_at_ = last_sent_at_ = now;
    requested_waiting_ = waiting_;
    waiting_ = 0;
    attempts_ = 1;
    in_flight_ = request_.wanted > 0;
    next_request_at_ = now + min_request_interval;
    return request_;
}

const peer::credit_request& credit_wallet::retry(time_point now)
{
    ++attempts_;
    last_sent_at_ = now;
    return request_;
}

void credit_wallet::abandon(time_point now)
{
    in_flight_ = false;
    waiting_ = std::max(waiting_, requested_waiting_);
    next_request_at_ = now;
}

void credit_wallet::add_batch(const credit_batch& entry)
{
    // Replaces the batch that is empty or expires first. Its credits, if any, are merged into the
    // batch that expires next, with the earlier expiry of the two.
    const auto by_end = [](const credit_batch& left, const credit_batch& right) {
        return std::pair(left.tokens > 0, left.until) < std::pair(right.tokens > 0, right.until);
    };
    std::ranges::sort(batches_, by_end);
    credit_batch& earliest = batches_.front();
    if (earliest.tokens > 0) {
        batches_[1].tokens += earliest.tokens;
        batches_[1].until = earliest.until;
        batches_[1].config = std::max(batches_[1].config, earliest.config);
    }
    earliest = entry;
}

bool credit_wallet::on_grant(const instance_id& from, const peer::credit_grant& grant,
                             time_point now)
{
    const bool expected =
        in_flight_ && from == requested_home_ && grant.sequence == request_.sequence;
    if (!expected && (safe_.credit_sequence || grant.tokens == 0)) {
        return false;
    }
    in_flight_ = false;
    home_delay_ = grant.retry_after;
    if (!grant.is_home) {
        abandon(now);
        next_request_at_ = now + min_retry_delay;
        return true;
    }
    if (grant.tokens == 0) {
        waiting_ = std::max(waiting_, requested_waiting_);
        next_request_at_ =
            now + std::clamp<duration>(grant.retry_after, min_retry_delay, max_retry_delay);
        return true;
    }
    const time_point until = first_sent_at_ + grant.valid_for;
    for (auto& entry : batches_) {
        if (entry.until <= now && safe_.credit_expiry) {
            entry = {};
        }
    }
    add_batch({grant.tokens, grant.config_version, until});
    home_outstanding_ = held(now);
    home_outstanding_until_ = until;
    return true;
}

time_point credit_wallet::retry_at(time_point now) const noexcept
{
    constexpr duration response_time = std::chrono::milliseconds(5);
    return in_flight_ ? now + response_time : std::max(next_request_at_, now) + response_time;
}

bool credit_wallet::is_idle(time_point now) const noexcept
{
    const bool waiting = waiting_ > 0 && now < waiting_at_ + waiting_timeout;
    return !in_flight_ && !waiting && (home_outstanding_ == 0 || now >= home_outstanding_until_);
}

} // namespace quetzal::rights
