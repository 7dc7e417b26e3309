#ifndef QUETZAL_BENCH_REPORT_HPP
#define QUETZAL_BENCH_REPORT_HPP

// Results of all runs as a table and as JSON, and their comparison with the target.

#include <string>
#include <vector>

#include "world.hpp"

namespace quetzal::bench {

// One scenario under all policies.
struct scenario_result
{
    std::string fleet;
    std::string scenario;
    bool fault = false;
    bool within_capacity = true; // the load is below the capacity of the fleet
    std::vector<std::pair<policy, figures>> runs;

    const figures& of(policy which) const;
};

// Runs the scenario under every policy, with the same requests and faults.
scenario_result compare(const fleet& installation, const scenario& what,
                        const run_options& options);

// Returns in words every bound of the target that the scenario misses: at least the attainment and
// worst-served customer of the best baseline; with a fault at most half of its misses; no wrongful
// refusal while there is capacity; safety counters zero.
std::vector<std::string> missed_bounds(const scenario_result& result);

std::string table(const scenario_result& result);
std::string json(const std::vector<scenario_result>& results, const run_options& options,
                 const std::string& commit);

} // namespace quetzal::bench

#endif
