#include <quetzal/serving/fair_queue.hpp>

#include <algorithm>

#include <quetzal/base/random.hpp>
#include <rapidcheck.h>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point start{1h};

queue_entry make_entry(std::uint64_t key, const std::string& customer, duration slack = 1s,
                       duration expires = 10s)
{
    queue_entry entry;
    entry.key = key;
    entry.customer = customer_id(customer);
    entry.urgent_by = start + slack;
    entry.expires = start + expires;
    entry.deadline = start + 10s;
    entry.late_extension = 5s;
    return entry;
}

// Reference implementation of the queue: one list, with a full scan for each operation.
class reference_queue
{
public:
    explicit reference_queue(queue_options options) : options_(options) {}

    std::optional<std::uint64_t> push(const queue_entry& entry)
    {
        if (count(entry.customer) == 0) {
            double& own = virtual_time_of(entry.customer);
            own = std::max(own, pool_virtual_time_);
        }
        entries_.push_back({entry, entry.urgent_by});
        const auto uncommitted = std::count_if(entries_.begin(), entries_.end(),
                                               [](auto& e) { return !e.entry.committed; });
        if (static_cast<std::size_t>(uncommitted) <= options_.capacity) {
            return std::nullopt;
        }
        std::size_t victim_index = entries_.size();
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            const auto& candidate = entries_[index];
            if (candidate.entry.committed) {
                continue;
            }
            if (victim_index == entries_.size()) {
                victim_index = index;
                continue;
            }
            const auto rank = [&](const queued_entry& i) {
                return std::tuple(queued(i.entry.customer), -customer_rank(i.entry.customer),
                                  i.urgency);
            };
            victim_index = rank(candidate) >= rank(entries_[victim_index]) ? index : victim_index;
        }
        return erase(victim_index).key;
    }

    std::optional<std::uint64_t> pop(time_point now, std::vector<std::uint64_t>& removed)
    {
        expire(now, removed);
        if (entries_.empty()) {
            return std::nullopt;
        }
        double least = virtual_time_of(entries_.front().entry.customer);
        for (const auto& candidate : entries_) {
            least = std::min(least, virtual_time_of(candidate.entry.customer));
        }
        pool_virtual_time_ = std::max(pool_virtual_time_, least);
        std::size_t best = entries_.size();
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            auto& candidate = entries_[index];
            if (virtual_time_of(candidate.entry.customer) > least + options_.fairness_window) {
                continue;
            }
            if (now > candidate.entry.urgent_by) {
                candidate.urgency = candidate.entry.urgent_by + candidate.entry.late_extension;
            }
            if (best == entries_.size() || candidate.urgency < entries_[best].urgency) {
                best = index;
            }
        }
        const queue_entry chosen = erase(best);
        virtual_time_of(chosen.customer) += chosen.cost;
        return chosen.key;
    }

    void expire(time_point now, std::vector<std::uint64_t>& removed)
    {
        for (std::size_t index = 0; index < entries_.size();) {
            if (entries_[index].entry.expires <= now) {
                removed.push_back(erase(index).key);
            } else {
                ++index;
            }
        }
    }

    bool cancel(std::uint64_t key)
    {
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            if (entries_[index].entry.key == key) {
                erase(index);
                return true;
            }
        }
        return false;
    }

private:
    struct queued_entry
    {
        queue_entry entry;
        time_point urgency;
    };

    double& virtual_time_of(const customer_id& id)
    {
        return virtual_times_.try_emplace(id, 0).first->second;
    }
    int customer_rank(const customer_id& id) const { return id.name.back(); }
    std::size_t count(const customer_id& id) const
    {
        return static_cast<std::size_t>(std::count_if(
            entries_.begin(), entries_.end(), [&](auto& e) { return e.entry.customer == id; }));
    }
    double queued(const customer_id& id) const
    {
        double sum = 0;
        for (const auto& candidate : entries_) {
            sum += candidate.entry.customer == id ? candidate.entry.cost : 0;
        }
        return sum;
    }
    queue_entry erase(std::size_t index)
    {
        queue_entry entry = entries_[index].entry;
        entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(index));
        return entry;
    }

    queue_options options_;
    std::vector<queued_entry> entries_;
    std::map<customer_id, double> virtual_times_;
    double pool_virtual_time_ = 0;
};

