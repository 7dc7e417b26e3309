#include <quetzal/requests/request_table.hpp>

#include <optional>
#include <quetzal/base/hash.hpp>

namespace quetzal::requests {

namespace {

constexpr std::size_t entry_overhead = 384; // bytes of an entry, its log and their hash map nodes

failure unknown_identity()
{
    return may_have_run(reason::not_found,
                        "no request is known under this identity; submit it again under the same "
                        "identity")
        .value();
}

failure body_mismatch()
{
    return may_have_run(reason::invalid_request,
                        "the identity was used for a request with another class or body")
        .value();
}

bool is_expired(const request_identity& identity, time_point now)
{
    return now - identity.issued > identity_validity;
}

} // namespace

bool memory_budget::try_reserve(std::size_t bytes, std::size_t bound) noexcept
{
    std::size_t before = used();
    do {
        if (before + bytes > bound) {
            return false;
        }
    } while (!used_.compare_exchange_weak(before, before + bytes, std::memory_order_relaxed));
    return true;
}

void memory_budget::adjust(std::size_t before, std::size_t after) noexcept
{
    // Unsigned wrap-around makes this correct for a decrease as well.
    used_.fetch_add(after - before, std::memory_order_relaxed);
}

request_table::~request_table()
{
    limits_.memory->adjust(bytes_, 0);
}

submit_action request_table::submit(const submission& request, time_point now)
{
    if (const auto known = entries_.find(request.identity.sequence); known != entries_.end()) {
        const entry& first = known->second;
        if (first.customer != request.customer) {
            return unknown_identity();
        }
        if (!equal_constant_time(first.body, request.body)) {
            return body_mismatch();
        }
        return attach_to_answer{first.answer};
    }
    if (auto rejected = rejection(request.identity, request.customer, now)) {
        return std::move(*rejected);
    }
    return admit(request, now);
}

// Returns the reason why an identity without an entry cannot start a request, or nothing if it can.
std::optional<failure> request_table::rejection(const request_identity& identity,
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
    if (is_expired(identity, now)) {
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
    const bool retained = try_reserve_retained(now);
    if (!retained && !request.idempotent) {
        const std::string full = "too many requests and answers are stored";
        if (close(request.identity.sequence, request.customer, verdict::not_run, now)) {
            return not_run(reason::overloaded, full, std::chrono::seconds(1)).value();
        }
        return may_have_run(reason::overloaded, full).value();
    }
    if (!retained && !try_reserve(limits_.entries, limits_.memory->limit())) {
        return not_run(reason::overloaded, "too many requests are running", std::chrono::seconds(1))
            .value();
    }
    entry added;
    added.customer = request.customer;
    added.body = request.body;
    added.idempotent = request.idempotent;
    added.retained = retained;
    added.charge = limits_.reserve + entry_overhead;
    added.answer = std::make_shared<answer_log>();
    start_request started{added.answer};
    entries_.emplace(request.identity.sequence, std::move(added));
    return started;
}

// Reserves the memory of one more running request if the table stays within these bounds.
bool request_table::try_reserve(std::size_t entries, std::size_t bytes) noexcept
{
    const std::size_t charge = limits_.reserve + entry_overhead;
    if (entries_.size() >= entries || !limits_.memory->try_reserve(charge, bytes)) {
        return false;
    }
    bytes_ += charge;
    return true;
}

// Reserves the memory of a request whose answer will be retained, within three quarters of the
// limits. Drops the oldest answers of idempotent work if necessary.
bool request_table::try_reserve_retained(time_point now)
{
    const std::size_t entries = limits_.entries - limits_.entries / 4;
    const std::size_t bytes = limits_.memory->limit() - limits_.memory->limit() / 4;
    while (!try_reserve(entries, bytes)) {
        if (evictable_.empty()) {
            return false;
        }
        const std::uint64_t oldest = evictable_.front();
        const auto found = entries_.find(oldest);
        if (found != entries_.end() && !found->second.running && !retire(oldest, now)) {
            return false;
        }
        evictable_.pop_front();
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
        // The identity was issued before `now`, so it expires before this entry does.
        closed_expiries_.push_back({now + identity_validity, sequence});
    }
    return true;
}

// Drops a finished request and closes its identity unless the request may run again. Returns false
// and retains the request if no more identities can be closed.
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
        limits_.memory->adjust(found->second.charge, 0);
        entries_.erase(found);
    }
}

void request_table::finish(std::uint64_t sequence, answer_end outcome, time_point now)
{
    const auto found = entries_.find(sequence);
    if (found == entries_.end() || !found->second.running) {
        return;
    }
    entry& ending = found->second;
    const bool did_not_run = outcome.run == verdict::not_run;
    ending.running = false;
    ending.answer->end(std::move(outcome));
    const std::size_t reserved = ending.charge;
    ending.charge = entry_overhead + ending.answer->memory();
    bytes_ = bytes_ - reserved + ending.charge;
    limits_.memory->adjust(reserved, ending.charge);
    // If no more identities can be closed, the entry is retained, which prevents a delayed copy of
    // the submission from running.
    if ((did_not_run || !ending.retained) && retire(sequence, now)) {
        return;
    }
    ending.expires_at = now + answer_retention;
    finished_expiries_.push_back({ending.expires_at, sequence});
    if (ending.idempotent) {
        evictable_.push_back(sequence);
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
    if (auto rejected = rejection(identity, customer, now)) {
        return std::move(*rejected);
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
    if (auto rejected = rejection(identity, customer, now)) {
        return tl::unexpected(std::move(*rejected));
    }
    return tl::unexpected(unknown_identity());
}

request_state request_table::state(std::uint64_t sequence) const
{
    if (const auto known = entries_.find(sequence); known != entries_.end()) {
        return known->second.running ? request_state::running : request_state::finished;
    }
    return closed_.contains(sequence) ? request_state::closed : request_state::unknown;
}

void request_table::expire(time_point now)
{
    while (!finished_expiries_.empty() && finished_expiries_.front().at <= now) {
        const auto sequence = finished_expiries_.front().sequence;
        finished_expiries_.pop_front();
        const auto found = entries_.find(sequence);
        if (found != entries_.end() && !found->second.running && found->second.expires_at <= now) {
            drop(sequence);
        }
    }
    while (!evictable_.empty() && !entries_.contains(evictable_.front())) {
        evictable_.pop_front();
    }
    while (!closed_expiries_.empty() && closed_expiries_.front().at < now) {
        closed_.erase(closed_expiries_.front().sequence);
        closed_expiries_.pop_front();
    }
}

} // namespace quetzal::requests
