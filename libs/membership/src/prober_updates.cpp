// Gossip about members: merges received updates and passes on those that change a member's entry.

#include <algorithm>
#include <bit>

#include <quetzal/membership/prober.hpp>

namespace quetzal::membership {

// Merges an update. A greater incarnation replaces the entry. Within an incarnation, the greater
// sequence wins, and a suspicion wins between equal sequences. A process that is leaving never
// returns to another state.
void prober::apply(actions& out, const peer::member_update& update, bool directly)
{
    const auto found = members_.find(update.instance);
    if (found == members_.end() || update.process < found->second.process) {
        return;
    }
    const member previous = found->second;
    member& entry = found->second;
    if (update.process > previous.process) {
        entry.process = update.process;
        entry.sequence = update.sequence;
        entry.suspected = update.suspected;
        entry.leaving = update.leaving;
        if (previous.process.value != 0) {
            out.emplace_back(
                member_restarted{update.instance, previous.process, update.process, directly});
        }
    } else {
        entry.leaving = previous.leaving || update.leaving;
        if (update.sequence > previous.sequence) {
            entry.sequence = update.sequence;
            entry.suspected = update.suspected;
        } else if (update.sequence == previous.sequence) {
            entry.suspected = previous.suspected || update.suspected;
        }
    }
    entry.suspicion_is_local = previous.suspicion_is_local && entry.suspected && !update.suspected;
    // The first contact with a process is only passed on if it replaces a previous process.
    const bool first_contact = previous.process.value == 0 && !update.suspected && !update.leaving;
    const bool news = entry.process != previous.process || entry.sequence != previous.sequence ||
                      entry.suspected != previous.suspected || entry.leaving != previous.leaving;
    if (news && !first_contact) {
        enqueue(update.instance);
    }
    if (const member_state before = state_of(previous); before != state_of(entry)) {
        out.emplace_back(member_changed{before, view_of(update.instance, entry)});
    }
}

void prober::apply_own_update(actions& out, const peer::member_update& update)
{
    if (update.process > process_) {
        superseded_ = true;
        out.emplace_back(superseded{update.process});
        return;
    }
    if (update.process < process_) {
        return;
    }
    if (update.suspected) {
        // Refutes the suspicion even if a greater sequence has refuted it before, because every
        // copy of that refutation may have been lost.
        counters_.refutations += update.sequence >= own_sequence_ ? 1 : 0;
        own_sequence_ = std::max(own_sequence_, update.sequence + 1);
        enqueue(self_);
    }
}

void prober::end_local_suspicion(actions& out, const instance_id& id)
{
    member& entry = members_.at(id);
    const member_state previous = state_of(entry);
    entry.suspected = entry.suspicion_is_local = false;
    if (state_of(entry) != previous) {
        out.emplace_back(member_changed{previous, view_of(id, entry)});
    }
}

std::size_t prober::transmit_limit() const noexcept
{
    return options_.transmit_factor * static_cast<std::size_t>(std::bit_width(members_.size() + 1));
}

void prober::enqueue(const instance_id& instance)
{
    std::erase_if(updates_, [&instance](const pending_update& update) {
        return update.instance == instance;
    });
    // Updates about this instance go first, so that a refutation is not delayed.
    updates_.insert(instance == self_ ? updates_.begin() : updates_.end(), {instance, 0});
}

peer::member_update prober::make_update(const instance_id& instance) const
{
    if (instance == self_) {
        return {self_, process_, leaving_, false, own_sequence_};
    }
    const member& entry = members_.at(instance);
    return {instance, entry.process, entry.leaving, entry.suspected, entry.sequence};
}

// Selects the updates for one message. The first ones are an update about the receiver that it
// must refute or that supersedes it, and the leaving state of this instance, because late joiners
// have not received it. The others follow, least often sent first.
std::vector<peer::member_update> prober::take_updates(const instance_id& receiver)
{
    std::vector<peer::member_update> taken;
    if (const auto found = members_.find(receiver);
        found != members_.end() && found->second.process.value != 0 &&
        ((found->second.suspected && !found->second.suspicion_is_local) ||
         found->second.needs_correction))
    {
        found->second.needs_correction = false;
        taken.push_back(make_update(receiver));
    }
    if (leaving_) {
        taken.push_back(make_update(self_));
    }
    std::stable_sort(updates_.begin(), updates_.end(),
                     [](const pending_update& first, const pending_update& second) {
                         return first.times_sent < second.times_sent;
                     });
    for (auto& update : updates_) {
        if (taken.size() >= options_.updates_per_message) {
            break;
        }
        if (update.instance != receiver && !(leaving_ && update.instance == self_)) {
            ++update.times_sent;
            taken.push_back(make_update(update.instance));
        }
    }
    std::erase_if(updates_, [limit = transmit_limit()](const pending_update& update) {
        return update.times_sent >= limit;
    });
    return taken;
}

} // namespace quetzal::membership
