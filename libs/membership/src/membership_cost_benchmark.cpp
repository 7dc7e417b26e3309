// Measures the cost of membership per node with 8, 50 and 330 instances and 1% loss: messages and
// bytes sent (after `peer::encode`, without IP and UDP headers), the time until all instances know
// an update or a version, and the CPU time of the prober, the encoding and the decoding.

#include <algorithm>
#include <chrono>

#include <benchmark/benchmark.h>

#include "simulated_fleet.hpp"

using namespace quetzal;
using namespace quetzal::membership;
using namespace quetzal::membership::test;
using namespace std::chrono_literals;

namespace {

double in_ms(duration span)
{
    return static_cast<double>(span / 1us) / 1000;
}

void traffic_per_node(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    constexpr auto span = 30s;
    traffic all;
    for (auto step : state) {
        simulated_fleet fleet(count, 1, true);
        fleet.net.loss = 0.01;
        fleet.run(5s);
        fleet.reset_traffic();
        fleet.run(span);
        all = {};
        for (std::size_t index = 0; index < count; ++index) {
            all.messages += fleet.sent_by(index).messages;
            all.bytes += fleet.sent_by(index).bytes;
        }
    }
    const double nodes = static_cast<double>(count) * static_cast<double>(span.count());
    state.counters["messages_per_s"] = static_cast<double>(all.messages) / nodes;
    state.counters["B_per_s"] = static_cast<double>(all.bytes) / nodes;
}

// Lets every instance exchange a probe with every other one, the state that a fleet of 330 reaches
// three minutes after its start.
void exchange_probes_between_all(simulated_fleet& fleet)
{
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        for (std::size_t other = 0; other < fleet.size(); ++other) {
            fleet.perform(index, fleet.node(index).probe_now(fleet.name(other), fleet.now));
        }
    }
    fleet.run(1s);
}

// Reports the maximum over ten seeds, starting 5 s after the start of all instances (acquainted =
// 0) or after every instance has exchanged a probe with every other one (acquainted = 1).
void time_to_know(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    duration leaving{};
    duration dead{};
    duration version{};
    for (auto step : state) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            simulated_fleet fleet(count, seed);
            fleet.net.loss = 0.01;
            fleet.run(5s);
            if (state.range(1) != 0) {
                exchange_probes_between_all(fleet);
            }
            fleet.perform(1, fleet.node(1).begin_leave(fleet.now));
            const auto all_know = [&] {
                return fleet.count_seeing(1, member_state::leaving) == count - 1;
            };
            leaving = std::max(leaving, fleet.run_until(all_know, 60s));
            fleet.kill(2);
            const auto all_suspect = [&] {
                return fleet.count_seeing(2, member_state::suspected) >= count - 1;
            };
            dead = std::max(dead, fleet.run_until(all_suspect, 60s));
            std::vector<bool> knows(count);
            fleet.on_action = [&](std::size_t index, const prober_action& action) {
                const auto* report = std::get_if<versions_reported>(&action);
                if (report != nullptr && report->known.config == 2 && !knows[index]) {
                    knows[index] = true;
                    fleet.perform(index, fleet.node(index).set_versions(report->known, fleet.now));
                }
            };
            knows[0] = knows[2] = true;
            fleet.perform(0, fleet.node(0).set_versions({2, 1}, fleet.now));
            const auto all_know_version = [&] {
                return std::all_of(knows.begin(), knows.end(), [](bool known) { return known; });
            };
            version = std::max(version, fleet.run_until(all_know_version, 60s));
        }
    }
    state.counters["leaving_ms"] = in_ms(leaving);
    state.counters["dead_ms"] = in_ms(dead);
    state.counters["version_ms"] = in_ms(version);
}

// Simulates one second of one node: it sends two probes, answers two, and receives the four
// messages in return. Each message is encoded and decoded.
void processor_time_per_second(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    config::instance_list list;
    for (std::size_t index = 0; index < count; ++index) {
        config::listed_instance entry;
        entry.id = simulated_fleet::name(index);
        list.instances.push_back(entry);
    }
    const peer::key_ring keys{{1, "0123456789abcdef"}, {}};
    const incarnation process{7};
    prober node(simulated_fleet::name(0), process, {}, 3);
    time_point now{1h};
    node.set_list(list, now);
    const auto exchange = [&](std::vector<prober_action> actions) {
        for (const auto& action : actions) {
            if (const auto* sent = std::get_if<send_message>(&action)) {
                const auto bytes =
                    peer::encode({simulated_fleet::name(0), process, sent->message.body}, keys);
                benchmark::DoNotOptimize(bytes.data());
                if (const auto* asked = std::get_if<peer::probe>(&sent->message.body)) {
                    const auto reply = peer::encode(
                        {sent->message.to, incarnation{8},
                         peer::probe_ack{
                             asked->sequence, sent->message.to, incarnation{8}, {}, {}}},
                        keys);
                    benchmark::DoNotOptimize(
                        node.on_message(*peer::decode(reply, keys), now + 1ms));
                }
            }
        }
    };
    std::size_t turn = 0;
    for (auto step : state) {
        for (int half = 0; half < 2; ++half) {
            now += 500ms;
            exchange(node.tick(now));
            const auto from = simulated_fleet::name(1 + ++turn % (count - 1));
            const auto probe = peer::encode({from, incarnation{8}, peer::probe{1, {}, {}}}, keys);
            exchange(node.on_message(*peer::decode(probe, keys), now));
        }
    }
}

} // namespace

BENCHMARK(traffic_per_node)->Arg(8)->Arg(50)->Arg(330)->Iterations(1);
BENCHMARK(time_to_know)
    ->ArgNames({"count", "acquainted"})
    ->ArgsProduct({{8, 50, 330}, {0, 1}})
    ->Iterations(1);
BENCHMARK(processor_time_per_second)->Arg(8)->Arg(50)->Arg(330)->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
