#ifndef QUETZAL_RIGHTS_CREDIT_WALLET_HPP
#define QUETZAL_RIGHTS_CREDIT_WALLET_HPP

// A delegate's credits of one customer. It has at most one request in flight, repeats it with the
// same sequence number, and uses only the first answer to the request in flight: a late or repeated
// answer never adds credits. Every later request says how many credits are kept, so that the home
// gets back those of lost answers.

#include <array>
#include <cstdint>
#include <optional>

#include <quetzal/base/ids.hpp>
#include <quetzal/peer/messages.hpp>
#include <quetzal/rights/options.hpp>

namespace quetzal::rights {

class credit_wallet
{
public:
    explicit credit_wallet(const safeguards& safe) : safe_(safe) {}

    // Spends a credit that is valid at `now` and needs no newer configuration than `config`.
    // Returns whether there was one. Allocates nothing.
    bool spend(std::uint64_t config, time_point now);

    // Notes that a request waits for a credit.
    void wait(time_point now);

    // What to do about the home.
    enum class action
    {
        none,
        ask,    // `ask` for credits, or report
        repeat, // send the request in flight again
        give_up // the home does not answer; ask another instance
    };

    // Returns the action that is due. `small` says that credits are fetched on demand only.
    action due(bool small, time_point now) const;

    // Returns when an action will be due if nothing happens; `time_point::max()` for never.
    time_point wake(bool small, time_point now) const;

    // Starts a request with this sequence number, to be sent to `home` at `now`. One that wants
    // nothing is a report: it gets no answer and is not repeated, since credits expire anyway.
    peer::credit_request ask(const instance_id& home, std::uint32_t sequence, bool small,
                             time_point now);

    // Returns the request in flight, for repetition at `now`.
    const peer::credit_request& repeat(time_point now);

    const instance_id& asked() const noexcept { return asked_; }

    // Forgets the request in flight; its answer has no effect any more.
    void give_up(time_point now);

    // Uses an answer. Returns whether it belongs to the request in flight.
    bool on_grant(const instance_id& from, const peer::credit_grant& grant, time_point now);

    // Returns the credits valid at `now`.
    std::uint32_t held(time_point now) const noexcept;

    // Returns when it makes sense to try again after a failed `spend`.
    time_point retry_at(time_point now) const noexcept;

    // Returns how long the home said a token would take.
    duration home_delay() const noexcept { return home_delay_; }

    // Whether nothing is in flight, held, waiting or unreported.
    bool idle(time_point now) const noexcept;

private:
    struct lot
    {
        std::uint32_t tokens = 0;
        std::uint64_t config = 0; // version needed to use it
        time_point until{};
    };

    void note_demand(time_point now);
    double demand(time_point now) const;
    std::uint32_t wanted(bool small, time_point now) const;
    bool report_due(bool small, time_point now) const;
    void add(const lot& entry);

    safeguards safe_;
    std::array<lot, 4> lots_; // the two that end first are merged when it is full
    double demand_ = 0;       // credits needed in `prefetch`, decaying average
    time_point demand_at_{};
    std::uint32_t waiting_ = 0; // requests that found no credit since the last request
    time_point waiting_at_{};
    std::uint32_t asked_waiting_ = 0; // `waiting_` at the last request
    std::uint32_t spent_ = 0;
    std::uint32_t believed_ = 0; // credits that the home counts as outstanding here
    time_point believed_until_{};
    time_point last_use_{};
    time_point not_before_{}; // of the next request
    duration home_delay_{};
    bool in_flight_ = false;
    std::uint32_t tries_ = 0;
    time_point asked_at_{}; // first sending of the request in flight
    time_point sent_at_{};  // last sending
    instance_id asked_;
    peer::credit_request request_;
};

} // namespace quetzal::rights

#endif
