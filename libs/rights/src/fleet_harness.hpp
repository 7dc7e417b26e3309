#ifndef QUETZAL_RIGHTS_FLEET_HARNESS_HPP
#define QUETZAL_RIGHTS_FLEET_HARNESS_HPP

// Discrete-event harness for tests: several `fleet_rights` in one process, each with its own clock,
// fault injection for network and platform, and reference checks with global knowledge.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <quetzal/base/random.hpp>
#include <quetzal/rights/fleet_rights.hpp>

namespace quetzal::rights::testing {

using std::chrono::milliseconds;

enum class fault_kind
{
    kill,
    restart, // immediately, which proves that the previous process has ended
    pause,
    one_way_cuts,
    split_network,
    isolate,        // one instance, in both directions
    restart_others, // isolates one instance and restarts all others
    reconnect,
    replace, // one listed instance, with probability 0.3 a third of them
    leave    // or start again an instance that is leaving or stopped
};

struct schedule_options
{
    std::uint64_t seed = 1;
    std::size_t nodes = 3;
    bool faults = true;
    std::vector<fault_kind> kinds{fault_kind::kill,           fault_kind::restart,
                                  fault_kind::pause,          fault_kind::one_way_cuts,
                                  fault_kind::split_network,  fault_kind::isolate,
                                  fault_kind::restart_others, fault_kind::reconnect,
                                  fault_kind::replace,        fault_kind::leave};
    double loss = 0.02;
    double duplicates = 0.02;
    double late = 0.01; // share of datagrams that are delayed by up to `max_late_delay`
    duration max_late_delay = milliseconds(1500);
    duration fault_time = std::chrono::seconds(12);
    duration fault_interval = milliseconds(700);
    double wrong_views = 0.03; // share of live peers that look failed to an instance for 500 ms
    double drift = 0.045;      // maximum of each clock; two clocks differ by at most a tenth
    duration wall_skew = milliseconds(50);
    duration retry = milliseconds(20); // minimum retry delay of a waiting caller
    std::vector<limits> customers{{1, 1}, {20, 10}, {8, 3}, {40, 20}, {3, 20}};
    safeguards safe;
};

// The exact reference for one customer: a bucket that counts every admission.
struct reference_bucket
{
    limits bounds;
    double level = 0;
    duration at{};
    std::uint64_t admitted = 0;

    bool admit(duration now, double drift)
    {
        const double gained =
            bounds.rate * (1 + drift) * std::chrono::duration<double>(now - at).count();
        level = std::min(bounds.burst, level + gained) - 1;
        at = now;
        ++admitted;
        return level > -1e-6;
    }
};

class fleet_harness
{
public:
    explicit fleet_harness(const schedule_options& settings)
        : settings_(settings), random_(settings.seed)
    {
        rights_.partitions = 8;
        rights_.safe = settings.safe;
        const std::vector<limits>& bounds = settings.customers;
        auto config = std::make_shared<config::published>();
        config->version = 1;
        config->regions = {region_id("r")};
        for (const auto* zone : {"a", "b", "c"}) {
            config->zones.push_back({zone_id(zone), region_id("r"), config::zone_state::in});
        }
        for (std::size_t index = 0; index < bounds.size(); ++index) {
            const customer_id id("customer-" + std::to_string(index));
            config->customers.push_back({id, {}, bounds[index].rate, bounds[index].burst});
            reference_.push_back({bounds[index], bounds[index].burst, {}, 0});
            callers_.push_back(index % settings.nodes);
        }
        config->index();
        config_ = std::move(config);
        list_.revision = 1;
        for (std::size_t index = 0; index < settings.nodes; ++index) {
            add_node();
        }
        publish_list(duration::zero());
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            start(index);
        }
        schedule_every(milliseconds(500), [this] { refresh_views(); });
        if (settings.faults) {
            schedule_every(settings_.fault_interval, [this] {
                if (now_ < settings_.fault_time) {
                    inject_fault();
                }
            });
        }
        schedule(settings.fault_time, [this] { heal(); });
    }

