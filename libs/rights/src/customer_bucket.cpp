#include <quetzal/rights/customer_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace quetzal::rights {

namespace {

constexpr duration credit_life = std::chrono::seconds(2);
// Credits of small bursts are for requests that wait already, and block the refill while out.
constexpr duration small_credit_life = std::chrono::milliseconds(500);
constexpr duration session_memory = std::chrono::seconds(10); // of delegates without credits
constexpr std::size_t sessions_before_pruning = 16;
constexpr double rounding = 1e-9; // tokens; sums of many additions may miss a whole number by this

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::chrono::milliseconds floor_ms(duration value)
{
    return std::chrono::floor<std::chrono::milliseconds>(value);
}

} // namespace

void customer_bucket::start(const limits& bounds, time_point now, time_point former_until)
{
    const safeguards safe = safe_;
    *this = customer_bucket(safe);
    limits_ = bounds;
    updated_ = now;
    if (!safe_.empty_start) {
        level_ = bounds.burst;
    }
    if (safe_.former_lease && former_until > now) {
        former_ = outstanding_limit(bounds.burst);
        former_until_ = former_until;
        next_expiry_ = former_until;
        out_ = former_;
    }
}

void customer_bucket::start(const limits& bounds, const peer::ledger_entry& ledger,
                            time_point received)
{
    start(bounds, received, {});
    former_ = std::max(0.0, ledger.outstanding);
    out_ = former_;
    former_until_ = received + lengthened(ledger.outstanding_until);
    next_expiry_ = former_until_;
    level_ = std::clamp(ledger.level, 0.0, room());
}

void customer_bucket::set_limits(const limits& bounds, time_point now)
{
    if (bounds == limits_) {
        return;
    }
    refill(now); // at the former rate
    limits_ = bounds;
    level_ = std::clamp(level_, 0.0, room());
}

double customer_bucket::room() const noexcept
{
    const double counted = safe_.outstanding_cap ? out_ : 0;
    return std::max(0.0, limits_.burst - counted);
}

void customer_bucket::expire(time_point now)
{
    next_expiry_ = time_point::max();
    out_ = 0;
    if (former_until_ <= now) {
        former_ = 0;
    } else {
        next_expiry_ = former_until_;
        out_ = former_;
    }
    for (auto& entry : sessions_) {
        if (entry.until <= now) {
            entry.outstanding = 0;
        }
        if (entry.outstanding > 0) {
            next_expiry_ = std::min(next_expiry_, entry.until);
            out_ += entry.outstanding;
        }
    }
}

void customer_bucket::gain(time_point until)
{
    if (until > updated_) {
        const double gained = limits_.rate * seconds(until - updated_);
        level_ = std::max(level_, std::min(level_ + gained, room()));
        updated_ = until;
    }
}

void customer_bucket::refill(time_point now)
{
    while (next_expiry_ <= now) {
        const time_point end = next_expiry_;
        gain(end); // with the room before the credits end
        expire(end);
    }
    gain(now);
}

bool customer_bucket::admit(time_point now)
{
    refill(now);
    if (level_ < 1 - rounding) {
        return false;
    }
    level_ -= 1;
    return true;
}

duration customer_bucket::until_token() const noexcept
{
    if (level_ >= 1) {
        return duration::zero();
    }
    const double missing = 1 - level_;
    const duration refill_time = limits_.rate > 0
                                     ? std::chrono::duration_cast<duration>(
                                           std::chrono::duration<double>(missing / limits_.rate))
                                     : duration(std::chrono::hours(1));
    if (room() >= 1) {
        return refill_time;
    }
    return std::max(refill_time, next_expiry_ - updated_); // the refill waits for credits
}

