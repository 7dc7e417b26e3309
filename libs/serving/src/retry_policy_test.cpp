#include <quetzal/serving/retry_policy.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point start{1h};

failed_attempt failure_of_idempotent_stage()
{
    failed_attempt attempt;
    attempt.give_up = start + 1s;
    attempt.expected_latency = 100ms;
    return attempt;
}

slow_attempt slow()
{
    slow_attempt attempt;
    attempt.started = start;
    attempt.give_up = start + 1s;
    attempt.p95 = 200ms;
    attempt.samples = 100;
    return attempt;
}

} // namespace

// Guards against a retry storm: whatever fails, retries stay within a tenth of the successes.
Test(retry_policy, budget_bounds_retries_by_successes)
{
    section("given a pool where every second call fails", [] {
        retry_budget budget;
        int retries = 0;
        for (int call = 0; call < 1000; ++call) {
            budget.succeeded();
            retries +=
                decide_retry(failure_of_idempotent_stage(), budget, start) == retry_answer::retry
                    ? 1
                    : 0;
        }
        check(retries <= 101 && retries >= 99, "a tenth of the successes and one");
    });
    section("given a pool where everything fails, one retry happens in all", [] {
        retry_budget budget;
        int retries = 0;
        for (int call = 0; call < 1000; ++call) {
            retries += budget.take() ? 1 : 0;
        }
        check(retries == 1, "the initial token");
    });
    section("given a long calm time, a burst is bounded too", [] {
        retry_budget budget;
        for (int call = 0; call < 10000; ++call) {
            budget.succeeded();
        }
        check(budget.tokens() == 10, "the capacity");
    });
}

// Guards against work that runs twice though it must not, and answers mixed from two runs.
Test(retry_policy, retries_only_what_is_safe_and_useful)
{
    retry_budget budget({.ratio = 0.1, .initial = 10, .capacity = 10});
    auto attempt = failure_of_idempotent_stage();
    section("given a stage that must not run twice", [&] {
        attempt.idempotent = false;
        check(decide_retry(attempt, budget, start) == retry_answer::not_idempotent,
              "no retry when it may have run");
        attempt.run = verdict::not_run;
        check(decide_retry(attempt, budget, start) == retry_answer::retry,
              "a retry when it certainly did not");
    });
    section("given an answer that was passed on in part", [&] {
        attempt = failure_of_idempotent_stage();
        attempt.offset = 7;
        check(decide_retry(attempt, budget, start) == retry_answer::cannot_resume,
              "no second answer from the beginning");
        attempt.resumes_streams = true;
        check(decide_retry(attempt, budget, start) == retry_answer::retry, "resumed");
    });
    section("given too little time, or too many attempts", [&] {
        attempt = failure_of_idempotent_stage();
        check(decide_retry(attempt, budget, start + 950ms) == retry_answer::no_time, "no time");
        attempt.attempts = max_attempts;
        check(decide_retry(attempt, budget, start) == retry_answer::too_many, "limit");
        check(budget.tokens() == 8, "refused retries take no token");
    });
}

// Guards against hedges for work that must not run twice, for answers that have begun, and without
// budget.
Test(hedge_policy, hedges_only_slow_idempotent_attempts_within_the_budget)
{
    retry_budget budget;
    section("given a slow idempotent attempt", [&] {
        check(hedge_time(slow()) == start + 200ms, "due at the measured 95th percentile");
        check(!decide_hedge(slow(), budget, start + 199ms), "not before");
        check(decide_hedge(slow(), budget, start + 200ms), "then");
        check(!decide_hedge(slow(), budget, start + 200ms), "while the budget lasts");
    });
    section("given anything else, there is no hedge", [&] {
        auto attempt = slow();
        attempt.idempotent = false;
        check(!hedge_time(attempt), "not idempotent");
        attempt = slow();
        attempt.answered = true;
        check(!hedge_time(attempt), "its answer has begun");
        attempt = slow();
        attempt.running = 2;
        check(!hedge_time(attempt), "hedged already");
        attempt = slow();
        attempt.samples = hedge_samples - 1;
        check(!hedge_time(attempt), "percentile not known");
        attempt = slow();
        attempt.give_up = start + 300ms;
        check(!hedge_time(attempt), "it could not end in time");
    });
}
