#include <atomic>
#include <thread>

#include <quetzal/rights/fleet_rights.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::rights;
using quetzal::testing::check;
using std::chrono::milliseconds;

// Guards against data races between admissions and all other functions, and against admissions that
// a race counts twice or not at all. Intended for ThreadSanitizer too.
Test(threads, admissions_run_beside_renewals_and_configurations)
{
    const time_point start{std::chrono::hours(1)};
    auto config = std::make_shared<config::published>();
    config->version = 1;
    config->regions = {region_id("r")};
    config->zones.push_back({zone_id("a"), region_id("r"), config::zone_state::in});
    constexpr std::size_t customers = 20;
    for (std::size_t index = 0; index < customers; ++index) {
        config->customers.push_back({customer_id("c" + std::to_string(index)), {}, 100, 50});
    }
    config->index();
    config::instance_list list;
    list.revision = 1;
    list.instances.push_back({instance_id("q"), "127.0.0.1", 1, 1, zone_id("a"), {}});

    fleet_rights rights({instance_id("q"), incarnation{1}, zone_id("a"), start, 8});
    rights.set_config(config, start);
    rights.set_list(list, start);
    rights.set_peers({}, start);

    std::atomic<duration::rep> now{start.time_since_epoch().count()};
    std::atomic<bool> done{false};
    std::array<std::atomic<std::uint64_t>, customers> admitted_count{};
    std::vector<std::thread> callers;
    for (std::size_t thread = 0; thread < 4; ++thread) {
        callers.emplace_back([&, thread] {
            for (std::size_t turn = thread; !done; ++turn) {
                const time_point at{duration(now.load())};
                const std::size_t index = turn % customers;
                if (std::holds_alternative<admitted>(
                        rights.admit(customer_id("c" + std::to_string(index)), at))) {
                    ++admitted_count[index];
                }
                static_cast<void>(rights.fresh(at));
                static_cast<void>(rights.fence(endpoint_id("e"), at));
            }
        });
    }
    constexpr int steps = 8000;
    for (int step = 1; step <= steps; ++step) {
        const time_point at = start + step * milliseconds(1);
        rights.on_tick(at);
        if (step % 1000 == 0) {
            auto next = std::make_shared<config::published>(*config);
            next->version = static_cast<std::uint64_t>(step);
            rights.set_config(next, at);
        }
        now = at.time_since_epoch().count();
        if (step % 100 == 0) {
            std::this_thread::yield();
        }
    }
    done = true;
    for (auto& caller : callers) {
        caller.join();
    }
    for (const auto& count : admitted_count) {
        check(count <= 50 + 100 * steps / 1000, std::to_string(count) + " admitted");
    }
    check(rights.fresh(start + steps * milliseconds(1)), "the view is fresh at the end");
}
