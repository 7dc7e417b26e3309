#include <quetzal/burn/snapshot.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace quetzal::burn {

namespace {

using snapshots_by_instance = std::map<instance_id, const snapshot*>;
using pair_key = std::pair<customer_id, class_id>;

// Returns the latest snapshot of each instance, so that no request is counted twice.
snapshots_by_instance latest_by_instance(std::span<const snapshot> snapshots)
{
    const auto recency = [](const snapshot& instance_snapshot) {
        return std::pair(instance_snapshot.process, instance_snapshot.uptime);
    };
    snapshots_by_instance latest;
    for (const auto& instance_snapshot : snapshots) {
        const auto [entry, inserted] =
            latest.emplace(instance_snapshot.instance, &instance_snapshot);
        if (!inserted && recency(*entry->second) < recency(instance_snapshot)) {
            entry->second = &instance_snapshot;
        }
    }
    return latest;
}

// Returns the objective of each class from the highest configuration version that has the class.
std::map<class_id, const class_objective*> newest_objectives(const snapshots_by_instance& latest)
{
    std::vector<const snapshot*> by_version;
    for (const auto& [id, instance_snapshot] : latest) {
        by_version.push_back(instance_snapshot);
    }
    std::stable_sort(by_version.begin(), by_version.end(), [](const auto* left, const auto* right) {
        return left->config_version > right->config_version;
    });
    std::map<class_id, const class_objective*> objectives;
    for (const auto* instance_snapshot : by_version) {
        for (const auto& objective : instance_snapshot->classes) {
            objectives.emplace(objective.id, &objective);
        }
    }
    return objectives;
}

window_figures make_window_figures(const counts& seen, double attainment_target)
{
    window_figures figures{seen, {}, {}};
    if (seen.total > 0) {
        const double bad_share = static_cast<double>(seen.bad) / seen.total;
        figures.attainment = 1 - bad_share;
        figures.burn_rate = bad_share / (1 - attainment_target);
    }
    return figures;
}

burn_row make_row(const pair_key& key, const window_counts& seen, const class_objective& objective)
{
    burn_row row;
    row.customer = key.first;
    row.work_class = key.second;
    row.objective = objective.objective;
    row.stages = objective.stages;
    for (std::size_t window = 0; window < window_count; ++window) {
        row.figures[window] = make_window_figures(seen[window], objective.objective.attainment);
    }
    const auto& longest = row.figures[budget_window];
    if (longest.burn_rate) {
        row.budget_left = 1 - *longest.burn_rate;
    }
    const auto& by_stage = longest.seen.by_stage;
    const auto worst = std::max_element(by_stage.begin(), by_stage.end());
    const auto index = static_cast<std::size_t>(worst - by_stage.begin());
    if (*worst > 0) {
        row.worst_stage =
            index < row.stages.size() ? row.stages[index] : "stage " + std::to_string(index);
        row.worst_stage_share = static_cast<double>(*worst) / longest.seen.bad;
    }
    return row;
}

} // namespace

fleet_burn merge(std::span<const snapshot> snapshots, std::span<const instance_id> expected)
{
    const auto latest = latest_by_instance(snapshots);
    const auto objectives = newest_objectives(latest);
    fleet_burn burn;
    std::map<pair_key, window_counts> sums;
    for (const auto& [id, instance_snapshot] : latest) {
        burn.shortest_uptime = burn.answered.empty()
                                   ? instance_snapshot->uptime
                                   : std::min(burn.shortest_uptime, instance_snapshot->uptime);
        burn.answered.push_back(id);
        for (const auto& row : instance_snapshot->rows) {
            auto& sum = sums[{row.customer, row.work_class}];
            for (std::size_t window = 0; window < window_count; ++window) {
                sum[window] += row.seen[window];
            }
        }
    }
    for (const auto& id : expected) {
        if (!latest.contains(id)) {
            burn.missing.push_back(id);
        }
    }
    for (const auto& [key, seen] : sums) {
        const auto objective = objectives.find(key.second);
        if (objective != objectives.end()) {
            burn.rows.push_back(make_row(key, seen, *objective->second));
        }
    }
    std::stable_sort(burn.rows.begin(), burn.rows.end(), [](const auto& left, const auto& right) {
        constexpr double no_requests = std::numeric_limits<double>::max();
        return left.budget_left.value_or(no_requests) < right.budget_left.value_or(no_requests);
    });
    return burn;
}

} // namespace quetzal::burn