// Serves one entry every 10 ms for 20 s while each of four customers sends 20 entries a second and
// the first sends `factor` times that. Returns the mean wait of each customer in seconds.
std::vector<double> mean_waits(double factor)
{
    fair_queue queue;
    std::vector<double> waits(4);
    std::vector<double> counts(4);
    std::map<std::uint64_t, time_point> arrivals;
    std::vector<double> pending(4);
    std::vector<removed_entry> removed;
    std::uint64_t key = 0;
    for (duration at{}; at < 20s; at += 10ms) {
        for (std::size_t customer = 0; customer < 4; ++customer) {
            pending[customer] += 0.2 * (customer == 0 ? factor : 1);
            for (; pending[customer] >= 1; pending[customer] -= 1) {
                auto entry = make_entry(++key, std::string(1, static_cast<char>('a' + customer)));
                entry.urgent_by = start + at + 2s;
                entry.expires = start + at + 8s;
                arrivals[key] = start + at;
                queue.push(entry);
            }
        }
        if (const auto entry = queue.pop(start + at, {}, removed)) {
            const auto customer = static_cast<std::size_t>(entry->customer.name[0] - 'a');
            waits[customer] +=
                std::chrono::duration<double>(start + at - arrivals[entry->key]).count();
            counts[customer] += 1;
        }
    }
    for (std::size_t customer = 0; customer < 4; ++customer) {
        waits[customer] /= counts[customer];
    }
    return waits;
}

} // namespace

// Guards against the excess load of one customer delaying all others. Ordering by urgency alone
// makes every customer wait for seconds and fails this test.
Test(fair_queue, a_customer_at_five_times_its_rate_affects_no_other)
{
    section("given four customers that use 80% of a pool together", [] {
        const auto calm = mean_waits(1);
        section("when one of them sends five times its rate", [&] {
            const auto excess = mean_waits(5);
            for (std::size_t customer = 1; customer < 4; ++customer) {
                check(excess[customer] <= calm[customer] + 0.05,
                      "the others wait at most five service times longer");
            }
            check(excess[0] > 1, "the customer with the excess load waits");
        });
    });
}

// Guards against urgent work waiting behind less urgent work, and against late work making other
// work late.
Test(fair_queue, orders_by_slack_within_fair_shares)
{
    std::vector<removed_entry> removed;
    section("given two customers within the fairness window", [&] {
        fair_queue queue;
        queue.push(make_entry(1, "a", 5s));
        queue.push(make_entry(2, "b", 1s));
        check(queue.pop(start, {}, removed)->key == 2, "the urgent entry goes first");
    });
    section("given work that is already late", [&] {
        fair_queue queue;
        queue.push(make_entry(1, "a", 1s));
        queue.push(make_entry(2, "a", 3s));
        check(queue.pop(start + 2s, {}, removed)->key == 2, "work that can be on time goes first");
        check(queue.pop(start + 2s, {}, removed)->key == 1, "late work still runs");
    });
    section("given measured costs above the expected ones", [&] {
        fair_queue queue;
        for (std::uint64_t key = 0; key < 8; ++key) {
            queue.push(make_entry(key, key % 2 == 0 ? "a" : "b", 1s + key * 1ms));
        }
        check(queue.pop(start, {}, removed)->customer.name == "a",
              "both customers start with equal shares");
        queue.charge(customer_id("a"), 4);
        for (int turn = 0; turn < 4; ++turn) {
            check(queue.pop(start, {}, removed)->customer.name == "b",
                  "the other customer is served until it catches up");
        }
    });
}

// Guards against unbounded queues, against refusing customers that did not fill the queue, and
// against shedding work whose earlier stages have run.
Test(fair_queue, sheds_from_the_customer_with_the_most_queued_cost)
{
    section("given a full queue, mostly of one customer", [] {
        fair_queue queue({.capacity = 4});
        for (std::uint64_t key = 0; key < 4; ++key) {
            queue.push(make_entry(key, "large", 1s + key * 1s));
        }
        section("when another customer sends work, the large one's least urgent entry is shed",
                [&] {
                    const auto shed = queue.push(make_entry(9, "small", 9s));
                    check(shed && shed->entry.key == 3 && shed->why == reason::overloaded,
                          "entry 3 is shed as overloaded");
                });
        section("when admitted work arrives, nothing is shed for it", [&] {
            auto admitted = make_entry(10, "large");
            admitted.committed = true;
            check(!queue.push(admitted), "admitted work may exceed the capacity");
            check(queue.size() == 5, "all entries are kept");
        });
        section("when the large customer sends more, its own entry is shed", [&] {
            const auto shed = queue.push(make_entry(11, "large", 500ms));
            check(shed && shed->entry.customer.name == "large" && shed->entry.key == 2,
                  "its least urgent uncommitted entry is shed");
        });
    });
}

