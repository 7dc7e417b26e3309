#ifndef QUETZAL_RIGHTS_TOKEN_QUEUE_HPP
#define QUETZAL_RIGHTS_TOKEN_QUEUE_HPP

// Tells whether a new request of one customer at one instance should still wait for a credit. A
// customer that sends beyond its rate would otherwise keep a queue that is always as long as its
// deadline, and every request that gets a credit would get it too late.

#include <algorithm>
#include <cstddef>

#include <quetzal/base/time.hpp>

namespace quetzal::rights {

class token_queue
{
public:
    // Notes that a request found no credit because the customer's bucket is exhausted.
    void found_none(time_point now) noexcept
    {
        if (!exhausted(now)) {
            shortage_since_ = now;
            admitted_ = 0;
        }
        short_at_ = now;
    }

    // Notes that a request got its credit.
    void admitted() noexcept { ++admitted_; }

    // Returns whether requests found no credit a moment ago.
    bool exhausted(time_point now) const noexcept { return now - short_at_ <= memory; }

    // Returns whether a request that comes after `waiting` others of its customer is likely to get
    // a credit within `patience`, at the pace of the present shortage. True without a shortage, and
    // in its first moments, when the home may not have answered yet.
    bool worth_waiting(std::size_t waiting, duration patience, time_point now) const noexcept
    {
        if (!exhausted(now) || now - shortage_since_ < settling) {
            return true;
        }
        const auto passed = std::chrono::duration<double>(now - shortage_since_).count();
        const auto bound = std::chrono::duration<double>(patience).count();
        const double rate = static_cast<double>(std::max<std::size_t>(admitted_, 1)) / passed;
        return static_cast<double>(waiting + 1) <= std::max(1.0, rate * bound);
    }

private:
    static constexpr duration memory = std::chrono::milliseconds(500);
    static constexpr duration settling = std::chrono::milliseconds(500);

    time_point short_at_{}; // last time a request found no credit
    time_point shortage_since_{};
    std::size_t admitted_ = 0; // since then
};

} // namespace quetzal::rights

#endif
