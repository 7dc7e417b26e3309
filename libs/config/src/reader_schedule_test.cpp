#include <cstdio>
#include <string>
#include <vector>

#include "simulated_readers.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::config;
using namespace quetzal::config::test;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against a load on the configuration service that grows with the number of instances, or
// that peaks when many instances start or retry at the same time.
Test(reader_schedule, call_rate_of_330_instances_is_bounded)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        section("seed " + std::to_string(seed), [seed] {
            fleet instances(330, seed);
            section("a restart of all instances stays within the rate limit", [&] {
                instances.start_all();
                instances.run_for(10s);
                std::printf("start of all instances: at most %zu calls/s\n",
                            instances.max_calls_per_second());
                check(instances.max_calls_per_second() < max_service_calls_per_second,
                      std::to_string(instances.max_calls_per_second()));
                check(instances.reader_count() == 10,
                      std::to_string(instances.reader_count()) + " readers");
                check(instances.outdated_count() == 0,
                      std::to_string(instances.outdated_count()) + " instances without a value");
            });
            section("normal operation costs about two calls per second", [&] {
                instances.clear_calls();
                instances.run_for(60s);
                std::printf("normal operation: %zu calls/min\n", instances.call_count());
                check(instances.call_count() <= 10 * 60 / 4,
                      std::to_string(instances.call_count()) + " calls in 60 s");
            });
            section("a change reaches all instances within 5 s", [&] {
                instances.publish(2);
                instances.run_for(5s);
                check(instances.outdated_count() == 0,
                      std::to_string(instances.outdated_count()) + " outdated");
            });
            section("in an outage, instances take over in steps without synchronised calls", [&] {
                instances.clear_calls();
                instances.set_service_down(true);
                instances.run_for(120s);
                check(instances.reader_count() > 300,
                      std::to_string(instances.reader_count()) + " readers");
                std::printf("outage: at most %zu calls/s, %zu in 10 ms\n",
                            instances.max_calls_per_second(),
                            instances.max_calls_in_10ms(instances.now() - 60s));
                check(instances.max_calls_per_second() < max_service_calls_per_second,
                      std::to_string(instances.max_calls_per_second()));
                check(instances.max_calls_in_10ms(instances.now() - 60s) < 20,
                      std::to_string(instances.max_calls_in_10ms(instances.now() - 60s)) +
                          " calls within 10 ms");
            });
            section("when the service recovers, the calls of the readers are not synchronised",
                    [&] {
                        instances.clear_calls();
                        instances.publish(3);
                        instances.set_service_down(false);
                        const time_point recovered = instances.now();
                        instances.run_for(30s);
                        check(instances.outdated_count() == 0,
                              std::to_string(instances.outdated_count()) + " outdated");
                        std::printf("recovery: at most %zu calls/s, %zu in 10 ms\n",
                                    instances.max_calls_per_second(),
                                    instances.max_calls_in_10ms(recovered));
                        check(instances.max_calls_per_second() < max_service_calls_per_second,
                              std::to_string(instances.max_calls_per_second()));
                        check(instances.max_calls_in_10ms(recovered) < 40,
                              std::to_string(instances.max_calls_in_10ms(recovered)) +
                                  " calls within 10 ms");
                    });
            section("a change does not synchronise the many remaining readers", [&] {
                check(instances.reader_count() > 100,
                      std::to_string(instances.reader_count()) + " readers");
                const time_point published = instances.now();
                instances.publish(4);
                instances.run_for(2s);
                std::printf("change: %zu calls in 10 ms\n", instances.max_calls_in_10ms(published));
                check(instances.max_calls_in_10ms(published) < 60,
                      std::to_string(instances.max_calls_in_10ms(published)) +
                          " calls within 10 ms");
            });
            section("when all watches fail at once, the retries are not synchronised", [&] {
                const time_point failed = instances.now();
                instances.set_service_down(true);
                instances.run_for(10s);
                std::printf("failure: %zu calls in 10 ms\n", instances.max_calls_in_10ms(failed));
                check(instances.max_calls_in_10ms(failed) < 60,
                      std::to_string(instances.max_calls_in_10ms(failed)) + " calls within 10 ms");
                instances.set_service_down(false);
            });
            section("finally two instances of each zone are readers", [&] {
                instances.run_for(200s);
                check(instances.reader_count() == 10,
                      std::to_string(instances.reader_count()) + " readers");
            });
        });
    }
}

