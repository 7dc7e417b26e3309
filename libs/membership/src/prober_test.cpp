#include <cstdio>
#include <set>
#include <string>

#include "simulated_fleet.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::membership;
using namespace quetzal::membership::test;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

std::string number(std::size_t value)
{
    return std::to_string(value);
}

} // namespace

// Guards against a dead member that keeps receiving callers, and against a live one that does not.
Test(prober, the_dead_are_suspected_and_only_they)
{
    simulated_fleet fleet(8, 1);
    section("given a quiet network, nobody is suspected", [&] {
        fleet.run(60s);
        check(fleet.suspicions_seen() == 0, "no suspicion in 60 s");
        check(fleet.node(0).view().size() == 7, "all others are members");
        check(fleet.node(0).view(fleet.name(1))->process == incarnation{1001}, "incarnation");
    });
    section("when an instance dies, all others suspect it soon", [&] {
        fleet.kill(3);
        const auto taken =
            fleet.run_until([&] { return fleet.seen_as(3, member_state::suspected) == 7; }, 20s);
        check(taken < 5s, "within 5 s");
        check(fleet.suspicions_seen() == 7, "nobody else is suspected");
    });
    section("it remains a member until the platform removes it", [&] {
        fleet.run(60s);
        check(fleet.node(0).view().size() == 7, "still listed");
        std::set<instance_id> removed;
        fleet.watch = [&](std::size_t, const prober_action& action) {
            if (const auto* gone = std::get_if<member_removed>(&action)) {
                removed.insert(gone->instance);
            }
        };
        std::erase_if(fleet.list.instances,
                      [&](const auto& entry) { return entry.id == fleet.name(3); });
        fleet.set_lists();
        check(removed == std::set<instance_id>{fleet.name(3)}, "removed");
        check(!fleet.node(0).view(fleet.name(3)), "no member any more");
        fleet.run(10s);
        check(!fleet.node(0).view(fleet.name(3)), "gossip does not bring it back");
    });
    section("a successor that the platform lists is a member from its first probe on", [&] {
        fleet.list.instances.push_back({fleet.name(3), "", 0, 0, zone_id("z0")});
        fleet.set_lists();
        fleet.restart(3, 2000);
        fleet.run(10s);
        check(fleet.seen_as(3, member_state::live) == 7, "live");
        check(fleet.node(0).view(fleet.name(3))->process == incarnation{2000}, "its process");
    });
}

// Guards against suspicions that stick to a live instance after loss or a cut.
Test(prober, false_suspicions_are_refuted)
{
    section("a path cut in one direction leads to no suspicion: others probe for it", [] {
        simulated_fleet fleet(8, 2);
        fleet.run(5s);
        fleet.cut(1, 2);
        fleet.cut(2, 4);
        fleet.run(60s);
        check(fleet.suspicions_seen() == 0, number(fleet.suspicions_seen()));
    });
    section("slow links lead to indirect probes, but to no suspicion", [] {
        simulated_fleet fleet(8, 12);
        fleet.net.latency = 200ms;
        fleet.run(60s);
        check(fleet.node(0).counters().indirect_requests > 0, "indirect probes");
        check(fleet.suspicions_seen() == 0, number(fleet.suspicions_seen()));
    });
    section("an isolated instance is suspected, and refutes that when it is back", [] {
        simulated_fleet fleet(8, 3);
        fleet.run(5s);
        fleet.isolate(5);
        fleet.run(20s);
        check(fleet.seen_as(5, member_state::suspected) == 7, "all suspect it");
        check(fleet.node(5).view(fleet.name(0))->suspected, "it suspects all, for itself");
        fleet.heal();
        const auto taken = fleet.run_until([&] { return fleet.suspicions_seen() == 0; }, 30s);
        check(taken < 8s, "refuted");
        check(fleet.node(5).counters().refutations > 0, "by itself");
        std::size_t spread = 0;
        for (std::size_t index = 0; index < 8; ++index) {
            spread += index == 5 ? 0 : fleet.node(index).counters().refutations;
        }
        check(spread <= 1, "its own suspicions were not spread: " + number(spread));
    });
    section("an instance that hears all but cannot send does not accuse the others", [] {
        simulated_fleet fleet(8, 4);
        fleet.run(5s);
        for (std::size_t other = 0; other < 8; ++other) {
            fleet.cut(5, other);
        }
        fleet.run(20s);
        fleet.heal();
        fleet.run(10s);
        check(fleet.suspicions_seen() == 0, "all refuted");
        std::size_t spread = 0;
        for (std::size_t index = 0; index < 8; ++index) {
            spread += index == 5 ? 0 : fleet.node(index).counters().refutations;
        }
        check(spread <= 1, "its suspicions were not spread: " + number(spread));
    });
}

