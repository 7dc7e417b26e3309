#include "fleet_harness.hpp"

#include <cstdlib>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::rights;
using namespace quetzal::rights::testing;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::seconds;

namespace {

constexpr std::size_t fleet_sizes[] = {1, 2, 3, 5, 6, 8};

schedule_options options_for(std::uint64_t seed)
{
    schedule_options settings;
    settings.seed = seed;
    settings.nodes = fleet_sizes[seed % std::size(fleet_sizes)];
    settings.loss = seed % 4 == 0 ? 0.1 : 0.02;
    return settings;
}

// Returns the violation that one schedule shows; empty for none.
std::string run(const schedule_options& settings)
{
    fleet_harness fleet(settings);
    for (std::size_t customer = 0; customer < fleet.customers(); ++customer) {
        fleet.call(customer, 1.5 + static_cast<double>((settings.seed + customer) % 3), true);
    }
    fleet.run_until(settings.fault_time);
    if (!fleet.violation().empty()) {
        return fleet.violation();
    }
    // After the faults: silence after a large change of lists, a lease, a settled ranking.
    fleet.run_until(settings.fault_time + seconds(16));
    if (fleet.violation().empty() && fleet.held() != fleet.partitions()) {
        return "seed " + std::to_string(settings.seed) + ": only " + std::to_string(fleet.held()) +
               " partitions are held after the faults";
    }
    return fleet.violation();
}

std::uint64_t schedules()
{
    const char* text = std::getenv("QUETZAL_SCHEDULES");
    return text == nullptr ? 400 : std::strtoull(text, nullptr, 10);
}

void run_seeds(std::uint64_t first)
{
    std::printf("seeds %llu to %llu\n", static_cast<unsigned long long>(first),
                static_cast<unsigned long long>(first + schedules() - 1));
    for (std::uint64_t seed = first; seed < first + schedules(); ++seed) {
        const auto violation = run(options_for(seed));
        check(violation.empty(), violation);
    }
}

} // namespace

// Guards against two holders, falling fencing numbers, exceeded rates and partitions that nobody
// serves after the faults. QUETZAL_SCHEDULES sets the number of schedules of each test.
Test(schedules, random_faults_1) { run_seeds(1); }
