#ifndef QUETZAL_RIGHTS_CREDIT_WALLET_HPP
#define QUETZAL_RIGHTS_CREDIT_WALLET_HPP

// The credits of one customer at a delegate, an instance that is not the customer's home. The
// wallet has at most one request in flight, retries it with the same sequence number, and uses only
// the first response to it, so that a late or duplicate response never adds credits. Every request
// states how many credits the wallet holds, so that the home reclaims the credits of lost
// responses.

#include <array>
#include <cstdint>
#include <optional>

#include <quetzal/base/ids.hpp>
#include <quetzal/peer/messages.hpp>
#include <quetzal/rights/options.hpp>

namespace quetzal::rights {

class alignas(64) credit_wallet
{
public:
    explicit credit_wallet(const safeguards& safe) : safe_(safe) {}

    // Spends a credit that is valid at `now` and requires no newer configuration than `config`.
    // Returns whether there was one. Does not allocate.
    bool spend(std::uint64_t config, time_point now);

    // Records that a request waits for a credit.
    void add_waiting_request(time_point now);

    // What the owner has to do next.
    enum class action
    {
        none,
        start_request, // start a request for credits, or a report
        retry,         // send the request in flight again
        abandon        // the home did not respond; ask another instance
    };

    // Returns the action that is due. With `on_demand`, credits are never requested ahead of
    // demand.
    action due_action(bool on_demand, time_point now) const;

    // Returns the time at which an action becomes due if no other event occurs;
    // `time_point::max()` for never.
    time_point next_wakeup(bool on_demand, time_point now) const;

    // Starts a request with this sequence number, to be sent to `home` at `now`. A request for no
    // credits is a report: it gets no response and is not retried, since credits expire anyway.
    peer::credit_request start_request(const instance_id& home, std::uint32_t sequence,
                                       bool on_demand, time_point now);

    // Returns the request in flight, to be sent again at `now`.
    const peer::credit_request& retry(time_point now);

    // Returns the instance that the last request was sent to.
    const instance_id& requested_home() const noexcept { return requested_home_; }

    // Abandons the request in flight; a response to it has no effect any more.
    void abandon(time_point now);

    // Applies a response. Returns whether it belongs to the request in flight.
    bool on_grant(const instance_id& from, const peer::credit_grant& grant, time_point now);

    // Returns the number of credits valid at `now`.
    std::uint32_t held(time_point now) const noexcept;

    // Returns when to retry after a failed `spend`.
    time_point retry_at(time_point now) const noexcept;

    // Returns the delay until the next token that the home stated last.
    duration home_delay() const noexcept { return home_delay_; }

    // Returns whether no request is in flight or waiting and the home counts no credits as
    // outstanding here.
    bool is_idle(time_point now) const noexcept;

private:
    struct credit_batch
    {
        std::uint32_t tokens = 0;
        std::uint64_t config = 0; // minimum version of the configuration for spending
        time_point until{};
    };

    void record_use(double credits, time_point now);
    double demand(time_point now) const;
    std::uint32_t wanted(bool on_demand, time_point now) const;
    bool is_report_due(bool on_demand, time_point now) const;
    void add_batch(const credit_batch& entry);

    bool is_usable(const credit_batch& entry, std::uint64_t config, time_point now) const noexcept
    {
        return entry.tokens > 0 && entry.config <= config &&
               (entry.until > now || !safe_.credit_expiry);
    }
    bool select_batch(std::uint64_t config, time_point now);

    // The members that a successful `spend` writes share one cache line, which moves between the
    // cores whose threads serve the customer.
    credit_batch current_; // spent first
    double demand_ = 0;    // decaying average per `prefetch_window` at `last_used_at_`, in credits
    time_point last_used_at_{};
    std::uint32_t spent_ = 0;

    safeguards safe_;
    std::array<credit_batch, 3> batches_; // when full, the two that expire first are merged
    std::uint32_t waiting_ = 0;           // requests without a credit since the last credit request
    time_point waiting_at_{};
    std::uint32_t requested_waiting_ = 0; // `waiting_` at the last request
    std::uint32_t home_outstanding_ = 0;  // credits that the home counts as outstanding here
    time_point home_outstanding_until_{};
    time_point next_request_at_{}; // earliest time of the next request
    duration home_delay_{};
    bool in_flight_ = false;
    std::uint32_t attempts_ = 0;
    time_point first_sent_at_{}; // of the request in flight
    time_point last_sent_at_{};
    instance_id requested_home_;
    peer::credit_request request_;
};

} // namespace quetzal::rights

#endif
