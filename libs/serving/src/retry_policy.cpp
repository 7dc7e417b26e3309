#include <quetzal/serving/retry_policy.hpp>

#include <algorithm>

namespace quetzal::serving {

void retry_budget::succeeded() noexcept
{
    tokens_ = std::min(tokens_ + options_.ratio, options_.capacity);
}

bool retry_budget::try_take() noexcept
{
    // The tolerance makes up for rounding: ten additions of 0.1 give slightly less than 1.
    if (tokens_ < 1 - 1e-9) {
        return false;
    }
    tokens_ = std::max(tokens_ - 1, 0.0);
    return true;
}

void retry_budget::refund() noexcept
{
    tokens_ = std::min(tokens_ + 1, options_.capacity);
}

retry_decision decide_retry(const failed_attempt& attempt, retry_budget& budget, time_point now)
{
    if (attempt.run != verdict::not_run && !attempt.idempotent) {
        return retry_decision::not_idempotent;
    }
    if (attempt.offset > 0 && !attempt.resumes_streams) {
        return retry_decision::cannot_resume;
    }
    if (attempt.attempts >= max_attempts) {
        return retry_decision::too_many_attempts;
    }
    if (now + attempt.expected_latency >= attempt.give_up) {
        return retry_decision::no_time;
    }
    return budget.try_take() ? retry_decision::retry : retry_decision::no_budget;
}

const char* to_string(retry_decision answer) noexcept
{
    switch (answer) {
    case retry_decision::retry:
        return "retried";
    case retry_decision::not_idempotent:
        return "not retried: the stage may have run and must not run twice";
    case retry_decision::no_time:
        return "not retried: no time left before the deadline";
    case retry_decision::no_budget:
        return "not retried: the retry budget of the pool is exhausted";
    case retry_decision::too_many_attempts:
        return "not retried: the limit of attempts is reached";
    case retry_decision::cannot_resume:
        return "not retried: part of the answer was forwarded and cannot be resumed";
    }
    return "not retried";
}

std::optional<time_point> hedge_time(const slow_attempt& attempt)
{
    const bool is_eligible = attempt.idempotent && !attempt.answered && attempt.running == 1 &&
                             attempt.attempts < max_attempts &&
                             attempt.samples >= min_hedge_samples;
    if (!is_eligible) {
        return std::nullopt;
    }
    const time_point due = attempt.started + attempt.p95;
    // A hedge is expected to take about as long as a normal attempt.
    return due + attempt.p95 < attempt.give_up ? std::optional(due) : std::nullopt;
}

bool decide_hedge(const slow_attempt& attempt, retry_budget& budget, time_point now)
{
    const auto due = hedge_time(attempt);
    return due && *due <= now && now + attempt.p95 < attempt.give_up && budget.try_take();
}

} // namespace quetzal::serving
