#ifndef QUETZAL_RIGHTS_CUSTOMER_BUCKET_HPP
#define QUETZAL_RIGHTS_CUSTOMER_BUCKET_HPP

// The home's token bucket of one customer, with the credits that are out. The invariant
// `level + outstanding <= burst` holds at all times, and the refill stops there. Since credits that
// can still be spent are always counted as outstanding, admissions over every window are at most
// burst + rate * window.

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
    double rate = 0;  // requests a second
    double burst = 0; // requests

    friend bool operator==(const limits&, const limits&) = default;
};

// Bursts below this one are too small to be split among instances ahead of demand.
inline constexpr double small_burst = 4;

// Returns the greatest number of credits that may be out at once.
constexpr double outstanding_limit(double burst) noexcept
{
    return burst < small_burst ? burst : burst / 2;
}

class customer_bucket
{
public:
    explicit customer_bucket(const safeguards& safe) : safe_(safe) {}

    // Starts a term with an empty bucket. Credits of a former home may be in use until
    // `former_until`.
    void start(const limits& bounds, time_point now, time_point former_until);

    // Starts a term with the ledger of a handover that was received at `received`.
    void start(const limits& bounds, const peer::ledger_entry& ledger, time_point received);

    // Applies new limits. A level above a smaller burst is lost.
    void set_limits(const limits& bounds, time_point now);

    // Takes one token. Returns whether there was one.
    bool admit(time_point now);

    // Returns how long it takes until a token is there, if no credits are granted or returned.
    duration until_token() const noexcept;

    // Answers a delegate's request while the home's lease runs until `lease_until`. A repeated
    // request gets the same answer again; an older one gets none.
    std::optional<peer::credit_grant> serve(const instance_id& delegate, incarnation process,
                                            const peer::credit_request& request,
                                            time_point lease_until, time_point now);

    // Returns the ledger for a handover that is sent at `now`.
    peer::ledger_entry ledger(const customer_id& customer, time_point now);

    double level() const noexcept { return level_; }

    // Returns the number of credits that may still be in use.
    double outstanding() const noexcept { return out_; }

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
        peer::credit_grant answer;
    };

    void refill(time_point now);
    void gain(time_point until);
    void expire(time_point now);
    void settle(session& entry, const peer::credit_request& request);
    session& open(const instance_id& delegate, incarnation process,
                  const peer::credit_request& request, time_point now);
    peer::credit_grant grant(session& entry, const peer::credit_request& request,
                             time_point lease_until, time_point now);
    double room() const noexcept;

    safeguards safe_;
    limits limits_;
    double level_ = 0;
    time_point updated_{};
    double former_ = 0; // credits of former homes and of dead delegate processes
    time_point former_until_{};
    double out_ = 0; // sum of `former_` and the sessions' outstanding credits
    time_point next_expiry_ = time_point::max();
    std::vector<session> sessions_;
};

} // namespace quetzal::rights

#endif
