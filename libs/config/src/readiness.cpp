#include <quetzal/config/readiness.hpp>

#include <algorithm>

namespace quetzal::config {

readiness_gate::readiness_gate(instance_id self, readiness_options options, std::uint64_t seed)
    : self_(std::move(self)), options_(options), random_(seed)
{
    state_.waiting_for = "the instance list";
}

std::vector<ask_version> readiness_gate::set_peers(const std::vector<instance_id>& members,
                                                   time_point now)
{
    if (state_.ready) {
        return {};
    }
    if (!started_) {
        started_ = true;
        started_at_ = now;
    }
    std::vector<instance_id> others;
    std::copy_if(members.begin(), members.end(), std::back_inserter(others),
                 [this](const instance_id& id) { return id != self_; });
    std::erase_if(peers_, [&others](const auto& entry) {
        return std::find(others.begin(), others.end(), entry.first) == others.end();
    });
    // Fills the sample in random order. Peers that are already in the sample stay.
    std::shuffle(others.begin(), others.end(), random_);
    for (const auto& id : others) {
        if (peers_.size() >= options_.sample_size) {
            break;
        }
        peers_.try_emplace(id);
    }
    return due_queries(now);
}

void readiness_gate::on_peer_version(const instance_id& peer, std::uint64_t version, time_point now)
{
    // A version reported by a peer outside the sample counts too.
    if (version != 0) {
        higher_versions_[peer] = {version, now};
    }
    if (const auto found = peers_.find(peer); found != peers_.end()) {
        found->second.answered = true;
    }
}

std::vector<ask_version> readiness_gate::update(std::uint64_t in_force, time_point now)
{
    if (state_.ready || !started_) {
        return {};
    }
    std::erase_if(higher_versions_, [&](const auto& entry) {
        return now - entry.second.at > options_.report_validity || entry.second.version <= in_force;
    });
    state_ = evaluate(in_force, now);
    return state_.ready ? std::vector<ask_version>{} : due_queries(now);
}

readiness readiness_gate::evaluate(std::uint64_t in_force, time_point now) const
{
    if (in_force == 0) {
        return {false, "a first configuration"};
    }
    if (!higher_versions_.empty()) {
        const auto& [peer, report] = *higher_versions_.begin();
        return {false, "version " + std::to_string(report.version) + " reported by " + peer.name};
    }
    const auto answered = static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [](const auto& entry) { return entry.second.answered; }));
    if (2 * answered > peers_.size() || peers_.empty() ||
        now - started_at_ >= options_.majority_timeout)
    {
        return {true, ""};
    }
    return {false, "versions of a majority of peers; " + std::to_string(answered) + " of " +
                       std::to_string(peers_.size()) + " responded"};
}

std::vector<ask_version> readiness_gate::due_queries(time_point now)
{
    std::vector<ask_version> queries;
    for (auto& [id, peer] : peers_) {
        if (!peer.answered && (!peer.asked_at || now - *peer.asked_at >= options_.retry_interval)) {
            peer.asked_at = now;
            queries.push_back({id});
        }
    }
    return queries;
}

} // namespace quetzal::config
