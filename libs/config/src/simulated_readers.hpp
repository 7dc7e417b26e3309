#ifndef QUETZAL_CONFIG_SIMULATED_READERS_HPP
#define QUETZAL_CONFIG_SIMULATED_READERS_HPP

// Simulates the reader schedules of a fleet in virtual time. For tests only.

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
inline constexpr std::size_t max_service_calls_per_second = 2000; // design page, section 3

struct event
{
    time_point at;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t number = 0;  // number of a call to the service; 0 for a tick
    bool answered = true;      // whether the service responds
    std::uint64_t version = 0; // version in the response

    bool operator<(const event& other) const
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

// A fleet of reader schedules with a service that can be down or unreachable from some nodes.
// Random peers exchange reports every 500 ms, as they do in the prober's messages.
class fleet
{
public:
    fleet(std::size_t count, std::uint64_t seed, std::size_t zones = 5,
          document kind = document::configuration)
        : random_(seed), disconnected_(count), version_(count)
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
            // The 330 processes start spread over 100 ms.
            push({now_ + std::chrono::microseconds(random_.below(100'000)), 0, index, 0, true, 0});
        }
    }

    void run_for(duration span)
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
            schedule_response(watch, 1ms);
        }
    }

    void set_service_down(bool down)
    {
        service_down_ = down;
        for (const event& watch : std::exchange(watches_, {})) {
            schedule_response(watch, 1ms);
        }
    }

    void clear_members() { members_.clear(); }
    void disconnect(std::size_t node) { disconnected_[node] = true; }

    std::size_t reader_count() const
    {
        return static_cast<std::size_t>(std::count_if(
            nodes_.begin(), nodes_.end(), [](const auto& node) { return node.is_reader(); }));
    }
    bool is_reader(std::size_t node) const { return nodes_[node].is_reader(); }
    std::size_t call_count() const { return calls_.size(); }
    std::size_t outdated_count() const
    {
        return static_cast<std::size_t>(
            std::count_if(version_.begin(), version_.end(),
                          [this](std::uint64_t version) { return version < published_; }));
    }

    // Returns the maximum number of calls in any window of one second.
    std::size_t max_calls_per_second() const
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

    // Returns the maximum number of calls in any window of 10 ms, which is high if the readers are
    // synchronised.
    std::size_t max_calls_in_10ms(time_point since) const
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

    void clear_calls() { calls_.clear(); }
    time_point now() const { return now_; }
    reader_schedule& node(std::size_t index) { return nodes_[index]; }

private:
    void push(event next)
    {
        next.order = ++order_;
        events_.push(next);
    }

    void schedule_response(const event& call, duration delay)
    {
        event reply = call;
        reply.at = now_ + delay;
        reply.answered = !service_down_ && !disconnected_[call.node];
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
            receive_version(next.node, next.version);
        }
        perform(next.node, node.on_service_answer(next.number, kind, now_, wall));
    }

    void tick(std::size_t index, reader_schedule& node, wall_time wall)
    {
        if (!last_report_at_.contains(index)) {
            last_report_at_[index] = now_;
            perform(index, node.set_members(members_, now_, wall));
        }
        perform(index, node.tick(now_, wall));
        if (now_ - last_report_at_[index] >= 500ms) {
            last_report_at_[index] = now_;
            const std::size_t peer = random_.below(nodes_.size());
            report(peer, index);
            report(index, peer);
        }
        push({std::min(std::max(node.next_wakeup(), now_ + 1ms), last_report_at_[index] + 500ms), 0,
              index, 0, true, 0});
    }

    void report(std::size_t from, std::size_t to)
    {
        if (last_report_at_.contains(from) && last_report_at_.contains(to)) {
            perform(to, nodes_[to].on_peer_report(name(from), version_[from],
                                                  nodes_[from].service_age(now_), now_));
        }
    }

    void receive_version(std::size_t index, std::uint64_t version)
    {
        version_[index] = std::max(version_[index], version);
        nodes_[index].set_versions(version_[index], version_[index]);
    }

    void perform(std::size_t index, const std::vector<reader_action>& actions)
    {
        for (const auto& action : actions) {
            if (const auto* read = std::get_if<read_service>(&action)) {
                calls_.push_back(now_);
                const event call{now_, 0, index, read->number, true, 0};
                const bool is_watch =
                    read->wait > 0ms && read->after >= published_ && !service_down_;
                if (is_watch && !disconnected_[index]) {
                    // The service holds the watch until a change and responds "unchanged" after the
                    // wait time.
                    watches_.push_back(call);
                    event end = call;
                    end.at = now_ + read->wait;
                    end.version = published_;
                    push(end);
                } else {
                    schedule_response(call, 3ms);
                }
            } else if (const auto* fetch = std::get_if<fetch_from_peer>(&action)) {
                for (std::size_t peer = 0; peer < nodes_.size(); ++peer) {
                    if (name(peer) == fetch->peer) {
                        receive_version(index, version_[peer]);
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
    bool service_down_ = false;
    std::vector<reader_candidate> members_;
    std::vector<reader_schedule> nodes_;
    std::vector<bool> disconnected_;
    std::vector<std::uint64_t> version_;
    std::map<std::size_t, time_point> last_report_at_; // when the node last sent a report
    std::priority_queue<event> events_;
    std::vector<event> watches_;
    std::vector<time_point> calls_;
};

} // namespace quetzal::config::test

#endif
