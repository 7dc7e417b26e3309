#ifndef QUETZAL_BURN_SNAPSHOT_HPP
#define QUETZAL_BURN_SNAPSHOT_HPP

// Counts of one instance, and their combination over the fleet.

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

// What a class promised, as the instance knew it.
struct class_objective
{
    class_id id;
    config::target objective;
    std::vector<std::string> stages; // names by index
};

// Counts of one customer and class. An empty customer name stands for open routes and for pairs
// beyond an instance's bound.
struct snapshot_row
{
    customer_id customer;
    class_id work_class;
    window_counts seen{};
};

// The counts of one instance at one time.
struct snapshot
{
    instance_id instance;
    incarnation process;
    duration uptime{}; // a window longer than this covers only this time
    std::uint64_t config_version = 0;
    std::vector<class_objective> classes;
    std::vector<snapshot_row> rows;
};

// Derived figures of one window.
struct window_figures
{
    counts seen;
    std::optional<double> attainment; // share of good requests; empty without requests
    std::optional<double> burn_rate;  // 1 spends the error budget exactly at its window's end
};

// One line of the report.
struct burn_row
{
    customer_id customer;
    class_id work_class;
    config::target objective;
    std::array<window_figures, window_count> figures{};
    // Share of the error budget of the longest window that is left; below 0 when overspent. Empty
    // without requests.
    std::optional<double> budget_left;
    // Name of the stage that most bad requests of the longest window are put down to, and its share
    // of them. Empty when no stage is to blame.
    std::optional<std::string> worst_stage;
    double worst_stage_share = 0;
    std::vector<std::string> stages;
};

// The figures of the whole fleet, as far as its instances answered.
struct fleet_burn
{
    std::vector<instance_id> answered;
    std::vector<instance_id> missing; // their requests are unknown and count neither good nor bad
    duration shortest_uptime{};       // of the instances that answered
    std::vector<burn_row> rows;       // least budget left first

    bool partial() const noexcept { return !missing.empty(); }
};

// Combines snapshots. Several of one instance: the one with the latest incarnation and then the
// longest uptime counts. Objectives come from the highest configuration version. `expected` are the
// instances that should have answered.
fleet_burn merge(std::span<const snapshot> snapshots, std::span<const instance_id> expected);

// Returns the JSON text of a snapshot, for transfer between instances.
std::string to_json(const snapshot& value);

// Parses the text of `to_json`. On error returns what is wrong.
tl::expected<snapshot, std::string> parse_snapshot(std::string_view json);

} // namespace quetzal::burn

#endif
