#include <quetzal/gateway/part_quarantine.hpp>

#include <algorithm>
#include <utility>

namespace quetzal::gateway {

namespace {

constexpr std::size_t max_crashes = 16; // kept for each part: the first and the latest
// Ages that instances send of one response differ by less than this.
constexpr duration age_tolerance = std::chrono::milliseconds(100);
// How long other instances are told that a suspected part is sound.
constexpr duration cleared_period = std::chrono::seconds(5);

std::uint32_t age_of(time_point at, time_point now)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(whole_milliseconds(now - at), 0, suspect_record::never - 1));
}

} // namespace

void part_quarantine::remember_sound(std::uint64_t part, time_point now)
{
    if (sound_.size() >= options_.max_sound_parts && !sound_.contains(part)) {
        older_sound_ = std::exchange(sound_, {});
    }
    sound_[part] = now;
}

std::optional<time_point> part_quarantine::last_begun(std::uint64_t part) const
{
    for (const auto* known : {&sound_, &older_sound_}) {
        if (const auto found = known->find(part); found != known->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

void part_quarantine::set_begun(suspect& known, time_point begun)
{
    if (known.begun && *known.begun >= begun) {
        return;
    }
    known.begun = begun;
    std::erase_if(known.crashes, [&](const crash& earlier) { return earlier.at <= begun; });
}

void part_quarantine::record_begun(std::span<const std::uint64_t> parts, time_point now)
{
    for (const std::uint64_t part : parts) {
        remember_sound(part, now);
        if (const auto found = suspects_.find(part); found != suspects_.end()) {
            if (!found->second.crashes.empty()) {
                found->second.changed = now;
            }
            set_begun(found->second, now);
        }
    }
}

part_quarantine::suspect& part_quarantine::find_or_add(std::uint64_t part, time_point now)
{
    if (const auto found = suspects_.find(part); found != suspects_.end()) {
        return found->second;
    }
    if (suspects_.size() >= options_.max_suspects) {
        // The one with the least evidence makes room.
        suspects_.erase(std::min_element(
            suspects_.begin(), suspects_.end(), [](const auto& left, const auto& right) {
                return std::pair(left.second.crashes.size(), left.second.changed) <
                       std::pair(right.second.crashes.size(), right.second.changed);
            }));
    }
    suspect added;
    added.begun = last_begun(part);
    added.changed = now;
    return suspects_.emplace(part, std::move(added)).first->second;
}

void part_quarantine::add_crash(suspect& known, crash added) const
{
    if (known.begun && added.at <= *known.begun) {
        return;
    }
    // Several instances report the same crash at slightly different times.
    if (std::any_of(known.crashes.begin(), known.crashes.end(),
                    [&](const crash& other) { return other.endpoint == added.endpoint; }))
    {
        return;
    }
    const auto position = std::find_if(known.crashes.begin(), known.crashes.end(),
                                       [&](const crash& other) { return other.at > added.at; });
    known.crashes.insert(position, added);
    if (known.crashes.size() > max_crashes) {
        known.crashes.erase(known.crashes.begin() + 1); // the first one tells the spread
    }
}

std::size_t part_quarantine::count_crashes(const suspect& known) const
{
    std::size_t count = 0;
    std::optional<time_point> last;
    for (const crash& counted : known.crashes) {
        if (!last || counted.sent >= *last) {
            ++count;
            last = counted.at;
        }
    }
    return count;
}

std::optional<time_point> part_quarantine::quarantine_end(const suspect& known,
                                                          time_point now) const
{
    const bool was_sound = known.begun && now - *known.begun <= options_.sound_period;
    const std::size_t needed = was_sound ? options_.crashes_of_known : options_.crashes_of_unknown;
    const std::size_t count = count_crashes(known);
    if (count < needed || (was_sound && known.crashes.back().at - known.crashes.front().at <
                                            options_.spread_of_known))
    {
        return std::nullopt;
    }
    const auto doublings = std::min<std::size_t>(count - needed, options_.max_doublings);
    return known.crashes.back().at + options_.quarantine_period * (1u << doublings);
}

bool part_quarantine::is_explained(const suspect& known, std::span<const std::uint64_t> parts,
                                   time_point now) const
{
    const auto accounts_for = [](const suspect& other, const crash& counted) {
        return std::any_of(other.crashes.begin(), other.crashes.end(),
                           [&](const crash& known) { return known.endpoint == counted.endpoint; });
    };
    return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& entry) {
        const std::uint64_t part = entry.first;
        const suspect& other = entry.second;
        return &other != &known && std::find(parts.begin(), parts.end(), part) == parts.end() &&
               quarantine_end(other, now) &&
               std::all_of(known.crashes.begin(), known.crashes.end(),
                           [&](const crash& counted) { return accounts_for(other, counted); });
    });
}

time_point part_quarantine::retest_time(const suspect& known, time_point end,
                                        std::size_t rank) const
{
    const auto turn = static_cast<duration::rep>(rank);
    return std::max(end + options_.retest_stagger * turn, known.tested_until);
}

std::vector<std::uint64_t> part_quarantine::record_crash(std::span<const std::uint64_t> parts,
                                                         std::uint64_t endpoint, time_point sent,
                                                         time_point now)
{
    std::vector<std::uint64_t> added;
    for (const std::uint64_t part : parts) {
        suspect& known = find_or_add(part, now);
        const bool before = quarantine_end(known, now).has_value();
        known.changed = now;
        add_crash(known, {endpoint, sent, now});
        if (!before && quarantine_end(known, now)) {
            added.push_back(part);
        }
    }
    return added;
}

void part_quarantine::start_retest(std::uint64_t part, time_point now)
{
    if (const auto found = suspects_.find(part); found != suspects_.end()) {
        found->second.tested_until = now + options_.retest_timeout;
    }
}

std::vector<suspect_record> part_quarantine::records(time_point now, random_source& random) const
{
    enum urgency
    {
        condemned,
        suspected,
        cleared
    };
    struct candidate
    {
        urgency rank;
        std::uint64_t order;
        const std::pair<const std::uint64_t, suspect>* entry;
    };
    std::vector<candidate> candidates;
    for (const auto& entry : suspects_) {
        const suspect& known = entry.second;
        if (quarantine_end(known, now)) {
            candidates.push_back({condemned, random(), &entry});
        } else if (!known.crashes.empty() &&
                   !(known.begun && now - *known.begun <= options_.sound_period)) {
            candidates.push_back({suspected, random(), &entry});
        } else if (known.begun && now - known.changed <= cleared_period) {
            candidates.push_back({cleared, random(), &entry});
        }
    }
    const std::size_t count = std::min(candidates.size(), options_.max_records);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), [](const candidate& left, const candidate& right) {
                          return std::pair(left.rank, left.order) <
                                 std::pair(right.rank, right.order);
                      });
    std::vector<suspect_record> chosen;
    for (std::size_t index = 0; index < count; ++index) {
        const auto& [part, known] = *candidates[index].entry;
        suspect_record record;
        record.part = part;
        if (known.begun) {
            record.begun_age_ms = age_of(*known.begun, now);
        }
        for (const crash& counted : known.crashes) {
            record.crashes.push_back(
                {counted.endpoint, age_of(counted.sent, now), age_of(counted.at, now)});
        }
        chosen.push_back(std::move(record));
    }
    return chosen;
}

