#include <quetzal/serving/cold_ramp.hpp>

#include <algorithm>
#include <tuple>

namespace quetzal::serving {

namespace {

// A report of another instance that an endpoint is cold, received within this time after its
// warm-up ended, was most likely sent before that instance received the declaration.
constexpr duration declaration_settle_time = std::chrono::seconds(2);

// Minimum number of consecutive responses in a round. One or two responses may belong to small
// requests, which are fast even on a cold endpoint.
constexpr std::uint32_t min_round_answers = 3;

// Returns whether the cause was observed at the endpoint by this instance. For any other cause,
// this instance knows no more than the holder and only requests the declaration: an instance that
// has just started must not make the holder warm up every endpoint again.
bool is_evidence(cold_cause cause)
{
    return cause == cold_cause::slow_answers || cause == cold_cause::reported_cold ||
           cause == cold_cause::cache_lost;
}

} // namespace

warmth_declaration cold_ramp::next_declaration(bool warm)
{
    warmth_declaration next{*process_, warm, *fence_, 1};
    if (last_declaration_ && last_declaration_->fence == next.fence) {
        next.sequence = last_declaration_->sequence + 1;
    }
    last_declaration_ = next;
    return next;
}

bool cold_ramp::is_newer(const warmth_declaration& declaration) const noexcept
{
    return !last_declaration_ ||
           std::tie(declaration.fence, declaration.sequence) >
               std::tie(last_declaration_->fence, last_declaration_->sequence);
}

std::vector<ramp_action> cold_ramp::turn_cold(cold_cause cause, time_point now)
{
    warm_ = false;
    cause_ = cause;
    limit_ = std::clamp(options_.cold_concurrency, 1u, std::max(options_.concurrency, 1u));
    limit_changed_at_ = now;
    normal_in_row_ = 0;
    abnormal_in_row_ = 0;
    slow_in_row_ = 0;
    if (!process_) {
        return {};
    }
    if (fence_) {
        return {declare_warmth{next_declaration(false)}};
    }
    query_wait_ = options_.initial_query_wait;
    next_query_at_ = now + query_wait_;
    return {notify_holder{*process_, is_evidence(cause), cause}};
}

void cold_ramp::resize(std::uint32_t concurrency, std::uint32_t cold_concurrency)
{
    options_.concurrency = concurrency;
    options_.cold_concurrency = cold_concurrency;
    limit_ = std::min(limit_, concurrency);
}

std::vector<ramp_action> cold_ramp::connected(incarnation process, time_point now)
{
    if (process_ == process) {
        return {};
    }
    process_ = process;
    if (last_declaration_ && last_declaration_->process == process && last_declaration_->warm) {
        warm_ = true; // declared before this instance connected
        return {};
    }
    return turn_cold(cold_cause::new_incarnation, now);
}

std::vector<ramp_action> cold_ramp::hold(std::optional<std::uint64_t> fence, time_point now)
{
    const bool gained = fence && !fence_;
    fence_ = fence;
    if (gained && process_ && !warm_) {
        return turn_cold(cause_, now);
    }
    if (!fence_ && process_ && !warm_) {
        query_wait_ = options_.initial_query_wait;
        next_query_at_ = now + query_wait_;
    }
    return {};
}

void cold_ramp::declared(const warmth_declaration& declaration)
{
    if (!is_newer(declaration)) {
        return;
    }
    last_declaration_ = declaration;
    if (process_ != declaration.process) {
        return; // concerns a process that this instance is not connected to
    }
    if (warm_ != declaration.warm) {
        cause_ = declaration.warm ? cause_ : cold_cause::reported_by_peer;
        slow_in_row_ = 0;
    }
    warm_ = declaration.warm;
    if (warm_) {
        next_query_at_.reset();
    } else if (!next_query_at_) {
        // Queries the holder in case the next declaration gets lost. A wait that is already running
        // is not restarted: the holder answers every query with a declaration, so an immediate
        // query after each declaration would loop forever.
        query_wait_ = options_.initial_query_wait;
        next_query_at_ = time_point{}; // at the next tick
    }
}

std::vector<ramp_action> cold_ramp::answered(bool normal, bool slow, time_point started,
                                             time_point now)
{
    slow_in_row_ = slow ? slow_in_row_ + 1 : 0;
    if (warm_) {
        return slow_in_row_ >= options_.slow_answers ? turn_cold(cold_cause::slow_answers, now)
                                                     : std::vector<ramp_action>{};
    }
    if (!fence_ || !process_ || started < limit_changed_at_) {
        return {};
    }
    // A round is as many consecutive normal responses as the limit, at least `min_round_answers`.
    normal_in_row_ = normal ? normal_in_row_ + 1 : 0;
    abnormal_in_row_ = normal ? 0 : abnormal_in_row_ + 1;
    if (abnormal_in_row_ >= std::max(limit_, min_round_answers)) {
        // The last doubling was too early; its load may prevent the endpoint from warming up.
        limit_ = std::max(limit_ / 2, std::min(options_.cold_concurrency, limit_));
        limit_changed_at_ = now;
        abnormal_in_row_ = 0;
    }
    if (normal_in_row_ < std::max(limit_, min_round_answers)) {
        return {};
    }
    normal_in_row_ = 0;
    limit_changed_at_ = now;
    limit_ = std::min(2 * limit_, options_.concurrency);
    if (limit_ < options_.concurrency) {
        return {};
    }
    warm_ = true;
    return {declare_warmth{next_declaration(true)}};
}

std::vector<ramp_action> cold_ramp::mark_cold(cold_cause cause, time_point now)
{
    return warm_ ? turn_cold(cause, now) : std::vector<ramp_action>{};
}

std::vector<ramp_action> cold_ramp::peer_reported(incarnation process, bool cold, time_point now)
{
    if (!fence_ || !process_ || process != *process_) {
        return {}; // a new process is detected by this instance's own connection
    }
    if (cold && warm_ && now - limit_changed_at_ >= declaration_settle_time) {
        return turn_cold(cold_cause::reported_by_peer, now);
    }
    return {declare_warmth{next_declaration(warm_)}};
}

void cold_ramp::zone_evacuated()
{
    warm_ = false;
    cause_ = cold_cause::zone_returned;
    limit_ = 0;
    next_query_at_.reset();
    if (last_declaration_) {
        last_declaration_->warm = false; // only a later declaration makes the endpoint warm
    }
}

std::vector<ramp_action> cold_ramp::zone_returned(time_point now)
{
    return turn_cold(cold_cause::zone_returned, now);
}

std::vector<ramp_action> cold_ramp::tick(time_point now)
{
    if (fence_ || warm_ || !process_ || !next_query_at_ || now < *next_query_at_) {
        return {};
    }
    query_wait_ = std::min(2 * query_wait_, options_.max_query_wait);
    next_query_at_ = now + query_wait_;
    return {notify_holder{*process_, false, cause_}};
}

std::uint32_t cold_ramp::allowed_calls() const noexcept
{
    if (!process_) {
        return 0;
    }
    if (warm_) {
        return options_.concurrency;
    }
    return fence_ ? limit_ : 0;
}

} // namespace quetzal::serving
