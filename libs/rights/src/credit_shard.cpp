#include <quetzal/rights/credit_shard.hpp>

#include <algorithm>

namespace quetzal::rights {

namespace {

// Requests whose next token takes longer are refused at once, as deadlines are a few seconds.
constexpr duration max_wait = std::chrono::seconds(2);

} // namespace

credit_shard::credit_shard(const options& settings, std::shared_ptr<const partition_terms> terms)
    : settings_(settings), terms_(std::move(terms))
{
}

credit_shard::entry* credit_shard::find(const customer_id& customer)
{
    const auto found = customers_.find(customer);
    return found == customers_.end() ? nullptr : found->second.get();
}

void credit_shard::set_limits(const customer_id& customer, const limits& bounds, time_point now)
{
    entry* state = find(customer);
    if (state == nullptr) {
        auto added = std::make_unique<entry>(entry{customer, partition_of(customer, settings_),
                                                   bounds, now, 0, customer_bucket(settings_.safe),
                                                   credit_wallet(settings_.safe), false});
        customers_.emplace(customer, std::move(added));
        return;
    }
    state->bounds = bounds;
    if (state->term != 0) {
        state->bucket.set_limits(bounds, now);
    }
}

void credit_shard::enter_term(entry& state, std::uint64_t fence)
{
    if (state.term == fence) {
        return;
    }
    const term_start& start = term_starts_[state.partition];
    state.term = fence;
    if (state.created <= start.at) {
        state.bucket.start(state.bounds, start.at, start.previous_until);
    } else {
        // The customer may have been removed and added again in this term, with outstanding
        // credits.
        state.bucket.start(state.bounds, state.created, state.created + settings_.lease);
    }
}

admission credit_shard::admit_at_home(entry& state, time_point now)
{
    if (state.bucket.admit(now)) {
        return admitted{};
    }
    const duration delay = state.bucket.time_until_token();
    if (delay > max_wait) {
        return refused{delay, false};
    }
    return deferred{now + delay, now + max_wait, true};
}

admission credit_shard::wait_for_credit(entry& state, time_point now)
{
    state.wallet.add_waiting_request(now);
    activate(state);
    const duration delay = state.wallet.home_delay();
    if (delay > max_wait) {
        return refused{delay, false};
    }
    // A home that does not respond is replaced within a lease, the voters' margin and one second.
    return deferred{state.wallet.retry_at(now),
                    now + lengthen_for_drift(settings_.lease) + std::chrono::seconds(1),
                    delay > duration::zero()};
}

admission credit_shard::admit(const customer_id& customer, time_point now)
{
    entry* state = find(customer);
    if (state == nullptr) {
        return refused{duration::zero(), true};
    }
    if (state->wallet.spend(config_, now)) {
        activate(*state);
        return admitted{};
    }
    if (const auto term = terms_->active_term(state->partition, now)) {
        enter_term(*state, term->fence);
        return admit_at_home(*state, now);
    }
    return wait_for_credit(*state, now);
}

void credit_shard::activate(entry& state)
{
    if (!state.active) {
        state.active = true;
        active_.push_back(&state);
    }
}

peer::credit_request credit_shard::complete(const entry& state, peer::credit_request request) const
{
    request.customer = state.id;
    request.config_version = config_;
    return request;
}

void credit_shard::begin_term(partition_index partition, const term_start& start)
{
    term_starts_[partition] = start;
}

void credit_shard::begin_with_ledger(partition_index partition, const peer::ledger_entry& ledger,
                                     time_point received)
{
    entry* state = find(ledger.customer);
    if (state == nullptr || state->partition != partition || state->created > received) {
        return;
    }
    state->term = term_starts_[partition].fence;
    state->bucket.start(state->bounds, ledger, received);
}

void credit_shard::append_ledger(partition_index partition, std::uint64_t fence,
                                 std::vector<peer::ledger_entry>& ledger, time_point now)
{
    for (auto& [id, state] : customers_) {
        if (state->partition == partition) {
            enter_term(*state, fence);
            ledger.push_back(state->bucket.ledger(id, now));
        }
    }
}

std::optional<peer::credit_grant> credit_shard::on_request(const instance_id& from,
                                                           incarnation process,
                                                           const peer::credit_request& request,
                                                           time_point now)
{
    entry* state = find(request.customer);
    const auto term = state == nullptr ? std::nullopt : terms_->active_term(state->partition, now);
    std::optional<peer::credit_grant> response;
    if (term) {
        enter_term(*state, term->fence);
        response = state->bucket.serve(from, process, request, term->valid_until, now);
    } else if (request.wanted > 0) {
        response.emplace();
        response->sequence = request.sequence;
        response->customer = request.customer;
    }
    if (response) {
        response->config_version = config_;
    }
    return response;
}

bool credit_shard::on_grant(const instance_id& from, const peer::credit_grant& grant,
                            time_point now)
{
    entry* state = find(grant.customer);
    if (state == nullptr || !state->wallet.on_grant(from, grant, now)) {
        return false;
    }
    activate(*state);
    return true;
}

time_point credit_shard::next_wakeup(time_point now) const
{
    time_point earliest = time_point::max();
    for (const entry* state : active_) {
        earliest = std::min(
            earliest, state->wallet.next_wakeup(state->bounds.burst < small_burst_threshold, now));
    }
    return earliest;
}

} // namespace quetzal::rights
