#include <quetzal/rights/customer_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace quetzal::rights {

namespace {

constexpr duration credit_lifetime = std::chrono::seconds(2);
// Credits of small bursts serve requests that already wait, and block the refill while outstanding.
constexpr duration small_burst_credit_lifetime = std::chrono::milliseconds(500);
constexpr duration session_retention = std::chrono::seconds(10); // for delegates without credits
constexpr std::size_t sessions_before_pruning = 16;
constexpr double rounding_tolerance = 1e-9; // tokens; bound on the rounding error of many additions

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::chrono::milliseconds floor_ms(duration value)
{
    return std::chrono::floor<std::chrono::milliseconds>(value);
}

} // namespace

void customer_bucket::start(const limits& bounds, time_point now, time_point previous_until)
{
    const safeguards safe = safe_;
    *this = customer_bucket(safe);
    limits_ = bounds;
    updated_ = now;
    if (!safe_.empty_start) {
        level_ = bounds.burst;
    }
    if (safe_.former_lease && previous_until > now) {
        previous_outstanding_ = outstanding_limit(bounds.burst);
        previous_until_ = previous_until;
        next_expiry_ = previous_until;
        outstanding_ = previous_outstanding_;
    }
}

void customer_bucket::start(const limits& bounds, const peer::ledger_entry& ledger,
                            time_point received)
{
    start(bounds, received, {});
    previous_outstanding_ = std::max(0.0, ledger.outstanding);
    outstanding_ = previous_outstanding_;
    previous_until_ = received + lengthen_for_drift(ledger.outstanding_until);
    next_expiry_ = previous_until_;
    level_ = std::clamp(ledger.level, 0.0, max_level());
}

void customer_bucket::set_limits(const limits& bounds, time_point now)
{
    if (bounds == limits_) {
        return;
    }
    refill(now); // at the previous rate
    limits_ = bounds;
    level_ = std::clamp(level_, 0.0, max_level());
}

double customer_bucket::max_level() const noexcept
{
    const double counted = safe_.outstanding_cap ? outstanding_ : 0;
    return std::max(0.0, limits_.burst - counted);
}

void customer_bucket::expire_credits(time_point now)
{
    next_expiry_ = time_point::max();
    outstanding_ = 0;
    if (previous_until_ <= now) {
        previous_outstanding_ = 0;
    } else {
        next_expiry_ = previous_until_;
        outstanding_ = previous_outstanding_;
    }
    for (auto& entry : sessions_) {
        if (entry.until <= now) {
            entry.outstanding = 0;
        }
        if (entry.outstanding > 0) {
            next_expiry_ = std::min(next_expiry_, entry.until);
            outstanding_ += entry.outstanding;
        }
    }
}

void customer_bucket::add_refill(time_point until)
{
    if (until > updated_) {
        const double gained = limits_.rate * seconds(until - updated_);
        level_ = std::max(level_, std::min(level_ + gained, max_level()));
        updated_ = until;
    }
}

void customer_bucket::refill(time_point now)
{
    while (next_expiry_ <= now) {
        const time_point end = next_expiry_;
        add_refill(end); // limited by the credits that expire at `end`
        expire_credits(end);
    }
    add_refill(now);
}

bool customer_bucket::admit(time_point now)
{
    refill(now);
    if (level_ < 1 - rounding_tolerance) {
        return false;
    }
    level_ -= 1;
    return true;
}

duration customer_bucket::time_until_token() const noexcept
{
    if (level_ >= 1) {
        return duration::zero();
    }
    const double missing = 1 - level_;
    const duration refill_time = limits_.rate > 0
                                     ? std::chrono::duration_cast<duration>(
                                           std::chrono::duration<double>(missing / limits_.rate))
                                     : duration(std::chrono::hours(1));
    if (max_level() >= 1) {
        return refill_time;
    }
    // The refill waits until outstanding credits expire.
    return std::max(refill_time, next_expiry_ - updated_);
}

