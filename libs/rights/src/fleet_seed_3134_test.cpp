#include "fleet_schedules.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal::rights::testing;
using quetzal::testing::check;

// Guards against two holders of one partition, as found in a run of 4,000 schedules: two voters
// that had just started granted under a new list without knowing the previous one.
Test(schedules, seed_3134)
{
    const auto violation = run(options_for(3134));
    check(violation.empty(), violation);
}
