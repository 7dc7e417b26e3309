#include <quetzal/gateway/member_table.hpp>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include <quetzal/base/hash.hpp>

namespace quetzal::gateway {

namespace {

bool is_newer(const member_record& left, const member_record& right)
{
    return std::pair(left.incarnation, left.serial) > std::pair(right.incarnation, right.serial);
}

} // namespace

std::vector<std::uint64_t> heartbeat::collect_eras() const
{
    std::vector<std::uint64_t> eras{sender.record.position.era};
    for (const aged_record& other : others) {
        eras.push_back(other.record.position.era);
    }
    return eras;
}

void heartbeat::distribute_eras(const std::vector<std::uint64_t>& eras)
{
    const auto era_at = [&](std::size_t index) { return index < eras.size() ? eras[index] : 0; };
    sender.record.position.era = era_at(0);
    for (std::size_t index = 0; index < others.size(); ++index) {
        others[index].record.position.era = era_at(index + 1);
    }
}

std::uint32_t machine_capacity_score(double cores, double link_mbps)
{
    constexpr double score_per_core = 16;
    constexpr double mbps_per_score = 12.5;
    const double capacity_score = std::min(cores * score_per_core, link_mbps / mbps_per_score);
    return static_cast<std::uint32_t>(std::clamp(capacity_score, 1.0, 1000.0));
}

member_table::member_table(member_table_options options, member_record self, time_point now)
    : options_(options), self_(std::move(self)), started_(now)
{
}

bool member_table::joined(time_point now) const
{
    return now - started_ >= (others_.empty() ? options_.discovery_timeout : options_.join_delay);
}

void member_table::set_ready(bool ready)
{
    if (self_.ready != ready) {
        self_.ready = ready;
        ++self_.serial;
    }
}

void member_table::settle(time_point now)
{
    if (self_.configuration == 0 || self_.leaving || self_.settled || !joined(now)) {
        return;
    }
    const bool others_settled = std::any_of(others_.begin(), others_.end(), [&](const auto& entry) {
        return is_alive(entry.second, now) && entry.second.record.settled &&
               entry.second.record.capacity_score >= self_.capacity_score;
    });
    if (!others_settled || now - started_ >= options_.settling_delay) {
        self_.settled = true;
        ++self_.serial;
    }
}

void member_table::mark_unreliable(const std::string& address, time_point now)
{
    lost_connections_[address] = now;
}

bool member_table::is_reliable(const std::string& address, const known_member& member,
                               time_point now) const
{
    const auto lost = lost_connections_.find(address);
    return lost == lost_connections_.end() ||
           (now - lost->second >= options_.unreliable_period && member.last_alive > lost->second);
}

void member_table::set_leaving()
{
    self_.ready = false;
    self_.leaving = true;
    self_.settled = false;
    self_.role.clear();
    ++self_.serial;
}

void member_table::set_versions(document_position position, std::uint64_t configuration)
{
    if (self_.position != position || self_.configuration != configuration) {
        self_.position = position;
        self_.configuration = configuration;
        ++self_.serial;
    }
}

bool member_table::merge_heartbeat(const heartbeat& message, time_point now)
{
    const auto known = others_.find(message.sender.record.address);
    const bool is_new = known == others_.end() ||
                        known->second.record.incarnation != message.sender.record.incarnation;
    merge_record(message.sender, now);
    for (const aged_record& other : message.others) {
        merge_record(other, now);
    }
    return is_new;
}

void member_table::merge_record(const aged_record& update, time_point now)
{
    if (update.record.address == self_.address) {
        // A former process at this address had a wall clock that was ahead. This process takes a
        // higher incarnation, so that its records replace those of the former process.
        if (update.record.incarnation > self_.incarnation) {
            self_.incarnation = update.record.incarnation + 1;
        }
        return;
    }
    const time_point seen = now - std::chrono::milliseconds(update.age_ms);
    if (now - seen > options_.retention) {
        return;
    }
    auto [position, added] =
        others_.try_emplace(update.record.address, known_member{update.record, seen, {}});
    met_peer_ = true;
    if (added) {
        return;
    }
    known_member& member = position->second;
    if (update.record.incarnation < member.record.incarnation) {
        return;
    }
    if (update.record.incarnation > member.record.incarnation) {
        member.last_alive = seen;
    }
    // Instances of former commits pass records on without the era. A process never returns to a
    // lower one.
    const std::uint64_t era = update.record.incarnation == member.record.incarnation
                                  ? std::max(update.record.position.era, member.record.position.era)
                                  : update.record.position.era;
    if (is_newer(update.record, member.record)) {
        member.record = update.record;
    }
    member.record.position.era = era;
    member.last_alive = std::max(member.last_alive, seen);
}

void member_table::expire(time_point now)
{
    std::erase_if(lost_connections_, [&](const auto& entry) {
        const auto member = others_.find(entry.first);
        return member == others_.end() || is_reliable(entry.first, member->second, now);
    });
    std::erase_if(others_, [&](const auto& entry) {
        return now - entry.second.last_alive > options_.retention;
    });
}

heartbeat member_table::make_heartbeat(time_point now, random_source& random) const
{
    heartbeat message;
    message.sender.record = self_;
    std::vector<const known_member*> chosen;
    for (const auto& [address, member] : others_) {
        if (is_alive(member, now)) {
            chosen.push_back(&member);
        }
    }
    for (std::size_t index = 0; index + 1 < chosen.size(); ++index) {
        std::swap(chosen[index], chosen[index + random.below(chosen.size() - index)]);
    }
    // Half of the records are the most recent ones. A quarter are those of the machines with the
    // most capacity, to which roles go, so that all instances choose among the same ones soon after
    // a start. The others are random, so that every record is sent eventually.
    const std::size_t freshest = std::min(chosen.size(), options_.max_records / 2);
    std::partial_sort(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(freshest),
                      chosen.end(), [](const known_member* left, const known_member* right) {
                          return left->last_alive > right->last_alive;
                      });
    const std::size_t largest = std::min(chosen.size() - freshest, options_.max_records / 4);
    const auto others = chosen.begin() + static_cast<std::ptrdiff_t>(freshest);
    std::partial_sort(others, others + static_cast<std::ptrdiff_t>(largest), chosen.end(),
                      [](const known_member* left, const known_member* right) {
                          return left->record.capacity_score > right->record.capacity_score;
                      });
    chosen.resize(std::min(chosen.size(), options_.max_records));
    for (const known_member* member : chosen) {
        const auto age = whole_milliseconds(now - member->last_alive);
        message.others.push_back(
            {member->record, static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0))});
    }
    return message;
}

