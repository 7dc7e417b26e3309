// Rate admission and exclusive rights by package `rights`.

#include <algorithm>
#include <unordered_map>
#include <variant>

#include "admission.hpp"
#include <quetzal/rights/fleet_rights.hpp>

namespace quetzal::bench {

namespace {

constexpr duration same_zone = std::chrono::microseconds(250); // of a datagram
constexpr duration view_interval = std::chrono::seconds(1);    // between looks at the peers
constexpr duration least_tick = std::chrono::milliseconds(1);

class rights_admission : public admission
{
public:
    rights_admission(const fleet& installation, event_queue& events)
        : fleet_(installation), events_(events)
    {
        auto published = std::make_shared<config::published>(installation.config);
        config::instance_list list;
        list.revision = 1;
        std::vector<rights::peer_status> peers;
        for (std::size_t index = 0; index < installation.instances.size(); ++index) {
            const auto& instance = installation.instances[index];
            const auto zone = installation.config.zones[instance.zone].id;
            list.instances.push_back(
                {instance.id, "127.0.0.1", 1, 1, zone, config::listed_state::live});
            peers.push_back({instance.id, process_of(index), true, false});
            indexes_.emplace(instance.id, index);
        }
        for (std::size_t index = 0; index < installation.instances.size(); ++index) {
            const auto& instance = installation.instances[index];
            rights::self_description self;
            self.id = instance.id;
            self.process = process_of(index);
            self.zone = installation.config.zones[instance.zone].id;
            self.started = events.now();
            self.shards = 1;
            members_.emplace_back();
            members_.back().rights = std::make_unique<rights::fleet_rights>(self);
            auto& entry = *members_.back().rights;
            entry.set_wall_clock(wall_time(std::chrono::milliseconds(1'700'000'000'000)),
                                 events.now());
            entry.set_list(list, events.now());
            entry.set_config(published, events.now());
            entry.set_peers(peers, events.now());
        }
        for (std::size_t index = 0; index < members_.size(); ++index) {
            arm(index);
        }
        keep_view(std::move(peers));
    }

    rate_answer take(std::uint32_t instance, std::uint32_t request, std::uint32_t customer) override
    {
        const auto now = events_.now();
        auto& shortage = members_[instance].shortages[customer];
        if (now < shortage.ask_at) {
            return shortage.answer;
        }
        const auto answer =
            members_[instance].rights->admit(fleet_.config.customers[customer].id, now);
        if (std::holds_alternative<rights::admitted>(answer)) {
            waiting_.erase(request);
            return rate_answer::taken;
        }
        if (const auto* pause = std::get_if<rights::deferred>(&answer)) {
            const auto until = waiting_.try_emplace(request, pause->until).first->second;
            if (now < until) {
                retry(instance, std::max(pause->retry_at, now + least_tick));
                arm(instance);
                // `admit` counts every call that finds no credit as one more request that waits, so
                // it is not asked again for each look into the queue.
                shortage.ask_at = std::max(pause->retry_at, now + least_tick);
                shortage.answer = pause->exhausted ? rate_answer::none : rate_answer::wait;
                return shortage.answer;
            }
        }
        waiting_.erase(request);
        return rate_answer::beyond;
    }

    std::optional<std::uint64_t> right_to(std::uint32_t instance,
                                          std::uint32_t endpoint) const override
    {
        const auto& rights = *members_[instance].rights;
        const auto& id = fleet_.endpoints[endpoint].id;
        if (!rights.holds(id, events_.now())) {
            return {};
        }
        return rights.fence(id, events_.now());
    }

private:
    // A customer without credit at one instance.
    struct shortage_state
    {
        time_point ask_at{};
        rate_answer answer = rate_answer::wait;
    };

    struct member
    {
        std::unique_ptr<rights::fleet_rights> rights;
        time_point tick_at = time_point::max(); // next scheduled tick
        time_point retry_at = time_point::max();
        std::unordered_map<std::uint32_t, shortage_state> shortages; // by customer
    };

    static incarnation process_of(std::size_t index) { return incarnation{100 + index}; }

    // Tells the router to ask again; several waiting requests share one event.
    void retry(std::size_t index, time_point when)
    {
        auto& entry = members_[index];
        if (entry.retry_at <= when && entry.retry_at > events_.now()) {
            return;
        }
        entry.retry_at = when;
        events_.at(when, [this, index, when] {
            if (members_[index].retry_at == when) {
                members_[index].retry_at = time_point::max();
                on_token(static_cast<std::uint32_t>(index));
            }
        });
    }

    void arm(std::size_t index)
    {
        auto& entry = members_[index];
        const auto now = events_.now();
        const auto due = std::max(entry.rights->next_wakeup(now), now + least_tick);
        if (due >= entry.tick_at) {
            return;
        }
        entry.tick_at = due;
        events_.at(due, [this, index, due] {
            if (members_[index].tick_at == due) {
                members_[index].tick_at = time_point::max();
                send(index, members_[index].rights->on_tick(events_.now()));
                arm(index);
            }
        });
    }

    void send(std::size_t from, const std::vector<peer::outgoing_message>& messages)
    {
        for (const auto& message : messages) {
            const auto to = indexes_.at(message.to);
            const bool near = fleet_.instances[from].zone == fleet_.instances[to].zone;
            peer::received_message received{fleet_.instances[from].id, process_of(from),
                                            message.body};
            events_.after(near ? same_zone : fleet_.zone_distance,
                          [this, to, received = std::move(received)] {
                              send(to, members_[to].rights->on_message(received, events_.now()));
                              arm(to);
                              if (const auto* grant =
                                      std::get_if<peer::credit_grant>(&received.body)) {
                                  end_shortage(to, grant->customer);
                              }
                          });
        }
    }

    void end_shortage(std::size_t index, const customer_id& customer)
    {
        const auto position = fleet_.config.find(customer) - fleet_.config.customers.data();
        members_[index].shortages.erase(static_cast<std::uint32_t>(position));
        retry(index, events_.now());
    }

    void keep_view(std::vector<rights::peer_status> peers)
    {
        events_.after(view_interval, [this, peers = std::move(peers)]() mutable {
            for (std::size_t index = 0; index < members_.size(); ++index) {
                members_[index].rights->set_peers(peers, events_.now());
                arm(index);
            }
            keep_view(std::move(peers));
        });
    }

    const fleet& fleet_;
    event_queue& events_;
    std::vector<member> members_; // by instance
    std::unordered_map<instance_id, std::size_t> indexes_;
    std::unordered_map<std::uint32_t, time_point> waiting_; // latest useful retry, by request
};

} // namespace

std::unique_ptr<admission> make_rights(const fleet& installation, event_queue& events)
{
    return std::make_unique<rights_admission>(installation, events);
}

} // namespace quetzal::bench
