#include <quetzal/requests/request_table.hpp>

#include <optional>
#include <quetzal/base/hash.hpp>

namespace quetzal::requests {

namespace {

constexpr std::size_t entry_overhead = 384; // bytes of an entry, its log and their index nodes

failure unknown_identity()
{
    return may_have_run(reason::not_found,
                        "no request is known under this identity; submit it again under the same "
                        "identity")
        .value();
}

failure other_body()
{
    return may_have_run(reason::invalid_request,
                        "the identity was used for a request with another class or body")
        .value();
}

bool expired(const request_identity& identity, time_point now)
{
    return now - identity.issued > identity_validity;
}

} // namespace

bool memory_budget::take(std::size_t bytes, std::size_t bound) noexcept
{
    std::size_t before = used();
    do {
        if (before + bytes > bound) {
            return false;
        }
    } while (!used_.compare_exchange_weak(before, before + bytes, std::memory_order_relaxed));
    return true;
}

void memory_budget::change(std::size_t before, std::size_t after) noexcept
{
    // Unsigned wrap-around makes this right for a decrease too.
    used_.fetch_add(after - before, std::memory_order_relaxed);
}

request_table::~request_table()
{
    limits_.memory->change(bytes_, 0);
}

submit_action request_table::submit(const submission& request, time_point now)
{
    if (const auto known = entries_.find(request.identity.sequence); known != entries_.end()) {
        const entry& first = known->second;
        if (first.customer != request.customer) {
            return unknown_identity();
        }
        if (!equal_constant_time(first.body, request.body)) {
            return other_body();
        }
        return attach_to_answer{first.answer};
    }
    if (auto refused = refusal(request.identity, request.customer, now)) {
        return std::move(*refused);
    }
    return admit(request, now);
}

// Returns why an identity that has no entry cannot start a request.
std::optional<failure> request_table::refusal(const request_identity& identity,
                                              const customer_id& customer, time_point now) const
{
    if (const auto found = closed_.find(identity.sequence); found != closed_.end()) {
        const auto& [customer_hash, run] = found->second;
        if (customer_hash != stable_hash(customer.name)) {
            return unknown_identity();
        }
        return failure{run,
                       reason::identity_expired,
                       run == verdict::not_run
                           ? "the identity was refused or cancelled before; take a new one"
                           : "the answer is no longer kept; take a new identity",
                       {}};
    }
    if (expired(identity, now)) {
        return may_have_run(reason::identity_expired,
                            "the identity is older than 5 minutes and no answer is kept for it")
            .value();
    }
    if (identity.issued > now) {
        return may_have_run(reason::invalid_request, "the identity was issued in the future")
            .value();
    }
    return std::nullopt;
}

submit_action request_table::admit(const submission& request, time_point now)
{
    const bool kept = take_kept(now);
    if (!kept && !request.idempotent) {
        const std::string full = "too many requests and answers are kept";
        if (close(request.identity.sequence, request.customer, verdict::not_run, now)) {
            return not_run(reason::overloaded, full, std::chrono::seconds(1)).value();
        }
        return may_have_run(reason::overloaded, full).value();
    }
    if (!kept && !take(limits_.entries, limits_.memory->limit())) {
        return not_run(reason::overloaded, "too many requests are running", std::chrono::seconds(1))
            .value();
    }
    entry added;
    added.customer = request.customer;
    added.body = request.body;
    added.idempotent = request.idempotent;
    added.kept = kept;
    added.charge = limits_.reserve + entry_overhead;
    added.answer = std::make_shared<answer_log>();
    start_request started{added.answer};
    entries_.emplace(request.identity.sequence, std::move(added));
    return started;
}

// Takes the memory of one more running request if the table stays within these bounds.
bool request_table::take(std::size_t entries, std::size_t bytes) noexcept
{
    const std::size_t charge = limits_.reserve + entry_overhead;
    if (entries_.size() >= entries || !limits_.memory->take(charge, bytes)) {
        return false;
    }
    bytes_ += charge;
    return true;
}

// The same for a request that will be kept. Drops the oldest answers of idempotent work for it.
bool request_table::take_kept(time_point now)
{
    const std::size_t entries = limits_.entries - limits_.entries / 4;
    const std::size_t bytes = limits_.memory->limit() - limits_.memory->limit() / 4;
    while (!take(entries, bytes)) {
        if (droppable_.empty()) {
            return false;
        }
        const std::uint64_t oldest = droppable_.front();
        const auto found = entries_.find(oldest);
        if (found != entries_.end() && !found->second.running && !retire(oldest, now)) {
            return false;
        }
        droppable_.pop_front();
    }
    return true;
}

bool request_table::close(std::uint64_t sequence, const customer_id& customer, verdict run,
                          time_point now)
{
    if (closed_.size() >= limits_.closed) {
        return false;
    }
    if (closed_.emplace(sequence, closed_identity{stable_hash(customer.name), run}).second) {
        // The identity was issued before now, so it has expired by then.
        closed_due_.push_back({now + identity_validity, sequence});
    }
    return true;
}

// Drops a finished request and closes its identity, unless it may run again. Returns false and
// keeps it when no more identities can be closed.
bool request_table::retire(std::uint64_t sequence, time_point now)
{
    const entry& finished = entries_.at(sequence);
    const verdict run = finished.answer->ended()->run;
    const bool may_run_again = finished.idempotent && run == verdict::not_run;
    if (!may_run_again && !close(sequence, finished.customer, run, now)) {
        return false;
    }
    drop(sequence);
    return true;
}

void request_table::drop(std::uint64_t sequence)
{
    const auto found = entries_.find(sequence);
    if (found != entries_.end()) {
        bytes_ -= found->second.charge;
        limits_.memory->change(found->second.charge, 0);
        entries_.erase(found);
    }
}

void request_table::finish(std::uint64_t sequence, answer_end how, time_point now)
{
    const auto found = entries_.find(sequence);
    if (found == entries_.end() || !found->second.running) {
        return;
    }
    entry& ending = found->second;
    const bool ran_nothing = how.run == verdict::not_run;
    ending.running = false;
    ending.answer->end(std::move(how));
    const std::size_t reserved = ending.charge;
    ending.charge = entry_overhead + ending.answer->memory();
    bytes_ = bytes_ - reserved + ending.charge;
    limits_.memory->change(reserved, ending.charge);
    // When no more identities can be closed, the entry itself stays and keeps a copy from running.
    if ((ran_nothing || !ending.kept) && retire(sequence, now)) {
        return;
    }
    ending.drop_at = now + answer_retention;
    finished_.push_back({ending.drop_at, sequence});
    if (ending.idempotent) {
        droppable_.push_back(sequence);
    }
}

cancel_action request_table::cancel(const request_identity& identity, const customer_id& customer,
                                    time_point now)
{
    if (const auto known = entries_.find(identity.sequence); known != entries_.end()) {
        const entry& request = known->second;
        if (request.customer != customer) {
            return unknown_identity();
        }
        if (request.running) {
            return cancel_running{request.answer};
        }
        return attach_to_answer{request.answer};
    }
    if (auto refused = refusal(identity, customer, now)) {
        return std::move(*refused);
    }
    if (!close(identity.sequence, customer, verdict::not_run, now)) {
        return unknown_identity();
    }
    return not_run(reason::cancelled, "the request was cancelled before it was submitted").value();
}

result<std::shared_ptr<answer_log>> request_table::find(const request_identity& identity,
                                                        const customer_id& customer,
                                                        time_point now) const
{
    if (const auto known = entries_.find(identity.sequence); known != entries_.end()) {
        if (known->second.customer != customer) {
            return tl::unexpected(unknown_identity());
        }
        return known->second.answer;
    }
    if (auto refused = refusal(identity, customer, now)) {
        return tl::unexpected(std::move(*refused));
    }
    return tl::unexpected(unknown_identity());
}

request_state request_table::state(std::uint64_t sequence) const
{
    if (const auto known = entries_.find(sequence); known != entries_.end()) {
        return known->second.running ? request_state::running : request_state::finished;
    }
    return closed_.contains(sequence) ? request_state::forgotten : request_state::unseen;
}

void request_table::expire(time_point now)
{
    while (!finished_.empty() && finished_.front().at <= now) {
        const auto sequence = finished_.front().sequence;
        finished_.pop_front();
        const auto found = entries_.find(sequence);
        if (found != entries_.end() && !found->second.running && found->second.drop_at <= now) {
            drop(sequence);
        }
    }
    while (!droppable_.empty() && !entries_.contains(droppable_.front())) {
        droppable_.pop_front();
    }
    while (!closed_due_.empty() && closed_due_.front().at < now) {
        closed_.erase(closed_due_.front().sequence);
        closed_due_.pop_front();
    }
}

} // namespace quetzal::requests
