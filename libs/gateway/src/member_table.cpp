#include <quetzal/gateway/member_table.hpp>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include <quetzal/base/hash.hpp>

namespace quetzal::gateway {

namespace {

bool newer(const member_record& left, const member_record& right)
{
    return std::pair(left.incarnation, left.serial) > std::pair(right.incarnation, right.serial);
}

} // namespace

std::uint32_t machine_strength(double cores, double link_mbps)
{
    constexpr double strength_per_core = 16;
    constexpr double megabits_per_strength = 12.5;
    const double strength = std::min(cores * strength_per_core, link_mbps / megabits_per_strength);
    return static_cast<std::uint32_t>(std::clamp(strength, 1.0, 1000.0));
}

member_table::member_table(member_table_options options, member_record self, time_point now)
    : options_(options), self_(std::move(self)), started_(now)
{
}

bool member_table::joined(time_point now) const
{
    return now - started_ >= (others_.empty() ? options_.alone : options_.joining);
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
        return alive(entry.second, now) && entry.second.record.settled;
    });
    if (!others_settled || now - started_ >= options_.settling) {
        self_.settled = true;
        ++self_.serial;
    }
}

void member_table::distrust(const std::string& address, time_point now)
{
    distrusted_until_[address] = now + options_.distrust;
}

bool member_table::trusted(const std::string& address, time_point now) const
{
    const auto found = distrusted_until_.find(address);
    return found == distrusted_until_.end() || found->second <= now;
}

void member_table::set_leaving()
{
    self_.ready = false;
    self_.leaving = true;
    self_.settled = false;
    self_.duty.clear();
    ++self_.serial;
}

void member_table::set_known(std::uint64_t revision, std::uint64_t configuration)
{
    if (self_.revision != revision || self_.configuration != configuration) {
        self_.revision = revision;
        self_.configuration = configuration;
        ++self_.serial;
    }
}

bool member_table::take(const heartbeat& message, time_point now)
{
    const auto known = others_.find(message.sender.record.address);
    const bool news = known == others_.end() ||
                      known->second.record.incarnation != message.sender.record.incarnation;
    merge(message.sender, now);
    for (const aged_record& other : message.others) {
        merge(other, now);
    }
    return news;
}

void member_table::merge(const aged_record& news, time_point now)
{
    if (news.record.address == self_.address) {
        // A former process at this address had a later wall clock. Its records must not outlive it.
        if (news.record.incarnation > self_.incarnation) {
            self_.incarnation = news.record.incarnation + 1;
        }
        return;
    }
    const time_point seen = now - std::chrono::milliseconds(news.age_ms);
    if (now - seen > options_.remembered) {
        return;
    }
    auto [position, added] =
        others_.try_emplace(news.record.address, known_member{news.record, seen});
    if (added) {
        return;
    }
    known_member& member = position->second;
    if (news.record.incarnation < member.record.incarnation) {
        return;
    }
    if (news.record.incarnation > member.record.incarnation) {
        member.alive = seen;
    }
    if (newer(news.record, member.record)) {
        member.record = news.record;
    }
    member.alive = std::max(member.alive, seen);
}

void member_table::expire(time_point now)
{
    std::erase_if(distrusted_until_, [&](const auto& entry) { return entry.second <= now; });
    std::erase_if(
        others_, [&](const auto& entry) { return now - entry.second.alive > options_.remembered; });
}

