#include <quetzal/membership/prober.hpp>

#include <algorithm>
#include <utility>

namespace quetzal::membership {

namespace {

// Probes on behalf of peers under way at once; more requests are dropped.
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
        const member_state former = state_of(entry);
        entry.zone = listed.zone;
        entry.listed_leaving = listed.state == config::listed_state::leaving;
        if (known == members_.end()) {
            out.emplace_back(member_added{listed.id});
            round_.insert(round_.begin() +
                              static_cast<std::ptrdiff_t>(random_.below(round_.size() + 1)),
                          listed.id);
        }
        if (state_of(entry) != former) {
            out.emplace_back(member_changed{former, view_of(listed.id, entry)});
        }
        next.emplace(listed.id, std::move(entry));
    }
    for (const auto& [id, entry] : members_) {
        if (!next.contains(id)) {
            out.emplace_back(member_removed{id});
        }
    }
    members_ = std::move(next);
    const auto gone = [this](const instance_id& id) { return !members_.contains(id); };
    std::erase_if(round_, gone);
    std::erase_if(updates_, [&](const pending_update& update) {
        return update.about != self_ && gone(update.about);
    });
    if (probe_ && gone(probe_->target)) {
        probe_.reset();
    }
    if (!last_tick_) {
        // The first probes of a fleet that starts at once are spread over one interval.
        next_probe_ = now + duration(static_cast<duration::rep>(random_.below(
                                static_cast<std::uint64_t>(options_.interval.count()))));
        last_tick_ = now;
    }
    return out;
}

std::vector<prober_action> prober::set_versions(const peer::versions& known, time_point now)
{
    static_cast<void>(now);
    const bool raised = known.config > known_.config || known.list > known_.list;
    known_ = known;
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
    const bool known_sender = note_sender(out, message, now);
    if (const auto* asked = std::get_if<peer::probe>(&message.body)) {
        on_probe(out, message.from, *asked, known_sender);
    } else if (!known_sender) {
        return out;
    } else if (const auto* ack = std::get_if<peer::probe_ack>(&message.body)) {
        on_ack(out, message.from, *ack);
    } else if (const auto* request = std::get_if<peer::probe_request>(&message.body)) {
        on_request(out, message.from, *request, now);
    }
    return out;
}

// Takes what the envelope proves about the sender. Returns false for a former process of a member,
// whose message is not used.
bool prober::note_sender(actions& out, const peer::received_message& message, time_point now)
{
    const auto found = members_.find(message.from);
    if (found == members_.end()) {
        return true; // not listed here yet: it is answered, but not a member
    }
    if (message.from_process < found->second.process) {
        ++counters_.stale_messages;
        found->second.owes_correction = true;
        return false;
    }
    last_contact_ = now;
    peer::member_update proof;
    proof.instance = message.from;
    proof.process = message.from_process;
    proof.sequence = message.from_process == found->second.process ? found->second.sequence : 0;
    if (found->second.only_here) {
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
        apply_all(out, from, body.known, body.updates);
    }
    // A former process gets an answer too: it carries the update that tells it to stop.
    ++counters_.acks_sent;
    send(out, from, peer::probe_ack{body.sequence, self_, process_, known_, take_updates(from)});
}

void prober::on_ack(actions& out, const instance_id& from, const peer::probe_ack& body)
{
    apply_all(out, from, body.known, body.updates);
    if (const auto relay = relays_.find(body.sequence);
        relay != relays_.end() && relay->second.target == from)
    {
        const relayed_probe asked = relay->second;
        relays_.erase(relay);
        send(out, asked.requester,
             peer::probe_ack{asked.requester_sequence, from, body.target_process, known_,
                             take_updates(asked.requester)});
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

void prober::apply_all(actions& out, const instance_id& from, const peer::versions& known,
                       const std::vector<peer::member_update>& updates)
{
    if (const auto found = members_.find(from); found != members_.end()) {
        found->second.known = known;
    }
    out.emplace_back(versions_reported{from, known});
    for (const auto& update : updates) {
        if (update.instance == self_) {
            apply_self(out, update);
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
    if (last_tick_ && now - *last_tick_ > options_.pause) {
        // Answers may have arrived and been dropped while this process did not run.
        ++counters_.pauses;
        probe_.reset();
        unconfirmed_.reset();
        next_probe_ = now;
    }
    last_tick_ = now;
    if (probe_ && !probe_->indirect_sent && now >= probe_->indirect_at) {
        send_indirect(out);
    }
    if (probe_ && now >= probe_->judged_at) {
        judge(out);
    }
    if (!probe_ && now >= next_probe_) {
        start_probe(out, now);
    }
    return out;
}

void prober::start_probe(actions& out, time_point now)
{
    // Keeps the rhythm, but does not catch up on intervals that were missed.
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

// Returns the next member of the round; a new round takes all members in random order.
instance_id prober::next_target()
{
    if (round_.empty()) {
        for (const auto& [id, entry] : members_) {
            round_.push_back(id);
        }
        std::shuffle(round_.begin(), round_.end(), random_);
    }
    if (round_.empty()) {
        return instance_id();
    }
    instance_id target = std::move(round_.back());
    round_.pop_back();
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

void prober::judge(actions& out)
{
    const own_probe failed = *probe_;
    probe_.reset();
    ++counters_.failed_probes;
    member& entry = members_.at(failed.target);
    if (entry.process != failed.process || (entry.suspected && !entry.only_here)) {
        return; // it was heard of since, as another process, or is suspected by others already
    }
    unconfirmed_ = failed.target;
    if (entry.suspected) {
        return;
    }
    ++counters_.suspicions;
    const member_state former = state_of(entry);
    entry.suspected = entry.only_here = true;
    if (state_of(entry) != former) {
        out.emplace_back(member_changed{former, view_of(failed.target, entry)});
    }
}

void prober::confirm_suspicion()
{
    if (!unconfirmed_) {
        return;
    }
    const instance_id about = *std::exchange(unconfirmed_, std::nullopt);
    const auto found = members_.find(about);
    // A process never heard of cannot refute by a greater sequence; its first message will.
    if (found != members_.end() && found->second.only_here && found->second.process.value != 0) {
        found->second.only_here = false;
        enqueue(about);
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

// Returns up to `count` random members that are not suspected, without the given one.
std::vector<instance_id> prober::sample(std::size_t count, const instance_id& other_than)
{
    std::vector<instance_id> chosen;
    std::size_t seen = 0;
    for (const auto& [id, entry] : members_) {
        if (id == other_than || entry.suspected) {
            continue;
        }
        ++seen; // reservoir sampling
        if (chosen.size() < count) {
            chosen.push_back(id);
        } else if (const auto slot = random_.below(seen); slot < count) {
            chosen[slot] = id;
        }
    }
    return chosen;
}

void prober::send_probe(actions& out, const instance_id& to, std::uint32_t sequence)
{
    ++counters_.probes_sent;
    send(out, to, peer::probe{sequence, known_, take_updates(to)});
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
        next = probe_->indirect_sent ? probe_->judged_at : probe_->indirect_at;
    }
    return next;
}

} // namespace quetzal::membership
