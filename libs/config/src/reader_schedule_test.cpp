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

// Guards against a load on the configuration service that grows with the fleet or peaks when many
// instances start, or retry, at the same moment.
Test(reader_schedule, the_call_rate_stays_bounded_at_design_size)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        section("seed " + std::to_string(seed), [seed] {
            fleet all(330, seed);
            section("a whole-fleet restart", [&] {
                all.start_all();
                all.run(10s);
                std::printf("start of all: at most %zu calls/s\n", all.peak_calls());
                check(all.peak_calls() < service_limit, std::to_string(all.peak_calls()));
                check(all.readers() == 10, std::to_string(all.readers()) + " readers");
                check(all.behind() == 0, std::to_string(all.behind()) + " without a value");
            });
            section("ordinary operation costs two calls a second", [&] {
                all.forget_calls();
                all.run(60s);
                std::printf("ordinary operation: %zu calls/min\n", all.calls());
                check(all.calls() <= 10 * 60 / 4, std::to_string(all.calls()) + " calls in 60 s");
            });
            section("a change reaches all within 5 s", [&] {
                all.publish(2);
                all.run(5s);
                check(all.behind() == 0, std::to_string(all.behind()) + " behind");
            });
            section("an outage makes all take over in steps, without synchronising", [&] {
                all.forget_calls();
                all.set_down(true);
                all.run(120s);
                check(all.readers() > 300, std::to_string(all.readers()) + " readers");
                std::printf("outage: at most %zu calls/s, %zu in 10 ms\n", all.peak_calls(),
                            all.burst(all.now() - 60s));
                check(all.peak_calls() < service_limit, std::to_string(all.peak_calls()));
                check(all.burst(all.now() - 60s) < 20,
                      std::to_string(all.burst(all.now() - 60s)) + " calls within 10 ms");
            });
            section("when the service returns, its readers come back spread and step down", [&] {
                all.forget_calls();
                all.publish(3);
                all.set_down(false);
                const time_point returned = all.now();
                all.run(30s);
                check(all.behind() == 0, std::to_string(all.behind()) + " behind");
                std::printf("return: at most %zu calls/s, %zu in 10 ms\n", all.peak_calls(),
                            all.burst(returned));
                check(all.peak_calls() < service_limit, std::to_string(all.peak_calls()));
                check(all.burst(returned) < 40,
                      std::to_string(all.burst(returned)) + " calls within 10 ms");
            });
            section("while many still read, a change does not bring them into step", [&] {
                check(all.readers() > 100, std::to_string(all.readers()) + " readers");
                const time_point published = all.now();
                all.publish(4);
                all.run(2s);
                std::printf("change: %zu calls in 10 ms\n", all.burst(published));
                check(all.burst(published) < 60,
                      std::to_string(all.burst(published)) + " calls within 10 ms");
            });
            section("when all their watches fail at once, the retries do not keep step", [&] {
                const time_point failed = all.now();
                all.set_down(true);
                all.run(10s);
                std::printf("failure: %zu calls in 10 ms\n", all.burst(failed));
                check(all.burst(failed) < 60,
                      std::to_string(all.burst(failed)) + " calls within 10 ms");
                all.set_down(false);
            });
            section("in the end two of each zone read", [&] {
                all.run(200s);
                check(all.readers() == 10, std::to_string(all.readers()) + " readers");
            });
        });
    }
}

// Guards against a fleet that stops learning of changes because its readers alone lost the service.
Test(reader_schedule, others_take_over_when_no_reader_makes_progress)
{
    fleet all(330, 4);
    all.start_all();
    all.run(10s);
    section("given that all ten readers are cut off from the service", [&] {
        for (std::size_t index = 0; index < 330; ++index) {
            if (all.reads(index)) {
                all.cut(index);
            }
        }
        all.publish(2);
        all.run(10s);
        check(all.behind() == 330, "the change is unknown at first");
    });
    section("others take over and the change arrives", [&] {
        all.run(30s);
        check(all.behind() == 0, std::to_string(all.behind()) + " behind after 40 s");
        check(all.readers() < 100, std::to_string(all.readers()) + " readers");
    });
}

// Guards against a small fleet that depends on two readers, and against one set of readers for
// ever.
Test(reader_schedule, small_fleets_read_all_and_readers_rotate)
{
    section("8 instances of a region all read, although two per zone would be fewer", [] {
        fleet small(8, 5, 2);
        small.start_all();
        small.run(5s);
        check(small.readers() == 8, std::to_string(small.readers()));
    });
    section("in a large fleet, the readers of the next hour differ", [] {
        fleet all(330, 6);
        all.start_all();
        all.run(5s);
        std::vector<bool> former;
        for (std::size_t index = 0; index < 330; ++index) {
            former.push_back(all.reads(index));
        }
        all.run(1h);
        std::size_t kept = 0;
        for (std::size_t index = 0; index < 330; ++index) {
            kept += former[index] && all.reads(index) ? 1 : 0;
        }
        check(all.readers() == 10 && kept <= 5, std::to_string(kept) + " of 10 kept");
    });
}

