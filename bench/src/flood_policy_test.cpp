#include "policy_check.hpp"

using namespace quetzal::bench;
using quetzal::bench::testing::check_target;

// Guards against a customer at five times its rate losing what its rate allows, or costing other
// customers anything. The baselines have an exact bucket over the fleet at no cost.
Test(flood_policy, meets_the_target_at_banderas)
{
    check_target(banderas(), [](const scenario& what) { return what.name == "flood"; });
}

Test(flood_policy, meets_the_target_at_trinidad)
{
    check_target(trinidad(), [](const scenario& what) { return what.name == "flood"; });
}
