#ifndef QUETZAL_SERVING_RETRY_POLICY_HPP
#define QUETZAL_SERVING_RETRY_POLICY_HPP

// Decides whether a failed stage attempt is retried, and whether a slow attempt is hedged by a
// second, concurrent one. Retries and hedges share one budget per pool.

#include <cstdint>
#include <optional>

#include <quetzal/config/published.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// Token bucket for retries and hedges: each success adds `ratio` tokens, each retry or hedge takes
// one. Since each instance earns tokens only from its own successes, the retries of the whole fleet
// stay below `ratio` times its successes plus `initial` per instance.
class retry_budget
{
public:
    struct options
    {
        double ratio = 0.1;   // tokens per success
        double initial = 1;   // tokens at the start, so that a single failure can be retried
        double capacity = 10; // maximum of tokens; bounds bursts after a time without failures
    };

    retry_budget() : retry_budget(options{}) {}
    explicit retry_budget(options settings) : options_(settings), tokens_(settings.initial) {}

    void succeeded() noexcept;

    // Takes a token. Returns false and takes nothing when none is left.
    bool try_take() noexcept;

    // Returns a token that was taken for an attempt that never started.
    void refund() noexcept;

    double tokens() const noexcept { return tokens_; }

private:
    options options_;
    double tokens_;
};

// A failed attempt.
struct failed_attempt
{
    verdict run = verdict::may_have_run;
    std::uint32_t attempts = 1;   // attempts of this call started so far
    std::uint32_t offset = 0;     // chunks of the answer already forwarded to the caller
    bool idempotent = true;       // whether the stage may run twice
    bool resumes_streams = false; // whether the pool resumes streams from an offset
    time_point give_up;           // end of the time for every attempt
    duration expected_latency{};  // shortest time that another attempt is expected to take
};

// Whether a failed attempt is retried, and if not, why.
enum class retry_decision
{
    retry,
    not_idempotent,    // the work may have run and must not run twice
    no_time,           // another attempt cannot end before the deadline
    no_budget,         // the retry budget is exhausted
    too_many_attempts, // the limit of attempts is reached
    cannot_resume      // part of the answer was forwarded and the pool cannot resume it
};

inline constexpr std::uint32_t max_attempts = 4; // per call, including hedges

// Decides whether the attempt is retried. Takes a token from the budget when it is.
retry_decision decide_retry(const failed_attempt& attempt, retry_budget& budget, time_point now);

// Returns a short text for logs and explanations.
const char* to_string(retry_decision answer) noexcept;

// The newest running attempt of a call, as a candidate for a hedge.
struct slow_attempt
{
    time_point started;
    std::uint32_t attempts = 1; // attempts of the call started so far
    std::uint32_t running = 1;  // attempts of the call in flight
    bool answered = false;      // a chunk has arrived
    bool idempotent = true;
    time_point give_up;
    duration p95{};            // measured 95th percentile of the stage latency
    std::uint32_t samples = 0; // number of samples of `p95`
};

inline constexpr std::uint32_t min_hedge_samples = 20; // minimum for a usable 95th percentile

// Returns the time at which a hedge becomes due, or nothing when the attempt must not be hedged.
std::optional<time_point> hedge_time(const slow_attempt& attempt);

// Returns whether a hedge starts now. Takes a token from the budget when it does.
bool decide_hedge(const slow_attempt& attempt, retry_budget& budget, time_point now);

} // namespace quetzal::serving

#endif
