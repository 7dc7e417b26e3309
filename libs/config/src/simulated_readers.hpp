#ifndef QUETZAL_CONFIG_SIMULATED_READERS_HPP
#define QUETZAL_CONFIG_SIMULATED_READERS_HPP

// Reader schedules of a whole fleet in virtual time. Only tests include it.

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <quetzal/config/reader_schedule.hpp>

namespace quetzal::config::test {

using namespace std::chrono_literals;

inline constexpr time_point start{1h};
inline constexpr wall_time wall_start{std::chrono::hours(480'000)};
inline constexpr std::size_t service_limit = 2000; // calls in any second, design page section 3

struct event
{
    time_point at;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t number = 0;  // of a call; 0 is a tick
    bool answered = true;      // by the service
    std::uint64_t version = 0; // in the answer

    bool operator<(const event& other) const
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

// A fleet of schedules, a service that can be down or cut off from some nodes, and reports between
// random peers every 500 ms as the prober carries them.
class fleet
{
public:
    fleet(std::size_t count, std::uint64_t seed, std::size_t zones = 5,
          document kind = document::configuration)
        : random_(seed), cut_(count), version_(count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            members_.push_back({name(index), zone_id("z" + std::to_string(index % zones)),
                                region_id(index % 5 < 3 ? "north" : "south"), true});
        }
        for (std::size_t index = 0; index < count; ++index) {
            nodes_.emplace_back(name(index), kind, reader_options{}, seed + index);
        }
    }

    static instance_id name(std::size_t index) { return instance_id("q-" + std::to_string(index)); }

    void start_all()
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            // 330 processes do not start within the same microsecond, but within 100 ms.
            push({now_ + std::chrono::microseconds(random_.below(100'000)), 0, index, 0, true, 0});
        }
    }

    void run(duration span)
    {
        const time_point end = now_ + span;
        while (!events_.empty() && events_.top().at <= end) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(next);
        }
        now_ = end;
    }

    void publish(std::uint64_t version)
    {
        published_ = version;
        for (const event& watch : std::exchange(watches_, {})) {
            answer(watch, 1ms);
        }
    }

    void set_down(bool down)
    {
        down_ = down;
        for (const event& watch : std::exchange(watches_, {})) {
            answer(watch, 1ms);
        }
    }

    void forget_members() { members_.clear(); }
    void cut(std::size_t node) { cut_[node] = true; }

    std::size_t readers() const
    {
        return static_cast<std::size_t>(std::count_if(
            nodes_.begin(), nodes_.end(), [](const auto& node) { return node.is_reader(); }));
    }
    bool reads(std::size_t node) const { return nodes_[node].is_reader(); }
    std::size_t calls() const { return calls_.size(); }
    std::size_t behind() const
    {
        return static_cast<std::size_t>(
            std::count_if(version_.begin(), version_.end(),
                          [this](std::uint64_t version) { return version < published_; }));
    }

    // Most calls in any window of one second.
    std::size_t peak_calls() const
    {
        std::size_t peak = 0;
        std::deque<time_point> window;
        for (const time_point at : calls_) {
            window.push_back(at);
            while (at - window.front() >= 1s) {
                window.pop_front();
            }
            peak = std::max(peak, window.size());
        }
        return peak;
    }

    // Most calls within any 10 ms: shows whether readers act in step.
    std::size_t burst(time_point since) const
    {
        std::size_t peak = 0;
        std::deque<time_point> window;
        for (const time_point at : calls_) {
            if (at < since) {
                continue;
            }
            window.push_back(at);
            while (at - window.front() >= 10ms) {
                window.pop_front();
            }
            peak = std::max(peak, window.size());
        }
        return peak;
    }

    void forget_calls() { calls_.clear(); }
    time_point now() const { return now_; }
    reader_schedule& node(std::size_t index) { return nodes_[index]; }

private:
    void push(event next)
    {
        next.order = ++order_;
        events_.push(next);
    }

    void answer(const event& call, duration delay)
    {
        event reply = call;
        reply.at = now_ + delay;
        reply.answered = !down_ && !cut_[call.node];
        reply.version = published_;
        push(reply);
    }

    void handle(const event& next)
    {
        reader_schedule& node = nodes_[next.node];
        const wall_time wall =
            wall_start + std::chrono::duration_cast<std::chrono::milliseconds>(now_ - start);
        if (next.number == 0) {
            tick(next.node, node, wall);
            return;
        }
        service_answer kind = service_answer::failed;
        if (next.answered) {
            kind = next.version > version_[next.node] ? service_answer::new_value
                                                      : service_answer::unchanged;
            take(next.node, next.version);
        }
        perform(next.node, node.on_service_answer(next.number, kind, now_, wall));
    }

    void tick(std::size_t index, reader_schedule& node, wall_time wall)
    {
        if (!known_.contains(index)) {
            known_[index] = now_;
            perform(index, node.set_members(members_, now_, wall));
        }
        perform(index, node.tick(now_, wall));
        if (now_ - known_[index] >= 500ms) {
            known_[index] = now_;
            const std::size_t peer = random_.below(nodes_.size());
            report(peer, index);
            report(index, peer);
        }
        push({std::min(std::max(node.next_wakeup(), now_ + 1ms), known_[index] + 500ms), 0, index,
              0, true, 0});
    }

    void report(std::size_t from, std::size_t to)
    {
        if (known_.contains(from) && known_.contains(to)) {
            perform(to, nodes_[to].on_peer_report(name(from), version_[from],
                                                  nodes_[from].service_age(now_), now_));
        }
    }

    void take(std::size_t index, std::uint64_t version)
    {
        version_[index] = std::max(version_[index], version);
        nodes_[index].set_known(version_[index], version_[index]);
    }

    void perform(std::size_t index, const std::vector<reader_action>& actions)
    {
        for (const auto& action : actions) {
            if (const auto* read = std::get_if<read_service>(&action)) {
                calls_.push_back(now_);
                const event call{now_, 0, index, read->number, true, 0};
                const bool waits = read->wait > 0ms && read->after >= published_ && !down_;
                if (waits && !cut_[index]) {
                    // Held until a change; after the wait the service answers "unchanged".
                    watches_.push_back(call);
                    event end = call;
                    end.at = now_ + read->wait;
                    end.version = published_;
                    push(end);
                } else {
                    answer(call, 3ms);
                }
            } else if (const auto* fetch = std::get_if<fetch_from_peer>(&action)) {
                for (std::size_t peer = 0; peer < nodes_.size(); ++peer) {
                    if (name(peer) == fetch->peer) {
                        take(index, version_[peer]);
                    }
                }
                perform(index, nodes_[index].on_fetched(fetch->number, true, now_));
            }
        }
    }

    random_source random_;
    time_point now_ = start;
    std::uint64_t order_ = 0;
    std::uint64_t published_ = 1;
    bool down_ = false;
    std::vector<reader_candidate> members_;
    std::vector<reader_schedule> nodes_;
    std::vector<bool> cut_;
    std::vector<std::uint64_t> version_;
    std::map<std::size_t, time_point> known_; // last report sent
    std::priority_queue<event> events_;
    std::vector<event> watches_;
    std::vector<time_point> calls_;
};

} // namespace quetzal::config::test

#endif
