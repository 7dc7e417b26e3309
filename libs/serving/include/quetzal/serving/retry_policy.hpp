#ifndef QUETZAL_SERVING_RETRY_POLICY_HPP
#define QUETZAL_SERVING_RETRY_POLICY_HPP

// Decides whether a failed stage attempt is tried again, and whether a slow one gets a second
// attempt beside it. Both draw on one budget per pool.

#include <cstdint>
#include <optional>

#include <quetzal/config/published.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// Tokens for retries and hedges: each success adds `ratio`, each retry or hedge takes one. Since
// every instance earns only from its own successes, retries of the whole fleet stay below `ratio`
// times its successes plus `initial` per instance.
class retry_budget
{
public:
    struct options
    {
        double ratio = 0.1;   // tokens per success
        double initial = 1;   // tokens after the start, so that a lone failure can be retried
        double capacity = 10; // most tokens kept; bounds a burst after a long calm time
    };

    retry_budget() : retry_budget(options{}) {}
    explicit retry_budget(options settings) : options_(settings), tokens_(settings.initial) {}

    void succeeded() noexcept;

    // Takes a token; returns false and takes nothing when there is none.
    bool take() noexcept;

    // Returns a token that was taken for an attempt that never started.
    void put_back() noexcept;

    double tokens() const noexcept { return tokens_; }

private:
    options options_;
    double tokens_;
};

// A failed attempt.
struct failed_attempt
{
    verdict run = verdict::may_have_run;
    std::uint32_t attempts = 1;   // started so far for this call
    std::uint32_t offset = 0;     // chunks of the answer already passed on
    bool idempotent = true;       // whether the stage may run twice
    bool resumes_streams = false; // whether the pool resumes from an offset
    time_point give_up;           // no attempt runs longer than this
    duration expected_latency{};  // least time that another attempt takes
};

// Why a failed attempt is or is not tried again.
enum class retry_answer
{
    retry,
    not_idempotent, // the work may have run and must not run twice
    no_time,        // another attempt cannot end before the deadline
    no_budget,      // retry budget exhausted
    too_many,       // attempt limit reached
    cannot_resume   // part of the answer was passed on and the pool cannot resume it
};

inline constexpr std::uint32_t max_attempts = 4; // of one call, hedges included

// Decides on a retry and takes a token of the budget when the answer is `retry`.
retry_answer decide_retry(const failed_attempt& attempt, retry_budget& budget, time_point now);

// Returns a short text for logs and explanations.
const char* to_string(retry_answer answer) noexcept;

// A running attempt that might get a hedge.
struct slow_attempt
{
    time_point started;
    std::uint32_t attempts = 1;
    std::uint32_t running = 1; // attempts of the call in flight
    bool answered = false;     // a chunk has arrived
    bool idempotent = true;
    time_point give_up;
    duration p95{};            // measured latency of the stage at the 95th percentile
    std::uint32_t samples = 0; // behind p95
};

inline constexpr std::uint32_t hedge_samples = 20; // fewer samples give no usable 95th percentile

// Returns when a hedge becomes due, or nothing when the attempt gets none.
std::optional<time_point> hedge_time(const slow_attempt& attempt);

// Whether a hedge starts now; takes a token of the budget when it does.
bool decide_hedge(const slow_attempt& attempt, retry_budget& budget, time_point now);

} // namespace quetzal::serving

#endif