    void run_until(duration end)
    {
        while (!events_.empty() && events_.top().at <= end && violation_.empty()) {
            auto event = std::move(const_cast<fleet_harness::event&>(events_.top()));
            events_.pop();
            now_ = event.at;
            event.action();
        }
        now_ = std::max(now_, end);
    }

    // Generates requests of a customer at `factor` times its rate: on one instance, on an instance
    // that changes from time to time, or spread over all instances.
    enum class callers
    {
        on_one,
        moving,
        spread
    };
    void run_callers(std::size_t customer, double factor, callers mode)
    {
        if (healed_) {
            return;
        }
        const double rate = reference_[customer].bounds.rate * factor;
        const auto gap = duration(static_cast<duration::rep>(1e9 / rate * (0.5 + random_.unit())));
        duration pause = gap;
        if (mode != callers::on_one && chance(0.02)) { // pause, so that a burst can accumulate
            callers_[customer] = random_.below(nodes_.size());
            pause = milliseconds(100 + random_.below(900));
        }
        if (mode == callers::spread && chance(0.5)) {
            callers_[customer] = random_.below(nodes_.size());
        }
        try_admit(callers_[customer], customer, now_ + milliseconds(150));
        schedule(now_ + pause, [=, this] { run_callers(customer, factor, mode); });
    }

    // Sends `requests` requests of a customer to one instance at the same time.
    void burst(std::size_t customer, std::size_t node, std::size_t requests)
    {
        for (std::size_t request = 0; request < requests; ++request) {
            try_admit(node, customer, now_);
        }
    }

    // Returns the instance that holds the customer's bucket, or `nodes()` for none.
    std::size_t home(std::size_t customer) const
    {
        const auto partition = partition_of(config_->customers[customer].id, rights_);
        std::size_t index = 0;
        while (index < nodes_.size() && !holds(index, partition)) {
            ++index;
        }
        return index;
    }

    void reconnect() { cuts_.clear(); }

    void move_callers(std::size_t customer, std::size_t node) { callers_[customer] = node; }
    const std::string& violation() const { return violation_; }
    std::uint64_t admitted(std::size_t customer) const { return reference_[customer].admitted; }
    std::size_t customers() const { return reference_.size(); }
    duration now() const { return now_; }

    // Returns the number of partitions that are held by any instance now.
    std::size_t held() const
    {
        std::size_t count = 0;
        for (partition_index partition = 0; partition < rights_.partitions; ++partition) {
            for (std::size_t node = 0; node < nodes_.size(); ++node) {
                count += holds(node, partition) ? 1 : 0;
            }
        }
        return count;
    }
    std::size_t partitions() const { return rights_.partitions; }
    std::size_t nodes() const { return nodes_.size(); }
    bool alive(std::size_t node) const { return nodes_[node].rights != nullptr; }
    fleet_rights& rights(std::size_t node) { return *nodes_[node].rights; }
    time_point local(std::size_t node) const { return local_at(node, now_); }

    void kill(std::size_t node) { nodes_[node].rights.reset(); }

    void start(std::size_t index)
    {
        node& entry = nodes_[index];
        entry.process = incarnation{++processes_};
        entry.offset = milliseconds(random_.below(1'000'000));
        entry.started = now_;
        entry.paused_until = {};
        entry.tick_at = duration::max();
        const time_point now = local_at(index, now_);
        entry.rights = std::make_unique<fleet_rights>(
            self_description{entry.id, entry.process, entry.zone, now, 2}, rights_);
        entry.leaving = false;
        const auto wall = milliseconds(1'000'000'000) +
                          std::chrono::duration_cast<milliseconds>(now_ + entry.wall_skew);
        entry.rights->set_wall_clock(wall_time(wall), now);
        entry.rights->set_config(config_, now);
        entry.rights->set_list(list_, now);
        entry.seen_list = list_.revision;
        update_view(index);
        schedule_tick(index);
    }

    void pause(std::size_t node, duration time)
    {
        nodes_[node].paused_until = std::max(nodes_[node].paused_until, now_ + time);
    }

    void leave(std::size_t node)
    {
        nodes_[node].leaving = true;
        nodes_[node].rights->begin_leave(local(node));
        schedule_tick(node);
    }

    void cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }

