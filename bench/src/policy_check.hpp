#ifndef QUETZAL_BENCH_POLICY_CHECK_HPP
#define QUETZAL_BENCH_POLICY_CHECK_HPP

// Compares policies with the bounds of the requirements in tests. No bound comes from a measured
// figure. Only tests include it.

#include "report.hpp"

#include <cstdio>
#include <functional>

#include <quetzal/testing/section.hpp>

namespace quetzal::bench::testing {

inline constexpr std::uint64_t seed = 1;

// Runs the chosen scenarios of an installation, prints the figures and fails for missed bounds.
inline void check_target(const fleet& installation,
                         const std::function<bool(const scenario&)>& chosen)
{
    run_options options;
    options.seed = seed;
    std::printf("seed %llu, %s\n", static_cast<unsigned long long>(seed),
                installation.name.c_str());
    std::size_t missed = 0;
    for (const auto& what : make_scenarios(installation, options.length, seed)) {
        if (!chosen(what)) {
            continue;
        }
        const auto result = compare(installation, what, options);
        std::fputs(table(result).c_str(), stdout);
        for (const auto& bound : missed_bounds(result)) {
            std::printf("  MISSED: %s\n", bound.c_str());
            ++missed;
        }
    }
    quetzal::testing::check(missed == 0, "every bound is met");
}

} // namespace quetzal::bench::testing

#endif