heartbeat member_table::make_reply(const std::string& address, time_point now,
                                   random_source& random) const
{
    heartbeat message = make_heartbeat(now, random);
    if (const auto known = others_.find(address); known != others_.end()) {
        message.others.push_back({known->second.record, 0});
    }
    return message;
}

duration member_table::silence(const std::string& address, time_point now) const
{
    if (address == self_.address) {
        return duration::zero();
    }
    const auto known = others_.find(address);
    return known == others_.end() ? options_.retention : now - known->second.last_alive;
}

void member_table::record_contact(const std::string& address, time_point now)
{
    if (const auto known = others_.find(address); known != others_.end()) {
        known->second.last_alive = std::max(known->second.last_alive, now);
    }
}

heartbeat member_table::make_probe(bool wants_reply) const
{
    heartbeat message;
    message.sender.record = self_;
    message.wants_reply = wants_reply;
    return message;
}

std::vector<std::string> member_table::start_probes(time_point now)
{
    const duration timeout = current_failure_timeout();
    const auto suspicion = duration(static_cast<duration::rep>(
        static_cast<double>(timeout.count()) * options_.suspicion_share));
    const duration probe_interval = (timeout - suspicion) / 2;
    std::vector<std::pair<time_point, std::string>> silent; // by the last sign of life
    for (const auto& [address, member] : others_) {
        if (is_alive(member, now) && now - member.last_alive > suspicion &&
            now - member.last_probed >= probe_interval)
        {
            silent.emplace_back(member.last_alive, address);
        }
    }
    const std::size_t count = std::min(silent.size(), options_.max_probes);
    std::partial_sort(silent.begin(), silent.begin() + static_cast<std::ptrdiff_t>(count),
                      silent.end());
    std::vector<std::string> addresses;
    for (std::size_t index = 0; index < count; ++index) {
        others_.at(silent[index].second).last_probed = now;
        addresses.push_back(std::move(silent[index].second));
    }
    return addresses;
}

