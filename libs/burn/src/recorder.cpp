#include <quetzal/burn/recorder.hpp>

#include <algorithm>

namespace quetzal::burn {

namespace {

// Returns the stage that went beyond its part of the deadline budget most, the first of equals.
std::optional<std::size_t> greatest_excess(std::span<const stage_time> stages)
{
    const auto excess = [](const stage_time& stage) { return stage.took - stage.allotted; };
    const auto found =
        std::max_element(stages.begin(), stages.end(), [&](const auto& left, const auto& right) {
            return excess(left) < excess(right);
        });
    if (found == stages.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - stages.begin());
}

// Returns the stage to which a bad request is put down.
std::optional<std::size_t> spender(const observation& seen, const counts& judged)
{
    if (seen.failed_stage) {
        return seen.failed_stage;
    }
    // Only the last stage streams to the caller, so a gap alone is its own.
    const bool gap_alone = judged.slow_between == 1 && judged.late == 0 && judged.slow_first == 0;
    if (gap_alone && !seen.stages.empty()) {
        return seen.stages.size() - 1;
    }
    return greatest_excess(seen.stages);
}

} // namespace

counts judge(const observation& seen, const config::target& objective)
{
    counts judged;
    if (seen.how == outcome::excluded) {
        return judged;
    }
    judged.total = 1;
    if (seen.how == outcome::failed) {
        judged.failed = 1;
    } else {
        judged.late = seen.took > objective.deadline ? 1 : 0;
        const bool slow_first = objective.first_token &&
                                (!seen.first_token || *seen.first_token > *objective.first_token);
        const bool slow_between = objective.between_tokens && seen.longest_gap &&
                                  *seen.longest_gap > *objective.between_tokens;
        judged.slow_first = slow_first ? 1 : 0;
        judged.slow_between = slow_between ? 1 : 0;
    }
    const auto missed = judged.failed + judged.late + judged.slow_first + judged.slow_between;
    judged.bad = missed > 0 ? 1 : 0;
    if (judged.bad == 1) {
        const auto stage = spender(seen, judged);
        if (stage && *stage < judged.by_stage.size()) {
            judged.by_stage[*stage] = 1;
        }
    }
    return judged;
}

recorder::recorder(time_point started, std::size_t max_pairs)
    : started_(started), max_pairs_(max_pairs)
{
}

void recorder::configure(const config::published& published)
{
    config_version_ = published.version;
    for (auto& [id, known] : classes_) {
        known.configured = false;
    }
    for (const auto& declared : published.classes) {
        class_objective objective{declared.id, declared.objective, {}};
        if (const auto* pipeline = published.find(declared.pipeline)) {
            for (const auto& stage : pipeline->stages) {
                objective.stages.push_back(stage.id.name);
            }
        }
        classes_.insert_or_assign(declared.id, class_entry{std::move(objective), true});
    }
}

void recorder::record(const observation& seen, time_point now)
{
    const auto known = classes_.find(seen.work_class);
    if (known == classes_.end()) {
        return;
    }
    const counts judged = judge(seen, known->second.objective.objective);
    if (judged.total == 0) {
        return;
    }
    pair_entry& pair = pair_of(seen.customer, seen.work_class);
    pair.last = std::max(pair.last, now);
    pair.ring.add(judged, now);
}

recorder::pair_entry& recorder::pair_of(const customer_id& customer, const class_id& work_class)
{
    const auto found = pairs_.find(pair_view{customer, work_class});
    if (found != pairs_.end()) {
        return found->second;
    }
    return pairs_.size() < max_pairs_ ? pairs_[{customer, work_class}]
                                      : pairs_[{customer_id(), work_class}];
}

void recorder::expire(time_point now)
{
    const auto& longest = windows[budget_window];
    std::erase_if(pairs_, [&](const auto& pair) {
        return now - pair.second.last > longest.length() + longest.slot;
    });
    std::erase_if(classes_, [this](const auto& known) {
        const bool used = std::any_of(pairs_.begin(), pairs_.end(), [&](const auto& pair) {
            return pair.first.work_class == known.first;
        });
        return !known.second.configured && !used;
    });
}

snapshot recorder::take(const instance_id& self, incarnation process, time_point now) const
{
    snapshot taken;
    taken.instance = self;
    taken.process = process;
    taken.uptime = now - started_;
    taken.config_version = config_version_;
    for (const auto& [id, known] : classes_) {
        taken.classes.push_back(known.objective);
    }
    for (const auto& [key, pair] : pairs_) {
        taken.rows.push_back({key.customer, key.work_class, pair.ring.sum(now)});
    }
    return taken;
}

std::size_t recorder::bytes_per_pair() noexcept
{
    // A node of the hash table holds the pair, a link and the cached hash.
    return sizeof(std::pair<const pair_key, pair_entry>) + sizeof(void*) + sizeof(std::size_t);
}

} // namespace quetzal::burn
