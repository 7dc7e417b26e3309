// Tests what the instances of a large fleet together send to endpoints that have just started.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <quetzal/gateway/endpoint_pools.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start{seconds(1000)};
constexpr double cold_rate = 8; // requests per second
constexpr cold_rate_limiter_options cold_bound{1.5, 5};
constexpr duration cold_period = seconds(3);
constexpr duration call_time = milliseconds(100);
constexpr std::size_t endpoint_count = 8;

// Instances with the same view of the endpoints of one service. Each decides by itself.
struct fleet
{
    struct instance
    {
        explicit instance(std::size_t number)
            : members({}, record(number), start), pools({"a", cold_bound, number + 1})
        {
        }

        static member_record record(std::size_t number)
        {
            member_record self;
            self.address =
                "10.0." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250);
            self.incarnation = 1;
            return self;
        }

        member_table members;
        endpoint_pools pools;
    };

    struct open_call
    {
        instance* sender = nullptr;
        chosen_endpoint target;
        time_point end;
    };

    explicit fleet(std::size_t size, bool heartbeats = true) : in_touch(heartbeats)
    {
        published_configuration configuration;
        configuration.version = 1;
        service_definition service;
        service.name = "s";
        service.max_connections = 4000;
        service.cold_period = cold_period;
        service.cold_rate = cold_rate;
        configuration.services.push_back(service);
        view.apply(configuration);
        for (std::size_t number = 0; number < size; ++number) {
            instances.push_back(std::make_unique<instance>(number));
            all.others.push_back({instance::record(number), 0});
        }
        all.sender = all.others.front();
        exchange_heartbeats(start);
    }

    void exchange_heartbeats(time_point now)
    {
        for (const auto& one : instances) {
            one->members.merge_heartbeat(all, now);
        }
        next_heartbeat = in_touch ? now + seconds(1) : time_point::max();
    }

    void list(std::size_t number, std::uint64_t started, time_point cold_until)
    {
        endpoint value;
        value.id = "e" + std::to_string(number);
        value.started = started;
        value.service = "s";
        value.zone = "a";
        value.cold_until = cold_until;
        view.put_endpoint(value);
    }

    void refresh(time_point now)
    {
        for (const auto& one : instances) {
            one->pools.refresh(view, instances.size(), now);
        }
    }

    // Sends requests at the rate per second, each from a random instance, until `end`.
    void send(time_point& now, time_point end, int rate)
    {
        for (; now < end; now += duration(seconds(1)) / rate) {
            if (now >= next_heartbeat) {
                exchange_heartbeats(now);
            }
            while (!open.empty() && open.front().end <= now) {
                serving::attempt_outcome outcome;
                outcome.success = true;
                outcome.latency = call_time;
                outcome.whole = call_time;
                open.front().sender->pools.finish_request(open.front().target, outcome, now);
                open.pop_front();
            }
            instance& sender = *instances[random.below(instances.size())];
            if (auto chosen = sender.pools.start_request(view, "s", {}, sender.members, now)) {
                sent[chosen->target.id].push_back(now);
                open.push_back({&sender, std::move(*chosen), now + call_time});
            }
        }
    }

    std::size_t sent_between(std::size_t number, time_point from, time_point to)
    {
        const auto& times = sent["e" + std::to_string(number)];
        return static_cast<std::size_t>(std::count_if(
            times.begin(), times.end(), [&](time_point at) { return at >= from && at < to; }));
    }

    // Returns the most requests to one endpoint that arrive within a second before `to`.
    std::size_t most_in_a_second(std::size_t number, time_point from, time_point to)
    {
        std::size_t most = 0;
        for (const time_point at : sent["e" + std::to_string(number)]) {
            if (at >= from && at < to) {
                most = std::max(most, sent_between(number, at, std::min(to, at + seconds(1))));
            }
        }
        return most;
    }

    catalog view;
    heartbeat all;        // the records of all instances
    bool in_touch = true; // heartbeats are exchanged after the start too
    time_point next_heartbeat{};
    std::vector<std::unique_ptr<instance>> instances;
    std::deque<open_call> open;
    std::map<std::string, std::vector<time_point>> sent; // by endpoint
    random_source random{3};
};

constexpr double most_per_second = cold_rate * cold_bound.overage + cold_bound.slack;

} // namespace

// Guards against endpoints that crash because a fleet sends them more than they bear while cold,
// and against endpoints that stay idle after that time.
Test(fresh_endpoints, half_of_a_pool_returns_at_once)
{
    for (const std::size_t size : {6, 76, 300}) {
        section("given a fleet of " + std::to_string(size) + " instances", [size] {
            constexpr int rate = 400;
            fleet gateways(size);
            time_point now = start;
            for (std::size_t number = 0; number < endpoint_count; ++number) {
                gateways.list(number, 1, start);
            }
            gateways.refresh(now);
            gateways.send(now, start + seconds(1), rate);
            const time_point returned = now;
            const time_point warm = returned + cold_period;
            for (std::size_t number = 0; number < endpoint_count / 2; ++number) {
                gateways.list(number, 2, warm);
            }
            gateways.refresh(now);
            gateways.send(now, warm + cold_period, rate);
            for (std::size_t number = 0; number < endpoint_count / 2; ++number) {
                const std::size_t most = gateways.most_in_a_second(number, returned, warm);
                check(static_cast<double>(most) <= most_per_second, "the cold rate holds");
                check(gateways.sent_between(number, returned, warm) > 0, "it is not left out");
                const double fair =
                    rate * std::chrono::duration<double>(cold_period).count() / endpoint_count;
                const auto after =
                    static_cast<double>(gateways.sent_between(number, warm, warm + cold_period));
                check(after >= 0.9 * fair && after <= 1.5 * fair,
                      "within twice its cold time it has nine tenths of its fair share");
            }
        });
    }
}

// Guards against a restart of everything, after which the fleet sends all endpoints more than they
// bear in the first second.
Test(fresh_endpoints, three_hundred_instances_start_in_the_same_second)
{
    fleet gateways(300);
    time_point now = start;
    for (std::size_t number = 0; number < endpoint_count; ++number) {
        gateways.list(number, 1, start + cold_period);
    }
    gateways.refresh(now);
    gateways.send(now, start + cold_period, 1500);
    for (std::size_t number = 0; number < endpoint_count; ++number) {
        const std::size_t most = gateways.most_in_a_second(number, start, start + cold_period);
        check(static_cast<double>(most) <= most_per_second, "the cold rate holds");
        check(most >= 6, "half of the slack-free rate is used");
    }
}

// Guards against a crash of cold endpoints while the instances are cut off from each other: each
// took itself for the first of those that may send.
Test(fresh_endpoints, cold_rate_holds_while_instances_are_out_of_touch)
{
    fleet gateways(76, false);
    time_point now = start;
    const time_point returned = start + seconds(5);
    for (std::size_t number = 0; number < endpoint_count; ++number) {
        gateways.list(number, 1, returned + cold_period);
    }
    gateways.refresh(now);
    now = returned;
    gateways.send(now, returned + cold_period, 1500);
    for (std::size_t number = 0; number < endpoint_count; ++number) {
        const std::size_t most =
            gateways.most_in_a_second(number, returned, returned + cold_period);
        check(static_cast<double>(most) <= most_per_second, "the cold rate holds");
    }
}