// Guards against starting work after its key was withdrawn, its deadline passed or it was
// cancelled, and against a customer without credit blocking the others.
Test(fair_queue, checks_each_entry_before_it_starts)
{
    std::vector<removed_entry> removed;
    fair_queue queue;
    queue.push(make_entry(1, "withdrawn", 1s));
    queue.push(make_entry(2, "without_credit", 2s));
    queue.push(make_entry(3, "good", 3s));
    queue.push(make_entry(4, "good", 4s));
    queue.push(make_entry(5, "good", 5s, 6s));
    section("when work starts, each entry is checked", [&] {
        const auto gate = [](const queue_entry& entry) {
            if (entry.customer.name == "withdrawn") {
                return gate_result{gate_decision::refuse, reason::unauthorized, "key withdrawn"};
            }
            const bool held = entry.customer.name == "without_credit";
            return gate_result{held ? gate_decision::defer : gate_decision::start, {}, {}};
        };
        check(queue.pop(start, gate, removed)->key == 3, "the first entry that may start");
        check(removed.size() == 1 && removed[0].entry.key == 1 &&
                  removed[0].why == reason::unauthorized,
              "the refused entry is removed with its reason");
    });
    section("when entries are cancelled or expire", [&] {
        check(queue.cancel(4) && !queue.cancel(4), "an entry can be cancelled only once");
        check(queue.next_expiry() == start + 6s, "the next expiry is that of entry 5");
        removed.clear();
        check(queue.pop(start + 7s, {}, removed)->key == 2, "the deferred entry is kept");
        check(removed.size() == 1 && removed[0].entry.key == 5 &&
                  removed[0].why == reason::deadline_unreachable,
              "the entry that expired before its deadline is reported as unreachable");
        check(queue.empty() && queue.queued_cost() == 0, "the queue is empty");
    });
}

// Guards against a customer that was deferred, e.g. for lack of credit, taking the whole pool once
// its entries may start again.
Test(fair_queue, a_deferred_customer_accumulates_no_service)
{
    std::vector<removed_entry> removed;
    fair_queue queue({.capacity = 1000, .fairness_window = 0});
    for (std::uint64_t key = 0; key < 200; ++key) {
        queue.push(make_entry(key, key % 2 == 0 ? "held" : "other"));
    }
    section("given fifty starts during which one customer is deferred", [&] {
        const auto hold = [](const queue_entry& entry) {
            const bool held = entry.customer.name == "held";
            return gate_result{held ? gate_decision::defer : gate_decision::start, {}, {}};
        };
        for (int turn = 0; turn < 50; ++turn) {
            check(queue.pop(start, hold, removed)->customer.name == "other",
                  "the other customer is served");
        }
    });
    section("when it is no longer deferred, both are served alternately", [&] {
        int held = 0;
        for (int turn = 0; turn < 20; ++turn) {
            held += queue.pop(start, {}, removed)->customer.name == "held" ? 1 : 0;
        }
        check(held >= 9 && held <= 11, "each customer gets half of the starts");
    });
}

// Guards against errors in the queue's indexes: every sequence of operations must have the same
// result as in the reference implementation, which scans a list.
Test(fair_queue, agrees_with_the_reference_implementation)
{
    check(rc::check([] {
              const queue_options options{.capacity = 1 + *rc::gen::inRange<std::size_t>(1, 12),
                                          .fairness_window = *rc::gen::element(0.0, 1.0, 4.0)};
              fair_queue queue(options);
              reference_queue reference(options);
              time_point now = start;
              for (std::uint64_t key = 1; key <= 60; ++key) {
                  now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
                  const int kind = *rc::gen::inRange(0, 10);
                  if (kind < 5) {
                      auto entry =
                          make_entry(key, std::string(1, *rc::gen::inRange<char>('a', 'e')));
                      entry.urgent_by = now + std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
                      entry.expires = now + std::chrono::milliseconds(*rc::gen::inRange(1, 4000));
                      entry.cost = *rc::gen::inRange(1, 5);
                      entry.committed = *rc::gen::inRange(0, 4) == 0;
                      const auto shed = queue.push(entry);
                      const auto expected = reference.push(entry);
                      RC_ASSERT(shed.has_value() == expected.has_value());
                      RC_ASSERT(!shed || shed->entry.key == *expected);
                  } else if (kind < 9) {
                      std::vector<removed_entry> removed;
                      std::vector<std::uint64_t> expected_removed;
                      const auto entry = queue.pop(now, {}, removed);
                      const auto expected = reference.pop(now, expected_removed);
                      RC_ASSERT(entry.has_value() == expected.has_value());
                      RC_ASSERT(!entry || entry->key == *expected);
                      RC_ASSERT(removed.size() == expected_removed.size());
                  } else {
                      const std::uint64_t victim = *rc::gen::inRange<std::uint64_t>(1, key + 1);
                      RC_ASSERT(queue.cancel(victim) == reference.cancel(victim));
                  }
              }
          }),
          "rapidcheck found the counterexample printed above");
}
