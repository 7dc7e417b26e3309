#include <quetzal/base/verdict.hpp>

namespace quetzal {

std::string_view to_string(verdict value) noexcept
{
    switch (value) {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

std::string_view to_string(reason value) noexcept
{
    switch (value) {
    case reason::invalid_request:
        return "invalid_request";
    case reason::unauthorized:
        return "unauthorized";
    case reason::unknown_class:
        return "unknown_class";
    case reason::identity_required:
        return "identity_required";
    case reason::identity_expired:
        return "identity_expired";
    case reason::rate_exceeded:
        return "rate_exceeded";
    case reason::no_credit:
        return "no_credit";
    case reason::deadline_unreachable:
        return "deadline_unreachable";
    case reason::deadline_passed:
        return "deadline_passed";
    case reason::overloaded:
        return "overloaded";
    case reason::no_endpoint:
        return "no_endpoint";
    case reason::stale_view:
        return "stale_view";
    case reason::endpoint_failed:
        return "endpoint_failed";
    case reason::answer_truncated:
        return "answer_truncated";
    case reason::answer_mismatch:
        return "answer_mismatch";
    case reason::instance_gone:
        return "instance_gone";
    case reason::cancelled:
        return "cancelled";
    case reason::stopping:
        return "stopping";
    case reason::quarantined:
        return "quarantined";
    case reason::not_found:
        return "not_found";
    case reason::internal_error:
        return "internal_error";
    }
    return "internal_error";
}

verdict combine(verdict first, verdict second) noexcept
{
    return first == second ? first : verdict::may_have_run;
}

tl::unexpected<failure> not_run(reason why, std::string detail,
                                std::optional<std::chrono::milliseconds> retry_after)
{
    return tl::unexpected(failure{verdict::not_run, why, std::move(detail), retry_after});
}

tl::unexpected<failure> may_have_run(reason why, std::string detail)
{
    return tl::unexpected(failure{verdict::may_have_run, why, std::move(detail), {}});
}

} // namespace quetzal
