#include <quetzal/rights/fleet_rights.hpp>

#include <algorithm>
#include <deque>

namespace quetzal::rights {

namespace {

// Requests for partitions that are not held repeat quickly this long after the set changed: longer
// than a former holder's lease or the silence of started voters.
constexpr duration quick_acquisition = std::chrono::seconds(10);
// Confirmed handovers wait this long for others, so that their releases share messages.
constexpr duration release_pause = std::chrono::milliseconds(5);
// Senders that are not listed (yet) whose processes are remembered.
constexpr std::size_t unlisted_processes = 64;
// Instances that are asked in turn for a customer whose home is not known.
constexpr std::uint8_t home_candidates = 3;

} // namespace

fleet_rights::fleet_rights(const self_description& self, const options& settings)
    : self_(self), settings_(settings), voter_(self.id, settings, self.started),
      holder_(self.id, settings), handovers_(settings), terms_(std::make_shared<partition_terms>()),
      shards_(self.shards, settings, std::shared_ptr<const partition_terms>(terms_)),
      last_active_(self.started)
{
}

void fleet_rights::set_list(const config::instance_list& list, time_point now)
{
    if (list.revision < list_.revision) {
        return;
    }
    list_ = list;
    rebuild(now);
}

void fleet_rights::set_config(std::shared_ptr<const config::published> config, time_point now)
{
    if (config_ && config->version <= config_->version) {
        return;
    }
    config_ = std::move(config);
    publish_limits(now);
    rebuild(now);
    expire(now);
    holder_.set_config(config_->version);
    publish_terms();
}

void fleet_rights::set_peers(std::vector<peer_status> peers, time_point now)
{
    peers_ = std::move(peers);
    std::erase_if(peers_, [this](const peer_status& peer) { return peer.id == self_.id; });
    for (const auto& peer : peers_) {
        note_process(peer.id, peer.process, now);
    }
    rerank();
    update_wants(now);
}

void fleet_rights::set_wall(wall_time wall, time_point now) noexcept
{
    wall_offset_ = wall.time_since_epoch() - now.time_since_epoch();
}

std::uint64_t fleet_rights::wall_at(time_point now) const noexcept
{
    const auto wall =
        std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch() + wall_offset_);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, wall.count()));
}

peer::versions fleet_rights::known() const noexcept
{
    return {config_ ? config_->version : 0, list_.revision};
}

void fleet_rights::rebuild(time_point now)
{
    const auto* zone = config_ ? config_->find(self_.zone) : nullptr;
    if (zone == nullptr) {
        return; // no region yet
    }
    const auto zones = static_cast<std::size_t>(std::ranges::count_if(
        config_->zones, [&](const auto& other) { return other.region == zone->region; }));
    auto table =
        std::make_shared<const committee_table>(members_of(list_, *config_, zone->region), zones);
    if (committees_ && committees_->digest() == table->digest()) {
        return;
    }
    committees_ = std::move(table);
    voter_.set_committees(committees_, now);
    expire(now);
    holder_.set_committees(committees_);
    std::erase_if(processes_, [this](const auto& item) {
        return std::ranges::none_of(committees_->members(), [&](const region_member& member) {
            return member.id == item.first;
        });
    });
    rerank();
    update_wants(now);
}

void fleet_rights::rerank()
{
    if (!committees_) {
        return;
    }
    auto peers = peers_;
    peers.push_back({self_.id, self_.process, true, leaving_});
    ranks_ = ranking(committees_, peers);
    for (auto& home : homes_) {
        const auto found = std::ranges::find(peers_, home, &peer_status::id);
        if (found == peers_.end() || !found->live) {
            home = {};
        }
    }
}

std::size_t fleet_rights::shard_of(const customer_id& customer) const noexcept
{
    return std::hash<customer_id>{}(customer);
}

void fleet_rights::publish_limits(time_point now)
{
    const double share =
        1.0 / static_cast<double>(std::max<std::size_t>(1, config_->regions.size()));
    std::unordered_map<customer_id, limits> declared;
    for (const auto& customer : config_->customers) {
        declared[customer.id] = {customer.rate * share, customer.burst * share};
    }
    for (const auto& work_class : config_->classes) {
        if (work_class.open) {
            declared[open_route(work_class.id)] = {work_class.open_rate * share,
                                                   work_class.open_burst * share};
        }
    }
    for (const auto& [id, bounds] : declared) {
        shards_.with(shard_of(id), [&, &id = id, &bounds = bounds](credit_shard& shard) {
            shard.set_limits(id, bounds, now);
        });
    }
    shards_.for_each([&](credit_shard& shard) {
        shard.remove_unless([&](const customer_id& id) { return declared.contains(id); });
        shard.set_config(config_->version);
    });
}

