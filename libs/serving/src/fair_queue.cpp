#include <quetzal/serving/fair_queue.hpp>

#include <algorithm>
#include <utility>

namespace quetzal::serving {

namespace {

// Idle customers are erased only when they exceed the waiting ones by more than this. Bounds the
// memory without a sweep at every change.
constexpr std::size_t max_idle_surplus = 64;

removed_entry make_expired_entry(queue_entry entry, time_point now)
{
    removed_entry removed;
    removed.why = now >= entry.deadline ? reason::deadline_passed : reason::deadline_unreachable;
    removed.detail = "waited in the queue until its targets could no longer be met";
    removed.entry = std::move(entry);
    return removed;
}

} // namespace

fair_queue::customer_state& fair_queue::find_or_add_customer(const customer_id& customer)
{
    const auto [place, inserted] = customers_.try_emplace(customer);
    if (inserted) {
        place->second.id = customer;
        place->second.virtual_time = virtual_time_;
    }
    return place->second;
}

void fair_queue::set_virtual_time(customer_state& customer, double value)
{
    if (customer.entries.empty()) {
        customer.virtual_time = value;
        return;
    }
    waiting_.erase({customer.virtual_time, &customer});
    customer.virtual_time = value;
    waiting_.insert({value, &customer});
}

void fair_queue::insert_entry(customer_state& customer, queue_entry entry, time_point urgency)
{
    const queue_position position{urgency, next_sequence_++};
    const bool was_idle = customer.entries.empty();
    entries_[entry.key] = {&customer, position};
    expiries_.insert({entry.expires, entry.key});
    customer.queued_cost += entry.cost;
    queued_cost_ += entry.cost;
    customer.uncommitted += entry.committed ? 0 : 1;
    uncommitted_ += entry.committed ? 0 : 1;
    customer.entries.emplace(position, std::move(entry));
    if (was_idle) {
        // A customer does not accumulate unused service while it is idle.
        customer.virtual_time = std::max(customer.virtual_time, virtual_time_);
        waiting_.insert({customer.virtual_time, &customer});
    }
}

queue_entry fair_queue::remove(std::uint64_t key)
{
    const auto found = entries_.find(key);
    customer_state& customer = *found->second.customer;
    const auto place = customer.entries.find(found->second.position);
    queue_entry entry = std::move(place->second);
    customer.entries.erase(place);
    entries_.erase(found);
    expiries_.erase({entry.expires, key});
    customer.queued_cost -= entry.cost;
    queued_cost_ -= entry.cost;
    customer.uncommitted -= entry.committed ? 0 : 1;
    uncommitted_ -= entry.committed ? 0 : 1;
    if (customer.entries.empty()) {
        customer.queued_cost = 0; // removes the rounding error of many additions
        waiting_.erase({customer.virtual_time, &customer});
    }
    if (entries_.empty()) {
        queued_cost_ = 0;
    }
    return entry;
}

removed_entry fair_queue::shed_entry()
{
    customer_state* victim = nullptr;
    for (const auto& [virtual_time, customer] : waiting_) {
        const bool more = victim == nullptr || customer->queued_cost > victim->queued_cost ||
                          (customer->queued_cost == victim->queued_cost && // NOLINT: a tie
                           customer->id < victim->id);
        if (customer->uncommitted > 0 && more) {
            victim = customer;
        }
    }
    auto place = std::prev(victim->entries.end());
    while (place->second.committed) {
        --place;
    }
    removed_entry removed;
    removed.why = reason::overloaded;
    removed.detail = "the queue is full and this customer has the most queued work (" +
                     std::to_string(victim->entries.size()) + " of " +
                     std::to_string(entries_.size()) + " entries)";
    removed.entry = remove(place->second.key);
    return removed;
}

std::optional<removed_entry> fair_queue::push(queue_entry entry)
{
    const time_point urgency = entry.urgent_by;
    customer_state& customer = find_or_add_customer(entry.customer);
    insert_entry(customer, std::move(entry), urgency);
    if (uncommitted_ > options_.capacity) {
        return shed_entry();
    }
    return std::nullopt;
}

void fair_queue::demote_late(customer_state& customer, time_point now)
{
    while (!customer.entries.empty()) {
        const auto& [position, entry] = *customer.entries.begin();
        const bool demoted = position.urgency != entry.urgent_by;
        if (now <= entry.urgent_by || demoted || entry.late_extension <= duration::zero()) {
            return;
        }
        const time_point urgency = entry.urgent_by + entry.late_extension;
        auto node = customer.entries.extract(customer.entries.begin());
        node.key() = {urgency, node.key().sequence};
        entries_[node.mapped().key].position = node.key();
        customer.entries.insert(std::move(node));
    }
}

fair_queue::customer_state* fair_queue::most_urgent(const std::vector<customer_state*>& deferred,
                                                    time_point now)
{
    customer_state* best = nullptr;
    std::optional<double> least;
    for (const auto& [virtual_time, customer] : waiting_) {
        if (std::find(deferred.begin(), deferred.end(), customer) != deferred.end()) {
            continue;
        }
        if (!least) {
            least = virtual_time;
        }
        if (virtual_time > *least + options_.fairness_window) {
            break;
        }
        demote_late(*customer, now);
        if (best == nullptr || customer->entries.begin()->first < best->entries.begin()->first) {
            best = customer;
        }
    }
    if (least) {
        virtual_time_ = std::max(virtual_time_, *least);
    }
    return best;
}

std::optional<queue_entry> fair_queue::pop(time_point now, const start_check& check,
                                           std::vector<removed_entry>& removed)
{
    expire(now, removed);
    std::vector<customer_state*> deferred;
    std::optional<queue_entry> started;
    while (customer_state* customer = most_urgent(deferred, now)) {
        const queue_entry& head = customer->entries.begin()->second;
        const gate_result answer = check ? check(head) : gate_result{};
        if (answer.decision == gate_decision::defer) {
            deferred.push_back(customer);
            continue;
        }
        queue_entry entry = remove(head.key);
        if (answer.decision == gate_decision::refuse) {
            removed.push_back({std::move(entry), answer.why, answer.detail, std::nullopt});
            continue;
        }
        set_virtual_time(*customer, customer->virtual_time + entry.cost);
        started = std::move(entry);
        break;
    }
    for (customer_state* customer : deferred) {
        // A customer does not accumulate unused service while its entries are deferred.
        set_virtual_time(*customer, std::max(customer->virtual_time, virtual_time_));
    }
    erase_idle_customers();
    return started;
}

void fair_queue::expire(time_point now, std::vector<removed_entry>& removed)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        removed.push_back(make_expired_entry(remove(expiries_.begin()->second), now));
    }
}