heartbeat member_table::make_heartbeat(time_point now, random_source& random) const
{
    heartbeat message;
    message.sender.record = self_;
    std::vector<const known_member*> chosen;
    for (const auto& [address, member] : others_) {
        if (alive(member, now)) {
            chosen.push_back(&member);
        }
    }
    for (std::size_t index = 0; index + 1 < chosen.size(); ++index) {
        std::swap(chosen[index], chosen[index + random.below(chosen.size() - index)]);
    }
    // Half of them are the freshest, the others any, so that no news stays behind.
    const std::size_t freshest = std::min(chosen.size(), options_.records_limit / 2);
    std::partial_sort(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(freshest),
                      chosen.end(), [](const known_member* left, const known_member* right) {
                          return left->alive > right->alive;
                      });
    chosen.resize(std::min(chosen.size(), options_.records_limit));
    for (const known_member* member : chosen) {
        const auto age = whole_milliseconds(now - member->alive);
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

std::vector<std::string> member_table::choose_peers(time_point now, random_source& random) const
{
    std::vector<std::string> addresses;
    for (const auto& [address, member] : others_) {
        if (alive(member, now)) {
            addresses.push_back(address);
        }
    }
    for (std::size_t index = 0; index + 1 < addresses.size(); ++index) {
        std::swap(addresses[index], addresses[index + random.below(addresses.size() - index)]);
    }
    addresses.resize(std::min(addresses.size(), options_.fanout));
    return addresses;
}

bool member_table::alive(const known_member& member, time_point now) const
{
    return now - member.alive <= silence();
}

duration member_table::silence() const
{
    constexpr std::size_t small_fleet = 8;
    duration allowed = options_.silence;
    for (std::size_t size = small_fleet; size < others_.size() + 1; size *= 2) {
        allowed += options_.silence_per_doubling;
    }
    return allowed;
}

std::size_t member_table::rank_for(std::string_view key, time_point now) const
{
    const std::uint64_t hash = stable_hash(key);
    const std::uint64_t own = rendezvous_score(hash, self_.address);
    return static_cast<std::size_t>(
        std::count_if(others_.begin(), others_.end(), [&](const auto& entry) {
            return alive(entry.second, now) && rendezvous_score(hash, entry.first) > own;
        }));
}

std::vector<member_record> member_table::live(time_point now) const
{
    std::vector<member_record> records;
    bool self_placed = false;
    for (const auto& [address, member] : others_) {
        if (!self_placed && self_.address < address) {
            records.push_back(self_);
            self_placed = true;
        }
        if (alive(member, now)) {
            records.push_back(member.record);
        }
    }
    if (!self_placed) {
        records.push_back(self_);
    }
    return records;
}

std::size_t member_table::live_size(time_point now) const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(others_.begin(), others_.end(),
                                 [&](const auto& entry) { return alive(entry.second, now); }));
}

std::size_t member_table::recent_size(time_point now) const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(others_.begin(), others_.end(), [&](const auto& entry) {
                       return now - entry.second.alive <= options_.remembered;
                   }));
}

bool member_table::is_live(const std::string& address, time_point now) const
{
    if (address == self_.address) {
        return true;
    }
    const auto found = others_.find(address);
    return found != others_.end() && alive(found->second, now);
}

std::string member_table::owner_of(std::string_view key, time_point now) const
{
    const std::uint64_t hash = stable_hash(key);
    std::string owner = self_.address;
    // Settled instances go before others; an instance without a configuration serves only itself.
    std::tuple<int, std::uint32_t, bool, std::uint64_t> best(0, 0, false, 0);
    const auto consider = [&](const member_record& candidate) {
        if (candidate.configuration == 0 || candidate.leaving) {
            return;
        }
        const std::tuple rank(candidate.settled ? 2 : 1, candidate.strength, candidate.duty == key,
                              rendezvous_score(hash, candidate.address));
        if (rank > best) {
            best = rank;
            owner = candidate.address;
        }
    };
    consider(self_);
    for (const auto& [address, member] : others_) {
        if (alive(member, now) && trusted(address, now)) {
            consider(member.record);
        }
    }
    return owner;
}

void member_table::take_duty(std::string_view key, time_point now)
{
    const bool taken = self_.duty == key;
    // A live holder to which a connection broke is passed over for a moment, but not replaced.
    const bool held = std::any_of(others_.begin(), others_.end(), [&](const auto& entry) {
        return alive(entry.second, now) && entry.second.record.duty == key &&
               !trusted(entry.first, now);
    });
    const bool owner = self_.settled && owner_of(key, now) == self_.address && (taken || !held);
    if (owner != taken) {
        self_.duty = owner ? key : std::string_view{};
        ++self_.serial;
    }
}

std::vector<std::string> member_table::first_in_zone(std::string_view key, std::size_t count,
                                                     time_point now) const
{
    const std::uint64_t hash = stable_hash(key);
    std::vector<std::pair<std::pair<std::uint32_t, std::uint64_t>, std::string>> scored;
    for (const member_record& member : live(now)) {
        if (member.zone == self_.zone && !member.leaving) {
            scored.emplace_back(std::pair(member.strength, rendezvous_score(hash, member.address)),
                                member.address);
        }
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    scored.resize(std::min(scored.size(), count));
    std::vector<std::string> addresses;
    addresses.reserve(scored.size());
    for (auto& [score, address] : scored) {
        addresses.push_back(std::move(address));
    }
    return addresses;
}

std::optional<member_record> member_table::most_advanced(time_point now) const
{
    std::optional<member_record> best;
    for (const auto& [address, member] : others_) {
        if (alive(member, now) && member.record.revision > self_.revision &&
            (!best || member.record.revision > best->revision))
        {
            best = member.record;
        }
    }
    return best;
}

} // namespace quetzal::gateway
