#ifndef QUETZAL_CONFIG_READINESS_HPP
#define QUETZAL_CONFIG_READINESS_HPP

// Decides when a new instance has a sufficiently recent published configuration to become ready.
// The configuration service may return an old value, so a new instance first asks its peers for
// their versions and waits for the highest. When the complete fleet starts at once, every peer
// responds that it has no version, and the value of the service suffices.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/base/random.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::config {

// Number and timing of the version queries after the start.
struct readiness_options
{
    // Number of peers to ask. A sample suffices, because every majority of the sample knows a
    // version that is in force everywhere.
    std::size_t sample_size = 16;
    // Time after which a peer that has not responded is asked again.
    duration retry_interval = std::chrono::milliseconds(500);
    // How long to wait for a majority of the sample. After that, the highest version reported so
    // far suffices: an instance without contact to its peers starts no work anyway, because it gets
    // no grants.
    duration majority_timeout = std::chrono::seconds(10);
    // How long a peer's report of a higher version prevents this instance from becoming ready.
    // Peers repeat their reports with every probe.
    duration report_validity = std::chrono::seconds(30);
};

// Action: ask this peer for its versions, e.g. with `prober::probe_now`.
struct ask_version
{
    instance_id peer;
};

// Whether the instance is ready, and if not, what it is waiting for.
struct readiness
{
    bool ready = false;
    std::string waiting_for; // e.g. "version 812 reported by q-17"; for the status page
};

// The readiness of one instance. Once ready, the instance remains ready: grants enforce later
// versions. Not thread-safe.
class readiness_gate
{
public:
    readiness_gate(instance_id self, readiness_options options, std::uint64_t seed);

    // Chooses the peers to ask and returns the queries that are due. Call it with the first
    // instance list and whenever the list changes before the instance is ready. `members` may
    // include leaving members.
    std::vector<ask_version> set_peers(const std::vector<instance_id>& members, time_point now);

    // Handles a peer's report of its version in force; 0 means that the peer has none.
    void on_peer_version(const instance_id& peer, std::uint64_t version, time_point now);

    // Updates the state for the version in force here and returns the queries that are due. A
    // higher version that a peer has in force and that fails the checks here prevents readiness,
    // because it may revoke keys that the older version still has. Call it after every event above
    // and every `retry_interval`.
    std::vector<ask_version> update(std::uint64_t in_force, time_point now);

    // Returns the state as of the last `update`.
    const readiness& state() const noexcept { return state_; }

private:
    struct peer_state
    {
        bool answered = false;
        std::optional<time_point> asked_at;
    };
    struct report
    {
        std::uint64_t version = 0;
        time_point at{};
    };

    readiness evaluate(std::uint64_t in_force, time_point now) const;
    std::vector<ask_version> due_queries(time_point now);

    instance_id self_;
    readiness_options options_;
    random_source random_;
    std::map<instance_id, peer_state> peers_;       // the sample
    std::map<instance_id, report> higher_versions_; // reports above the version in force
    bool started_ = false;
    time_point started_at_{};
    readiness state_;
};

} // namespace quetzal::config

#endif
