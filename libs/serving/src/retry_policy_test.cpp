#include <quetzal/serving/retry_policy.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point start{1h};

failed_attempt make_failed_attempt()
{
    failed_attempt attempt;
    attempt.give_up = start + 1s;
    attempt.expected_latency = 100ms;
    return attempt;
}

slow_attempt make_slow_attempt()
{
    slow_attempt attempt;
    attempt.started = start;
    attempt.give_up = start + 1s;
    attempt.p95 = 200ms;
    attempt.samples = 100;
    return attempt;
}

} // namespace

// Guards against a retry storm: however many calls fail, retries stay within a tenth of the
// successes.
Test(retry_policy, budget_bounds_retries_by_successes)
{
    section("given a pool where every second call fails", [] {
        retry_budget budget;
        int retries = 0;
        for (int call = 0; call < 1000; ++call) {
            budget.succeeded();
            retries +=
                decide_retry(make_failed_attempt(), budget, start) == retry_decision::retry ? 1 : 0;
        }
        check(retries <= 101 && retries >= 99, "a tenth of the successes plus the initial token");
    });
    section("given a pool where every call fails, only one retry is made", [] {
        retry_budget budget;
        int retries = 0;
        for (int call = 0; call < 1000; ++call) {
            retries += budget.try_take() ? 1 : 0;
        }
        check(retries == 1, "only the initial token is taken");
    });
    section("given many successes without a failure, the tokens are bounded", [] {
        retry_budget budget;
        for (int call = 0; call < 10000; ++call) {
            budget.succeeded();
        }
        check(budget.tokens() == 10, "the tokens stop at the capacity");
    });
}

// Guards against running non-idempotent work twice, and against answers mixed from two attempts.
Test(retry_policy, retries_only_when_safe_and_useful)
{
    retry_budget budget({.ratio = 0.1, .initial = 10, .capacity = 10});
    auto attempt = make_failed_attempt();
    section("given a stage that is not idempotent", [&] {
        attempt.idempotent = false;
        check(decide_retry(attempt, budget, start) == retry_decision::not_idempotent,
              "no retry when it may have run");
        attempt.run = verdict::not_run;
        check(decide_retry(attempt, budget, start) == retry_decision::retry,
              "a retry when it did not run");
    });
    section("given an answer of which part was forwarded", [&] {
        attempt = make_failed_attempt();
        attempt.offset = 7;
        check(decide_retry(attempt, budget, start) == retry_decision::cannot_resume,
              "no retry from the beginning of the answer");
        attempt.resumes_streams = true;
        check(decide_retry(attempt, budget, start) == retry_decision::retry,
              "the stream is resumed");
    });
    section("given too little time, or too many attempts", [&] {
        attempt = make_failed_attempt();
        check(decide_retry(attempt, budget, start + 950ms) == retry_decision::no_time,
              "not enough time for another attempt");
        attempt.attempts = max_attempts;
        check(decide_retry(attempt, budget, start) == retry_decision::too_many_attempts,
              "the limit of attempts is reached");
        check(budget.tokens() == 8, "refused retries take no token");
    });
}

// Guards against hedging non-idempotent work or answers that have begun, and against hedging
// without budget.
Test(hedge_policy, hedges_only_slow_idempotent_attempts_within_the_budget)
{
    retry_budget budget;
    section("given a slow idempotent attempt", [&] {
        check(hedge_time(make_slow_attempt()) == start + 200ms,
              "due at the measured 95th percentile");
        check(!decide_hedge(make_slow_attempt(), budget, start + 199ms),
              "not started before it is due");
        check(decide_hedge(make_slow_attempt(), budget, start + 200ms), "started when it is due");
        check(!decide_hedge(make_slow_attempt(), budget, start + 200ms),
              "not started without budget");
    });
    section("given an attempt that is not eligible, there is no hedge", [&] {
        auto attempt = make_slow_attempt();
        attempt.idempotent = false;
        check(!hedge_time(attempt), "not idempotent");
        attempt = make_slow_attempt();
        attempt.answered = true;
        check(!hedge_time(attempt), "a chunk has arrived");
        attempt = make_slow_attempt();
        attempt.running = 2;
        check(!hedge_time(attempt), "already hedged");
        attempt = make_slow_attempt();
        attempt.samples = min_hedge_samples - 1;
        check(!hedge_time(attempt), "too few samples");
        attempt = make_slow_attempt();
        attempt.give_up = start + 300ms;
        check(!hedge_time(attempt), "the hedge cannot end in time");
    });
}