    // Ends all faults: stops unlisted instances and restarts listed ones that are stopped, leaving
    // or paused for more than 2 s.
    void heal()
    {
        cuts_.clear();
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            const bool listed = list_.find(nodes_[index].id) != nullptr;
            if (!listed) {
                nodes_[index].rights.reset();
            } else if (!nodes_[index].rights || nodes_[index].leaving ||
                       nodes_[index].paused_until > now_ + std::chrono::seconds(2))
            {
                start(index);
            }
        }
        settings_.loss = 0;
        settings_.late = 0;
        healed_ = true;
        for (auto& customer : callers_) {
            customer = random_node();
        }
    }

    // Adds an instance to the list and publishes the list to all instances without delay.
    void add()
    {
        add_node();
        ++list_.revision;
        publish_list(duration::zero());
        start(nodes_.size() - 1);
    }

    // Kills an instance and removes it from the list.
    void remove(std::size_t node)
    {
        std::erase_if(list_.instances,
                      [&](const auto& entry) { return entry.id == nodes_[node].id; });
        ++list_.revision;
        kill(node);
        publish_list(duration::zero());
    }

    // Replaces `count` listed instances by new ones, or adds one if only one instance is listed.
    // The replaced instances keep running for up to 6 s.
    void replace(std::size_t count)
    {
        if (list_.instances.size() == 1) {
            add_node();
            ++list_.revision;
            publish_list(milliseconds(4500));
            start(nodes_.size() - 1);
            return;
        }
        for (std::size_t turn = 0; turn < count; ++turn) {
            const std::size_t old = random_node();
            std::erase_if(list_.instances,
                          [&](const auto& entry) { return entry.id == nodes_[old].id; });
            schedule(now_ + milliseconds(random_.below(6000)), [this, old] { kill(old); });
            add_node();
        }
        ++list_.revision;
        publish_list(milliseconds(4500)); // within options::list_spread
        for (std::size_t index = nodes_.size() - count; index < nodes_.size(); ++index) {
            start(index);
        }
    }