void fleet_rights::note_process(const instance_id& instance, incarnation process, time_point now)
{
    const auto found = processes_.find(instance);
    if (found == processes_.end()) {
        const std::size_t listed = committees_ ? committees_->members().size() : 0;
        if (processes_.size() < listed + unlisted_processes) {
            processes_.emplace(instance, process);
        }
    } else if (found->second < process) {
        found->second = process;
    } else {
        return;
    }
    voter_.note_process(instance, process, now);
}

void fleet_rights::begin_term(const acquisition& acquired, time_point now)
{
    const auto partition = acquired.partition;
    const auto ledger = handovers_.take(partition, acquired.fence, acquired.former_fence, now);
    term_start start{acquired.fence, now,
                     std::max(acquired.former_until, published_until_[partition])};
    shards_.for_each([&](credit_shard& shard) { shard.begin_term(partition, start); });
    if (ledger) {
        for (const auto& entry : ledger->entries) {
            shards_.with(shard_of(entry.customer), [&](credit_shard& shard) {
                shard.begin_with_ledger(partition, entry, ledger->at);
            });
        }
    }
    outranked_since_[partition] = {};
    homes_[partition] = {};
}

void fleet_rights::publish_terms()
{
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        if (const auto fence = holder_.fence(partition); fence != 0) {
            const time_point until = holder_.valid_until(partition);
            published_until_[partition] = std::max(published_until_[partition], until);
            terms_->set(partition, {fence, until});
        }
    }
    fresh_until_.store(holder_.fresh_until().time_since_epoch().count(), std::memory_order_release);
}

void fleet_rights::lose(partition_index partition)
{
    terms_->clear(partition);
    holder_.drop(partition);
}

void fleet_rights::expire(time_point now)
{
    if (now > last_active_ + settings_.list_spread) {
        // A process that stood still may use an instance list that others have left behind.
        voter_.stay_silent(now + lengthened(settings_.lease));
    }
    last_active_ = std::max(last_active_, now);
    for (const auto partition : holder_.drop_expired(now)) {
        terms_->clear(partition);
        wants_changed_ = now;
    }
}

void fleet_rights::update_wants(time_point now)
{
    const auto before = holder_.acquiring();
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        const bool ours = !leaving_ && (ranks_.first(partition) == self_.id ||
                                        handovers_.expects(partition, now));
        const bool held = holder_.fence(partition) != 0;
        holder_.want(partition, held || (ours && !handovers_.leaving(partition)));
    }
    if (holder_.acquiring() > before) {
        wants_changed_ = now;
        next_acquisition_ = now;
    }
}

duration fleet_rights::acquisition_pause(time_point now) const
{
    if (handovers_.expects_any(now)) {
        return settings_.handover_interval;
    }
    return now < wants_changed_ + quick_acquisition ? settings_.acquire_interval
                                                    : settings_.renew_interval;
}

void fleet_rights::append_requests(messages& out, time_point now)
{
    const bool all = now >= next_renewal_;
    if (!all && (now < next_acquisition_ || holder_.acquiring() == 0)) {
        return;
    }
    if (all) {
        next_renewal_ = now + settings_.renew_interval;
    }
    next_acquisition_ = now + acquisition_pause(now);
    std::ranges::move(holder_.request(all, list_.revision, now), std::back_inserter(out));
}

void fleet_rights::start_handovers(time_point now)
{
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        if (holder_.fence(partition) == 0) {
            continue;
        }
        const instance_id& first = ranks_.first(partition);
        auto& since = outranked_since_[partition];
        if (first.empty() || first == self_.id) {
            since = {};
            if (leaving_) {
                lose(partition); // nobody is there to take it
            }
            continue;
        }
        if (since == time_point{}) {
            since = now;
        }
        if (leaving_ || now >= since + settings_.settle) {
            hand_over(partition, first, now);
        }
    }
}

void fleet_rights::hand_over(partition_index partition, const instance_id& successor,
                             time_point now)
{
    const std::uint64_t fence = holder_.fence(partition);
    terms_->clear(partition);
    std::vector<peer::ledger_entry> ledger;
    shards_.for_each(
        [&](credit_shard& shard) { shard.append_ledger(partition, fence, ledger, now); });
    holder_.drop(partition);
    holder_.want(partition, false);
    homes_[partition] = successor;
    outranked_since_[partition] = {};
    handovers_.start(partition, successor, holder_.greatest_fence(), std::move(ledger), now);
}

