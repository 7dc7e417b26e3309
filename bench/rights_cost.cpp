// Measures what the rights cost a node: messages, bytes, processor time and memory, with the real
// decision code and the real codec, in virtual time. Usage: rights_cost [virtual seconds]

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/peer/codec.hpp>
#include <quetzal/rights/fleet_rights.hpp>

namespace {

using namespace quetzal;
using std::chrono::milliseconds;

constexpr duration step = milliseconds(2);    // of virtual time; also the delay of a datagram
constexpr double requests_per_node = 8;       // a second; 2,600 over 330 nodes
constexpr std::size_t ip_and_udp_header = 28; // bytes

struct scenario
{
    std::size_t nodes;
    std::size_t customers;
    double at_home; // share of requests that arrive at the customer's home
};

struct figures
{
    double messages = 0; // sent by a node a second
    double bytes = 0;    // sent by a node a second, with IP and UDP headers
    double core = 0;     // share of a core
    double memory = 0;   // bytes a node
    double admitted = 0; // share of requests
};

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double resident_bytes()
{
    std::ifstream status("/proc/self/statm");
    double total = 0;
    double resident = 0;
    status >> total >> resident;
    return resident * 4096;
}

std::shared_ptr<const config::published> make_config(const scenario& setting)
{
    auto config = std::make_shared<config::published>();
    config->version = 1;
    config->regions = {region_id("region")};
    for (const auto* zone : {"zone-a", "zone-b", "zone-c"}) {
        config->zones.push_back({zone_id(zone), region_id("region"), config::zone_state::in});
    }
    const double total = requests_per_node * static_cast<double>(setting.nodes);
    const double rate = 2 * total / static_cast<double>(setting.customers);
    for (std::size_t index = 0; index < setting.customers; ++index) {
        config->customers.push_back(
            {customer_id("customer-" + std::to_string(index)), {}, rate, std::max(10.0, rate)});
    }
    config->index();
    return config;
}

figures measure(const scenario& setting, std::chrono::seconds length)
{
    const auto config = make_config(setting);
    config::instance_list list;
    list.revision = 1;
    std::vector<rights::peer_status> peers;
    for (std::size_t index = 0; index < setting.nodes; ++index) {
        const instance_id id("node-" + std::to_string(index));
        const std::string zone("zone-" + std::string(1, static_cast<char>('a' + index % 3)));
        list.instances.push_back({id, "127.0.0.1", 1, 1, zone_id(zone), {}});
        peers.push_back({id, incarnation{index + 1}, true, false});
    }
    const double memory_before = resident_bytes();
    time_point now(std::chrono::hours(1));
    std::vector<std::unique_ptr<rights::fleet_rights>> nodes;
    for (std::size_t index = 0; index < setting.nodes; ++index) {
        nodes.push_back(std::make_unique<rights::fleet_rights>(rights::self_description{
            peers[index].id, peers[index].process, list.instances[index].zone, now, 16}));
        nodes.back()->set_config(config, now);
        nodes.back()->set_list(list, now);
        nodes.back()->set_peers(peers, now);
    }
    const peer::key_ring keys{{1, "secret of the benchmark"}, {}};
    std::vector<std::pair<std::size_t, std::string>> in_flight;
    figures result;
    double sent = 0;
    double bytes = 0;
    double requests = 0;
    double admitted = 0;
    random_source random(1);
    const auto send = [&](std::size_t from, const std::vector<peer::outgoing_message>& messages,
                          auto& queue) {
        for (const auto& message : messages) {
            auto datagram = peer::encode({peers[from].id, peers[from].process, message.body}, keys);
            if (datagram.size() > peer::max_datagram_size) {
                std::fprintf(stderr, "a datagram of %zu bytes\n", datagram.size());
            }
            sent += 1;
            bytes += static_cast<double>(datagram.size() + ip_and_udp_header);
            queue.emplace_back(std::stoul(message.to.name.substr(5)), std::move(datagram));
        }
    };
    const duration warm_up = std::chrono::seconds(6);
    const double per_step = requests_per_node * static_cast<double>(setting.nodes) *
                            std::chrono::duration<double>(step).count();
    double due = 0;
    double started = 0;
    for (duration elapsed{}; elapsed < warm_up + length; elapsed += step, now += step) {
        if (elapsed == warm_up) {
            sent = bytes = requests = admitted = 0;
            started = processor_seconds();
        }
        std::vector<std::pair<std::size_t, std::string>> next;
        for (const auto& [to, datagram] : in_flight) {
            const auto message = peer::decode(datagram, keys);
            send(to, nodes[to]->on_message(*message, now), next);
        }
        for (due += elapsed < warm_up ? 0 : per_step; due >= 1; due -= 1) {
            const auto& customer = config->customers[random.below(setting.customers)].id;
            auto node = random.below(setting.nodes);
            if (random.unit() < setting.at_home) {
                const auto home = nodes[node]->preferred_home(customer, now);
                node = std::stoul(home.name.substr(5));
            }
            requests += 1;
            // One retry, as a queue would make it when the answer arrives.
            if (std::holds_alternative<rights::admitted>(nodes[node]->admit(customer, now))) {
                admitted += 1;
            } else {
                send(node, nodes[node]->on_tick(now), next);
            }
        }
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (nodes[index]->next_wakeup(now) <= now) {
                send(index, nodes[index]->on_tick(now), next);
            }
        }
        in_flight = std::move(next);
    }
    const double node_seconds =
        static_cast<double>(setting.nodes) * std::chrono::duration<double>(length).count();
    result.core = (processor_seconds() - started) / node_seconds;
    result.messages = sent / node_seconds;
    result.bytes = bytes / node_seconds;
    result.memory = (resident_bytes() - memory_before) / static_cast<double>(setting.nodes);
    result.admitted = admitted / requests;
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    const std::chrono::seconds length(argc > 1 ? std::atoi(argv[1]) : 10);
    std::printf("%6s %9s %8s | %11s %9s %8s %10s %12s\n", "nodes", "customers", "at home",
                "messages/s", "bytes/s", "core %", "KiB/node", "at once %");
    for (const std::size_t nodes : {8, 50, 330}) {
        for (const std::size_t customers : {5, 3200}) {
            for (const double at_home : {0.0, 0.8}) {
                const auto value = measure({nodes, customers, at_home}, length);
                std::printf("%6zu %9zu %7.0f%% | %11.1f %9.0f %8.3f %10.0f %12.1f\n", nodes,
                            customers, at_home * 100, value.messages, value.bytes, value.core * 100,
                            value.memory / 1024, value.admitted * 100);
                std::fflush(stdout);
            }
        }
    }
}
