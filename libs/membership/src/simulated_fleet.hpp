#ifndef QUETZAL_MEMBERSHIP_SIMULATED_FLEET_HPP
#define QUETZAL_MEMBERSHIP_SIMULATED_FLEET_HPP

// Simulates probers in virtual time over a network that loses, duplicates, reorders, delays and
// blocks datagrams. A run is reproducible from its seed. For tests and benchmarks only.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include <quetzal/membership/prober.hpp>
#include <quetzal/peer/codec.hpp>

namespace quetzal::membership::test {

// Behaviour of the network between any two instances.
struct network
{
    double loss = 0;        // fraction of datagrams
    double duplication = 0; // fraction of datagrams
    duration latency = std::chrono::microseconds(700);
    // Values above the latency reorder datagrams.
    duration jitter = std::chrono::microseconds(600);
};

// Traffic that one instance sent.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; // size after `peer::encode`, without IP and UDP headers
    std::uint64_t largest = 0;
};

class simulated_fleet
{
public:
    using observer = std::function<void(std::size_t, const prober_action&)>;

    simulated_fleet(std::size_t count, std::uint64_t seed, bool measure = false)
        : random_(seed), measure_(measure), nodes_(count), traffic_(count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            config::listed_instance entry;
            entry.id = name(index);
            entry.zone = zone_id("z" + std::to_string(index % 3));
            list.instances.push_back(entry);
        }
        list.revision = 1;
        for (std::size_t index = 0; index < count; ++index) {
            restart(index, 1000 + index);
        }
    }

    // Returns a name as long as those that the platform assigns.
    static instance_id name(std::size_t index)
    {
        return instance_id("entry-" + std::to_string(index));
    }

    // Starts a new process of an instance, which replaces the previous one.
    void restart(std::size_t index, std::uint64_t process)
    {
        nodes_[index].process = incarnation{process};
        nodes_[index].member_prober.emplace(name(index), incarnation{process}, options, random_());
        nodes_[index].paused = nodes_[index].killed = false;
        ++nodes_[index].generation;
        perform(index, node(index).set_list(list, now));
        tick(index);
    }

    prober& node(std::size_t index) { return *nodes_[index].member_prober; }
    std::size_t size() const { return nodes_.size(); }

    void kill(std::size_t index)
    {
        nodes_[index].killed = true;
        ++nodes_[index].generation;
    }
    void pause(std::size_t index) { nodes_[index].paused = true; }
    // Ticks first, then handles the datagrams that arrived during the pause, as from a socket
    // buffer.
    void resume(std::size_t index)
    {
        nodes_[index].paused = false;
        tick(index);
        for (auto& message : std::exchange(nodes_[index].queued, {})) {
            perform(index, node(index).on_message(message, now));
        }
    }

    // Drops all datagrams from one instance to another, in this direction only.
    void cut(std::size_t from, std::size_t to) { cuts_[{from, to}] = true; }
    void isolate(std::size_t index)
    {
        for (std::size_t other = 0; other < size(); ++other) {
            cut(index, other);
            cut(other, index);
        }
    }
    void heal() { cuts_.clear(); }

    void distribute_list()
    {
        for (std::size_t index = 0; index < size(); ++index) {
            perform(index, node(index).set_list(list, now));
        }
    }

    void run(duration span)
    {
        const time_point end = now + span;
        while (!events_.empty() && events_.top().at <= end) {
            const event next = events_.top();
            events_.pop();
            now = next.at;
            if (next.action) {
                next.action();
            }
        }
        now = end;
    }

    // Runs until the condition holds, checked every 10 ms, or until `limit`. Returns the time
    // taken.
    duration run_until(const std::function<bool()>& condition, duration limit)
    {
        const time_point began = now;
        while (!condition() && now - began < limit) {
            run(std::chrono::milliseconds(10));
        }
        return now - began;
    }

    // Returns how many running instances see this instance in the given state.
    std::size_t count_seeing(std::size_t index, member_state state)
    {
        std::size_t count = 0;
        for (std::size_t other = 0; other < size(); ++other) {
            if (other != index && !nodes_[other].killed) {
                const auto view = node(other).view(name(index));
                count += view && view->state == state ? 1 : 0;
            }
        }
        return count;
    }

    std::size_t count_suspicions()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < size(); ++index) {
            count += count_seeing(index, member_state::suspected);
        }
        return count;
    }

    void perform(std::size_t index, const std::vector<prober_action>& actions)
    {
        for (const auto& action : actions) {
            if (on_action) {
                on_action(index, action);
            }
            if (const auto* sent = std::get_if<send_message>(&action)) {
                transmit(index, sent->message);
            }
        }
    }

    const traffic& sent_by(std::size_t index) const { return traffic_[index]; }
    void reset_traffic() { traffic_.assign(size(), {}); }

    network net;
    prober_options options;
    config::instance_list list;
    observer on_action;
    time_point now{std::chrono::hours(1)};

private:
    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct simulated_node
    {
        std::optional<prober> member_prober;
        incarnation process;
        bool paused = false;
        bool killed = false;
        std::uint64_t generation = 0; // of the process; events of previous ones are dropped
        std::vector<peer::received_message> queued;
    };

    void schedule(duration delay, std::function<void()> action)
    {
        events_.push({now + delay, ++order_, std::move(action)});
    }

    void tick(std::size_t index)
    {
        auto& target = nodes_[index];
        if (target.paused || target.killed) {
            return;
        }
        perform(index, target.member_prober->tick(now));
        const duration delay = std::max<duration>(target.member_prober->next_wakeup() - now,
                                                  std::chrono::microseconds(100));
        const std::uint64_t serial = ++ticks_[index];
        schedule(delay, [this, index, serial, generation = target.generation] {
            if (nodes_[index].generation == generation && ticks_[index] == serial) {
                tick(index);
            }
        });
    }

    void transmit(std::size_t from, const peer::outgoing_message& message)
    {
        const auto to = static_cast<std::size_t>(std::stoul(message.to.name.substr(6)));
        peer::received_message datagram{name(from), nodes_[from].process, message.body};
        auto& sent = traffic_[from];
        ++sent.messages;
        if (measure_) {
            const auto bytes = peer::encode(datagram, {{1, "0123456789abcdef"}, {}}).size();
            sent.bytes += bytes;
            sent.largest = std::max<std::uint64_t>(sent.largest, bytes);
        }
        if (to >= size() || cuts_.contains({from, to})) {
            return;
        }
        const int copies = random_.unit() < net.loss ? 0 : random_.unit() < net.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const duration delay =
                net.latency + duration(static_cast<duration::rep>(random_.below(
                                  static_cast<std::uint64_t>(net.jitter.count()) + 1)));
            schedule(delay, [this, to, datagram] { deliver(to, datagram); });
        }
    }

    void deliver(std::size_t to, const peer::received_message& message)
    {
        auto& target = nodes_[to];
        if (target.killed) {
            return;
        }
        if (target.paused) {
            target.queued.push_back(message);
            return;
        }
        perform(to, target.member_prober->on_message(message, now));
    }

    random_source random_;
    bool measure_;
    std::uint64_t order_ = 0;
    std::vector<simulated_node> nodes_;
    std::vector<traffic> traffic_;
    std::map<std::size_t, std::uint64_t> ticks_;
    std::map<std::pair<std::size_t, std::size_t>, bool> cuts_;
    std::priority_queue<event> events_;
};

} // namespace quetzal::membership::test

#endif
