#ifndef QUETZAL_RIGHTS_CREDIT_SHARD_HPP
#define QUETZAL_RIGHTS_CREDIT_SHARD_HPP

// The buckets and wallets of those customers that hash to one shard. A lock of the owner guards each
// shard; the state of a customer touches no other shard.

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
};

// The request may not run; it has not been counted.
struct refused
{
    duration retry_after{};
    bool unknown_customer = false;
};

using admission = std::variant<admitted, wait, refused>;

// A credit message that is due, of a customer of this partition. `home_silent` says that the
// instance in `previous` did not answer.
struct credit_ask
{
    partition_index partition = 0;
    instance_id to; // for repetitions
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

    // Removes the customers that `keep` does not name; `version` is the configuration in use.
    template <class Predicate>
    void set_config(std::uint64_t version, Predicate&& keep, time_point now);

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

    // Appends the messages that are due. `home_of(partition)` gives the instance to ask, empty for
    // none; `sequence` numbers requests; `on_silence(partition, instance)` hears of homes that do
    // not answer.
    template <class HomeOf, class OnSilence>
    void collect(std::vector<credit_ask>& asks, std::uint32_t& sequence, HomeOf&& home_of,
                 OnSilence&& on_silence, time_point now);

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
        customer_bucket bucket;
        credit_wallet wallet;
        bool active = false; // listed in `active_`
    };

    entry* find(const customer_id& customer);
    const partition_terms::term* enter_term(entry& state, time_point now);
    admission admit_at_home(entry& state, time_point now);
    void activate(entry& state);

    options settings_;
    std::shared_ptr<const partition_terms> terms_;
    std::uint64_t config_ = 0;
    std::unordered_map<customer_id, std::unique_ptr<entry>> customers_;
    std::vector<entry*> active_;
    std::array<term_start, peer::partition_count> starts_;
};

} // namespace quetzal::rights

#endif