// Guards against a process that resumes with an old view and blames the others for its pause.
Test(prober, a_pause_of_30_s_is_noticed_by_both_sides)
{
    simulated_fleet fleet(8, 5);
    fleet.run(5s);
    section("given a paused process, the others suspect it", [&] {
        fleet.pause(2);
        fleet.run(30s);
        check(fleet.seen_as(2, member_state::suspected) == 7, "suspected");
    });
    section("when it resumes, it suspects nobody and is trusted again", [&] {
        bool blamed = false;
        fleet.watch = [&](std::size_t index, const prober_action& action) {
            const auto* change = std::get_if<member_changed>(&action);
            blamed |= index == 2 && change != nullptr &&
                      change->now_seen.state == member_state::suspected;
        };
        fleet.resume(2);
        const auto taken = fleet.run_until([&] { return fleet.suspicions_seen() == 0; }, 30s);
        check(taken < 5s, "trusted again within 5 s");
        check(!blamed, "it blamed nobody");
        check(fleet.node(2).counters().pauses == 1, "the pause is counted");
    });
}

// Guards against taking a new process for the former one, or the former one for alive: rights are
// granted at once after proof of death.
Test(prober, a_new_incarnation_proves_the_death_of_the_former)
{
    simulated_fleet fleet(8, 6);
    fleet.run(5s);
    std::vector<member_restarted> events;
    std::size_t stopped = 0;
    fleet.watch = [&](std::size_t, const prober_action& action) {
        if (const auto* restarted = std::get_if<member_restarted>(&action)) {
            events.push_back(*restarted);
        }
        stopped += std::holds_alternative<superseded>(action) ? 1 : 0;
    };
    section("when an instance restarts, every other one learns it exactly once", [&] {
        fleet.restart(4, 5000);
        fleet.run(10s);
        check(events.size() == 7, number(events.size()) + " events");
        bool direct = false;
        for (const auto& event : events) {
            check(event.instance == fleet.name(4) && event.former == incarnation{1004} &&
                      event.current == incarnation{5000},
                  "who");
            direct |= event.directly;
        }
        check(direct, "somebody heard it from the process itself");
        check(fleet.seen_as(4, member_state::live) == 7, "live");
    });
    section("late messages of the former process change nothing", [&] {
        const peer::received_message late{
            fleet.name(4), incarnation{1004},
            peer::probe{1, {}, {{fleet.name(1), incarnation{1001}, true, true, 99}}}};
        const auto answer = fleet.node(0).on_message(late, fleet.now);
        check(fleet.node(0).view(fleet.name(4))->process == incarnation{5000}, "incarnation stays");
        check(fleet.node(0).view(fleet.name(1))->state == member_state::live, "updates unused");
        const auto& ack =
            std::get<peer::probe_ack>(std::get<send_message>(answer.at(0)).message.body);
        check(ack.updates.at(0).instance == fleet.name(4) &&
                  ack.updates.at(0).process == incarnation{5000},
              "the answer tells it of its successor");
    });
    section("a process whose clock was behind learns that it is outnumbered and stops", [&] {
        fleet.restart(4, 4000);
        fleet.run(2s);
        check(stopped == 1, number(stopped) + " processes stopped");
        check(fleet.node(4).next_wakeup() == time_point::max(), "it probes no more");
        fleet.restart(4, 6000);
        fleet.run(5s);
        check(fleet.seen_as(4, member_state::live) == 7, "the next one is accepted");
    });
}

// Guards against a leaving instance that receives new callers after 3 s (promises 9 and 10).
Test(prober, a_leaving_instance_is_known_to_all_soon)
{
    for (const std::size_t count : {8, 50}) {
        section(number(count) + " instances", [count] {
            simulated_fleet fleet(count, 7);
            fleet.net.loss = 0.05;
            fleet.run(5s);
            fleet.perform(1, fleet.node(1).begin_leave(fleet.now));
            const auto taken = fleet.run_until(
                [&] { return fleet.seen_as(1, member_state::leaving) == count - 1; }, 30s);
            check(taken < 3s, "known to all within 3 s");
            check(fleet.node(1).begin_leave(fleet.now).empty(), "declared once");
            section("one that joins late hears of it with the first contact", [&] {
                fleet.run(30s);
                fleet.restart(2, 9000);
                fleet.net.loss = 0;
                fleet.perform(2, fleet.node(2).probe_now(fleet.name(1), fleet.now));
                fleet.run(10ms);
                check(fleet.node(2).view(fleet.name(1))->state == member_state::leaving, "leaving");
            });
            section("the state is final for the process, not for its successor", [&] {
                fleet.restart(1, 9001);
                fleet.run(10s);
                check(fleet.seen_as(1, member_state::live) == count - 1, "live");
            });
        });
    }
    section("the platform's list can say so too", [] {
        simulated_fleet fleet(8, 8);
        fleet.list.instances[6].state = config::listed_state::leaving;
        fleet.set_lists();
        check(fleet.seen_as(6, member_state::leaving) == 7, "listed as leaving");
    });
}

