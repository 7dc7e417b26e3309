#ifndef QUETZAL_RIGHTS_CREDIT_SHARD_HPP
#define QUETZAL_RIGHTS_CREDIT_SHARD_HPP

// The buckets and wallets of those customers that hash to one shard. A lock of the owner guards
// each shard; the state of a customer touches no other shard.

#include <array>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

#include <quetzal/rights/credit_wallet.hpp>
#include <quetzal/rights/customer_bucket.hpp>
#include <quetzal/rights/partition_terms.hpp>

namespace quetzal::rights {

// The request may run now; it has been counted.
struct admitted
{
};

// There is no credit yet. Try again at `retry_at`; when that fails until `until`, the customer's
// rate is exhausted or its home cannot be reached, and waiting longer makes little sense.
struct wait
{
    time_point retry_at{};
    time_point until{};
    bool exhausted = false; // the home's bucket was empty a moment ago, or is empty here
};

// The request may not run; it has not been counted.
struct refused
{
    duration retry_after{};
    bool unknown_customer = false;
};

using admission = std::variant<admitted, wait, refused>;

// A credit request that is due.
struct credit_ask
{
    instance_id to;
    peer::credit_request request;
};

// What started a term of a partition.
struct term_start
{
    std::uint64_t fence = 0;
    time_point at{};
    time_point former_until{};
};

class credit_shard
{
public:
    credit_shard(const options& settings, std::shared_ptr<const partition_terms> terms);

    // Adds a customer or changes its limits.
    void set_limits(const customer_id& customer, const limits& bounds, time_point now);

    // Sets the version of the configuration in use.
    void set_config(std::uint64_t version) noexcept { config_ = version; }

    // Removes the customers for whom `keep(id)` is false. One that returns later starts with an
    // empty bucket.
    template <class Predicate>
    void remove_unless(Predicate&& keep)
    {
        std::erase_if(active_, [&](const entry* state) { return !keep(state->id); });
        std::erase_if(customers_, [&](const auto& item) { return !keep(item.first); });
    }

    admission admit(const customer_id& customer, time_point now);

    // Starts a term of a partition. The caller publishes it in the terms afterwards.
    void begin_term(partition_index partition, const term_start& start);

    // Starts the term with a ledger that was received at `received`; after `begin_term`.
    void begin_with_ledger(partition_index partition, const peer::ledger_entry& ledger,
                           time_point received);

    // Appends the ledgers of a partition under this fence. The caller has ended the term.
    void append_ledger(partition_index partition, std::uint64_t fence,
                       std::vector<peer::ledger_entry>& ledger, time_point now);

    // Answers a delegate; none for outdated requests.
    std::optional<peer::credit_grant> on_request(const instance_id& from, incarnation process,
                                                 const peer::credit_request& request,
                                                 time_point now);

    // Uses an answer. Returns whether it belongs to a request in flight.
    bool on_grant(const instance_id& from, const peer::credit_grant& grant, time_point now);

    // Appends the messages that are due. `home_of(partition)` returns the instance to ask, empty
    // for none; `sequence` numbers requests; `on_silence(partition, instance)` hears of homes that
    // do not answer.
    template <class HomeOf, class OnSilence>
    void collect(std::vector<credit_ask>& asks, std::uint32_t& sequence, HomeOf&& home_of,
                 OnSilence&& on_silence, time_point now)
    {
        std::erase_if(active_, [&](entry* state) {
            if (terms_->held(state->partition, now)) {
                state->wallet.give_up(now); // the bucket is here
                state->active = false;
                return true;
            }
            const bool small = state->bounds.burst < small_burst;
            auto due = state->wallet.due(small, now);
            if (due == credit_wallet::action::give_up) {
                on_silence(state->partition, state->wallet.asked());
                state->wallet.give_up(now);
                due = state->wallet.due(small, now);
            }
            if (due == credit_wallet::action::repeat) {
                asks.push_back({state->wallet.asked(), state->wallet.repeat(now)});
            } else if (due == credit_wallet::action::ask) {
                if (const instance_id home = home_of(state->partition); !home.empty()) {
                    auto request = state->wallet.ask(home, ++sequence, small, now);
                    asks.push_back({home, complete(*state, std::move(request))});
                }
            }
            state->active = !state->wallet.idle(now);
            return !state->active;
        });
    }

    // Returns the earliest time at which `collect` has something to do.
    time_point wake(time_point now) const;

    // Returns the number of customers.
    std::size_t size() const noexcept { return customers_.size(); }

private:
    struct entry
    {
        customer_id id;
        partition_index partition = 0;
        limits bounds;
        time_point created{};
        std::uint64_t term = 0; // fence of the term that `bucket` belongs to
        customer_bucket bucket; // in use while this instance is the home
        credit_wallet wallet;   // in use while another is
        bool active = false;    // listed in `active_`
    };

    entry* find(const customer_id& customer);
    void enter_term(entry& state, std::uint64_t fence);
    admission admit_at_home(entry& state, time_point now);
    admission wait_for_credit(entry& state, time_point now);
    void activate(entry& state);
    peer::credit_request complete(const entry& state, peer::credit_request request) const;

    options settings_;
    std::shared_ptr<const partition_terms> terms_;
    std::uint64_t config_ = 0;
    std::unordered_map<customer_id, std::unique_ptr<entry>> customers_;
    std::vector<entry*> active_;
    std::array<term_start, peer::partition_count> starts_;
};

} // namespace quetzal::rights

#endif
