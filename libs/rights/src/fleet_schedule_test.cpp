#include "fleet_schedules.hpp"

#include <cstdlib>
#include <functional>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::rights;
using namespace quetzal::rights::testing;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::seconds;

namespace {

std::uint64_t schedule_count()
{
    const char* text = std::getenv("QUETZAL_SCHEDULES");
    return text == nullptr ? 500 : std::strtoull(text, nullptr, 10);
}

void run_seeds(std::uint64_t first)
{
    std::printf("seeds %llu to %llu\n", static_cast<unsigned long long>(first),
                static_cast<unsigned long long>(first + schedule_count() - 1));
    for (std::uint64_t seed = first; seed < first + schedule_count(); ++seed) {
        const auto violation = run(options_for(seed));
        check(violation.empty(), violation);
    }
}

// Returns whether one of the first `seeds` schedules finds a violation.
bool finds_violation(const std::function<std::string(std::uint64_t)>& violation,
                     std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (const auto text = violation(seed); !text.empty()) {
            std::printf("%s\n", text.c_str());
            return true;
        }
    }
    return false;
}

std::string run_kinds(schedule_options settings, std::vector<fault_kind> kinds)
{
    settings.nodes = std::max<std::size_t>(3, settings.nodes);
    settings.kinds = std::move(kinds);
    settings.fault_interval = milliseconds(2500);
    settings.fault_time = seconds(30);
    return run(settings);
}

// Isolates one instance repeatedly, so that partitions move by lease expiry and back by handover.
std::string run_isolations(schedule_options settings)
{
    settings.nodes = 3;
    settings.faults = false;
    settings.fault_time = seconds(90);
    fleet_harness fleet(settings);
    fleet.run_until(milliseconds(4500));
    for (std::size_t round = 0; round < 5 && fleet.violation().empty(); ++round) {
        fleet.isolate(settings.duplicates < 1 ? round % 3 : 0);
        fleet.run_until(fleet.now() + milliseconds(3600));
        fleet.reconnect();
        fleet.run_until(fleet.now() + milliseconds(2600));
    }
    return fleet.violation();
}

// Restarts the home immediately while a delegate holds credits, then spends all credits and tokens.
std::string run_home_restart(schedule_options settings)
{
    settings.nodes = 3;
    settings.faults = false;
    settings.customers = {{100, 20}};
    fleet_harness fleet(settings);
    fleet.run_until(seconds(10)); // by then, a quorum without the home is sufficient
    const auto home = fleet.home(0);
    if (home == fleet.nodes()) {
        return {};
    }
    const auto delegate = (home + 1) % fleet.nodes();
    for (int round = 0; round < 40; ++round) {
        fleet.burst(0, delegate, 4);
        fleet.run_until(fleet.now() + milliseconds(50));
    }
    fleet.start(home);
    fleet.run_until(fleet.now() + milliseconds(320));
    fleet.burst(0, home, 40);
    fleet.burst(0, delegate, 40);
    return fleet.violation();
}

// Checks that the scenario finds a violation without the mechanism and none with it.
template <class Scenario>
void check_mechanism(const char* name, bool safeguards::*mechanism, std::uint64_t seeds,
                     Scenario&& scenario)
{
    section(name, [&] {
        const auto with = [&](bool present) {
            return [&, present](std::uint64_t seed) {
                auto settings = options_for(seed);
                settings.safe.*mechanism = present;
                return scenario(settings);
            };
        };
        check(finds_violation(with(false), seeds),
              "the harness detects that the mechanism is missing");
        check(!finds_violation(with(true), std::min<std::uint64_t>(seeds, 12)),
              "no violation with the mechanism");
    });
}

} // namespace

// Guards against two holders, decreasing fencing tokens, exceeded rates and partitions without a
// holder after the faults. QUETZAL_SCHEDULES sets the number of schedules of each test.
Test(schedules, random_faults_1)
{
    run_seeds(1);
}
Test(schedules, random_faults_2)
{
    run_seeds(1'000'001);
}
Test(schedules, random_faults_3)
{
    run_seeds(2'000'001);
}
Test(schedules, random_faults_4)
{
    run_seeds(3'000'001);
}

// Guards against a harness that does not detect faults of the voting protocol.
Test(counter_tests, votes)
{
    check_mechanism("two thirds of the votes", &safeguards::quorum, 20,
                    [](const auto& settings) { return run(settings); });
    check_mechanism(
        "silence after a start", &safeguards::voter_silence, 20, [](const auto& settings) {
            return run_kinds(settings, {fault_kind::restart_others, fault_kind::reconnect});
        });
    check_mechanism("leases count from sending", &safeguards::count_from_sending, 60,
                    [](auto settings) {
                        settings.late = 0.5;
                        return run_kinds(settings, {fault_kind::isolate, fault_kind::reconnect});
                    });
    check_mechanism("drift margin", &safeguards::drift_margin, 60,
                    [](const auto& settings) { return run_isolations(settings); });
    check_mechanism("comparison of lists", &safeguards::list_check, 150, [](auto settings) {
        settings.safe.recent_starts = false; // covers most of the same cases
        return run_kinds(settings,
                         {fault_kind::replace, fault_kind::isolate, fault_kind::reconnect});
    });
    check_mechanism("order of releases", &safeguards::release_order, 40, [](auto settings) {
        settings.duplicates = 1;
        settings.max_late_delay = seconds(8);
        return run_isolations(settings);
    });
    check_mechanism("memory of fencing tokens", &safeguards::fence_memory, 40, [](auto settings) {
        settings.wall_skew = seconds(20);
        // Without restarts: a restarted voter forgets, and the wall clocks differ widely here.
        return run_kinds(settings, {fault_kind::isolate, fault_kind::reconnect});
    });
}

// Guards against a harness that does not detect faults of the credit protocol.
Test(counter_tests, credits)
{
    check_mechanism("expiry of credits", &safeguards::credit_expiry, 150, [](const auto& settings) {
        return run_kinds(settings, {fault_kind::isolate, fault_kind::reconnect});
    });
    check_mechanism("sequence numbers of credit requests", &safeguards::credit_sequence, 60,
                    [](auto settings) {
                        settings.duplicates = 0.3;
                        return run(settings);
                    });
    check_mechanism("outstanding credits count against the burst", &safeguards::outstanding_cap,
                    150, [](const auto& settings) { return run(settings); });
    check_mechanism(
        "empty bucket at the start of a term", &safeguards::empty_start, 40,
        [](const auto& settings) { return run_kinds(settings, {fault_kind::restart}); });
    check_mechanism("credits of a lease that ended early", &safeguards::former_lease, 60,
                    [](const auto& settings) { return run_home_restart(settings); });
}