std::vector<std::string> member_table::choose_peers(time_point now, random_source& random) const
{
    std::vector<std::string> addresses;
    for (const auto& [address, member] : others_) {
        if (is_alive(member, now)) {
            addresses.push_back(address);
        }
    }
    for (std::size_t index = 0; index + 1 < addresses.size(); ++index) {
        std::swap(addresses[index], addresses[index + random.below(addresses.size() - index)]);
    }
    addresses.resize(std::min(addresses.size(), options_.fanout));
    return addresses;
}

bool member_table::is_alive(const known_member& member, time_point now) const
{
    return now - member.last_alive <= current_failure_timeout();
}

duration member_table::current_failure_timeout() const
{
    constexpr std::size_t small_fleet = 8;
    duration allowed = options_.failure_timeout;
    for (std::size_t size = small_fleet; size < others_.size() + 1; size *= 2) {
        allowed += options_.failure_timeout_per_doubling;
    }
    return allowed;
}

std::size_t member_table::rank_for(std::string_view key, time_point now) const
{
    const std::uint64_t hash = stable_hash(key);
    const std::uint64_t own = rendezvous_score(hash, self_.address);
    return static_cast<std::size_t>(
        std::count_if(others_.begin(), others_.end(), [&](const auto& entry) {
            return is_alive(entry.second, now) && rendezvous_score(hash, entry.first) > own;
        }));
}

std::size_t member_table::recent_rank_for(std::string_view key, time_point now) const
{
    const std::uint64_t hash = stable_hash(key);
    const std::uint64_t own = rendezvous_score(hash, self_.address);
    return static_cast<std::size_t>(
        std::count_if(others_.begin(), others_.end(), [&](const auto& entry) {
            return now - entry.second.last_alive <= options_.retention &&
                   rendezvous_score(hash, entry.first) > own;
        }));
}

std::vector<member_record> member_table::live(time_point now) const
{
    std::vector<member_record> records;
    bool self_added = false;
    for (const auto& [address, member] : others_) {
        if (!self_added && self_.address < address) {
            records.push_back(self_);
            self_added = true;
        }
        if (is_alive(member, now)) {
            records.push_back(member.record);
        }
    }
    if (!self_added) {
        records.push_back(self_);
    }
    return records;
}

std::size_t member_table::live_size(time_point now) const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(others_.begin(), others_.end(),
                                 [&](const auto& entry) { return is_alive(entry.second, now); }));
}

std::size_t member_table::recent_size(time_point now) const
{
    if (expects_peers_ && !met_peer_ && now - started_ <= options_.retention) {
        return options_.unknown_fleet_size;
    }
    return 1 + static_cast<std::size_t>(
                   std::count_if(others_.begin(), others_.end(), [&](const auto& entry) {
                       return now - entry.second.last_alive <= options_.retention;
                   }));
}

bool member_table::is_live(const std::string& address, time_point now) const
{
    if (address == self_.address) {
        return true;
    }
    const auto found = others_.find(address);
    return found != others_.end() && is_alive(found->second, now);
}

std::uint64_t member_table::process_at(const std::string& address) const
{
    if (address == self_.address) {
        return self_.process;
    }
    const auto found = others_.find(address);
    return found == others_.end() ? 0 : found->second.record.process;
}

bool member_table::started_together(const member_record& record) const
{
    const auto range = static_cast<std::uint64_t>(whole_milliseconds(options_.fleet_start_time));
    return record.incarnation + range >= self_.incarnation &&
           self_.incarnation + range >= record.incarnation;
}

bool member_table::fleet_is_starting(time_point now) const
{
    return now - started_ < options_.fleet_start_time &&
           std::none_of(others_.begin(), others_.end(), [&](const auto& entry) {
               return is_alive(entry.second, now) && entry.second.record.settled &&
                      !started_together(entry.second.record);
           });
}

