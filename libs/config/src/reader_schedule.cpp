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
    start_due(actions, now);
    return actions;
}

void reader_schedule::set_versions(std::uint64_t watch_after, std::uint64_t fetch_above)
{
    if (fetch_above > fetch_above_) {
        fetch_failures_ = 0;
    }
    watch_after_ = watch_after;
    fetch_above_ = fetch_above;
    std::erase_if(offers_, [this](const auto& offer) { return offer.second <= fetch_above_; });
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
        last_response_at_ = now;
    }
    schedule_next_read(answer, started_at, now);
    choose_role(now, wall);
    start_due(actions, now);
    return actions;
}

void reader_schedule::schedule_next_read(service_answer answer, time_point started_at,
                                         time_point now)
{
    const bool is_success =
        answer == service_answer::new_value || answer == service_answer::unchanged;
    const duration pause =
        is_success ? jitter(options_.watch_spread) : backoff(options_.retry_base, read_failures_);
    read_failures_ = is_success ? 0 : read_failures_ + 1;
    next_read_ = std::max(now + pause, started_at + options_.min_read_interval);
    // A rejected list may be one of a platform that was restored from an old copy; only an
    // unconditional read returns that list again.
    next_unconditional_read_ = answer == service_answer::refused && kind_ == document::instance_list
                                   ? next_read_
                                   : std::max(next_unconditional_read_, next_read_);
}

