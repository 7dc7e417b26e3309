#ifndef QUETZAL_BASE_VERDICT_HPP
#define QUETZAL_BASE_VERDICT_HPP

// Error types of the project. Every failure says whether the failed work may have run; callers use
// only this information to decide whether a retry is safe.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace quetzal {

// What is known about the execution of a piece of work.
enum class verdict
{
    not_run, // no byte of the work left this process, or the endpoint rejected it before running it
    may_have_run, // the work was sent and its outcome is unknown
    ran           // the endpoint finished the work
};

// Why work was rejected or failed. `to_string` returns the code that callers see.
enum class reason
{
    invalid_request,
    unauthorized,
    unknown_class,
    identity_required,
    identity_expired,
    rate_exceeded,
    no_credit,
    deadline_unreachable,
    deadline_passed,
    overloaded,
    no_endpoint,
    stale_view,
    endpoint_failed,
    answer_truncated,
    answer_mismatch,
    instance_gone,
    cancelled,
    stopping,
    not_found,
    quarantined, // the content of the request is suspected of crashing endpoints
    internal_error
};

// Returns the stable lower-case code, e.g. "not_run".
std::string_view to_string(verdict value) noexcept;

// Returns the stable lower-case code, e.g. "rate_exceeded".
std::string_view to_string(reason value) noexcept;

// Returns the verdict of work that consists of two parts with the given verdicts: their common
// verdict if they are equal, and `may_have_run` otherwise.
verdict combine(verdict first, verdict second) noexcept;

// A failure with its verdict. `detail` is meant for people and never contains a key or a payload.
struct failure
{
    verdict run = verdict::may_have_run;
    reason why = reason::internal_error;
    std::string detail;
    std::optional<std::chrono::milliseconds> retry_after;
};

template <class Value>
using result = tl::expected<Value, failure>;

// Returns a failure of work that certainly did not run.
tl::unexpected<failure> not_run(reason why, std::string detail,
                                std::optional<std::chrono::milliseconds> retry_after = {});

// Returns a failure of work whose outcome is unknown.
tl::unexpected<failure> may_have_run(reason why, std::string detail);

} // namespace quetzal

#endif
