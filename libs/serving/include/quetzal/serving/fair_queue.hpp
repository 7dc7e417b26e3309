#ifndef QUETZAL_SERVING_FAIR_QUEUE_HPP
#define QUETZAL_SERVING_FAIR_QUEUE_HPP

// Fair queue of one pool. Customers share the pool by virtual time, which advances with the
// measured cost of their work. Among the customers within the fairness window, the entry with the
// least slack to its target goes first.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

struct queue_options
{
    std::size_t capacity = 1024; // maximum of uncommitted entries
    // Maximum cost by which a customer's virtual time may be ahead of the least served customer's
    // for its entries to compete by slack. 0 gives strict fairness, a large value strict urgency.
    double fairness_window = 1.0;
};

// A unit of waiting work. `cost` may have any unit that is the same for all entries of one queue,
// e.g. seconds of stage time or thousands of tokens.
struct queue_entry
{
    std::uint64_t key = 0; // unique within the queue
    customer_id customer;
    time_point urgent_by; // a later start misses a target; entries are ordered by this time
    time_point expires;   // time at which the entry is removed
    // An entry that expires before the deadline has the reason `deadline_unreachable`, a later one
    // `deadline_passed`.
    time_point deadline;
    // Added to `urgent_by` once that time has passed, so that late work does not make other work
    // late too.
    duration late_extension{};
    // The work is admitted and its earlier stages may have run. The entry is never shed and does
    // not count towards the capacity.
    bool committed = false;
    double cost = 1.0; // expected, > 0; `charge` corrects it
};

// Decision of the check before work starts.
enum class gate_decision
{
    start,
    defer, // the customer's entries stay in the queue; other customers are considered
    refuse // the entry is removed
};

// Result of the check. `why` and `detail` describe a decision other than `start`.
struct gate_result
{
    gate_decision decision = gate_decision::start;
    reason why = reason::unauthorized;
    std::string detail;
};

// Called for an entry right before it leaves the queue. Checks key, zone, view and credit.
using start_check = std::function<gate_result(const queue_entry&)>;

// An entry that was removed from the queue before its work started.
struct removed_entry
{
    queue_entry entry;
    reason why = reason::overloaded;
    std::string detail;
    std::optional<std::chrono::milliseconds> retry_after;
};

// A bounded queue that is fair to customers. Not thread-safe. Push, pop and cancel take time
// logarithmic in the entries of one customer; pop also takes time linear in the customers within
// the fairness window.
class fair_queue
{
public:
    explicit fair_queue(queue_options options = {}) : options_(options) {}

    // Not copyable: `waiting_` and `entries_` hold the addresses of customer states.
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;
    fair_queue(fair_queue&&) = default;
    fair_queue& operator=(fair_queue&&) = default;

    // Adds an entry, whose key must not be in the queue. When the queue is full, removes the least
    // urgent uncommitted entry of the customer with the most queued cost, which may be the new
    // entry, and returns it with the reason `overloaded`.
    std::optional<removed_entry> push(queue_entry entry);

    // Removes and returns the entry that starts now, or nothing when no entry may start. Appends
    // entries that expired or that `check` refuses to `removed`. `check` may be empty.
    std::optional<queue_entry> pop(time_point now, const start_check& check,
                                   std::vector<removed_entry>& removed);

    // Removes all expired entries and appends them to `removed`.
    void expire(time_point now, std::vector<removed_entry>& removed);

    // Removes an entry. Returns whether the entry was in the queue.
    bool cancel(std::uint64_t key);

    // Corrects the virtual time of a customer by the measured minus the expected cost of started
    // work.
    void charge(const customer_id& customer, double difference);

    bool empty() const noexcept { return entries_.empty(); }
    std::size_t size() const noexcept { return entries_.size(); }

    // Returns the sum of the expected costs of all entries.
    double queued_cost() const noexcept { return queued_cost_; }

    // Returns the queued cost that is served before a new entry of the customer: the customer's own
    // queued cost, and the part of every other customer's that fair sharing serves in the meantime.
    double cost_ahead(const customer_id& customer) const;

    // Returns the number of entries of a customer.
    std::size_t size_of(const customer_id& customer) const;

    // Returns the earliest time at which `expire` may remove an entry.
    std::optional<time_point> next_expiry() const;

private:
    struct queue_position
    {
        time_point urgency;
        std::uint64_t sequence = 0;

        // clang-tidy takes the 0 of rewritten comparisons for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const queue_position&, const queue_position&) = default;
    };

    struct customer_state
    {
        customer_id id;
        double virtual_time = 0;
        double queued_cost = 0;
        std::size_t uncommitted = 0;
        std::map<queue_position, queue_entry> entries;
    };

    struct location
    {
        customer_state* customer = nullptr;
        queue_position position;
    };

    using waiting_key = std::pair<double, customer_state*>; // virtual time, customer

    customer_state& find_or_add_customer(const customer_id& customer);
    void set_virtual_time(customer_state& customer, double value);
    void insert_entry(customer_state& customer, queue_entry entry, time_point urgency);
    queue_entry remove(std::uint64_t key);
    void demote_late(customer_state& customer, time_point now);
    customer_state* most_urgent(const std::vector<customer_state*>& deferred, time_point now);
    void erase_idle_customers();
    removed_entry shed_entry();

    queue_options options_;
    std::unordered_map<customer_id, customer_state> customers_;
    std::set<waiting_key> waiting_; // customers with entries
    std::unordered_map<std::uint64_t, location> entries_;
    std::set<std::pair<time_point, std::uint64_t>> expiries_;
    double virtual_time_ = 0; // of the pool: largest so far of the least served waiting customer
    double queued_cost_ = 0;
    std::size_t uncommitted_ = 0;
    std::uint64_t next_sequence_ = 0;
};

} // namespace quetzal::serving

#endif
