#ifndef QUETZAL_RIGHTS_SRC_FLEET_SCHEDULES_HPP
#define QUETZAL_RIGHTS_SRC_FLEET_SCHEDULES_HPP

// Random fault schedules for the fleet harness, selected by seed.

#include "fleet_harness.hpp"

namespace quetzal::rights::testing {

inline constexpr std::size_t fleet_sizes[] = {1, 2, 3, 5, 6, 8};

inline schedule_options options_for(std::uint64_t seed)
{
    schedule_options settings;
    settings.seed = seed;
    settings.nodes = fleet_sizes[seed % std::size(fleet_sizes)];
    settings.loss = seed % 4 == 0 ? 0.1 : 0.02;
    return settings;
}

// Runs one schedule and returns the violation that it finds, or an empty string.
inline std::string run(const schedule_options& settings)
{
    fleet_harness fleet(settings);
    for (std::size_t customer = 0; customer < fleet.customers(); ++customer) {
        const auto variant = (settings.seed + customer) % 3;
        fleet.run_callers(customer, 1.5 + static_cast<double>(variant),
                          static_cast<fleet_harness::callers>(variant));
    }
    fleet.run_until(settings.fault_time);
    if (!fleet.violation().empty()) {
        return fleet.violation();
    }
    // Allows for the silence after a large change of the list, a lease, and the delay before a
    // handover to a higher-ranked instance.
    fleet.run_until(settings.fault_time + std::chrono::seconds(14));
    if (fleet.violation().empty() && fleet.held() != fleet.partitions()) {
        return "seed " + std::to_string(settings.seed) + ": only " + std::to_string(fleet.held()) +
               " partitions are held after the faults";
    }
    return fleet.violation();
}

} // namespace quetzal::rights::testing

#endif
