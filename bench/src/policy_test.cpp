#include "report.hpp"

#include <cstdio>

#include <quetzal/testing/section.hpp>

using namespace quetzal::bench;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

constexpr std::uint64_t seed = 1;

// Runs all scenarios of an installation in a short version and prints the figures. The bounds are
// those of the requirements; none comes from a measured figure.
void check_target(const fleet& installation)
{
    run_options options;
    options.length = std::chrono::seconds(40);
    options.seed = seed;
    std::printf("seed %llu, %s\n", static_cast<unsigned long long>(seed),
                installation.name.c_str());
    std::size_t missed = 0;
    for (const auto& what : make_scenarios(installation, options.length, seed)) {
        const auto result = compare(installation, what, options);
        std::fputs(table(result).c_str(), stdout);
        for (const auto& bound : missed_bounds(result)) {
            std::printf("  MISSED: %s\n", bound.c_str());
            ++missed;
        }
    }
    check(missed == 0, "every bound is met");
}

} // namespace

// Guards against a policy that serves callers worse than a simple proxy would, or that breaks a
// promise, in any scenario of the order desk.
Test(policy, meets_the_target_at_banderas) { check_target(banderas()); }

// The same for the rug collection, with its zones.
Test(policy, meets_the_target_at_trinidad) { check_target(trinidad()); }
