#ifndef QUETZAL_SERVING_FAIR_QUEUE_HPP
#define QUETZAL_SERVING_FAIR_QUEUE_HPP

// The queue of one pool. Customers share the pool by virtual time over measured cost; among the
// customers that are due, the entry with the least slack to its target goes first.

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

// Constants of a queue.
struct queue_options
{
    std::size_t capacity = 1024; // entries that were not admitted before
    // Cost by which a customer's virtual time may be ahead of the least served customer's while its
    // entries still compete by slack. 0 gives strict fairness, a large value strict urgency.
    double fairness_window = 1.0;
};

// Work that waits. `cost` has any unit that is the same for all entries of one queue, e.g. seconds
// of stage time or thousands of tokens.
struct queue_entry
{
    std::uint64_t key = 0; // unique within the queue
    customer_id customer;
    time_point urgent_by; // start time beyond which a target is missed; the order of entries
    time_point expires;   // the entry is removed at this time
    time_point deadline;  // tells `deadline_unreachable` from `deadline_passed`
    // Once `urgent_by` has passed, the entry competes as if it were that much less urgent, so that
    // late work does not make other work late too.
    duration late_extension{};
    bool committed = false; // earlier stages have run: never shed, not counted in the capacity
    double cost = 1.0;      // expected, > 0; `charge` corrects it
};

// What the check before the start of work decided.
enum class start_gate
{
    start,
    hold,  // the customer's entries stay, other customers are tried
    refuse // the entry is removed
};

// Answer of the check, with the failure for `refuse`.
struct gate_answer
{
    start_gate decision = start_gate::start;
    reason why = reason::unauthorized;
    std::string detail;
};

// Called for an entry right before it leaves the queue: key, zone, view and credit checks.
using start_check = std::function<gate_answer(const queue_entry&)>;

// An entry that left the queue without being started. Its work did not run.
struct removed_entry
{
    queue_entry entry;
    reason why = reason::overloaded;
    std::string detail;
    std::optional<std::chrono::milliseconds> retry_after;
};

// A bounded queue, fair to customers. Not thread-safe. Push, pop and cancel take a time that is
// logarithmic in the entries of one customer, plus, for pop, linear in the customers that are due.
class fair_queue
{
public:
    explicit fair_queue(queue_options options = {}) : options_(options) {}

    // Customer states refer to each other by address.
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;
    fair_queue(fair_queue&&) = default;
    fair_queue& operator=(fair_queue&&) = default;

    // Adds an entry; the key must not be in the queue. When the queue is full, the customer with
    // the most queued cost loses its least urgent uncommitted entry, which may be the new one.
    // Returns that entry, with the reason `overloaded`.
    std::optional<removed_entry> push(queue_entry entry);

    // Removes and returns the entry that starts now, if any may start. Entries that expired or that
    // `check` refuses are appended to `removed`. `check` may be empty.
    std::optional<queue_entry> pop(time_point now, const start_check& check,
                                   std::vector<removed_entry>& removed);

    // Removes all entries that can no longer start in time and appends them to `removed`.
    void expire(time_point now, std::vector<removed_entry>& removed);

    // Removes an entry; does nothing when it is not in the queue. Returns whether it was.
    bool cancel(std::uint64_t key);

    // Corrects the virtual time of a customer by measured minus expected cost of started work.
    void charge(const customer_id& customer, double difference);

    bool empty() const noexcept { return entries_.empty(); }
    std::size_t size() const noexcept { return entries_.size(); }

    // Returns the sum of the expected costs of all entries.
    double queued_cost() const noexcept { return queued_cost_; }

    // Returns the queued cost that starts before a new entry of the customer could: its own, and as
    // much of every other customer's as fairness gives that customer in the meantime.
    double cost_ahead(const customer_id& customer) const;

    // Returns the entries of a customer in the queue.
    std::size_t size_of(const customer_id& customer) const;

    // Returns the earliest time at which `expire` may remove an entry.
    std::optional<time_point> next_expiry() const;

private:
    struct order
    {
        time_point urgency;
        std::uint64_t sequence = 0;

        // clang-tidy takes the 0 of rewritten comparisons for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const order&, const order&) = default;
    };

    struct customer_state
    {
        customer_id id;
        double virtual_time = 0;
        double queued_cost = 0;
        std::size_t uncommitted = 0;
        std::map<order, queue_entry> entries;
    };

    struct location
    {
        customer_state* customer = nullptr;
        order position;
    };

    using waiting_key = std::pair<double, customer_state*>; // virtual time first

    customer_state& state_of(const customer_id& customer);
    void set_virtual_time(customer_state& customer, double value);
    void insert(customer_state& customer, queue_entry entry, time_point urgency);
    queue_entry take(std::uint64_t key);
    void demote_late(customer_state& customer, time_point now);
    customer_state* most_urgent(const std::vector<customer_state*>& held, time_point now);
    void forget_idle();
    removed_entry shed();

    queue_options options_;
    std::unordered_map<customer_id, customer_state> customers_;
    std::set<waiting_key> waiting_; // customers with entries
    std::unordered_map<std::uint64_t, location> entries_;
    std::set<std::pair<time_point, std::uint64_t>> expiries_;
    double virtual_time_ = 0; // of the pool: that of the least served waiting customer
    double queued_cost_ = 0;
    std::size_t uncommitted_ = 0;
    std::uint64_t next_sequence_ = 0;
};

} // namespace quetzal::serving

#endif