std::string member_table::role_owner(std::string_view key, time_point now,
                                     std::string_view zone) const
{
    const std::uint64_t hash = stable_hash(key);
    std::string owner = self_.address;
    // Settled instances go first. An instance without a configuration is never chosen by others.
    std::tuple<bool, int, std::uint32_t, bool, std::uint64_t> best(false, 0, 0, false, 0);
    const bool starting = fleet_is_starting(now);
    const auto consider = [&](const member_record& candidate) {
        const bool is_starting = starting && started_together(candidate);
        if ((candidate.configuration == 0 && !is_starting) || candidate.leaving) {
            return;
        }
        const std::tuple rank(zone.empty() || candidate.zone == zone,
                              candidate.settled || is_starting ? 2 : 1, candidate.capacity_score,
                              candidate.role == key, rendezvous_score(hash, candidate.address));
        if (rank > best) {
            best = rank;
            owner = candidate.address;
        }
    };
    consider(self_);
    for (const auto& [address, member] : others_) {
        if (is_alive(member, now) && is_reliable(address, member, now)) {
            consider(member.record);
        }
    }
    return owner;
}

void member_table::update_role(std::string_view key, time_point now, std::string_view zone)
{
    const bool is_holder = self_.role == key;
    // A live holder to which a connection was lost is passed over for some time, but this instance
    // does not take the role from it.
    const bool held_by_unreliable =
        std::any_of(others_.begin(), others_.end(), [&](const auto& entry) {
            return is_alive(entry.second, now) && entry.second.record.role == key &&
                   !is_reliable(entry.first, entry.second, now);
        });
    const bool owner = self_.settled && role_owner(key, now, zone) == self_.address &&
                       (is_holder || !held_by_unreliable);
    if (const std::string_view role = owner ? key : std::string_view{}; self_.role != role) {
        self_.role = role;
        ++self_.serial;
    }
}

std::vector<member_record> member_table::first_across_zones(std::string_view key, std::size_t count,
                                                            time_point now) const
{
    struct ranked_member
    {
        std::size_t zone_rank = 0; // number of better instances of the same zone
        std::uint32_t capacity_score = 0;
        std::uint64_t score = 0;
        member_record record;
    };
    const std::uint64_t hash = stable_hash(key);
    std::vector<ranked_member> ranked;
    for (member_record& member : live(now)) {
        if (!member.leaving) {
            const std::uint64_t score = rendezvous_score(hash, member.address);
            ranked.push_back({0, member.capacity_score, score, std::move(member)});
        }
    }
    const auto goes_first = [](const ranked_member& left, const ranked_member& right) {
        return std::tuple(left.zone_rank, right.capacity_score, right.score) <
               std::tuple(right.zone_rank, left.capacity_score, left.score);
    };
    std::sort(ranked.begin(), ranked.end(), goes_first);
    std::map<std::string, std::size_t> seen_in_zone;
    for (ranked_member& member : ranked) {
        member.zone_rank = seen_in_zone[member.record.zone]++;
    }
    std::sort(ranked.begin(), ranked.end(), goes_first);
    ranked.resize(std::min(ranked.size(), count));
    std::vector<member_record> chosen;
    chosen.reserve(ranked.size());
    for (ranked_member& member : ranked) {
        chosen.push_back(std::move(member.record));
    }
    return chosen;
}

std::optional<member_record> member_table::most_up_to_date_peer(time_point now) const
{
    std::optional<member_record> best;
    for (const auto& [address, member] : others_) {
        if (is_alive(member, now) && member.record.position > self_.position &&
            (!best || member.record.position > best->position))
        {
            best = member.record;
        }
    }
    return best;
}

std::optional<member_record> member_table::peer_with_newer_configuration(time_point now) const
{
    std::optional<member_record> best;
    for (const auto& [address, member] : others_) {
        if (is_alive(member, now) && member.record.configuration > self_.configuration &&
            (!best || member.record.configuration > best->configuration))
        {
            best = member.record;
        }
    }
    return best;
}

} // namespace quetzal::gateway
