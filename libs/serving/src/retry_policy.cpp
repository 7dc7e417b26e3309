#include <quetzal/serving/retry_policy.hpp>

#include <algorithm>

namespace quetzal::serving {

void retry_budget::succeeded() noexcept
{
    tokens_ = std::min(tokens_ + options_.ratio, options_.capacity);
}

bool retry_budget::take() noexcept
{
    // Ten additions of 0.1 make slightly less than 1.
    if (tokens_ < 1 - 1e-9) {
        return false;
    }
    tokens_ = std::max(tokens_ - 1, 0.0);
    return true;
}

void retry_budget::put_back() noexcept
{
    tokens_ = std::min(tokens_ + 1, options_.capacity);
}

retry_answer decide_retry(const failed_attempt& attempt, retry_budget& budget, time_point now)
{
    if (attempt.run != verdict::not_run && !attempt.idempotent) {
        return retry_answer::not_idempotent;
    }
    if (attempt.offset > 0 && !attempt.resumes_streams) {
        return retry_answer::cannot_resume;
    }
    if (attempt.attempts >= max_attempts) {
        return retry_answer::too_many;
    }
    if (now + attempt.expected_latency >= attempt.give_up) {
        return retry_answer::no_time;
    }
    return budget.take() ? retry_answer::retry : retry_answer::no_budget;
}

const char* to_string(retry_answer answer) noexcept
{
    switch (answer) {
    case retry_answer::retry:
        return "tried again";
    case retry_answer::not_idempotent:
        return "not tried again: it may have run and must not run twice";
    case retry_answer::no_time:
        return "not tried again: no time left";
    case retry_answer::no_budget:
        return "not tried again: the retry budget of the pool is used up";
    case retry_answer::too_many:
        return "not tried again: too many attempts";
    case retry_answer::cannot_resume:
        return "not tried again: part of the answer was passed on and cannot be resumed";
    }
    return "not tried again";
}

std::optional<time_point> hedge_time(const slow_attempt& attempt)
{
    const bool wanted = attempt.idempotent && !attempt.answered && attempt.running == 1 &&
                        attempt.attempts < max_attempts && attempt.samples >= hedge_samples;
    if (!wanted) {
        return std::nullopt;
    }
    const time_point due = attempt.started + attempt.p95;
    // A hedge takes about as long as the attempt should have taken.
    return due + attempt.p95 < attempt.give_up ? std::optional(due) : std::nullopt;
}

bool decide_hedge(const slow_attempt& attempt, retry_budget& budget, time_point now)
{
    const auto due = hedge_time(attempt);
    return due && *due <= now && now + attempt.p95 < attempt.give_up && budget.take();
}

} // namespace quetzal::serving
