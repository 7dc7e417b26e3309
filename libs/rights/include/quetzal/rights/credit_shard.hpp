#ifndef QUETZAL_RIGHTS_CREDIT_SHARD_HPP
#define QUETZAL_RIGHTS_CREDIT_SHARD_HPP

// The buckets and wallets of the customers that hash to one shard. The owner guards each shard with
// a lock; the state of a customer lies in one shard only.

#include <array>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

#include <quetzal/rights/credit_wallet.hpp>
#include <quetzal/rights/customer_bucket.hpp>
#include <quetzal/rights/partition_terms.hpp>

namespace quetzal::rights {

// The request may run now and has been counted.
struct admitted
{
};

// No credit is available yet. Retry at `retry_at`. If retries fail until `until`, the customer's
// rate is exhausted or its home is unreachable, and the caller should stop waiting.
struct deferred
{
    time_point retry_at{};
    time_point until{};
    bool exhausted = false; // the bucket at the home was empty at the last response, or is now
};

// The request may not run and has not been counted.
struct refused
{
    duration retry_after{};
    bool unknown_customer = false;
};

using admission = std::variant<admitted, deferred, refused>;

// A credit request to be sent.
struct outgoing_credit_request
{
    instance_id to;
    peer::credit_request request;
};

// The start of a term, in which this instance holds a partition under one fencing token. Credits of
// the previous home may be in use until `previous_until`.
struct term_start
{
    std::uint64_t fence = 0;
    time_point at{};
    time_point previous_until{};
};

class credit_shard
{
public:
    credit_shard(const options& settings, std::shared_ptr<const partition_terms> terms);

    // Adds a customer or changes its limits.
    void set_limits(const customer_id& customer, const limits& bounds, time_point now);

    // Sets the version of the configuration in use.
    void set_config(std::uint64_t version) noexcept { config_ = version; }

    // Removes the customers for which `keep(id)` is false. A customer that is added again starts
    // with an empty bucket.
    template <class Predicate>
    void remove_unless(Predicate&& keep)
    {
        std::erase_if(active_, [&](const entry* state) { return !keep(state->id); });
        std::erase_if(customers_, [&](const auto& item) { return !keep(item.first); });
    }

    admission admit(const customer_id& customer, time_point now);

    // Starts a term of a partition. The caller then publishes the term in `partition_terms`.
    void begin_term(partition_index partition, const term_start& start);

    // Initializes a customer's bucket from a ledger entry received at `received`. Call it after
    // `begin_term`.
    void begin_with_ledger(partition_index partition, const peer::ledger_entry& ledger,
                           time_point received);

    // Appends the ledger entries of the partition's customers for the term with this fencing token.
    // The caller has ended the term.
    void append_ledger(partition_index partition, std::uint64_t fence,
                       std::vector<peer::ledger_entry>& ledger, time_point now);

    // Returns the response to a delegate's request; none for reports and outdated requests.
    std::optional<peer::credit_grant> on_request(const instance_id& from, incarnation process,
                                                 const peer::credit_request& request,
                                                 time_point now);

    // Applies a response. Returns whether it belongs to a request in flight.
    bool on_grant(const instance_id& from, const peer::credit_grant& grant, time_point now);

    // Appends the credit requests that are due. `home_of(partition)` returns the instance to ask,
    // or an empty id for none. `sequence` is the sequence number of the last request and is
    // incremented for each new one. `on_no_response(partition, instance)` is called for each home
    // that did not respond.
    template <class HomeOf, class OnNoResponse>
    void collect_requests(std::vector<outgoing_credit_request>& requests, std::uint32_t& sequence,
                          HomeOf&& home_of, OnNoResponse&& on_no_response, time_point now)
    {
        std::erase_if(active_, [&](entry* state) {
            if (terms_->active_term(state->partition, now)) {
                state->wallet.abandon(now); // the bucket is here
                state->active = false;
                return true;
            }
            const bool on_demand = state->bounds.burst < small_burst_threshold;
            auto due = state->wallet.due_action(on_demand, now);
            if (due == credit_wallet::action::abandon) {
                on_no_response(state->partition, state->wallet.requested_home());
                state->wallet.abandon(now);
                due = state->wallet.due_action(on_demand, now);
            }
            if (due == credit_wallet::action::retry) {
                requests.push_back({state->wallet.requested_home(), state->wallet.retry(now)});
            } else if (due == credit_wallet::action::start_request) {
                if (const instance_id home = home_of(state->partition); !home.empty()) {
                    auto request = state->wallet.start_request(home, ++sequence, on_demand, now);
                    requests.push_back({home, complete(*state, std::move(request))});
                }
            }
            state->active = !state->wallet.is_idle(now);
            return !state->active;
        });
    }

    // Returns the earliest time at which `collect_requests` has something to do.
    time_point next_wakeup(time_point now) const;

    // Returns the number of customers.
    std::size_t size() const noexcept { return customers_.size(); }

private:
    struct entry
    {
        customer_id id;
        partition_index partition = 0;
        limits bounds;
        time_point created{};
        std::uint64_t term = 0; // fencing token of the term that `bucket` belongs to
        customer_bucket bucket; // used while this instance is the home
        credit_wallet wallet;   // used while another instance is the home
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
    std::array<term_start, peer::partition_count> term_starts_;
};

} // namespace quetzal::rights

#endif