void fleet_rights::append_releases(messages& out, time_point now)
{
    if (now < release_at_) {
        return;
    }
    for (const auto& [successor, partitions] : releases_) {
        for (const auto partition : partitions) {
            lose(partition); // it may have been granted here again in the meantime
        }
        std::ranges::move(holder_.release(partitions, successor), std::back_inserter(out));
    }
    releases_.clear();
    release_at_ = time_point::max();
}

instance_id fleet_rights::home_of(partition_index partition) const
{
    if (!homes_[partition].empty()) {
        return homes_[partition];
    }
    if (const auto& first = ranks_.first(partition);
        home_tries_[partition] == 0 && first != self_.id) {
        return first;
    }
    return ranks_.at(partition, home_tries_[partition] % home_candidates, self_.id);
}

void fleet_rights::append_credit_asks(messages& out, time_point now)
{
    std::vector<credit_ask> asks;
    shards_.for_each([&](credit_shard& shard) {
        shard.collect(
            asks, credit_sequence_,
            [this](partition_index partition) { return home_of(partition); },
            [this](partition_index partition, const instance_id& silent) {
                if (homes_[partition] == silent) {
                    homes_[partition] = {};
                }
                ++home_tries_[partition];
            },
            now);
    });
    for (auto& ask : asks) {
        out.push_back({std::move(ask.to), std::move(ask.request)});
    }
}

std::vector<peer::outgoing_message> fleet_rights::on_tick(time_point now)
{
    messages out;
    if (!committees_) {
        return out;
    }
    expire(now);
    update_wants(now);
    start_handovers(now);
    handovers_.drop_unanswered(now);
    std::ranges::move(handovers_.repeat(now), std::back_inserter(out));
    append_releases(out, now);
    append_requests(out, now);
    append_credit_asks(out, now);
    return deliver(std::move(out), now);
}

time_point fleet_rights::next_wake(time_point now)
{
    time_point wake = next_renewal_;
    if (holder_.acquiring() > 0) {
        wake = std::min(wake, next_acquisition_);
    }
    wake = std::min({wake, handovers_.wake(), release_at_});
    shards_.for_each([&](const credit_shard& shard) { wake = std::min(wake, shard.wake(now)); });
    return wake;
}

// Messages to this instance itself take no network.
fleet_rights::messages fleet_rights::deliver(messages produced, time_point now)
{
    messages out;
    std::deque<peer::outgoing_message> queue(std::make_move_iterator(produced.begin()),
                                             std::make_move_iterator(produced.end()));
    while (!queue.empty()) {
        peer::outgoing_message next = std::move(queue.front());
        queue.pop_front();
        if (next.to != self_.id) {
            out.push_back(std::move(next));
            continue;
        }
        messages more;
        dispatch(more, {self_.id, self_.process, std::move(next.body)}, now);
        std::ranges::move(more, std::back_inserter(queue));
    }
    return out;
}

void fleet_rights::dispatch(messages& out, const peer::received_message& message, time_point now)
{
    std::visit([&](const auto& body) { handle(out, message, body, now); }, message.body);
}

std::vector<peer::outgoing_message> fleet_rights::on_message(const peer::received_message& message,
                                                             time_point now)
{
    messages out;
    if (!committees_) {
        return out;
    }
    if (const auto found = processes_.find(message.from);
        found != processes_.end() && message.from_process < found->second)
    {
        ++dead_process_messages_;
        return out;
    }
    note_process(message.from, message.from_process, now);
    expire(now);
    dispatch(out, message, now);
    return deliver(std::move(out), now);
}

void fleet_rights::handle(messages& out, const peer::received_message& from,
                          const peer::renew_request& body, time_point now)
{
    out.push_back(
        {from.from, voter_.on_request(from.from, from.from_process, body, ranks_, known(), now)});
}

void fleet_rights::handle(messages& out, const peer::received_message& from,
                          const peer::renew_grant& body, time_point now)
{
    for (const auto& acquired : holder_.on_grant(from.from, body, wall_at(now), now)) {
        begin_term(acquired, now);
    }
    publish_terms();
    if (holder_.take_fence_pending()) {
        std::ranges::move(holder_.request(false, list_.revision, now), std::back_inserter(out));
    }
}

void fleet_rights::handle(messages&, const peer::received_message& from,
                          const peer::release_partitions& body, time_point now)
{
    voter_.on_release(from.from, from.from_process, body, now);
}

void fleet_rights::handle(messages& out, const peer::received_message& from,
                          const peer::credit_request& body, time_point now)
{
    auto answer = shards_.with(shard_of(body.customer), [&](credit_shard& shard) {
        return shard.on_request(from.from, from.from_process, body, now);
    });
    if (answer) {
        out.push_back({from.from, std::move(*answer)});
    }
}