std::vector<reader_action>
reader_schedule::on_peer_report(const instance_id& peer, std::uint64_t version,
                                std::optional<std::chrono::seconds> service_age, time_point now)
{
    if (service_age) {
        const time_point answered = now - *service_age;
        last_response_at_ = last_response_at_ ? std::max(*last_response_at_, answered) : answered;
    }
    if (version > fetch_above_) {
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
    // Whatever the outcome, the peer's next report restores the offer if the peer still has it.
    offers_.erase(fetch_->peer);
    fetch_.reset();
    if (!succeeded) {
        next_fetch_ = now + backoff(options_.fetch_retry_base, fetch_failures_++);
    }
    start_fetch(actions, now);
    return actions;
}

std::vector<reader_action> reader_schedule::tick(time_point now, wall_time wall)
{
    std::vector<reader_action> actions;
    if (read_ && now >= read_->deadline) {
        actions.emplace_back(abandon_read{read_->number});
        const time_point started_at = read_->started_at;
        read_.reset();
        schedule_next_read(service_answer::failed, started_at, now);
    }
    if (fetch_ && now >= fetch_->deadline) {
        offers_.erase(fetch_->peer);
        fetch_.reset();
        next_fetch_ = now + backoff(options_.fetch_retry_base, fetch_failures_++);
    }
    choose_role(now, wall);
    start_due(actions, now);
    return actions;
}

time_point reader_schedule::next_wakeup() const noexcept
{
    time_point next = next_role_check_;
    if (read_) {
        next = std::min(next, read_->deadline);
    } else {
        next = std::min(next, is_reader_ ? std::min(next_read_, next_unconditional_read_) : next);
    }
    if (fetch_) {
        next = std::min(next, fetch_->deadline);
    } else if (!offers_.empty()) {
        next = std::min(next, next_fetch_);
    }
    return next;
}

std::optional<std::chrono::seconds> reader_schedule::service_age(time_point now) const noexcept
{
    if (!last_response_at_) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::seconds>(now - *last_response_at_) +
           std::chrono::seconds(1);
}

duration reader_schedule::jitter(duration bound) noexcept
{
    return duration(static_cast<duration::rep>(
        random_.below(static_cast<std::uint64_t>(std::max<duration::rep>(bound.count(), 1)))));
}

duration reader_schedule::backoff(duration base, unsigned failures) noexcept
{
    constexpr unsigned max_doublings = 20; // avoids overflow; exceeds every `max_retry_delay`
    return jitter(
        std::min(base * (1u << std::min(failures, max_doublings)), options_.max_retry_delay));
}

void reader_schedule::choose_role(time_point now, wall_time wall)
{
    if (!started_at_) {
        started_at_ = now;
        next_unconditional_read_ = now + options_.unconditional_read_interval / 2 +
                                   jitter(options_.unconditional_read_interval);
    }
    next_role_check_ = now + options_.role_check_interval;
    const auto hour = std::chrono::floor<std::chrono::hours>(wall).time_since_epoch().count();
    if (ranked_hour_ != hour) {
        ranked_hour_ = hour;
        is_regular_reader_ = is_regular_reader(hour);
    }
    const bool regular = is_regular_reader_;
    if (takeover_ends_at_ && now >= *takeover_ends_at_) {
        takeover_ends_at_.reset();
    }
    if (!regular && !takeover_ends_at_ && should_take_over(now)) {
        takeover_ends_at_ = now + options_.takeover_duration;
    }
    const bool next = regular || takeover_ends_at_.has_value();
    if (next && !is_reader_) {
        next_read_ = std::max(next_read_, now + jitter(options_.start_spread));
    }
    is_reader_ = next;
}

bool reader_schedule::is_regular_reader(std::int64_t hour)
{
    if (members_.empty()) {
        // Without a list there are no known peers to fetch from, so the list must come from the
        // platform.
        rank_ = 0;
        return kind_ == document::instance_list;
    }
    const auto self = std::find_if(members_.begin(), members_.end(),
                                   [this](const auto& member) { return member.id == self_; });
    if (self == members_.end()) {
        rank_ = members_.size();
        return members_.size() < options_.small_region_size;
    }
    const std::uint64_t key =
        combine_hash(combine_hash(stable_hash(self->zone.name), static_cast<std::uint64_t>(hour)),
                     static_cast<std::uint64_t>(kind_));
    const std::uint64_t own_score = rendezvous_score(key, self_.name);
    std::size_t in_region = 0;
    rank_ = 0;
    for (const auto& member : members_) {
        in_region += member.region == self->region ? 1 : 0;
        const bool ranks_higher = member.id != self_ && member.eligible &&
                                  member.zone == self->zone &&
                                  rendezvous_score(key, member.id.name) > own_score;
        rank_ += ranks_higher ? 1 : 0;
    }
    return in_region <= options_.small_region_size ||
           (self->eligible && rank_ < options_.readers_per_zone);
}

bool reader_schedule::should_take_over(time_point now) const noexcept
{
    if (members_.empty()) {
        return false;
    }
    const duration response_age = now - last_response_at_.value_or(*started_at_);
    duration threshold = options_.takeover_delay;
    for (std::size_t readers = 2 * options_.readers_per_zone; readers <= rank_; readers *= 2) {
        threshold += options_.takeover_step;
    }
    return response_age >= threshold;
}

void reader_schedule::start_due(std::vector<reader_action>& actions, time_point now)
{
    start_read(actions, now);
    start_fetch(actions, now);
}

void reader_schedule::start_read(std::vector<reader_action>& actions, time_point now)
{
    // Every instance reads the list unconditionally now and then, because a list with a lower
    // revision does not spread between peers. The version of the configuration never decreases, so
    // only readers read it unconditionally.
    const bool unconditional =
        now >= next_unconditional_read_ && (is_reader_ || kind_ == document::instance_list);
    if (read_ || (!unconditional && (!is_reader_ || now < next_read_))) {
        return;
    }
    if (unconditional) {
        next_unconditional_read_ = now + options_.unconditional_read_interval / 2 +
                                   jitter(options_.unconditional_read_interval);
    }
    const bool immediate = unconditional || watch_after_ == 0;
    const duration wait = immediate ? duration::zero() : options_.watch_wait;
    const duration timeout = wait + options_.response_margin;
    read_ = pending_read{next_number_++, now, now + timeout};
    actions.emplace_back(
        read_service{read_->number, unconditional ? 0 : watch_after_,
                     std::chrono::duration_cast<std::chrono::milliseconds>(wait),
                     std::chrono::duration_cast<std::chrono::milliseconds>(timeout)});
}

void reader_schedule::start_fetch(std::vector<reader_action>& actions, time_point now)
{
    if (fetch_ || offers_.empty() || now < next_fetch_) {
        return;
    }
    // Chooses a random peer among those with the highest version, to spread the load.
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