customer_bucket::session& customer_bucket::open(const instance_id& delegate, incarnation process,
                                                const peer::credit_request& request, time_point now)
{
    const auto found = std::ranges::find(sessions_, delegate, &session::delegate);
    if (found != sessions_.end()) {
        if (found->process < process) { // the former process's credits run out by themselves
            former_ += found->outstanding;
            former_until_ = std::max(former_until_, found->until);
            next_expiry_ = std::min(next_expiry_, former_until_);
            const std::uint32_t before = request.sequence - 1;
            *found = session{delegate, process, before, request.spent, 0, {}, now, {}};
        }
        return *found;
    }
    if (sessions_.size() >= sessions_before_pruning) {
        std::erase_if(sessions_, [now](const session& entry) {
            return entry.outstanding <= 0 && entry.last_used + session_memory < now;
        });
    }
    sessions_.push_back({delegate, process, request.sequence - 1, request.spent, 0, {}, now, {}});
    return sessions_.back();
}

void customer_bucket::settle(session& entry, const peer::credit_request& request)
{
    // Whatever the delegate neither keeps nor spent was in a lost answer, has been given up and
    // will never be used.
    const double kept = std::min<double>(entry.outstanding, request.held);
    const double spent = request.spent - entry.spent;
    const double returned = std::max(0.0, entry.outstanding - kept - spent);
    out_ -= entry.outstanding - kept;
    entry.outstanding = kept;
    entry.spent = request.spent;
    level_ = std::max(level_, std::min(level_ + returned, room()));
}

std::optional<peer::credit_grant> customer_bucket::serve(const instance_id& delegate,
                                                         incarnation process,
                                                         const peer::credit_request& request,
                                                         time_point lease_until, time_point now)
{
    refill(now);
    session& entry = open(delegate, process, request, now);
    if (process < entry.process) {
        return std::nullopt;
    }
    entry.last_used = now;
    const auto age = static_cast<std::int32_t>(request.sequence - entry.sequence);
    if (age == 0 && safe_.credit_sequence) {
        return request.wanted > 0 ? std::optional(entry.answer) : std::nullopt;
    }
    if (age < 0) {
        return std::nullopt;
    }
    entry.sequence = request.sequence;
    settle(entry, request);
    if (request.wanted == 0) {
        return std::nullopt; // a report needs no answer
    }
    entry.answer = grant(entry, request, lease_until, now);
    return entry.answer;
}

peer::credit_grant customer_bucket::grant(session& entry, const peer::credit_request& request,
                                          time_point lease_until, time_point now)
{
    peer::credit_grant answer;
    answer.sequence = request.sequence;
    answer.customer = request.customer;
    answer.is_home = true;
    const duration life =
        std::min(limits_.burst < small_burst ? small_credit_life : credit_life, lease_until - now);
    const double allowed =
        safe_.outstanding_cap ? outstanding_limit(limits_.burst) - out_ : limits_.burst;
    const double tokens =
        std::floor(std::min({static_cast<double>(request.wanted), level_, allowed}) + rounding);
    answer.valid_for = floor_ms(life * 9 / 10);
    if (tokens < 1 || answer.valid_for.count() <= 0) {
        const duration delay = std::max(until_token(), duration(std::chrono::milliseconds(1)));
        answer.retry_after = std::chrono::ceil<std::chrono::milliseconds>(delay);
        return answer;
    }
    answer.tokens = static_cast<std::uint32_t>(tokens);
    level_ -= tokens;
    out_ += tokens;
    entry.outstanding += tokens;
    entry.until = std::max(entry.until, now + life);
    next_expiry_ = std::min(next_expiry_, entry.until);
    return answer;
}

peer::ledger_entry customer_bucket::ledger(const customer_id& customer, time_point now)
{
    refill(now);
    time_point until = former_ > 0 ? former_until_ : now;
    for (const auto& entry : sessions_) {
        if (entry.outstanding > 0) {
            until = std::max(until, entry.until);
        }
    }
    return {customer, level_, out_, std::chrono::ceil<std::chrono::milliseconds>(until - now)};
}

} // namespace quetzal::rights