// Guards against versions that spread with the probing rounds alone: the 5 s of promise 11 include
// the fetch.
Test(prober, a_new_version_is_announced_at_once)
{
    simulated_fleet fleet(330, 9);
    fleet.run(3s);
    std::vector<std::uint64_t> known(330, 1);
    // Each instance adopts what it hears after 20 ms of fetching.
    fleet.watch = [&](std::size_t index, const prober_action& action) {
        const auto* report = std::get_if<versions_reported>(&action);
        if (report != nullptr && report->known.config > known[index]) {
            known[index] = report->known.config;
            fleet.perform(index, fleet.node(index).set_versions(report->known, fleet.now));
        }
    };
    fleet.net.loss = 0.02;
    known[17] = 2;
    const auto announced = fleet.node(17).set_versions({2, 1}, fleet.now);
    check(announced.size() == prober_options{}.announce_peers, "told to a few peers at once");
    check(fleet.node(17).set_versions({2, 1, 3, 3}, fleet.now).empty(), "new ages are no news");
    fleet.perform(17, announced);
    const auto taken = fleet.run_until(
        [&] { return std::all_of(known.begin(), known.end(), [](auto v) { return v == 2; }); },
        20s);
    std::printf("version known to 330 after %lld ms, seed 9, 2%% loss\n",
                static_cast<long long>(taken / 1ms));
    check(taken < 2500ms, "known to all in half of the 5 s");
}

// Guards against a member list that differs from the platform's, and against a crash on messages
// about or from instances that are not listed.
Test(prober, the_platforms_list_decides_on_membership)
{
    simulated_fleet fleet(4, 10);
    auto& node = fleet.node(0);
    section("an instance that is not listed is answered but does not become a member", [&] {
        const peer::received_message stranger{
            instance_id("entry-99"), incarnation{1},
            peer::probe{5, {3, 2}, {{instance_id("entry-98"), incarnation{1}, false, true, 1}}}};
        const auto actions = node.on_message(stranger, fleet.now);
        check(std::any_of(
                  actions.begin(), actions.end(),
                  [](const auto& action) { return std::holds_alternative<send_message>(action); }),
              "answered");
        check(node.view().size() == 3, "no new member");
    });
    section("a suspicion about a listed member removes it from nothing but the live", [&] {
        const peer::received_message gossip{
            fleet.name(1), incarnation{1001},
            peer::probe{6, {}, {{fleet.name(2), incarnation{1002}, false, true, 7}}}};
        node.on_message(gossip, fleet.now);
        check(node.view(fleet.name(2))->state == member_state::suspected, "suspected");
        check(node.view().size() == 3, "member");
        fleet.run(5s);
        check(node.view(fleet.name(2))->state == member_state::live, "refuted");
    });
}

// Guards against datagrams that grow with the number of changes, against a refutation that waits
// behind them, and against updates that are sent for ever.
Test(prober, updates_are_bounded_and_come_to_an_end)
{
    simulated_fleet fleet(40, 13);
    fleet.run(2s);
    auto& node = fleet.node(0);
    const auto updates_of_next_probe = [&] {
        const auto actions = node.probe_now(fleet.name(1), fleet.now);
        return std::get<peer::probe>(std::get<send_message>(actions.at(0)).message.body).updates;
    };
    section("given news about many members and a suspicion against itself", [&] {
        std::vector<peer::member_update> news;
        for (std::size_t index = 2; index < 30; ++index) {
            news.push_back({fleet.name(index), incarnation{1000 + index}, true, false, 1});
        }
        news.push_back({fleet.name(0), incarnation{1000}, false, true, 0});
        const auto actions = node.on_message(
            {fleet.name(1), incarnation{1001}, peer::probe{1, {}, news}}, fleet.now);
        section("the answer has a bounded number of updates, the refutation first", [&] {
            const auto& sent = std::get<send_message>(actions.back()).message.body;
            const auto& updates = std::get<peer::probe_ack>(sent).updates;
            check(updates.size() == prober_options{}.updates_per_message, number(updates.size()));
            check(updates.at(0).instance == fleet.name(0) && !updates.at(0).suspected &&
                      updates.at(0).sequence == 1,
                  "refutation");
        });
    });
    section("leaving is final for a process, whatever older news say", [&] {
        node.on_message({fleet.name(1), incarnation{1001},
                         peer::probe{2,
                                     {},
                                     {{fleet.name(2), incarnation{1002}, false, false, 0},
                                      {fleet.name(2), incarnation{1002}, false, false, 2}}}},
                        fleet.now);
        check(node.view(fleet.name(2))->state == member_state::leaving, "leaving");
    });
    section("after a minute without news, messages carry none", [&] {
        fleet.run(60s);
        check(updates_of_next_probe().empty(), number(updates_of_next_probe().size()));
    });
}

