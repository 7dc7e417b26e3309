#include <quetzal/rights/fleet_rights.hpp>

#include <algorithm>
#include <deque>

namespace quetzal::rights {

namespace {

// How long requests for partitions not yet held are retried quickly after the set of wanted
// partitions has changed. Longer than a previous holder's lease and than the silence of started
// voters.
constexpr duration fast_acquisition_period = std::chrono::seconds(10);
// How long confirmed handovers wait for further ones, so that their releases share messages.
constexpr duration release_batch_delay = std::chrono::milliseconds(5);
// Maximum number of senders not in the instance list whose processes are recorded.
constexpr std::size_t max_unlisted_processes = 64;
// Number of instances that are asked in turn for a customer whose home is unknown.
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
    rebuild_committees(now);
}

void fleet_rights::set_config(std::shared_ptr<const config::published> config, time_point now)
{
    if (config_ && config->version <= config_->version) {
        return;
    }
    config_ = std::move(config);
    publish_limits(now);
    rebuild_committees(now);
    expire_leases(now);
    holder_.set_config(config_->version);
    publish_terms();
}

void fleet_rights::set_peers(std::vector<peer_status> peers, time_point now)
{
    peers_ = std::move(peers);
    std::erase_if(peers_, [this](const peer_status& peer) { return peer.id == self_.id; });
    for (const auto& peer : peers_) {
        observe_process(peer.id, peer.process, now);
    }
    update_ranking();
    update_wanted(now);
}

void fleet_rights::set_wall_clock(wall_time wall, time_point now) noexcept
{
    wall_offset_ = wall.time_since_epoch() - now.time_since_epoch();
}

std::uint64_t fleet_rights::wall_clock_ms(time_point now) const noexcept
{
    const auto wall =
        std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch() + wall_offset_);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, wall.count()));
}

peer::versions fleet_rights::known_versions() const noexcept
{
    return {config_ ? config_->version : 0, list_.revision};
}

