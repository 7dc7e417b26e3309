#ifndef QUETZAL_BURN_SNAPSHOT_HPP
#define QUETZAL_BURN_SNAPSHOT_HPP

// Request counts of one instance, and their aggregation over the fleet.

#include <cstdint>
#include <optional>
#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/burn/window.hpp>
#include <quetzal/config/published.hpp>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace quetzal::burn {

// Objective of a class according to the configuration of the instance.
struct class_objective
{
    class_id id;
    config::target objective;
    std::vector<std::string> stages; // stage names by index in the pipeline
};

// Counts of one customer and class. An empty customer name stands for open routes and for pairs
// beyond the maximum that an instance tracks.
struct snapshot_row
{
    customer_id customer;
    class_id work_class;
    window_counts seen{};
};

// The counts of one instance at one point in time.
struct snapshot
{
    instance_id instance;
    incarnation process;
    duration uptime{}; // longer windows cover only this time
    std::uint64_t config_version = 0;
    std::vector<class_objective> classes;
    std::vector<snapshot_row> rows;
};

// Counts of one window and the statistics derived from them.
struct window_figures
{
    counts seen;
    std::optional<double> attainment; // fraction of good requests; empty without requests
    std::optional<double>
        burn_rate; // at 1 the error budget is used up exactly when its window ends
};

// One row of the report.
struct burn_row
{
    customer_id customer;
    class_id work_class;
    config::target objective;
    std::array<window_figures, window_count> figures{};
    // Remaining fraction of the error budget of the longest window; below 0 when overspent. Empty
    // without requests.
    std::optional<double> budget_left;
    // Name of the stage that caused most bad requests of the longest window, and the fraction of
    // them that it caused. Empty if no bad request is attributed to a stage.
    std::optional<std::string> worst_stage;
    double worst_stage_share = 0;
    std::vector<std::string> stages;
};

// Statistics of the fleet, from the instances that responded.
struct fleet_burn
{
    std::vector<instance_id> answered;
    std::vector<instance_id>
        missing;                // their requests are unknown and count as neither good nor bad
    duration shortest_uptime{}; // of the instances that responded
    std::vector<burn_row> rows; // ascending by remaining budget

    bool partial() const noexcept { return !missing.empty(); }
};

// Merges snapshots. Of several snapshots of one instance, uses the one with the latest incarnation
// and, among these, the longest uptime. Objectives come from the highest configuration version.
// `expected` lists the instances that should have responded.
fleet_burn merge(std::span<const snapshot> snapshots, std::span<const instance_id> expected);

// Returns the JSON text of a snapshot, for transfer between instances.
std::string to_json(const snapshot& value);

// Parses the output of `to_json`. Returns an error message if the text is not a valid snapshot.
tl::expected<snapshot, std::string> parse_snapshot(std::string_view json);

} // namespace quetzal::burn

#endif
