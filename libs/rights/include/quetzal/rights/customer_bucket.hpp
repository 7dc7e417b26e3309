#ifndef QUETZAL_RIGHTS_CUSTOMER_BUCKET_HPP
#define QUETZAL_RIGHTS_CUSTOMER_BUCKET_HPP

// The token bucket of one customer at its home, with the credits granted to delegates. The
// invariant `level + outstanding <= burst` holds at all times; the refill stops at this bound.
// Since all credits that can still be spent are counted as outstanding, at most burst + rate *
// window requests are admitted in any window.

#include <cstdint>
#include <optional>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/peer/messages.hpp>
#include <quetzal/rights/options.hpp>

namespace quetzal::rights {

// The part of a customer's limits that this region may use.
struct limits
{
    double rate = 0;  // requests per second
    double burst = 0; // requests

    friend bool operator==(const limits&, const limits&) = default;
};

// Smaller bursts are not split among instances ahead of demand.
inline constexpr double small_burst_threshold = 4;

// Returns the maximum number of credits that may be outstanding at once.
constexpr double outstanding_limit(double burst) noexcept
{
    return burst < small_burst_threshold ? burst : burst / 2;
}

class customer_bucket
{
public:
    explicit customer_bucket(const safeguards& safe) : safe_(safe) {}

    // Starts a term with an empty bucket. Credits of a previous home may be in use until
    // `previous_until`.
    void start(const limits& bounds, time_point now, time_point previous_until);

    // Starts a term with the ledger entry of a handover that was received at `received`.
    void start(const limits& bounds, const peer::ledger_entry& ledger, time_point received);

    // Applies new limits. Tokens above a smaller burst are dropped.
    void set_limits(const limits& bounds, time_point now);

    // Takes one token. Returns whether there was one.
    bool admit(time_point now);

    // Returns the time until a token is available, if no credits are granted or returned.
    duration time_until_token() const noexcept;

    // Returns the response to a delegate's request while the home's lease runs until `lease_until`.
    // A duplicate request gets the same response again; a report or an older request gets none.
    std::optional<peer::credit_grant> serve(const instance_id& delegate, incarnation process,
                                            const peer::credit_request& request,
                                            time_point lease_until, time_point now);

    // Returns the ledger entry for a handover that is sent at `now`.
    peer::ledger_entry ledger(const customer_id& customer, time_point now);

    double level() const noexcept { return level_; }

    // Returns the number of credits that delegates may still spend.
    double outstanding() const noexcept { return outstanding_; }

private:
    struct session // one delegate process
    {
        instance_id delegate;
        incarnation process;
        std::uint32_t sequence = 0;
        std::uint32_t spent = 0;
        double outstanding = 0;
        time_point until{}; // no credit of this delegate is valid later
        time_point last_used{};
        peer::credit_grant last_grant;
    };

    void refill(time_point now);
    void add_refill(time_point until);
    void expire_credits(time_point now);
    void reconcile(session& entry, const peer::credit_request& request);
    session& find_or_add_session(const instance_id& delegate, incarnation process,
                                 const peer::credit_request& request, time_point now);
    peer::credit_grant make_grant(session& entry, const peer::credit_request& request,
                                  time_point lease_until, time_point now);
    double max_level() const noexcept;

    safeguards safe_;
    limits limits_;
    double level_ = 0;
    time_point updated_{};
    double previous_outstanding_ = 0; // of previous homes and superseded delegate processes
    time_point previous_until_{};
    double outstanding_ = 0; // `previous_outstanding_` plus the sessions' outstanding credits
    time_point next_expiry_ = time_point::max();
    std::vector<session> sessions_;
};

} // namespace quetzal::rights

#endif
