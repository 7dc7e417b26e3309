#include <quetzal/membership/prober.hpp>

#include <algorithm>
#include <utility>

namespace quetzal::membership {

namespace {

// Maximum number of outstanding probes on behalf of peers; further requests are dropped.
constexpr std::size_t max_relays = 256;

} // namespace

std::string_view to_string(member_state state) noexcept
{
    switch (state) {
    case member_state::live:
        return "live";
    case member_state::suspected:
        return "suspected";
    case member_state::leaving:
        return "leaving";
    }
    return "live";
}

std::uint16_t encode_age(std::optional<std::chrono::seconds> age) noexcept
{
    return age && age->count() >= 0 && age->count() < peer::unknown_age
               ? static_cast<std::uint16_t>(age->count())
               : peer::unknown_age;
}

std::optional<std::chrono::seconds> decode_age(std::uint16_t age) noexcept
{
    return age == peer::unknown_age ? std::nullopt : std::optional(std::chrono::seconds(age));
}

prober::prober(instance_id self, incarnation process, prober_options options, std::uint64_t seed)
    : self_(std::move(self)), process_(process), options_(options), random_(seed),
      next_sequence_(static_cast<std::uint32_t>(random_()))
{
}

std::vector<prober_action> prober::set_list(const config::instance_list& list, time_point now)
{
    actions out;
    std::map<instance_id, member> next;
    for (const auto& listed : list.instances) {
        if (listed.id == self_) {
            continue;
        }
        const auto known = members_.find(listed.id);
        member entry = known == members_.end() ? member{} : known->second;
        const member_state previous = state_of(entry);
        entry.zone = listed.zone;
        entry.listed_leaving = listed.state == config::listed_state::leaving;
        if (known == members_.end()) {
            out.emplace_back(member_added{listed.id});
            round_targets_.insert(
                round_targets_.begin() +
                    static_cast<std::ptrdiff_t>(random_.below(round_targets_.size() + 1)),
                listed.id);
        }
        if (state_of(entry) != previous) {
            out.emplace_back(member_changed{previous, view_of(listed.id, entry)});
        }
        next.emplace(listed.id, std::move(entry));
    }
    for (const auto& [id, entry] : members_) {
        if (!next.contains(id)) {
            out.emplace_back(member_removed{id});
        }
    }
    members_ = std::move(next);
    const auto is_removed = [this](const instance_id& id) { return !members_.contains(id); };
    std::erase_if(round_targets_, is_removed);
    std::erase_if(updates_, [&](const pending_update& update) {
        return update.instance != self_ && is_removed(update.instance);
    });
    if (probe_ && is_removed(probe_->target)) {
        probe_.reset();
    }
    if (!last_tick_) {
        // Spreads the first probes over one interval when the whole fleet starts at once.
        next_probe_ = now + duration(static_cast<duration::rep>(random_.below(
                                static_cast<std::uint64_t>(options_.interval.count()))));
        last_tick_ = now;
    }
    return out;
}

std::vector<prober_action> prober::set_versions(const peer::versions& known, time_point now)
{
    static_cast<void>(now);
    const bool raised = known.config > own_versions_.config || known.list > own_versions_.list;
    own_versions_ = known;
    actions out;
    if (raised) {
        announce(out);
    }
    return out;
}

std::vector<prober_action> prober::on_message(const peer::received_message& message, time_point now)
{
    actions out;
    if (message.from == self_ || superseded_) {
        if (message.from == self_ && message.from_process > process_ && !superseded_) {
            superseded_ = true;
            out.emplace_back(superseded{message.from_process});
        }
        return out;
    }
    const bool known_sender = accept_sender(out, message, now);
    if (const auto* probe = std::get_if<peer::probe>(&message.body)) {
        on_probe(out, message.from, *probe, known_sender);
    } else if (!known_sender) {
        return out;
    } else if (const auto* ack = std::get_if<peer::probe_ack>(&message.body)) {
        on_ack(out, message.from, *ack);
    } else if (const auto* request = std::get_if<peer::probe_request>(&message.body)) {
        on_request(out, message.from, *request, now);
    }
    return out;
}

// Updates the sender's entry from the message envelope. Returns false if the sender is a previous
// process of a member; its message must not be used.
bool prober::accept_sender(actions& out, const peer::received_message& message, time_point now)
{
    const auto found = members_.find(message.from);
    if (found == members_.end()) {
        return true; // not listed here yet; answered, but not treated as a member
    }
    if (message.from_process < found->second.process) {
        ++counters_.stale_messages;
        found->second.needs_correction = true;
        return false;
    }
    last_contact_ = now;
    peer::member_update proof;
    proof.instance = message.from;
    proof.process = message.from_process;
    proof.sequence = message.from_process == found->second.process ? found->second.sequence : 0;
    if (found->second.suspicion_is_local) {
        end_local_suspicion(out, message.from);
    }
    apply(out, proof, true);
    found->second.last_heard = now;
    return true;
}

void prober::on_probe(actions& out, const instance_id& from, const peer::probe& body,
                      bool current_process)
{
    if (current_process) {
        apply_gossip(out, from, body.known, body.updates);
    }
    // A previous process is answered too, because the ack carries the update that makes it stop.
    ++counters_.acks_sent;
    send(out, from,
         peer::probe_ack{body.sequence, self_, process_, own_versions_, take_updates(from)});
}

void prober::on_ack(actions& out, const instance_id& from, const peer::probe_ack& body)
{
    apply_gossip(out, from, body.known, body.updates);
    if (const auto relay = relays_.find(body.sequence);
        relay != relays_.end() && relay->second.target == from)
    {
        const relayed_probe request = relay->second;
        relays_.erase(relay);
        send(out, request.requester,
             peer::probe_ack{request.requester_sequence, from, body.target_process, own_versions_,
                             take_updates(request.requester)});
        return;
    }
    if (probe_ && body.sequence == probe_->sequence && body.target == probe_->target &&
        body.target_process >= probe_->process)
    {
        probe_.reset();
        confirm_suspicion();
    }
}

void prober::on_request(actions& out, const instance_id& from, const peer::probe_request& body,
                        time_point now)
{
    if (relays_.size() >= max_relays || !members_.contains(body.target) || body.target == from) {
        return;
    }
    const std::uint32_t sequence = next_sequence_++;
    relays_[sequence] = {from, body.sequence, body.target, now + options_.interval};
    send_probe(out, body.target, sequence);
}

void prober::apply_gossip(actions& out, const instance_id& from, const peer::versions& known,
                          const std::vector<peer::member_update>& updates)
{
    if (const auto found = members_.find(from); found != members_.end()) {
        found->second.known = known;
    }
    out.emplace_back(versions_reported{from, known});
    for (const auto& update : updates) {
        if (update.instance == self_) {
            apply_own_update(out, update);
        } else {
            apply(out, update, false);
        }
    }
}

std::vector<prober_action> prober::tick(time_point now)
{
    actions out;
    if (superseded_) {
        return out;
    }
    std::erase_if(relays_, [now](const auto& entry) { return now >= entry.second.expires_at; });
    if (last_tick_ && now - *last_tick_ > options_.pause_threshold) {
        // Acks may have arrived and been dropped while this process was paused.
        ++counters_.pauses;
        probe_.reset();
        unconfirmed_suspect_.reset();
        next_probe_ = now;
    }
    last_tick_ = now;
    if (probe_ && !probe_->indirect_sent && now >= probe_->indirect_at) {
        send_indirect(out);
    }
    if (probe_ && now >= probe_->timeout_at) {
        on_probe_timeout(out);
    }
    if (!probe_ && now >= next_probe_) {
        start_probe(out, now);
    }
    return out;
}

void prober::start_probe(actions& out, time_point now)
{
    // Keeps the schedule, but does not make up for missed intervals.
    next_probe_ = std::max(next_probe_ + options_.interval, now + options_.interval / 2);
    const instance_id target = next_target();
    if (target.empty()) {
        return;
    }
    probe_ = own_probe{target,
                       next_sequence_++,
                       members_.at(target).process,
                       now + options_.ack_timeout,
                       now + options_.interval,
                       false};
    send_probe(out, target, probe_->sequence);
}

// Returns the next target of the round, or an empty id without members. Each round probes all
// members in random order.
instance_id prober::next_target()
{
    if (round_targets_.empty()) {
        for (const auto& [id, entry] : members_) {
            round_targets_.push_back(id);
        }
        std::shuffle(round_targets_.begin(), round_targets_.end(), random_);
    }
    if (round_targets_.empty()) {
        return instance_id();
    }
    instance_id target = std::move(round_targets_.back());
    round_targets_.pop_back();
    return target;
}

void prober::send_indirect(actions& out)
{
    probe_->indirect_sent = true;
    for (const auto& helper : sample(options_.indirect_peers, probe_->target)) {
        ++counters_.indirect_requests;
        send(out, helper, peer::probe_request{probe_->sequence, probe_->target});
    }
}

void prober::on_probe_timeout(actions& out)
{
    const own_probe failed = *probe_;
    probe_.reset();
    ++counters_.failed_probes;
    member& entry = members_.at(failed.target);
    if (entry.process != failed.process || (entry.suspected && !entry.suspicion_is_local)) {
        return; // the target has restarted since, or its suspicion is already known to peers
    }
    unconfirmed_suspect_ = failed.target;
    if (entry.suspected) {
        return;
    }
    ++counters_.suspicions;
    const member_state previous = state_of(entry);
    entry.suspected = entry.suspicion_is_local = true;
    if (state_of(entry) != previous) {
        out.emplace_back(member_changed{previous, view_of(failed.target, entry)});
    }
}

void prober::confirm_suspicion()
{
    if (!unconfirmed_suspect_) {
        return;
    }
    const instance_id instance = *std::exchange(unconfirmed_suspect_, std::nullopt);
    const auto found = members_.find(instance);
    // A process that was never heard from cannot refute with a greater sequence, so its suspicion
    // stays local until its first message.
    if (found != members_.end() && found->second.suspicion_is_local &&
        found->second.process.value != 0) {
        found->second.suspicion_is_local = false;
        enqueue(instance);
    }
}

std::vector<prober_action> prober::probe_now(const instance_id& peer, time_point now)
{
    static_cast<void>(now);
    actions out;
    if (!superseded_ && peer != self_) {
        send_probe(out, peer, next_sequence_++);
    }
    return out;
}

std::vector<prober_action> prober::begin_leave(time_point now)
{
    static_cast<void>(now);
    actions out;
    if (!leaving_) {
        leaving_ = true;
        ++own_sequence_;
        enqueue(self_);
        announce(out);
    }
    return out;
}

void prober::announce(actions& out)
{
    if (superseded_) {
        return;
    }
    for (const auto& id : sample(options_.announce_peers, instance_id())) {
        send_probe(out, id, next_sequence_++);
    }
}

// Returns up to `count` random members that are not suspected, except `excluded`.
std::vector<instance_id> prober::sample(std::size_t count, const instance_id& excluded)
{
    std::vector<instance_id> chosen;
    std::size_t candidates = 0;
    for (const auto& [id, entry] : members_) {
        if (id == excluded || entry.suspected) {
            continue;
        }
        ++candidates; // reservoir sampling
        if (chosen.size() < count) {
            chosen.push_back(id);
        } else if (const auto slot = random_.below(candidates); slot < count) {
            chosen[slot] = id;
        }
    }
    return chosen;
}

void prober::send_probe(actions& out, const instance_id& to, std::uint32_t sequence)
{
    ++counters_.probes_sent;
    send(out, to, peer::probe{sequence, own_versions_, take_updates(to)});
}

void prober::send(actions& out, const instance_id& to, peer::message body)
{
    out.emplace_back(send_message{{to, std::move(body)}});
}

member_state prober::state_of(const member& entry) const noexcept
{
    if (entry.leaving || entry.listed_leaving) {
        return member_state::leaving;
    }
    return entry.suspected ? member_state::suspected : member_state::live;
}

member_view prober::view_of(const instance_id& id, const member& entry) const
{
    return {id,
            entry.zone,
            state_of(entry),
            entry.process,
            entry.suspected,
            entry.leaving || entry.listed_leaving,
            entry.known,
            entry.last_heard};
}

std::vector<member_view> prober::view() const
{
    std::vector<member_view> all;
    all.reserve(members_.size());
    for (const auto& [id, entry] : members_) {
        all.push_back(view_of(id, entry));
    }
    return all;
}

std::optional<member_view> prober::view(const instance_id& instance) const
{
    const auto found = members_.find(instance);
    return found == members_.end() ? std::nullopt
                                   : std::optional(view_of(found->first, found->second));
}

time_point prober::next_wakeup() const noexcept
{
    if (superseded_) {
        return time_point::max();
    }
    time_point next = next_probe_;
    if (probe_) {
        next = probe_->indirect_sent ? probe_->timeout_at : probe_->indirect_at;
    }
    return next;
}

} // namespace quetzal::membership
