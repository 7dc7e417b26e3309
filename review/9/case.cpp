// The open channels to the store go silent, while new ones work, and a replica leaves meanwhile
// whose entry is removed without a report that it drains.

#include <algorithm>
#include <cstdio>

#include "../standins-2/installation.hpp"

using namespace quetzal::review;

namespace {

constexpr std::size_t leavers = 4;
constexpr std::size_t clients = 12;
constexpr int served_longer_ms = 1000; // "and a little longer (at times many seconds)"
constexpr int quiet_ms = 8000;         // between two leaves
constexpr int leave_after_ms = 1500;   // after the channels have gone silent

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        return 2;
    }
    record log(argv[1]);
    const std::string folder = argv[2];
    const bool trouble = with_trouble();
    store_standin store(network() + "1", instance_ports{}.store, log);
    store.put("op/config", configuration(1, "desk"));
    std::vector<std::unique_ptr<replica>> replicas;
    const auto add_replica = [&] {
        const std::size_t number = replicas.size();
        replicas.push_back(std::make_unique<replica>("i-" + std::to_string(number), "desk",
                                                     number % 2 == 0 ? "zone-a" : "zone-b",
                                                     network() + "2", log));
        store.put("servers/" + replicas.back()->id(), replicas.back()->entry());
    };
    for (int number = 0; number < 3; ++number) {
        add_replica();
    }
    std::vector<std::unique_ptr<instance>> instances;
    const std::vector<std::string> seeds{network() + "10", network() + "11", network() + "12"};
    for (std::size_t index = 0; index < seeds.size(); ++index) {
        instances.push_back(std::make_unique<instance>(
            "front-" + std::to_string(index), index % 2 == 0 ? "zone-a" : "zone-b", seeds[index],
            network() + "1", seeds, folder));
        instances.back()->start();
    }
    if (!wait_ready(instances, 10000)) {
        log.write("the instances are not ready");
        return 2;
    }
    sleep_ms(2 * contact_ms);
    std::atomic<bool> finished{false};
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> senders;
    for (std::size_t client = 0; client < clients; ++client) {
        senders.emplace_back([&, client] {
            for (int number = 0; !finished; ++number) {
                const std::string id = "c" + std::to_string(client) + "n" + std::to_string(number);
                ++sent;
                const response answer =
                    send_request(seeds[client % seeds.size()], instance_ports{}.callers, "POST",
                                 "/unsafe/order", host_name, id, {}, "one order", 3000);
                if (answer.status == 200 && answer.content.complete) {
                    ++answered;
                } else {
                    lost += answer.status == 429 || answer.status == 503 ? 0 : 1;
                    log.write("request " + id + ": status " + std::to_string(answer.status) + " " +
                              answer.content.body + answer.detail);
                }
                sleep_ms(20);
            }
        });
    }
    int late = 0;
    int latest = 0;
    for (std::size_t leave = 0; leave < leavers; ++leave) {
        add_replica(); // the next one takes the place
        sleep_ms(quiet_ms + 250 * static_cast<std::int64_t>(leave));
        if (trouble) {
            store.silence_open_channels();
        }
        const std::int64_t silenced = now_ms();
        sleep_ms(leave_after_ms);
        replica& leaving = *replicas[leave];
        store.remove("servers/" + leaving.id());
        const std::int64_t acknowledged = now_ms();
        sleep_ms(drain_ms + served_longer_ms);
        leaving.stop();
        log.write("replica " + leaving.id() + " exits");
        for (const auto& arrival : leaving.arrivals()) {
            const auto after = static_cast<int>(arrival.at - acknowledged);
            latest = std::max(latest, after);
            // By then the channels have worked for contact-ms, so that the instances are in touch.
            if (after > drain_ms && arrival.at > silenced + contact_ms + 200) {
                ++late;
                log.write("request " + arrival.id + " reached replica " + leaving.id() + " " +
                          std::to_string(after) + " ms after the store acknowledged its leave" +
                          (arrival.ended < 0 ? ", and its run was lost" : ""));
            }
        }
    }
    finished = true;
    for (auto& sender : senders) {
        sender.join();
    }
    log.write(std::to_string(sent) + " requests, " + std::to_string(answered) +
              " answered with success, " + std::to_string(lost) + " lost, " + std::to_string(late) +
              " reached a replica later than " + std::to_string(drain_ms) +
              " ms after its leave, the last one after " + std::to_string(latest) + " ms");
    std::printf("sent %d, answered %d, lost %d, too late at a replica %d, latest %d ms\n",
                sent.load(), answered.load(), lost.load(), late, latest);
    if (answered == 0) {
        return 2;
    }
    return late > 0 ? 1 : 0;
}
