#ifndef QUETZAL_GATEWAY_COORDINATOR_WATCH_HPP
#define QUETZAL_GATEWAY_COORDINATOR_WATCH_HPP

// Decides when an instance that has jobs at a coordinator gives it up. Heartbeats tell of a death
// only after seconds in a large fleet, while every request with stages waits for the coordinator.

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

enum class coordinator_contact
{
    fresh,
    ask, // send it a heartbeat that wants a reply
    lost // send its jobs to another instance
};

class coordinator_watch
{
public:
    static constexpr duration ask_after = std::chrono::milliseconds(250);
    // Several requests for a reply fit in, so that neither a lost datagram nor a short pause of the
    // machine moves jobs that the coordinator still runs.
    static constexpr duration lost_after = std::chrono::milliseconds(1000);

    // Forgets all coordinators but those that have jobs of this instance.
    void keep_only(const std::set<std::string>& coordinators)
    {
        std::erase_if(watched_since_,
                      [&](const auto& entry) { return !coordinators.contains(entry.first); });
    }

    // Returns what to do about a coordinator that was last known to be alive `silence` ago. Called
    // at regular intervals while it has jobs of this instance; only silence since the first of
    // these calls counts, as nobody had asked before.
    coordinator_contact judge(const std::string& coordinator, duration silence, time_point now)
    {
        const time_point since = watched_since_.try_emplace(coordinator, now).first->second;
        if (std::min(silence, now - since) >= lost_after) {
            return coordinator_contact::lost;
        }
        return silence >= ask_after ? coordinator_contact::ask : coordinator_contact::fresh;
    }

private:
    std::map<std::string, time_point> watched_since_;
};

} // namespace quetzal::gateway

#endif
