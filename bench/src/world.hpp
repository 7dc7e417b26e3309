#ifndef QUETZAL_BENCH_WORLD_HPP
#define QUETZAL_BENCH_WORLD_HPP

// One run of the bench: a fleet, a scenario and a policy in virtual time.

#include <memory>
#include <vector>

#include "admission.hpp"
#include "ledger.hpp"
#include "router.hpp"

namespace quetzal::bench {

// Length and seed of a run.
struct run_options
{
    duration length = std::chrono::seconds(120); // requests arrive during this time
    duration warm_up = std::chrono::seconds(5);  // requests before this are not counted
    std::uint64_t seed = 1;
};

// Runs the scenario under the policy. The arguments alone determine the result.
figures run(const fleet& installation, const scenario& what, policy which,
            const run_options& options);

} // namespace quetzal::bench

#endif