std::vector<std::uint64_t> part_quarantine::merge(std::span<const suspect_record> records,
                                                  time_point now)
{
    std::vector<std::uint64_t> added;
    for (const suspect_record& record : records) {
        if (record.crashes.empty() && !suspects_.contains(record.part)) {
            continue;
        }
        suspect& known = find_or_add(record.part, now);
        const bool before = quarantine_end(known, now).has_value();
        const std::size_t crashes_before = known.crashes.size();
        if (record.begun_age_ms != suspect_record::never) {
            const time_point begun = now - std::chrono::milliseconds(record.begun_age_ms);
            if (!known.begun || begun > *known.begun + age_tolerance) {
                set_begun(known, begun);
                known.changed = now;
            }
        }
        const std::size_t count = std::min(record.crashes.size(), max_crashes);
        for (std::size_t index = 0; index < count; ++index) {
            const aged_crash& reported = record.crashes[index];
            const auto age = std::chrono::milliseconds(reported.age_ms);
            if (age <= options_.retention) {
                add_crash(known,
                          {reported.endpoint, now - std::chrono::milliseconds(reported.sent_age_ms),
                           now - age});
            }
        }
        if (known.crashes.size() != crashes_before) {
            known.changed = now;
        }
        if (!before && quarantine_end(known, now)) {
            added.push_back(record.part);
        }
    }
    return added;
}

void part_quarantine::expire(time_point now)
{
    for (auto& entry : suspects_) {
        std::erase_if(entry.second.crashes,
                      [&](const crash& old) { return now - old.at > options_.retention; });
    }
    std::erase_if(suspects_, [&](const auto& entry) {
        return entry.second.crashes.empty() && now - entry.second.changed > cleared_period;
    });
}

std::size_t part_quarantine::quarantined_parts(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(suspects_.begin(), suspects_.end(), [&](const auto& entry) {
            return quarantine_end(entry.second, now).has_value();
        }));
}

} // namespace quetzal::gateway
