#include <quetzal/serving/cold_ramp.hpp>

#include <algorithm>
#include <tuple>

namespace quetzal::serving {

namespace {

// A report of another instance that an endpoint is cold, heard this soon after its ramp ended, was
// most likely sent before the declaration arrived there.
constexpr duration settle_time = std::chrono::seconds(2);

// Answers in a row that make a round at least. One or two may be those of small requests, which are
// quick even on a cold endpoint.
constexpr std::uint32_t least_evidence = 3;

// Whether the cause is something that this instance saw at the endpoint. Otherwise it knows no more
// than the holder and only asks: an instance that has just started must not make the holder ramp
// up every endpoint again.
bool is_evidence(cold_cause cause)
{
    return cause == cold_cause::slow_answers || cause == cold_cause::reported_cold ||
           cause == cold_cause::cache_lost;
}

} // namespace

warmth_declaration cold_ramp::next_declaration(bool warm)
{
    warmth_declaration next{*process_, warm, *fence_, 1};
    if (last_ && last_->fence == next.fence) {
        next.sequence = last_->sequence + 1;
    }
    last_ = next;
    return next;
}

bool cold_ramp::newer(const warmth_declaration& declaration) const noexcept
{
    return !last_ || std::tie(declaration.fence, declaration.sequence) >
                         std::tie(last_->fence, last_->sequence);
}

std::vector<ramp_action> cold_ramp::cool(cold_cause cause, time_point now)
{
    warm_ = false;
    cause_ = cause;
    limit_ = std::clamp(options_.cold_concurrency, 1u, std::max(options_.concurrency, 1u));
    limit_since_ = now;
    evidence_ = 0;
    abnormal_ = 0;
    slow_in_row_ = 0;
    if (!process_) {
        return {};
    }
    if (fence_) {
        return {declare_warmth{next_declaration(false)}};
    }
    ask_wait_ = options_.ask_again;
    ask_at_ = now + ask_wait_;
    return {tell_holder{*process_, is_evidence(cause), cause}};
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
    if (last_ && last_->process == process && last_->warm) {
        warm_ = true; // declared before this instance connected
        return {};
    }
    return cool(cold_cause::new_incarnation, now);
}

std::vector<ramp_action> cold_ramp::hold(std::optional<std::uint64_t> fence, time_point now)
{
    const bool gained = fence && !fence_;
    fence_ = fence;
    if (gained && process_ && !warm_) {
        return cool(cause_, now);
    }
    if (!fence_ && process_ && !warm_) {
        ask_wait_ = options_.ask_again;
        ask_at_ = now + ask_wait_;
    }
    return {};
}

void cold_ramp::declared(const warmth_declaration& declaration)
{
    if (!newer(declaration)) {
        return;
    }
    last_ = declaration;
    if (process_ != declaration.process) {
        return; // of another process than the one this instance is connected to
    }
    if (warm_ != declaration.warm) {
        cause_ = declaration.warm ? cause_ : cold_cause::told_by_peer;
        slow_in_row_ = 0;
    }
    warm_ = declaration.warm;
    if (warm_) {
        ask_at_.reset();
    } else if (!ask_at_) {
        // In case the next declaration gets lost. A wait that runs goes on: the holder answers
        // every question by a declaration, so asking at once after each would never end.
        ask_wait_ = options_.ask_again;
        ask_at_ = time_point{}; // at the next tick
    }
}

std::vector<ramp_action> cold_ramp::answered(bool normal, bool slow, time_point started,
                                             time_point now)
{
    slow_in_row_ = slow ? slow_in_row_ + 1 : 0;
    if (warm_) {
        return slow_in_row_ >= options_.slow_answers ? cool(cold_cause::slow_answers, now)
                                                     : std::vector<ramp_action>{};
    }
    if (!fence_ || !process_ || started < limit_since_) {
        return {};
    }
    // A round is as many normal answers in a row as the endpoint may run at once.
    evidence_ = normal ? evidence_ + 1 : 0;
    abnormal_ = normal ? 0 : abnormal_ + 1;
    if (abnormal_ >= std::max(limit_, least_evidence)) {
        // The last doubling was too early; its load may keep the endpoint from warming up at all.
        limit_ = std::max(limit_ / 2, std::min(options_.cold_concurrency, limit_));
        limit_since_ = now;
        abnormal_ = 0;
    }
    if (evidence_ < std::max(limit_, least_evidence)) {
        return {};
    }
    evidence_ = 0;
    limit_since_ = now;
    limit_ = std::min(2 * limit_, options_.concurrency);
    if (limit_ < options_.concurrency) {
        return {};
    }
    warm_ = true;
    return {declare_warmth{next_declaration(true)}};
}

std::vector<ramp_action> cold_ramp::turned_cold(cold_cause cause, time_point now)
{
    return warm_ ? cool(cause, now) : std::vector<ramp_action>{};
}

std::vector<ramp_action> cold_ramp::heard(incarnation process, bool cold, time_point now)
{
    if (!fence_ || !process_ || process != *process_) {
        return {}; // the own connection tells of a new process
    }
    if (cold && warm_ && now - limit_since_ >= settle_time) {
        return cool(cold_cause::told_by_peer, now);
    }
    return {declare_warmth{next_declaration(warm_)}};
}

void cold_ramp::zone_left()
{
    warm_ = false;
    cause_ = cold_cause::zone_returned;
    limit_ = 0;
    ask_at_.reset();
    if (last_) {
        last_->warm = false; // only a later declaration counts
    }
}

std::vector<ramp_action> cold_ramp::zone_returned(time_point now)
{
    return cool(cold_cause::zone_returned, now);
}

std::vector<ramp_action> cold_ramp::tick(time_point now)
{
    if (fence_ || warm_ || !process_ || !ask_at_ || now < *ask_at_) {
        return {};
    }
    ask_wait_ = std::min(2 * ask_wait_, options_.max_ask);
    ask_at_ = now + ask_wait_;
    return {tell_holder{*process_, false, cause_}};
}

std::uint32_t cold_ramp::allowed() const noexcept
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