private:
    struct node
    {
        instance_id id;
        zone_id zone;
        incarnation process;
        std::unique_ptr<fleet_rights> rights; // null: not running
        double speed = 1;
        duration offset{};
        duration started{};
        duration wall_skew{};
        duration paused_until{};
        duration tick_at = duration::max();
        std::uint64_t seen_list = 0;
        bool leaving = false;
    };
    struct event
    {
        duration at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct term
    {
        std::size_t node = 0;
        std::uint64_t fence = 0;
    };

    bool chance(double share) { return random_.unit() < share; }

    void schedule(duration at, std::function<void()> action)
    {
        events_.push({at, ++order_, std::move(action)});
    }

    void schedule_every(duration interval, std::function<void()> action)
    {
        schedule(now_ + interval, [this, interval, action] {
            action();
            schedule_every(interval, action);
        });
    }

    // Returns the boot clock of a node at the global time `at`.
    time_point local_at(std::size_t index, duration at) const
    {
        const node& entry = nodes_[index];
        const auto scaled =
            static_cast<duration::rep>(static_cast<double>(at.count()) * entry.speed);
        return time_point(std::chrono::hours(1) + entry.offset + duration(scaled));
    }

    void add_node()
    {
        node entry;
        const auto index = nodes_.size();
        entry.id = instance_id("q-" + std::to_string(index));
        entry.zone = zone_id(std::string(1, static_cast<char>('a' + index % 3)));
        entry.speed = 1 + settings_.drift * (2 * random_.unit() - 1);
        const auto skew = static_cast<std::uint64_t>(settings_.wall_skew.count());
        entry.wall_skew = duration(static_cast<duration::rep>(random_.below(skew + 1)));
        list_.instances.push_back({entry.id, "127.0.0.1", 1, 1, entry.zone, {}});
        nodes_.push_back(std::move(entry));
    }

    std::size_t random_node()
    {
        for (;;) {
            const auto index = random_.below(nodes_.size());
            if (list_.find(nodes_[index].id) != nullptr) {
                return index;
            }
        }
    }

    void publish_list(duration lag)
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            const auto delay = duration(static_cast<duration::rep>(
                random_.below(static_cast<std::uint64_t>(lag.count()) + 1)));
            schedule(now_ + delay, [this, index, list = list_] { deliver_list(index, list); });
        }
    }

    // A paused process reads the list up to 2 s after it resumes.
    void deliver_list(std::size_t index, const config::instance_list& list)
    {
        if (nodes_[index].paused_until > now_) {
            schedule(nodes_[index].paused_until + milliseconds(random_.below(2000)),
                     [this, index, list] { deliver_list(index, list); });
            return;
        }
        run(index, [this, index, list] {
            nodes_[index].rights->set_list(list, local(index));
            update_view(index);
            return std::vector<peer::outgoing_message>{};
        });
    }

    // Updates a node's view of its peers. The view contains errors: some live peers look failed.
    void update_view(std::size_t index)
    {
        std::vector<peer_status> peers;
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            const node& entry = nodes_[other];
            const bool reachable = entry.rights && entry.paused_until <= now_ &&
                                   !cuts_.contains({other, index}) &&
                                   !cuts_.contains({index, other});
            const bool wrong = !healed_ && chance(settings_.wrong_views);
            peers.push_back({entry.id, reachable ? entry.process : incarnation{},
                             reachable && !wrong, reachable && entry.leaving});
        }
        nodes_[index].rights->set_peers(std::move(peers), local(index));
    }

    void refresh_views()
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            run(index, [this, index] {
                update_view(index);
                return std::vector<peer::outgoing_message>{};
            });
        }
    }

    // Runs an action in a node's process, after the end of a pause, and sends the messages that it
    // returns.
    void run(std::size_t index, std::function<std::vector<peer::outgoing_message>()> action)
    {
        node& entry = nodes_[index];
        if (!entry.rights) {
            return;
        }
        if (entry.paused_until > now_) {
            schedule(entry.paused_until, [this, index, process = entry.process, action] {
                if (nodes_[index].process == process) {
                    run(index, action);
                }
            });
            return;
        }
        for (auto& message : action()) {
            send(index, message);
        }
        check_holders(index);
        schedule_tick(index);
    }

    void schedule_tick(std::size_t index)
    {
        node& entry = nodes_[index];
        const time_point now = local(index);
        const time_point wake = entry.rights->next_wakeup(now);
        const duration wait =
            wake <= now ? milliseconds(1)
                        : std::min<duration>(wake - now + milliseconds(1), milliseconds(900));
        const duration at = now_ + wait;
        if (at >= entry.tick_at && entry.tick_at > now_) {
            return;
        }
        entry.tick_at = at;
        schedule(at, [this, index, at, process = entry.process] {
            if (nodes_[index].tick_at == at && nodes_[index].process == process) {
                nodes_[index].tick_at = duration::max();
                run(index, [this, index] { return nodes_[index].rights->on_tick(local(index)); });
            }
        });
    }

    void send(std::size_t from, const peer::outgoing_message& message)
    {
        const auto to = static_cast<std::size_t>(std::stoul(message.to.name.substr(2)));
        const peer::received_message body{nodes_[from].id, nodes_[from].process, message.body};
        const int copies = chance(settings_.duplicates) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (cuts_.contains({from, to}) || chance(settings_.loss)) {
                continue;
            }
            duration delay = std::chrono::microseconds(300 + random_.below(2700));
            if (copy > 0 || chance(settings_.late)) {
                delay += duration(static_cast<duration::rep>(
                    random_.below(static_cast<std::uint64_t>(settings_.max_late_delay.count()))));
            }
            schedule(now_ + delay, [this, to, body] {
                run(to,
                    [this, to, body] { return nodes_[to].rights->on_message(body, local(to)); });
            });
        }
    }

    void try_admit(std::size_t index, std::size_t customer, duration until)
    {
        node& entry = nodes_[index];
        if (!entry.rights || entry.paused_until > now_ || now_ > until) {
            return;
        }
        const auto& id = config_->customers[customer].id;
        const auto result = entry.rights->admit(id, local(index));
        if (std::holds_alternative<rights::admitted>(result)) {
            if (!reference_[customer].admit(now_, settings_.drift + 0.001)) {
                fail(id.name + " exceeds its rate and burst at " + entry.id.name);
            }
        } else if (const auto* later = std::get_if<rights::deferred>(&result)) {
            const duration pause =
                std::max<duration>(later->retry_at - local(index), settings_.retry);
            schedule(now_ + pause, [=, this] { try_admit(index, customer, until); });
        }
        schedule_tick(index);
    }

    bool holds(std::size_t index, partition_index partition) const
    {
        return nodes_[index].rights && nodes_[index].rights->holds(partition, local(index));
    }

    // Checks against global time that a partition has at most one holder, and that later terms have
    // greater fencing tokens.
    void check_holders(std::size_t index)
    {
        for (partition_index partition = 0; partition < rights_.partitions; ++partition) {
            if (!holds(index, partition)) {
                continue;
            }
            for (std::size_t other = 0; other < nodes_.size(); ++other) {
                if (other != index && holds(other, partition)) {
                    fail("partition " + std::to_string(partition) + " is held by " +
                         nodes_[index].id.name + " and " + nodes_[other].id.name);
                }
            }
            const auto fence = nodes_[index].rights->partition_fence(partition, local(index));
            term& last = terms_[partition];
            if (fence < last.fence || (fence == last.fence && index != last.node)) {
                fail("the fencing token of partition " + std::to_string(partition) +
                     " does not increase");
            }
            last = {index, fence};
        }
    }