// Guards against a peak of calls when a whole fleet starts without a list: all read it then.
Test(reader_schedule, a_fleet_without_a_list_reads_it_spread)
{
    fleet all(330, 9, 5, document::instance_list);
    all.forget_members();
    all.start_all();
    all.run(3s);
    std::printf("first list: at most %zu calls/s, %zu in 10 ms\n", all.peak_calls(),
                all.burst(start));
    check(all.calls() >= 330 && all.peak_calls() < service_limit, std::to_string(all.peak_calls()));
    check(all.burst(start) < 20, std::to_string(all.burst(start)) + " calls within 10 ms");
}

// Guards against an age that becomes younger while two instances pass it to each other, which would
// prevent the takeover for ever.
Test(reader_schedule, an_age_passed_around_does_not_become_younger)
{
    std::vector<reader_schedule> pair;
    std::vector<reader_candidate> members;
    for (int index = 0; index < 20; ++index) {
        members.push_back({instance_id("q-" + std::to_string(index)), zone_id("a"), {}, true});
    }
    for (std::size_t index = 0; index < 20; ++index) {
        pair.emplace_back(members[index].id, document::configuration, reader_options{}, index);
        pair.back().set_members(members, start, wall_start);
    }
    std::erase_if(pair, [](const reader_schedule& node) { return node.is_reader(); });
    pair.resize(2, pair.front());
    pair[0].on_peer_report(members[0].id, 1, 0s, start);
    random_source random(10);
    // 20 s and three steps of 5 s for the last ranks of 20 instances, and the interval of reports.
    for (time_point now = start; now < start + 36s;
         now += std::chrono::milliseconds(300 + random.below(400)))
    {
        for (std::size_t from = 0; from < 2; ++from) {
            // Up to 900 ms on the way.
            const auto age = pair[from].service_age(now);
            const time_point arrival = now + std::chrono::milliseconds(random.below(900));
            pair[1 - from].on_peer_report(members[0].id, 1, age, arrival);
            pair[from].tick(now, wall_start);
        }
    }
    check(pair[0].has_taken_over() && pair[1].has_taken_over(), "taken over in time");
}

// Guards against endless fetches of a version that a peer cannot deliver, and against an answer of
// a call that was given up.
Test(reader_schedule, failed_fetches_back_off_and_late_answers_are_ignored)
{
    reader_schedule node(instance_id("q-0"), document::configuration, {}, 7);
    node.set_members({{instance_id("q-0"), zone_id("a"), region_id("r"), false}}, start,
                     wall_start);
    node.set_known(1, 1);
    section("a peer that reports a version but fails is asked less and less", [&] {
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
    section("settled versions are not fetched", [&] {
        node.set_known(9, 9);
        check(node.on_peer_report(instance_id("q-1"), 9, 0s, start + 400s).empty(), "settled");
    });
    section("an answer to a read that timed out is ignored", [&] {
        const time_point now = start + 500s;
        auto actions = node.tick(now, wall_start);
        for (time_point at = now; actions.empty(); at += 100ms) {
            actions = node.tick(at, wall_start);
        }
        const auto read = std::get<read_service>(actions.at(0));
        const auto late = node.tick(now + 2s + read.timeout, wall_start);
        check(std::holds_alternative<abandon_read>(late.at(0)), "given up");
        const auto age = node.service_age(now + 10s);
        node.on_service_answer(read.number, service_answer::new_value, now + 10s, wall_start);
        check(node.service_age(now + 10s) == age, "ignored");
    });
}

// Guards against a list that went back and is never seen, because watches only ask for higher
// revisions.
Test(reader_schedule, every_instance_verifies_the_list_unconditionally)
{
    reader_schedule node(instance_id("q-9"), document::instance_list, {}, 8);
    std::vector<reader_candidate> members;
    for (int index = 0; index < 20; ++index) {
        members.push_back({instance_id("q-" + std::to_string(index)), zone_id("a"), {}, true});
    }
    node.set_known(10, 10);
    node.set_members(members, start, wall_start);
    std::vector<time_point> verified;
    for (time_point now = start; now < start + 30min; now += 500ms) {
        // Readers elsewhere make progress, so this instance does not take over.
        node.on_peer_report(instance_id("q-1"), 10, 1s, now);
        for (const auto& action : node.tick(now, wall_start)) {
            const auto& read = std::get<read_service>(action);
            const bool unconditional = read.after == 0 && read.wait == 0ms;
            if (unconditional) {
                verified.push_back(now);
            }
            node.on_service_answer(
                read.number, unconditional ? service_answer::refused : service_answer::unchanged,
                now, wall_start);
        }
    }
    check(verified.size() > 30,
          "a refused list is read again and again, " + std::to_string(verified.size()) + " reads");
    check(verified.front() - start <= 15min * 3 / 2, "first within 22.5 min");
}