bool fair_queue::cancel(std::uint64_t key)
{
    if (!entries_.contains(key)) {
        return false;
    }
    remove(key);
    return true;
}

void fair_queue::charge(const customer_id& customer, double difference)
{
    customer_state& state = find_or_add_customer(customer);
    set_virtual_time(state, state.virtual_time + difference);
    erase_idle_customers();
}

double fair_queue::cost_ahead(const customer_id& customer) const
{
    double own_time = virtual_time_;
    double own_cost = 0;
    const auto found = customers_.find(customer);
    if (found != customers_.end()) {
        own_time = std::max(own_time, found->second.virtual_time);
        own_cost = found->second.queued_cost;
    }
    double ahead = own_cost;
    for (const auto& [virtual_time, other] : waiting_) {
        if (other->id != customer) {
            ahead += std::clamp(own_time + own_cost - virtual_time, 0.0, other->queued_cost);
        }
    }
    return ahead;
}

std::size_t fair_queue::size_of(const customer_id& customer) const
{
    const auto found = customers_.find(customer);
    return found == customers_.end() ? 0 : found->second.entries.size();
}

std::optional<time_point> fair_queue::next_expiry() const
{
    return expiries_.empty() ? std::nullopt : std::optional(expiries_.begin()->first);
}

void fair_queue::erase_idle_customers()
{
    if (customers_.size() <= 2 * waiting_.size() + max_idle_surplus) {
        return;
    }
    std::erase_if(customers_, [&](const auto& entry) {
        return entry.second.entries.empty() && entry.second.virtual_time <= virtual_time_;
    });
}

} // namespace quetzal::serving
