#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include <quetzal/config/reader_schedule.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::config;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

constexpr time_point start{1h};
constexpr wall_time wall_start{std::chrono::hours(480'000)};
constexpr std::size_t service_limit = 2000; // calls in any second, design page section 3

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

} // namespace

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
    for (time_point now = start; now < start + 60s; now += 500ms) {
        for (std::size_t from = 0; from < 2; ++from) {
            // 400 ms on the way.
            const auto age = pair[from].service_age(now);
            pair[1 - from].on_peer_report(members[0].id, 1, age, now + 400ms);
            pair[from].tick(now, wall_start);
        }
    }
    check(pair[0].has_taken_over() || pair[1].has_taken_over(), "taken over within 60 s");
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
        check(node.on_service_answer(read.number, service_answer::new_value, now + 10s, wall_start)
                  .empty(),
              "ignored");
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