void fleet_rights::rebuild_committees(time_point now)
{
    const auto* zone = config_ ? config_->find(self_.zone) : nullptr;
    if (zone == nullptr) {
        return; // the region is not known yet
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
    expire_leases(now);
    holder_.set_committees(committees_);
    std::erase_if(processes_, [this](const auto& item) {
        return std::ranges::none_of(committees_->members(), [&](const region_member& member) {
            return member.id == item.first;
        });
    });
    update_ranking();
    update_wanted(now);
}

void fleet_rights::update_ranking()
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
            declared[open_route_customer(work_class.id)] = {work_class.open_rate * share,
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

void fleet_rights::observe_process(const instance_id& instance, incarnation process, time_point now)
{
    const auto found = processes_.find(instance);
    if (found == processes_.end()) {
        const std::size_t listed = committees_ ? committees_->members().size() : 0;
        if (processes_.size() < listed + max_unlisted_processes) {
            processes_.emplace(instance, process);
        }
    } else if (found->second < process) {
        found->second = process;
    } else {
        return;
    }
    voter_.observe_process(instance, process, now);
}

void fleet_rights::begin_term(const acquisition& acquired, time_point now)
{
    const auto partition = acquired.partition;
    const auto ledger =
        handovers_.take_ledger(partition, acquired.fence, acquired.previous_fence, now);
    term_start start{acquired.fence, now,
                     std::max(acquired.previous_until, published_until_[partition])};
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

void fleet_rights::drop_partition(partition_index partition)
{
    terms_->clear(partition);
    holder_.drop(partition);
}

void fleet_rights::expire_leases(time_point now)
{
    if (now > last_active_ + settings_.max_list_lag) {
        // After a long pause, this process may use an instance list that others no longer use.
        voter_.stay_silent(now + lengthen_for_drift(settings_.lease));
    }
    last_active_ = std::max(last_active_, now);
    for (const auto partition : holder_.drop_expired(now)) {
        terms_->clear(partition);
        wanted_changed_at_ = now;
    }
}

void fleet_rights::update_wanted(time_point now)
{
    const auto before = holder_.acquiring();
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        const bool should_hold = !leaving_ && (ranks_.candidate(partition) == self_.id ||
                                               handovers_.has_ledger(partition, now));
        const bool held = holder_.fence(partition) != 0;
        holder_.set_wanted(partition,
                           held || (should_hold && !handovers_.is_handing_over(partition)));
    }
    if (holder_.acquiring() > before) {
        wanted_changed_at_ = now;
        next_acquisition_ = now;
    }
}

duration fleet_rights::acquisition_interval(time_point now) const
{
    if (handovers_.has_any_ledger(now)) {
        return settings_.handover_interval;
    }
    return now < wanted_changed_at_ + fast_acquisition_period ? settings_.acquire_interval
                                                              : settings_.renew_interval;
}

void fleet_rights::append_requests(messages& out, time_point now)
{
    const bool include_held = now >= next_renewal_;
    if (!include_held && (now < next_acquisition_ || holder_.acquiring() == 0)) {
        return;
    }
    if (include_held) {
        next_renewal_ = now + settings_.renew_interval;
    }
    next_acquisition_ = now + acquisition_interval(now);
    std::ranges::move(holder_.make_requests(include_held, list_.revision, now),
                      std::back_inserter(out));
}

void fleet_rights::start_handovers(time_point now)
{
    for (partition_index partition = 0; partition < settings_.partitions; ++partition) {
        if (holder_.fence(partition) == 0) {
            continue;
        }
        const instance_id& first = ranks_.candidate(partition);
        auto& since = outranked_since_[partition];
        if (first.empty() || first == self_.id) {
            since = {};
            if (leaving_) {
                drop_partition(partition); // there is no successor
            }
            continue;
        }
        if (since == time_point{}) {
            since = now;
        }
        if (leaving_ || now >= since + settings_.outranked_delay) {
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
    holder_.set_wanted(partition, false);
    homes_[partition] = successor;
    outranked_since_[partition] = {};
    handovers_.start(partition, successor, holder_.greatest_fence(), std::move(ledger), now);
}

void fleet_rights::append_releases(messages& out, time_point now)
{
    if (now < release_at_) {
        return;
    }
    for (const auto& [successor, partitions] : pending_releases_) {
        for (const auto partition : partitions) {
            drop_partition(partition); // this instance may have acquired it again in the meantime
        }
        std::ranges::move(holder_.make_releases(partitions, successor), std::back_inserter(out));
    }
    pending_releases_.clear();
    release_at_ = time_point::max();
}

instance_id fleet_rights::home_of(partition_index partition) const
{
    if (!homes_[partition].empty()) {
        return homes_[partition];
    }
    if (const auto& first = ranks_.candidate(partition);
        home_attempts_[partition] == 0 && first != self_.id)
    {
        return first;
    }
    return ranks_.candidate_at(partition, home_attempts_[partition] % home_candidates, self_.id);
}

void fleet_rights::append_credit_requests(messages& out, time_point now)
{
    std::vector<outgoing_credit_request> requests;
    shards_.for_each([&](credit_shard& shard) {
        shard.collect_requests(
            requests, credit_sequence_,
            [this](partition_index partition) { return home_of(partition); },
            [this](partition_index partition, const instance_id& silent) {
                if (homes_[partition] == silent) {
                    homes_[partition] = {};
                }
                ++home_attempts_[partition];
            },
            now);
    });
    for (auto& ask : requests) {
        out.push_back({std::move(ask.to), std::move(ask.request)});
    }
}

std::vector<peer::outgoing_message> fleet_rights::on_tick(time_point now)
{
    messages out;
    if (!committees_) {
        return out;
    }
    expire_leases(now);
    update_wanted(now);
    start_handovers(now);
    handovers_.drop_timed_out(now);
    std::ranges::move(handovers_.due_messages(now), std::back_inserter(out));
    append_releases(out, now);
    append_requests(out, now);
    append_credit_requests(out, now);
    return process_own_messages(std::move(out), now);
}

time_point fleet_rights::next_wakeup(time_point now)
{
    time_point wake = next_renewal_;
    if (holder_.acquiring() > 0) {
        wake = std::min(wake, next_acquisition_);
    }
    wake = std::min({wake, handovers_.next_wakeup(), release_at_});
    shards_.for_each(
        [&](const credit_shard& shard) { wake = std::min(wake, shard.next_wakeup(now)); });
    return wake;
}

// Handles the messages to this instance itself, and those that result, without the network. Returns
// the messages to other instances.
fleet_rights::messages fleet_rights::process_own_messages(messages produced, time_point now)
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
    std::visit([&](const auto& body) { handle_message(out, message, body, now); }, message.body);
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
        ++superseded_process_messages_;
        return out;
    }
    observe_process(message.from, message.from_process, now);
    expire_leases(now);
    dispatch(out, message, now);
    return process_own_messages(std::move(out), now);
}

void fleet_rights::handle_message(messages& out, const peer::received_message& from,
                                  const peer::renew_request& body, time_point now)
{
    out.push_back({from.from, voter_.on_request(from.from, from.from_process, body, ranks_,
                                                known_versions(), now)});
}

void fleet_rights::handle_message(messages& out, const peer::received_message& from,
                                  const peer::renew_grant& body, time_point now)
{
    for (const auto& acquired : holder_.on_grant(from.from, body, wall_clock_ms(now), now)) {
        begin_term(acquired, now);
    }
    publish_terms();
    if (holder_.take_fence_pending()) {
        std::ranges::move(holder_.make_requests(false, list_.revision, now),
                          std::back_inserter(out));
    }
}

void fleet_rights::handle_message(messages&, const peer::received_message& from,
                                  const peer::release_partitions& body, time_point now)
{
    voter_.on_release(from.from, from.from_process, body, now);
}

void fleet_rights::handle_message(messages& out, const peer::received_message& from,
                                  const peer::credit_request& body, time_point now)
{
    auto response = shards_.with(shard_of(body.customer), [&](credit_shard& shard) {
        return shard.on_request(from.from, from.from_process, body, now);
    });
    if (response) {
        out.push_back({from.from, std::move(*response)});
    }
}

void fleet_rights::handle_message(messages& out, const peer::received_message& from,
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
        home_attempts_[partition] = 0;
        return;
    }
    if (homes_[partition] == from.from) {
        homes_[partition] = {};
    }
    ++home_attempts_[partition];
    append_credit_requests(out, now);
}

void fleet_rights::handle_message(messages& out, const peer::received_message& from,
                                  const peer::handover& body, time_point now)
{
    if (leaving_ || body.partition >= settings_.partitions) {
        return; // without a confirmation, the holder's lease expires
    }
    out.push_back({from.from, handovers_.on_handover(from.from, body, now)});
    update_wanted(now);
    next_acquisition_ = std::min(next_acquisition_, now + settings_.handover_interval);
}

void fleet_rights::handle_message(messages& out, const peer::received_message& from,
                                  const peer::handover_ack& body, time_point now)
{
    if (const auto done = handovers_.on_ack(from.from, body)) {
        pending_releases_[done->successor].push_back(done->partition);
        release_at_ =
            handovers_.active_count() == 0 ? now : std::min(release_at_, now + release_batch_delay);
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
    return terms_->active_term(partition, now).has_value();
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
    const auto term = terms_->active_term(partition, now);
    return term ? term->fence : 0;
}

void fleet_rights::observe_fence(const endpoint_id& endpoint, std::uint64_t seen)
{
    holder_.raise_fence(seen);
    const auto partition = partition_of(endpoint, settings_);
    if (const auto fence = holder_.fence(partition); fence != 0 && fence < seen) {
        drop_partition(partition); // it is acquired again with a greater fencing token
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
    update_ranking();
    update_wanted(now);
    next_renewal_ = std::min(next_renewal_, now); // makes `on_tick` due now
}

bool fleet_rights::has_left(time_point now) const
{
    return leaving_ && holder_.held() == 0 && handovers_.active_count() == 0 &&
           pending_releases_.empty() && !handovers_.has_any_ledger(now);
}

rights_status fleet_rights::status(time_point now)
{
    rights_status value;
    value.list_revision = list_.revision;
    value.config_version = known_versions().config;
    value.members = committees_ ? committees_->members().size() : 0;
    value.committee = committees_ ? committees_->size() : 0;
    value.quorum = committees_ ? committees_->quorum() : 0;
    value.held = holder_.held();
    value.wanted = value.held + holder_.acquiring();
    value.granted = voter_.granted(now);
    value.handing_over = handovers_.active_count();
    shards_.for_each([&](const credit_shard& shard) { value.customers += shard.size(); });
    value.fresh = fresh(now);
    value.greatest_fence = holder_.greatest_fence();
    value.superseded_process_messages = superseded_process_messages_;
    return value;
}

} // namespace quetzal::rights
