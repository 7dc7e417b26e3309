// What members say about each other: merging of received updates and the spread of those that are
// news.

#include <algorithm>
#include <bit>

#include <quetzal/membership/prober.hpp>

namespace quetzal::membership {

// Merges an update. A greater incarnation replaces all; under the same one a greater sequence does,
// and with equal sequences a suspicion does. Leaving is final for a process.
void prober::apply(actions& out, const peer::member_update& update, bool directly)
{
    const auto found = members_.find(update.instance);
    if (found == members_.end() || update.process < found->second.process) {
        return;
    }
    const member former = found->second;
    member& entry = found->second;
    if (update.process > former.process) {
        entry.process = update.process;
        entry.sequence = update.sequence;
        entry.suspected = update.suspected;
        entry.leaving = update.leaving;
        if (former.process.value != 0) {
            out.emplace_back(
                member_restarted{update.instance, former.process, update.process, directly});
        }
    } else {
        entry.leaving = former.leaving || update.leaving;
        if (update.sequence > former.sequence) {
            entry.sequence = update.sequence;
            entry.suspected = update.suspected;
        } else if (update.sequence == former.sequence) {
            entry.suspected = former.suspected || update.suspected;
        }
    }
    entry.only_here = former.only_here && entry.suspected && !update.suspected;
    // The first contact with a process is no news for others unless it replaces another one.
    const bool first_contact = former.process.value == 0 && !update.suspected && !update.leaving;
    const bool news = entry.process != former.process || entry.sequence != former.sequence ||
                      entry.suspected != former.suspected || entry.leaving != former.leaving;
    if (news && !first_contact) {
        enqueue(update.instance);
    }
    if (const member_state before = state_of(former); before != state_of(entry)) {
        out.emplace_back(member_changed{before, view_of(update.instance, entry)});
    }
}

void prober::apply_self(actions& out, const peer::member_update& update)
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
        // Also when a greater sequence has refuted it before: that refutation may have been lost as
        // often as it was sent.
        counters_.refutations += update.sequence >= own_sequence_ ? 1 : 0;
        own_sequence_ = std::max(own_sequence_, update.sequence + 1);
        enqueue(self_);
    }
}

void prober::end_local_suspicion(actions& out, const instance_id& id)
{
    member& entry = members_.at(id);
    const member_state former = state_of(entry);
    entry.suspected = entry.only_here = false;
    if (state_of(entry) != former) {
        out.emplace_back(member_changed{former, view_of(id, entry)});
    }
}

std::size_t prober::spread_limit() const noexcept
{
    return options_.spread_factor * static_cast<std::size_t>(std::bit_width(members_.size() + 1));
}

void prober::enqueue(const instance_id& about)
{
    std::erase_if(updates_,
                  [&about](const pending_update& update) { return update.about == about; });
    // What this instance says about itself goes first: a refutation must not wait.
    updates_.insert(about == self_ ? updates_.begin() : updates_.end(), {about, 0});
}

peer::member_update prober::update_about(const instance_id& about) const
{
    if (about == self_) {
        return {self_, process_, leaving_, false, own_sequence_};
    }
    const member& entry = members_.at(about);
    return {about, entry.process, entry.leaving, entry.suspected, entry.sequence};
}

// Takes the updates for one message: first what the receiver must hear about itself and that this
// instance is leaving, which late joiners have not heard; then those that were sent the fewest
// times.
std::vector<peer::member_update> prober::take_updates(const instance_id& receiver)
{
    std::vector<peer::member_update> taken;
    if (const auto found = members_.find(receiver);
        found != members_.end() && found->second.process.value != 0 &&
        ((found->second.suspected && !found->second.only_here) || found->second.owes_correction))
    {
        found->second.owes_correction = false;
        taken.push_back(update_about(receiver));
    }
    if (leaving_) {
        taken.push_back(update_about(self_));
    }
    std::stable_sort(updates_.begin(), updates_.end(),
                     [](const pending_update& first, const pending_update& second) {
                         return first.sent < second.sent;
                     });
    for (auto& update : updates_) {
        if (taken.size() >= options_.updates_per_message) {
            break;
        }
        if (update.about != receiver && !(leaving_ && update.about == self_)) {
            ++update.sent;
            taken.push_back(update_about(update.about));
        }
    }
    std::erase_if(updates_, [limit = spread_limit()](const pending_update& update) {
        return update.sent >= limit;
    });
    return taken;
}

} // namespace quetzal::membership
