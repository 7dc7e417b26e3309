#ifndef QUETZAL_RIGHTS_CREDIT_WAIT_POLICY_HPP
#define QUETZAL_RIGHTS_CREDIT_WAIT_POLICY_HPP

// Decides whether a new request of one customer at one instance should wait for a credit. Without
// this limit, a customer that sends beyond its rate keeps a queue as long as its deadline, so that
// every request gets its credit too late.

#include <algorithm>
#include <cstddef>

#include <quetzal/base/time.hpp>

namespace quetzal::rights {

class credit_wait_policy
{
public:
    // Records that a request found no credit because the customer's bucket is exhausted.
    void note_shortage(time_point now) noexcept
    {
        if (!exhausted(now)) {
            shortage_since_ = now;
            admitted_ = 0;
        }
        short_at_ = now;
    }

    // Records that a request got its credit.
    void admitted() noexcept { ++admitted_; }

    // Returns whether a request found no credit within the last `shortage_timeout`.
    bool exhausted(time_point now) const noexcept { return now - short_at_ <= shortage_timeout; }

    // Returns whether a request behind `waiting` others of its customer is likely to get a credit
    // within `timeout`, at the admission rate since the shortage started. True without a shortage
    // and for the first `min_measuring_time` of one, when the home may not have responded yet.
    bool should_wait(std::size_t waiting, duration timeout, time_point now) const noexcept
    {
        if (!exhausted(now) || now - shortage_since_ < min_measuring_time) {
            return true;
        }
        const auto passed = std::chrono::duration<double>(now - shortage_since_).count();
        const auto bound = std::chrono::duration<double>(timeout).count();
        const double rate = static_cast<double>(std::max<std::size_t>(admitted_, 1)) / passed;
        return static_cast<double>(waiting + 1) <= std::max(1.0, rate * bound);
    }

private:
    static constexpr duration shortage_timeout = std::chrono::milliseconds(500);
    static constexpr duration min_measuring_time = std::chrono::milliseconds(500);

    time_point short_at_{}; // last time a request found no credit
    time_point shortage_since_{};
    std::size_t admitted_ = 0; // since `shortage_since_`
};

} // namespace quetzal::rights

#endif