// Guards against any combination of faults that leaves instances with different views for ever.
Test(prober, views_agree_after_random_faults)
{
    for (std::uint64_t seed = 100; seed < 112; ++seed) {
        section("seed " + number(seed), [seed] {
            const std::size_t count = 12;
            simulated_fleet fleet(count, seed);
            random_source random(seed);
            fleet.net = {0.05, 0.1, 1ms, 30ms};
            std::uint64_t process = 10'000;
            std::vector<bool> paused(count);
            for (int step = 0; step < 60; ++step) {
                const std::size_t one = random.below(count);
                const std::size_t other = random.below(count);
                switch (random.below(5)) {
                case 0:
                    fleet.cut(one, other);
                    break;
                case 1:
                    fleet.restart(one, ++process);
                    paused[one] = false;
                    break;
                case 2:
                    if (!paused[one]) {
                        fleet.pause(one);
                        paused[one] = true;
                    }
                    break;
                case 3:
                    if (paused[one]) {
                        fleet.resume(one);
                        paused[one] = false;
                    }
                    break;
                default:
                    fleet.heal();
                }
                fleet.run(std::chrono::milliseconds(random.below(3000)));
            }
            fleet.heal();
            fleet.net = {};
            for (std::size_t index = 0; index < count; ++index) {
                if (paused[index]) {
                    fleet.resume(index);
                }
            }
            fleet.run(30s);
            check(fleet.suspicions_seen() == 0, number(fleet.suspicions_seen()) + " suspicions");
            for (std::size_t index = 0; index < count; ++index) {
                for (std::size_t other = 0; other < count; ++other) {
                    if (index != other) {
                        check(fleet.node(index).view(fleet.name(other))->process ==
                                  fleet
                                      .node((other + 1) % count == index ? (other + 2) % count
                                                                         : (other + 1) % count)
                                      .view(fleet.name(other))
                                      ->process,
                              "same incarnation seen");
                    }
                }
            }
        });
    }
}

// Guards against a cost that grows with the fleet, and against datagrams that do not fit a frame.
Test(prober, the_cost_per_node_is_constant)
{
    double first = 0;
    for (const std::size_t count : {8, 50, 330}) {
        section(number(count) + " instances", [&, count] {
            simulated_fleet fleet(count, 11, true);
            fleet.net.loss = 0.01;
            fleet.run(5s);
            fleet.forget_traffic();
            fleet.run(20s);
            traffic all;
            for (std::size_t index = 0; index < count; ++index) {
                all.messages += fleet.sent_by(index).messages;
                all.bytes += fleet.sent_by(index).bytes;
                all.largest = std::max(all.largest, fleet.sent_by(index).largest);
            }
            const double messages =
                static_cast<double>(all.messages) / 20 / static_cast<double>(count);
            const double bytes = static_cast<double>(all.bytes) / 20 / static_cast<double>(count);
            std::printf("%zu instances: %.2f messages/s, %.0f bytes/s per node, largest %llu\n",
                        count, messages, bytes, static_cast<unsigned long long>(all.largest));
            first = first == 0 ? messages : first;
            check(messages < 1.1 * first, "messages do not grow with the fleet");
            check(bytes < 1000, "a ninth of the 9 KB/s for all control traffic");
            check(all.largest <= peer::max_datagram_size, "datagram size");
        });
    }
    section("a message with the most updates about the longest names fits a datagram", [] {
        const instance_id longest(std::string(config::max_name_size, 'n'));
        const std::vector<peer::member_update> updates(prober_options{}.updates_per_message,
                                                       {longest, incarnation{1}, true, true, 9});
        const peer::received_message message{
            longest, incarnation{1}, peer::probe_ack{1, longest, incarnation{1}, {}, updates}};
        const auto size = peer::encode(message, {{1, "0123456789abcdef"}, {}}).size();
        check(size <= peer::max_datagram_size, number(size));
    });
}