// Guards against a fleet that receives no changes because its readers, and only they, lost contact
// to the service.
Test(reader_schedule, followers_take_over_when_no_reader_reaches_the_service)
{
    fleet instances(330, 4);
    instances.start_all();
    instances.run_for(10s);
    section("all ten readers lose contact to the service", [&] {
        for (std::size_t index = 0; index < 330; ++index) {
            if (instances.is_reader(index)) {
                instances.disconnect(index);
            }
        }
        instances.publish(2);
        instances.run_for(10s);
        check(instances.outdated_count() == 330, "no instance knows the change at first");
    });
    section("followers take over and the change reaches all instances", [&] {
        instances.run_for(30s);
        check(instances.outdated_count() == 0,
              std::to_string(instances.outdated_count()) + " outdated after 40 s");
        check(instances.reader_count() < 100,
              std::to_string(instances.reader_count()) + " readers");
    });
}

// Guards against a small fleet that depends on two readers, and against a set of readers that never
// changes.
Test(reader_schedule, all_instances_of_a_small_fleet_read_and_readers_rotate)
{
    section("8 instances of a region all read, not only two per zone", [] {
        fleet small(8, 5, 2);
        small.start_all();
        small.run_for(5s);
        check(small.reader_count() == 8, std::to_string(small.reader_count()));
    });
    section("in a large fleet, at most half of the readers remain in the next hour", [] {
        fleet instances(330, 6);
        instances.start_all();
        instances.run_for(5s);
        std::vector<bool> previous;
        for (std::size_t index = 0; index < 330; ++index) {
            previous.push_back(instances.is_reader(index));
        }
        instances.run_for(1h);
        std::size_t remaining = 0;
        for (std::size_t index = 0; index < 330; ++index) {
            remaining += previous[index] && instances.is_reader(index) ? 1 : 0;
        }
        check(instances.reader_count() == 10 && remaining <= 5,
              std::to_string(remaining) + " of 10 readers remain");
    });
}

// Guards against a peak of calls when a fleet starts without an instance list, in which case all
// instances read the list.
Test(reader_schedule, fleet_without_a_list_spreads_its_reads)
{
    fleet instances(330, 9, 5, document::instance_list);
    instances.clear_members();
    instances.start_all();
    instances.run_for(3s);
    std::printf("first list: at most %zu calls/s, %zu in 10 ms\n", instances.max_calls_per_second(),
                instances.max_calls_in_10ms(start));
    check(instances.call_count() >= 330 &&
              instances.max_calls_per_second() < max_service_calls_per_second,
          std::to_string(instances.max_calls_per_second()));
    check(instances.max_calls_in_10ms(start) < 20,
          std::to_string(instances.max_calls_in_10ms(start)) + " calls within 10 ms");
}

// Guards against a service age that decreases while two instances report it to each other, which
// would prevent the takeover forever.
Test(reader_schedule, reported_service_age_never_decreases)
{
    std::vector<reader_schedule> nodes;
    std::vector<reader_candidate> members;
    for (int index = 0; index < 20; ++index) {
        members.push_back({instance_id("q-" + std::to_string(index)), zone_id("a"), {}, true});
    }
    for (std::size_t index = 0; index < 20; ++index) {
        nodes.emplace_back(members[index].id, document::configuration, reader_options{}, index);
        nodes.back().set_members(members, start, wall_start);
    }
    std::erase_if(nodes, [](const reader_schedule& node) { return node.is_reader(); });
    nodes.resize(2, nodes.front());
    nodes[0].on_peer_report(members[0].id, 1, 0s, start);
    random_source random(10);
    // 20 s, three steps of 5 s for the last ranks of 20 instances, and the interval of the reports.
    for (time_point now = start; now < start + 36s;
         now += std::chrono::milliseconds(300 + random.below(400)))
    {
        for (std::size_t from = 0; from < 2; ++from) {
            // A report takes less than 900 ms to arrive.
            const auto age = nodes[from].service_age(now);
            const time_point arrival = now + std::chrono::milliseconds(random.below(900));
            nodes[1 - from].on_peer_report(members[0].id, 1, age, arrival);
            nodes[from].tick(now, wall_start);
        }
    }
    check(nodes[0].has_taken_over() && nodes[1].has_taken_over(),
          "both instances have taken over in time");
}

