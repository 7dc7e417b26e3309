#include <quetzal/config/reader_schedule.hpp>

#include <algorithm>
#include <cmath>

#include <quetzal/base/hash.hpp>

namespace quetzal::config {

std::vector<reader_candidate> reader_candidates(const instance_list& list, const published* config)
{
    std::vector<reader_candidate> members;
    for (const auto& instance : list.instances) {
        const zone* declared = config == nullptr ? nullptr : config->find(instance.zone);
        members.push_back({instance.id, instance.zone,
                           declared == nullptr ? region_id() : declared->region,
                           instance.state == listed_state::live});
    }
    return members;
}

reader_schedule::reader_schedule(instance_id self, document kind, reader_options options,
                                 std::uint64_t seed)
    : self_(std::move(self)), kind_(kind), options_(options), random_(seed)
{
}

std::vector<reader_action> reader_schedule::set_members(std::vector<reader_candidate> members,
                                                        time_point now, wall_time wall)
{
    members_ = std::move(members);
    ranked_hour_.reset();
    std::vector<reader_action> actions;
    choose_role(now, wall);
    act(actions, now);
    return actions;
}

void reader_schedule::set_known(std::uint64_t watch_after, std::uint64_t settled)
{
    if (settled > settled_) {
        fetch_failures_ = 0;
    }
    watch_after_ = watch_after;
    settled_ = settled;
    std::erase_if(offers_, [this](const auto& offer) { return offer.second <= settled_; });
}

std::vector<reader_action> reader_schedule::on_service_answer(std::uint64_t number,
                                                              service_answer answer, time_point now,
                                                              wall_time wall)
{
    std::vector<reader_action> actions;
    if (!read_ || read_->number != number) {
        return actions;
    }
    const time_point started_at = read_->started_at;
    read_.reset();
    if (answer != service_answer::failed) {
        last_answer_ = now;
    }
    schedule_next_read(answer, started_at, now);
    choose_role(now, wall);
    act(actions, now);
    return actions;
}

void reader_schedule::schedule_next_read(service_answer answer, time_point started_at,
                                         time_point now)
{
    const bool good = answer == service_answer::new_value || answer == service_answer::unchanged;
    const duration pause =
        good ? jitter(options_.watch_spread) : backoff(options_.retry_base, read_failures_);
    read_failures_ = good ? 0 : read_failures_ + 1;
    next_read_ = std::max(now + pause, started_at + options_.shortest_interval);
    // A refused value may be a list that went back; only unconditional reads show it again.
    next_verify_ = answer == service_answer::refused && kind_ == document::instance_list
                       ? next_read_
                       : std::max(next_verify_, next_read_);
}

std::vector<reader_action>
reader_schedule::on_peer_report(const instance_id& peer, std::uint64_t version,
                                std::optional<std::chrono::seconds> service_age, time_point now)
{
    if (service_age) {
        const time_point answered = now - *service_age;
        last_answer_ = last_answer_ ? std::max(*last_answer_, answered) : answered;
    }
    if (version > settled_) {
        offers_[peer] = version;
    } else {
        offers_.erase(peer);
    }
    std::vector<reader_action> actions;
    start_fetch(actions, now);
    return actions;
}

std::vector<reader_action> reader_schedule::on_fetched(std::uint64_t number, bool succeeded,
                                                       time_point now)
{
    std::vector<reader_action> actions;
    if (!fetch_ || fetch_->number != number) {
        return actions;
    }
    // Whatever the outcome, the peer's next report renews the offer if there is still one.
    offers_.erase(fetch_->peer);
    fetch_.reset();
    if (!succeeded) {
        next_fetch_ = now + backoff(options_.fetch_retry, fetch_failures_++);
    }
    start_fetch(actions, now);
    return actions;
}

std::vector<reader_action> reader_schedule::tick(time_point now, wall_time wall)
{
    std::vector<reader_action> actions;
    if (read_ && now >= read_->fails_at) {
        actions.emplace_back(abandon_read{read_->number});
        const time_point started_at = read_->started_at;
        read_.reset();
        schedule_next_read(service_answer::failed, started_at, now);
    }
    if (fetch_ && now >= fetch_->fails_at) {
        offers_.erase(fetch_->peer);
        fetch_.reset();
        next_fetch_ = now + backoff(options_.fetch_retry, fetch_failures_++);
    }
    choose_role(now, wall);
    act(actions, now);
    return actions;
}

time_point reader_schedule::next_wakeup() const noexcept
{
    time_point next = next_role_check_;
    if (read_) {
        next = std::min(next, read_->fails_at);
    } else {
        next = std::min(next, reads_ ? std::min(next_read_, next_verify_) : next);
    }
    if (fetch_) {
        next = std::min(next, fetch_->fails_at);
    } else if (!offers_.empty()) {
        next = std::min(next, next_fetch_);
    }
    return next;
}

std::optional<std::chrono::seconds> reader_schedule::service_age(time_point now) const noexcept
{
    if (!last_answer_) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::seconds>(now - *last_answer_) + std::chrono::seconds(1);
}

duration reader_schedule::jitter(duration bound) noexcept
{
    return duration(static_cast<duration::rep>(
        random_.below(static_cast<std::uint64_t>(std::max<duration::rep>(bound.count(), 1)))));
}

duration reader_schedule::backoff(duration base, unsigned failures) noexcept
{
    constexpr unsigned most_doublings = 20; // no overflow; far beyond every `retry_largest`
    return jitter(
        std::min(base * (1u << std::min(failures, most_doublings)), options_.retry_largest));
}

void reader_schedule::choose_role(time_point now, wall_time wall)
{
    if (!started_at_) {
        started_at_ = now;
        next_verify_ = now + options_.verify_every / 2 + jitter(options_.verify_every);
    }
    next_role_check_ = now + options_.role_check;
    const auto hour = std::chrono::floor<std::chrono::hours>(wall).time_since_epoch().count();
    if (ranked_hour_ != hour) {
        ranked_hour_ = hour;
        regular_ = is_regular_reader(hour);
    }
    const bool regular = regular_;
    if (hold_until_ && now >= *hold_until_) {
        hold_until_.reset();
    }
    if (!regular && !hold_until_ && takes_over(now)) {
        hold_until_ = now + options_.takeover_hold;
    }
    const bool next = regular || hold_until_.has_value();
    if (next && !reads_) {
        next_read_ = std::max(next_read_, now + jitter(options_.start_spread));
    }
    reads_ = next;
}

bool reader_schedule::is_regular_reader(std::int64_t hour)
{
    if (members_.empty()) {
        // Without a list there are no peers to follow, and the list must come from the platform.
        rank_ = 0;
        return kind_ == document::instance_list;
    }
    const auto self = std::find_if(members_.begin(), members_.end(),
                                   [this](const auto& member) { return member.id == self_; });
    if (self == members_.end()) {
        rank_ = members_.size();
        return members_.size() < options_.all_read_up_to;
    }
    const std::uint64_t key =
        combine_hash(combine_hash(stable_hash(self->zone.name), static_cast<std::uint64_t>(hour)),
                     static_cast<std::uint64_t>(kind_));
    const std::uint64_t own_score = rendezvous_score(key, self_.name);
    std::size_t in_region = 0;
    rank_ = 0;
    for (const auto& member : members_) {
        in_region += member.region == self->region ? 1 : 0;
        const bool ahead = member.id != self_ && member.eligible && member.zone == self->zone &&
                           rendezvous_score(key, member.id.name) > own_score;
        rank_ += ahead ? 1 : 0;
    }
    return in_region <= options_.all_read_up_to ||
           (self->eligible && rank_ < options_.readers_per_zone);
}

bool reader_schedule::takes_over(time_point now) const noexcept
{
    if (members_.empty()) {
        return false;
    }
    const duration silence = now - last_answer_.value_or(*started_at_);
    duration due = options_.takeover_after;
    for (std::size_t readers = 2 * options_.readers_per_zone; readers <= rank_; readers *= 2) {
        due += options_.takeover_step;
    }
    return silence >= due;
}

void reader_schedule::act(std::vector<reader_action>& actions, time_point now)
{
    start_read(actions, now);
    start_fetch(actions, now);
}

void reader_schedule::start_read(std::vector<reader_action>& actions, time_point now)
{
    // Every instance verifies the list, because a list that went back does not spread from peers;
    // of the configuration, which never goes back, readers alone verify.
    const bool verify = now >= next_verify_ && (reads_ || kind_ == document::instance_list);
    if (read_ || (!verify && (!reads_ || now < next_read_))) {
        return;
    }
    if (verify) {
        next_verify_ = now + options_.verify_every / 2 + jitter(options_.verify_every);
    }
    const bool at_once = verify || watch_after_ == 0;
    const duration wait = at_once ? duration::zero() : options_.watch_wait;
    const duration timeout = wait + options_.answer_margin;
    read_ = pending_read{next_number_++, now, now + timeout};
    actions.emplace_back(
        read_service{read_->number, verify ? 0 : watch_after_,
                     std::chrono::duration_cast<std::chrono::milliseconds>(wait),
                     std::chrono::duration_cast<std::chrono::milliseconds>(timeout)});
}

void reader_schedule::start_fetch(std::vector<reader_action>& actions, time_point now)
{
    if (fetch_ || offers_.empty() || now < next_fetch_) {
        return;
    }
    // Among the peers with the highest version one is drawn, so that not all ask the same.
    std::uint64_t highest = 0;
    std::vector<const instance_id*> peers;
    for (const auto& [peer, version] : offers_) {
        if (version > highest) {
            highest = version;
            peers.clear();
        }
        if (version == highest) {
            peers.push_back(&peer);
        }
    }
    const instance_id chosen = *peers[random_.below(peers.size())];
    fetch_ = pending_fetch{next_number_++, chosen, now + options_.fetch_timeout};
    actions.emplace_back(fetch_from_peer{fetch_->number, chosen, highest});
}

} // namespace quetzal::config