public:
    void isolate(std::size_t index)
    {
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            cut(index, other);
            cut(other, index);
        }
    }

    void inject_fault()
    {
        const auto index = random_node();
        switch (settings_.kinds[random_.below(settings_.kinds.size())]) {
        case fault_kind::kill:
            kill(index);
            break;
        case fault_kind::restart:
            start(index);
            break;
        case fault_kind::pause:
            pause(index, milliseconds(chance(0.3) ? 30'000 : 200 + random_.below(6000)));
            break;
        case fault_kind::one_way_cuts:
            for (std::size_t other = 0; other < nodes_.size(); ++other) {
                if (chance(0.5)) {
                    cut(index, other);
                }
            }
            break;
        case fault_kind::split_network:
            for (std::size_t left = 0; left < nodes_.size(); ++left) {
                for (std::size_t right = left + 1; right < nodes_.size(); right += 2) {
                    cut(left, right);
                    cut(right, left);
                }
            }
            break;
        case fault_kind::isolate:
            isolate(index);
            break;
        case fault_kind::restart_others:
            isolate(index);
            for (std::size_t other = 0; other < nodes_.size(); ++other) {
                if (other != index && nodes_[other].rights) {
                    start(other);
                }
            }
            break;
        case fault_kind::reconnect:
            cuts_.clear();
            break;
        case fault_kind::replace:
            if (now_ > last_change_ + std::chrono::seconds(5)) {
                last_change_ = now_;
                replace(chance(0.3) ? std::max<std::size_t>(1, list_.instances.size() / 3) : 1);
            }
            break;
        case fault_kind::leave:
            if (!nodes_[index].rights || nodes_[index].leaving) {
                start(index);
            } else {
                leave(index);
            }
            break;
        }
    }

    void fail(const std::string& what)
    {
        if (violation_.empty()) {
            violation_ = "seed " + std::to_string(settings_.seed) + ", " +
                         std::to_string(now_ / milliseconds(1)) + " ms: " + what;
        }
    }

    schedule_options settings_;
    random_source random_;
    options rights_;
    std::shared_ptr<const config::published> config_;
    config::instance_list list_;
    std::vector<node> nodes_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::uint64_t processes_ = 0;
    duration now_{};
    duration last_change_{};
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::vector<reference_bucket> reference_;
    std::vector<std::size_t> callers_;
    std::map<partition_index, term> terms_;
    std::string violation_;
    bool healed_ = false;
};

} // namespace quetzal::rights::testing

#endif