// Guards against endless fetches of a version that a peer cannot deliver, and against using the
// response to a call that has timed out.
Test(reader_schedule, failed_fetches_back_off_and_late_responses_are_ignored)
{
    reader_schedule node(instance_id("q-0"), document::configuration, {}, 7);
    node.set_members({{instance_id("q-0"), zone_id("a"), region_id("r"), false}}, start,
                     wall_start);
    node.set_versions(1, 1);
    section("the fetches from a peer that fails become less frequent", [&] {
        std::size_t fetches = 0;
        for (int step = 0; step < 600; ++step) {
            const time_point now = start + step * 500ms;
            auto actions = node.on_peer_report(instance_id("q-1"), 9, 0s, now);
            for (const auto& action : actions) {
                if (const auto* fetch = std::get_if<fetch_from_peer>(&action)) {
                    ++fetches;
                    node.on_fetched(fetch->number, false, now);
                }
            }
        }
        check(fetches >= 8 && fetches < 60, std::to_string(fetches) + " fetches in 300 s");
    });
    section("versions that need no fetch are not fetched", [&] {
        node.set_versions(9, 9);
        check(node.on_peer_report(instance_id("q-1"), 9, 0s, start + 400s).empty(),
              "no fetch is started");
    });
    section("a response to a read that has timed out is ignored", [&] {
        const time_point now = start + 500s;
        auto actions = node.tick(now, wall_start);
        for (time_point at = now; actions.empty(); at += 100ms) {
            actions = node.tick(at, wall_start);
        }
        const auto read = std::get<read_service>(actions.at(0));
        const auto late = node.tick(now + 2s + read.timeout, wall_start);
        check(std::holds_alternative<abandon_read>(late.at(0)), "the read is abandoned");
        const auto age = node.service_age(now + 10s);
        node.on_service_answer(read.number, service_answer::new_value, now + 10s, wall_start);
        check(node.service_age(now + 10s) == age, "the service age is unchanged");
    });
}

// Guards against never seeing that the list returned to a lower revision, because watches only ask
// for higher revisions.
Test(reader_schedule, every_instance_reads_the_list_unconditionally)
{
    reader_schedule node(instance_id("q-9"), document::instance_list, {}, 8);
    std::vector<reader_candidate> members;
    for (int index = 0; index < 20; ++index) {
        members.push_back({instance_id("q-" + std::to_string(index)), zone_id("a"), {}, true});
    }
    node.set_versions(10, 10);
    node.set_members(members, start, wall_start);
    std::vector<time_point> unconditional_reads;
    for (time_point now = start; now < start + 30min; now += 500ms) {
        // Other readers reach the service, so this instance does not take over.
        node.on_peer_report(instance_id("q-1"), 10, 1s, now);
        for (const auto& action : node.tick(now, wall_start)) {
            const auto& read = std::get<read_service>(action);
            const bool unconditional = read.after == 0 && read.wait == 0ms;
            if (unconditional) {
                unconditional_reads.push_back(now);
            }
            node.on_service_answer(
                read.number, unconditional ? service_answer::refused : service_answer::unchanged,
                now, wall_start);
        }
    }
    check(unconditional_reads.size() > 30, "a rejected list is read repeatedly, " +
                                               std::to_string(unconditional_reads.size()) +
                                               " reads");
    check(unconditional_reads.front() - start <= 15min * 3 / 2,
          "the first unconditional read is within 22.5 min");
}
