#include "policy_check.hpp"

using namespace quetzal::bench;
using quetzal::bench::testing::check_target;

namespace {

bool is_flood(const scenario& what)
{
    return what.name == "flood"; // flood_policy_test
}

} // namespace

// Guards against a policy that serves callers worse than a simple proxy would, or that breaks a
// promise, in any scenario of the order desk.
Test(policy, meets_the_target_at_banderas)
{
    check_target(banderas(), [](const scenario& what) { return !is_flood(what); });
}

// The same for the rug collection, with its zones.
Test(policy, meets_the_target_at_trinidad)
{
    check_target(trinidad(), [](const scenario& what) { return !is_flood(what); });
}
