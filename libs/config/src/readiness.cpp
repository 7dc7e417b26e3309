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
    if (!began_) {
        began_ = true;
        began_at_ = now;
    }
    std::vector<instance_id> others;
    std::copy_if(members.begin(), members.end(), std::back_inserter(others),
                 [this](const instance_id& id) { return id != self_; });
    std::erase_if(peers_, [&others](const auto& entry) {
        return std::find(others.begin(), others.end(), entry.first) == others.end();
    });
    // Fills the sample in random order; peers asked before stay in it.
    std::shuffle(others.begin(), others.end(), random_);
    for (const auto& id : others) {
        if (peers_.size() >= options_.sample) {
            break;
        }
        peers_.try_emplace(id);
    }
    return due_questions(now);
}

void readiness_gate::on_peer_version(const instance_id& peer, std::uint64_t version, time_point now)
{
    // Reports of peers outside the sample count too when they name a version.
    if (version != 0) {
        highest_[peer] = {version, now};
    }
    if (const auto found = peers_.find(peer); found != peers_.end()) {
        found->second.answered = true;
    }
}

std::vector<ask_version> readiness_gate::update(std::uint64_t in_force, time_point now)
{
    if (state_.ready || !began_) {
        return {};
    }
    std::erase_if(highest_, [&](const auto& entry) {
        return now - entry.second.at > options_.report_validity || entry.second.version <= in_force;
    });
    state_ = judge(in_force, now);
    return state_.ready ? std::vector<ask_version>{} : due_questions(now);
}

readiness readiness_gate::judge(std::uint64_t in_force, time_point now) const
{
    if (in_force == 0) {
        return {false, "a first configuration"};
    }
    if (!highest_.empty()) {
        const auto& [peer, report] = *highest_.begin();
        return {false, "version " + std::to_string(report.version) + " reported by " + peer.name};
    }
    const auto answered = static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [](const auto& entry) { return entry.second.answered; }));
    if (2 * answered > peers_.size() || peers_.empty() || now - began_at_ >= options_.patience) {
        return {true, ""};
    }
    return {false, "versions of peers, " + std::to_string(answered) + " of " +
                       std::to_string(peers_.size()) + " answered"};
}

std::vector<ask_version> readiness_gate::due_questions(time_point now)
{
    std::vector<ask_version> questions;
    for (auto& [id, peer] : peers_) {
        if (!peer.answered && (!peer.asked_at || now - *peer.asked_at >= options_.ask_again)) {
            peer.asked_at = now;
            questions.push_back({id});
        }
    }
    return questions;
}

} // namespace quetzal::config
