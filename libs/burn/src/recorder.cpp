#include <quetzal/burn/recorder.hpp>

#include <algorithm>

namespace quetzal::burn {

namespace {

// Returns the stage that exceeded its share of the deadline budget most; the first one of equals.
std::optional<std::size_t> stage_with_greatest_excess(std::span<const stage_time> stages)
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

// Returns the stage that a bad request is attributed to.
std::optional<std::size_t> responsible_stage(const observation& request, const counts& result)
{
    if (request.failed_stage) {
        return request.failed_stage;
    }
    // Only the last stage streams to the caller, so a miss of the gap bound alone is attributed to
    // it.
    const bool only_gap_missed =
        result.slow_between == 1 && result.late == 0 && result.slow_first == 0;
    if (only_gap_missed && !request.stages.empty()) {
        return request.stages.size() - 1;
    }
    return stage_with_greatest_excess(request.stages);
}

} // namespace

counts judge(const observation& request, const config::target& objective)
{
    counts result;
    if (request.how == outcome::excluded) {
        return result;
    }
    result.total = 1;
    if (request.how == outcome::failed) {
        result.failed = 1;
    } else {
        result.late = request.took > objective.deadline ? 1 : 0;
        const bool slow_first =
            objective.first_token &&
            (!request.first_token || *request.first_token > *objective.first_token);
        const bool slow_between = objective.between_tokens && request.longest_gap &&
                                  *request.longest_gap > *objective.between_tokens;
        result.slow_first = slow_first ? 1 : 0;
        result.slow_between = slow_between ? 1 : 0;
    }
    const auto missed = result.failed + result.late + result.slow_first + result.slow_between;
    result.bad = missed > 0 ? 1 : 0;
    if (result.bad == 1) {
        const auto stage = responsible_stage(request, result);
        if (stage && *stage < result.by_stage.size()) {
            result.by_stage[*stage] = 1;
        }
    }
    return result;
}

recorder::recorder(time_point started, std::size_t max_pairs)
    : started_(started), max_pairs_(max_pairs)
{
}

void recorder::configure(const config::published& published)
{
    config_version_ = published.version;
    for (auto& [id, entry] : classes_) {
        entry.configured = false;
    }
    for (const auto& work_class : published.classes) {
        class_objective objective{work_class.id, work_class.objective, {}};
        if (const auto* pipeline = published.find(work_class.pipeline)) {
            for (const auto& stage : pipeline->stages) {
                objective.stages.push_back(stage.id.name);
            }
        }
        classes_.insert_or_assign(work_class.id, class_entry{std::move(objective), true});
    }
}

void recorder::record(const observation& request, time_point now)
{
    const auto entry = classes_.find(request.work_class);
    if (entry == classes_.end()) {
        return;
    }
    const counts result = judge(request, entry->second.objective.objective);
    if (result.total == 0) {
        return;
    }
    pair_entry& pair = find_or_add_pair(request.customer, request.work_class);
    pair.last_request = std::max(pair.last_request, now);
    pair.ring.add(result, now);
}

recorder::pair_entry& recorder::find_or_add_pair(const customer_id& customer,
                                                 const class_id& work_class)
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
        return now - pair.second.last_request > longest.length() + longest.slot;
    });
    std::erase_if(classes_, [this](const auto& entry) {
        const bool used = std::any_of(pairs_.begin(), pairs_.end(), [&](const auto& pair) {
            return pair.first.work_class == entry.first;
        });
        return !entry.second.configured && !used;
    });
}

snapshot recorder::take(const instance_id& self, incarnation process, time_point now) const
{
    snapshot result;
    result.instance = self;
    result.process = process;
    result.uptime = now - started_;
    result.config_version = config_version_;
    for (const auto& [id, entry] : classes_) {
        result.classes.push_back(entry.objective);
    }
    for (const auto& [key, pair] : pairs_) {
        result.rows.push_back({key.customer, key.work_class, pair.ring.sum(now)});
    }
    return result;
}

std::size_t recorder::bytes_per_pair() noexcept
{
    // A hash table node holds the pair, a pointer to the next node and the cached hash.
    return sizeof(std::pair<const pair_key, pair_entry>) + sizeof(void*) + sizeof(std::size_t);
}

} // namespace quetzal::burn