customer_bucket::session& customer_bucket::find_or_add_session(const instance_id& delegate,
                                                               incarnation process,
                                                               const peer::credit_request& request,
                                                               time_point now)
{
    const auto found = std::ranges::find(sessions_, delegate, &session::delegate);
    if (found != sessions_.end()) {
        if (found->process < process) { // the previous process's credits expire
            previous_outstanding_ += found->outstanding;
            previous_until_ = std::max(previous_until_, found->until);
            next_expiry_ = std::min(next_expiry_, previous_until_);
            const std::uint32_t before = request.sequence - 1;
            *found = session{delegate, process, before, request.spent, 0, {}, now, {}};
        }
        return *found;
    }
    if (sessions_.size() >= sessions_before_pruning) {
        std::erase_if(sessions_, [now](const session& entry) {
            return entry.outstanding <= 0 && entry.last_used + session_retention < now;
        });
    }
    sessions_.push_back({delegate, process, request.sequence - 1, request.spent, 0, {}, now, {}});
    return sessions_.back();
}

void customer_bucket::reconcile(session& entry, const peer::credit_request& request)
{
    // Credits that the delegate neither holds nor has spent were in a lost response or have been
    // returned, and will never be spent.
    const double kept = std::min<double>(entry.outstanding, request.held);
    const double spent = request.spent - entry.spent;
    const double returned = std::max(0.0, entry.outstanding - kept - spent);
    outstanding_ -= entry.outstanding - kept;
    entry.outstanding = kept;
    entry.spent = request.spent;
    level_ = std::max(level_, std::min(level_ + returned, max_level()));
}

std::optional<peer::credit_grant> customer_bucket::serve(const instance_id& delegate,
                                                         incarnation process,
                                                         const peer::credit_request& request,
                                                         time_point lease_until, time_point now)
{
    refill(now);
    session& entry = find_or_add_session(delegate, process, request, now);
    if (process < entry.process) {
        return std::nullopt;
    }
    entry.last_used = now;
    const auto age = static_cast<std::int32_t>(request.sequence - entry.sequence);
    if (age == 0 && safe_.credit_sequence) {
        return request.wanted > 0 ? std::optional(entry.last_grant) : std::nullopt;
    }
    if (age < 0) {
        return std::nullopt;
    }
    entry.sequence = request.sequence;
    reconcile(entry, request);
    if (request.wanted == 0) {
        return std::nullopt; // a report gets no response
    }
    entry.last_grant = make_grant(entry, request, lease_until, now);
    return entry.last_grant;
}

peer::credit_grant customer_bucket::make_grant(session& entry, const peer::credit_request& request,
                                               time_point lease_until, time_point now)
{
    peer::credit_grant response;
    response.sequence = request.sequence;
    response.customer = request.customer;
    response.is_home = true;
    const duration lifetime = std::min(
        limits_.burst < small_burst_threshold ? small_burst_credit_lifetime : credit_lifetime,
        lease_until - now);
    const double allowed =
        safe_.outstanding_cap ? outstanding_limit(limits_.burst) - outstanding_ : limits_.burst;
    const double tokens = std::floor(
        std::min({static_cast<double>(request.wanted), level_, allowed}) + rounding_tolerance);
    response.valid_for = floor_ms(lifetime * 9 / 10);
    if (tokens < 1 || response.valid_for.count() <= 0) {
        const duration delay = std::max(time_until_token(), duration(std::chrono::milliseconds(1)));
        response.retry_after = std::chrono::ceil<std::chrono::milliseconds>(delay);
        return response;
    }
    response.tokens = static_cast<std::uint32_t>(tokens);
    level_ -= tokens;
    outstanding_ += tokens;
    entry.outstanding += tokens;
    entry.until = std::max(entry.until, now + lifetime);
    next_expiry_ = std::min(next_expiry_, entry.until);
    return response;
}

peer::ledger_entry customer_bucket::ledger(const customer_id& customer, time_point now)
{
    refill(now);
    time_point until = previous_outstanding_ > 0 ? previous_until_ : now;
    for (const auto& entry : sessions_) {
        if (entry.outstanding > 0) {
            until = std::max(until, entry.until);
        }
    }
    return {customer, level_, outstanding_,
            std::chrono::ceil<std::chrono::milliseconds>(until - now)};
}

} // namespace quetzal::rights
