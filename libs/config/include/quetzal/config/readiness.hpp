#ifndef QUETZAL_CONFIG_READINESS_HPP
#define QUETZAL_CONFIG_READINESS_HPP

// Decides when a new instance knows enough of the published configuration to become ready. The
// service may return an old value, so a new instance first asks its peers for their versions and
// takes the highest. When the whole fleet starts cold, every peer answers that it has none, and the
// service's value is the only source.

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

// Timing and size of the questions at the start.
struct readiness_options
{
    // Peers asked. A sample suffices: a version in force everywhere is known to any majority of it.
    std::size_t sample = 16;
    // Pause before a silent peer is asked again.
    duration ask_again = std::chrono::milliseconds(500);
    // How long to wait for a majority of the sample. After that, the highest version heard counts:
    // an instance without contact to its peers starts no work anyway, because it gets no grants.
    duration patience = std::chrono::seconds(10);
    // How long a peer's report of a higher version keeps this instance from becoming ready. Peers
    // repeat their reports with every probe.
    duration report_validity = std::chrono::seconds(30);
};

// Ask this peer for its versions, e.g. with `prober::probe_now`.
struct ask_version
{
    instance_id peer;
};

// Whether the instance may become ready, and otherwise what it waits for.
struct readiness
{
    bool ready = false;
    std::string waiting_for; // e.g. "version 812 reported by q-17"; for the status page
};

// The gate of one instance. Once open it stays open: later versions are enforced by the grants.
// Not thread-safe.
class readiness_gate
{
public:
    readiness_gate(instance_id self, readiness_options options, std::uint64_t seed);

    // Chooses the peers to ask, at the first instance list and whenever it changes before the gate
    // opens. Leaving members may be included.
    std::vector<ask_version> set_peers(const std::vector<instance_id>& members, time_point now);

    // A peer reported the version in force there; 0 means that it has none.
    void on_peer_version(const instance_id& peer, std::uint64_t version, time_point now);

    // Records the version in force here and opens the gate when the rule is met. A higher version
    // that a peer has in force and that fails the checks here keeps the gate closed: it may
    // withdraw keys that the older one still has. Returns the questions that are due again; call it
    // with every event above and every `ask_again`.
    std::vector<ask_version> update(std::uint64_t in_force, time_point now);

    // Whether the gate is open; reflects the last `update`.
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

    readiness judge(std::uint64_t in_force, time_point now) const;
    std::vector<ask_version> due_questions(time_point now);

    instance_id self_;
    readiness_options options_;
    random_source random_;
    std::map<instance_id, peer_state> peers_; // the sample
    std::map<instance_id, report> highest_;   // reports above the version in force
    bool began_ = false;
    time_point began_at_{};
    readiness state_;
};

} // namespace quetzal::config

#endif