void fleet_rights::handle(messages& out, const peer::received_message& from,
                          const peer::credit_grant& body, time_point now)
{
    const bool expected = shards_.with(shard_of(body.customer), [&](credit_shard& shard) {
        return shard.on_grant(from.from, body, now);
    });
    if (!expected) {
        return;
    }
    const auto partition = partition_of(body.customer, settings_);
    if (body.is_home) {
        homes_[partition] = from.from;
        home_tries_[partition] = 0;
        return;
    }
    if (homes_[partition] == from.from) {
        homes_[partition] = {};
    }
    ++home_tries_[partition];
    append_credit_asks(out, now);
}

void fleet_rights::handle(messages& out, const peer::received_message& from,
                          const peer::handover& body, time_point now)
{
    if (leaving_ || body.partition >= settings_.partitions) {
        return; // the holder lets its lease run out
    }
    out.push_back({from.from, handovers_.on_handover(from.from, body, now)});
    update_wants(now);
    next_acquisition_ = std::min(next_acquisition_, now + settings_.handover_interval);
}

void fleet_rights::handle(messages& out, const peer::received_message& from,
                          const peer::handover_ack& body, time_point now)
{
    if (const auto done = handovers_.on_ack(from.from, body)) {
        releases_[done->successor].push_back(done->partition);
        release_at_ = handovers_.running() == 0 ? now : std::min(release_at_, now + release_pause);
        append_releases(out, now);
    }
}

admission fleet_rights::admit(const customer_id& customer, time_point now)
{
    return shards_.with(shard_of(customer),
                        [&](credit_shard& shard) { return shard.admit(customer, now); });
}

bool fleet_rights::holds(partition_index partition, time_point now) const noexcept
{
    return terms_->held(partition, now).has_value();
}

bool fleet_rights::holds(const endpoint_id& endpoint, time_point now) const noexcept
{
    return holds(partition_of(endpoint, settings_), now);
}

std::uint64_t fleet_rights::fence(const endpoint_id& endpoint, time_point now) const noexcept
{
    return partition_fence(partition_of(endpoint, settings_), now);
}

std::uint64_t fleet_rights::partition_fence(partition_index partition,
                                            time_point now) const noexcept
{
    const auto term = terms_->held(partition, now);
    return term ? term->fence : 0;
}

void fleet_rights::note_fence(const endpoint_id& endpoint, std::uint64_t seen)
{
    holder_.raise_fence(seen);
    const auto partition = partition_of(endpoint, settings_);
    if (const auto fence = holder_.fence(partition); fence != 0 && fence < seen) {
        lose(partition); // and get it again with a greater number
    }
}

bool fleet_rights::fresh(time_point now) const noexcept
{
    return fresh_until_.load(std::memory_order_acquire) > now.time_since_epoch().count();
}

instance_id fleet_rights::preferred_home(const customer_id& customer, time_point now) const
{
    const auto partition = partition_of(customer, settings_);
    return holds(partition, now) ? self_.id : home_of(partition);
}

bool fleet_rights::is_home(const customer_id& customer, time_point now) const noexcept
{
    return holds(partition_of(customer, settings_), now);
}

instance_id fleet_rights::preferred_holder(const endpoint_id& endpoint, time_point now) const
{
    const auto partition = partition_of(endpoint, settings_);
    return holds(partition, now) ? self_.id : home_of(partition);
}

void fleet_rights::begin_leave(time_point now)
{
    leaving_ = true;
    rerank();
    update_wants(now);
    next_renewal_ = std::min(next_renewal_, now); // wakes `on_tick`
}

bool fleet_rights::left(time_point now) const
{
    return leaving_ && holder_.held() == 0 && handovers_.running() == 0 && releases_.empty() &&
           !handovers_.expects_any(now);
}

rights_status fleet_rights::status(time_point now)
{
    rights_status value;
    value.list_revision = list_.revision;
    value.config_version = known().config;
    value.members = committees_ ? committees_->members().size() : 0;
    value.committee = committees_ ? committees_->size() : 0;
    value.quorum = committees_ ? committees_->quorum() : 0;
    value.held = holder_.held();
    value.wanted = value.held + holder_.acquiring();
    value.granted = voter_.granted(now);
    value.handing_over = handovers_.running();
    shards_.for_each([&](const credit_shard& shard) { value.customers += shard.size(); });
    value.fresh = fresh(now);
    value.greatest_fence = holder_.greatest_fence();
    value.dead_process_messages = dead_process_messages_;
    return value;
}

} // namespace quetzal::rights
