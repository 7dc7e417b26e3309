// Configuration, instance list and endpoints of the dispatcher.

#include "dispatcher_state.hpp"

#include <algorithm>

#include <quetzal/serving/endpoint_subset.hpp>

namespace quetzal::serving {

namespace {

bool same_stages(const config::pipeline& a, const config::pipeline& b)
{
    return std::equal(a.stages.begin(), a.stages.end(), b.stages.begin(), b.stages.end(),
                      [](const config::stage& x, const config::stage& y) {
                          return x.id == y.id && x.pool == y.pool && x.after == y.after;
                      });
}

} // namespace

dispatcher::implementation::implementation(dispatcher_options options, dispatch_gate gate)
    : options_(std::move(options)), gate_(std::move(gate)), random_(options_.seed)
{
}

void dispatcher::implementation::configure(std::shared_ptr<const config::published> published,
                                           time_point now)
{
    published_ = std::move(published);
    update_pools();
    update_pipelines();
    update_endpoints(now);
    update_zones(now);
}

void dispatcher::implementation::update_pools()
{
    for (const config::pool& declared : published_->pools) {
        auto& state = pools_[declared.id];
        if (!state) {
            chooser_options chooser = options_.chooser;
            chooser.concurrency = declared.concurrency;
            const bool engine = declared.kind == config::pool_kind::model_engine;
            chooser.cached_prefixes = engine ? chooser.cached_prefixes : 0;
            state = std::make_shared<pool_state>();
            state->chooser = endpoint_chooser(chooser);
            state->admissions = fair_queue({.capacity = options_.queue_capacity});
            state->budget = retry_budget(options_.retries);
        } else if (state->declared.concurrency != declared.concurrency ||
                   state->declared.cold_concurrency != declared.cold_concurrency)
        {
            state->chooser.resize(declared.concurrency);
            for (endpoint_record* record : state->records) {
                if (record != nullptr) {
                    record->ramp.resize(declared.concurrency, declared.cold_concurrency);
                }
            }
        }
        state->declared = declared;
    }
    // A removed pool is kept until its waiting work has expired. Its endpoints are removed together
    // with its configuration, so no more of that work starts.
    std::erase_if(pools_, [&](const auto& entry) {
        const pool_state& pool = *entry.second;
        return published_->find(entry.first) == nullptr && pool.calls.empty() &&
               pool.admissions.empty() && pool.running == 0 && pool.chooser.size() == 0;
    });
}

void dispatcher::implementation::update_pipelines()
{
    std::erase_if(pipelines_, [&](const auto& entry) {
        const config::pipeline* declared = published_->find(entry.first);
        return declared == nullptr || !same_stages(*declared, entry.second->declared);
    });
    for (const config::pipeline& declared : published_->pipelines) {
        if (auto& state = pipelines_[declared.id]; !state) {
            state = std::make_shared<pipeline_state>(
                pipeline_state{declared, deadline_budget(declared, options_.budget), {}});
        } else {
            state->declared = declared; // other properties, e.g. whether a stage is idempotent
        }
        auto& state = *pipelines_[declared.id];
        state.pools.clear();
        for (const config::stage& stage : declared.stages) {
            state.pools.push_back(pools_.at(stage.pool));
        }
    }
}

void dispatcher::implementation::update_zones(time_point now)
{
    for (const auto& [id, record] : endpoints_) {
        const bool in_service = published_->accepts_work(record->zone);
        if (record->in_service && !in_service) {
            record->ramp.zone_evacuated();
        } else if (!record->in_service && in_service) {
            add_ramp_actions(*record, record->ramp.zone_returned(now));
        }
        record->in_service = in_service;
        update_availability(*record);
    }
}

void dispatcher::implementation::update(const config::instance_list& list, time_point now)
{
    instance_list_ = list;
    if (published_) {
        update_endpoints(now);
    }
}

bool dispatcher::implementation::in_region(const zone_id& zone) const
{
    const config::zone* own = published_->find(options_.zone);
    const config::zone* other = published_->find(zone);
    return own == nullptr || (other != nullptr && other->region == own->region);
}

std::uint32_t dispatcher::implementation::zone_index(const zone_id& zone)
{
    return zone_indexes_.try_emplace(zone, static_cast<std::uint32_t>(zone_indexes_.size()))
        .first->second;
}

void dispatcher::implementation::add_wanted_endpoints(pool_state& pool,
                                                      std::set<endpoint_id>& wanted) const
{
    std::vector<placed_instance> instances;
    for (const auto& instance : instance_list_.instances) {
        if (instance.state == config::listed_state::live && in_region(instance.zone)) {
            instances.push_back({instance.id, instance.zone});
        }
    }
    std::vector<placed_endpoint> endpoints;
    for (const auto& endpoint : instance_list_.endpoints) {
        if (endpoint.pool == pool.declared.id && in_region(endpoint.zone) &&
            endpoint.state == config::listed_state::live)
        {
            endpoints.push_back({endpoint.id, endpoint.zone});
            if (held_rights_.contains(endpoint.id)) {
                wanted.insert(endpoint.id);
            }
        }
    }
    for (auto& id : choose_subset(options_.self, instances, endpoints, options_.max_subset)) {
        wanted.insert(std::move(id));
    }
}

void dispatcher::implementation::update_endpoints(time_point now)
{
    const auto live = std::count_if(instance_list_.instances.begin(),
                                    instance_list_.instances.end(), [&](const auto& instance) {
                                        return instance.state == config::listed_state::live &&
                                               in_region(instance.zone);
                                    });
    live_instances_ = std::max<std::size_t>(static_cast<std::size_t>(live), 1);
    std::set<endpoint_id> wanted;
    for (const auto& [id, pool] : pools_) {
        if (published_->find(id) != nullptr) {
            add_wanted_endpoints(*pool, wanted);
        }
    }
    for (const auto& listed : instance_list_.endpoints) {
        if (wanted.contains(listed.id) && find(listed.id) == nullptr) {
            add_endpoint(listed, *pools_.at(listed.pool), now);
        }
    }
    std::vector<endpoint_record*> gone;
    for (const auto& [id, record] : endpoints_) {
        record->wanted = wanted.contains(id);
        update_availability(*record);
        if (!record->wanted) {
            gone.push_back(record.get());
        }
    }
    for (endpoint_record* record : gone) {
        remove_if_idle(*record);
    }
}

internal::endpoint_record* dispatcher::implementation::find(const endpoint_id& id)
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : found->second.get();
}

internal::endpoint_record&
dispatcher::implementation::add_endpoint(const config::listed_endpoint& listed, pool_state& pool,
                                         time_point now)
{
    auto record = std::make_unique<endpoint_record>();
    record->id = listed.id;
    record->zone = listed.zone;
    record->in_service = published_->accepts_work(listed.zone);
    record->pool = &pool;
    record->ramp = cold_ramp({.concurrency = pool.declared.concurrency,
                              .cold_concurrency = pool.declared.cold_concurrency});
    record->index =
        pool.chooser.add(listed.id, zone_index(listed.zone), listed.zone != options_.zone);
    pool.records.resize(std::max<std::size_t>(pool.records.size(), record->index + 1));
    pool.records[record->index] = record.get();
    if (const auto held = held_rights_.find(listed.id); held != held_rights_.end()) {
        add_ramp_actions(*record, record->ramp.hold(held->second, now));
    }
    endpoint_record& added = *record;
    endpoints_[listed.id] = std::move(record);
    update_availability(added);
    return added;
}

void dispatcher::implementation::remove_if_idle(endpoint_record& record)
{
    if (record.wanted || record.pool->chooser.in_flight(record.index) > 0) {
        return;
    }
    record.pool->chooser.remove(record.index);
    record.pool->records[record.index] = nullptr;
    endpoints_.erase(endpoint_id(record.id));
}

void dispatcher::implementation::update_availability(endpoint_record& record)
{
    endpoint_chooser& chooser = record.pool->chooser;
    const std::uint32_t capacity = capacity_of(record);
    chooser.limit(record.index, capacity);
    chooser.exclude(record.index, exclusion::cold, capacity == 0);
    chooser.exclude(record.index, exclusion::unconnected, !record.connected);
    chooser.exclude(record.index, exclusion::leaving, !record.wanted);
    chooser.exclude(record.index, exclusion::zone_evacuated, !record.in_service);
    chooser.exclude(record.index, exclusion::refusing, record.refusing_until.has_value());
}

void dispatcher::implementation::add_ramp_actions(endpoint_record& record,
                                                  const std::vector<ramp_action>& ramp_actions)
{
    for (const ramp_action& item : ramp_actions) {
        if (const auto* declare = std::get_if<declare_warmth>(&item)) {
            pending_actions_.emplace_back(declare_endpoint{record.id, declare->declaration});
        } else if (const auto* tell = std::get_if<notify_holder>(&item)) {
            pending_actions_.emplace_back(
                notify_endpoint_holder{record.id, tell->process, tell->cold});
        }
    }
}

void dispatcher::implementation::connection_changed(const endpoint_id& id,
                                                    std::optional<incarnation> process,
                                                    time_point now)
{
    endpoint_record* record = find(id);
    if (record == nullptr) {
        return;
    }
    record->connected = process.has_value();
    if (process) {
        if (record->ramp.process() != process) {
            record->pool->chooser.restarted(record->index);
            record->refusing_until.reset();
            record->lent.clear();
            record->borrowed.reset();
        }
        add_ramp_actions(*record, record->ramp.connected(*process, now));
    }
    update_availability(*record);
}

void dispatcher::implementation::report(const endpoint_id& id, const load_report& report,
                                        time_point now)
{
    endpoint_record* record = find(id);
    if (record == nullptr) {
        return;
    }
    connection_changed(id, report.process, now);
    record->pool->chooser.report(record->index, report, now);
    if (!report.warm) {
        add_ramp_actions(*record, record->ramp.mark_cold(cold_cause::reported_cold, now));
    }
    update_availability(*record);
}

void dispatcher::implementation::cache_events(const endpoint_id& id,
                                              const std::vector<cache_event>& events,
                                              time_point now)
{
    endpoint_record* record = find(id);
    if (record == nullptr) {
        return;
    }
    for (const cache_event& event : events) {
        record->pool->chooser.apply(record->index, event);
        if (event.kind == cache_event::kind_type::cleared) {
            add_ramp_actions(*record, record->ramp.mark_cold(cold_cause::cache_lost, now));
        }
    }
    update_availability(*record);
}

void dispatcher::implementation::exclusive_right_changed(const endpoint_id& id,
                                                         std::optional<std::uint64_t> fence,
                                                         time_point now)
{
    if (fence) {
        held_rights_[id] = *fence;
    } else {
        held_rights_.erase(id);
    }
    endpoint_record* record = find(id);
    if (record != nullptr) {
        add_ramp_actions(*record, record->ramp.hold(fence, now));
        update_availability(*record);
    }
    // Choosing a subset takes milliseconds at design size, and an endpoint in use is already
    // wanted.
    const bool in_use = fence && record != nullptr && record->wanted;
    if (published_ && !in_use) {
        update_endpoints(now);
    }
}

void dispatcher::implementation::declared(const endpoint_id& id,
                                          const warmth_declaration& declaration)
{
    if (endpoint_record* record = find(id)) {
        record->ramp.declared(declaration);
        update_availability(*record);
    }
}

void dispatcher::implementation::peer_reported(const endpoint_id& id, incarnation process,
                                               bool cold, time_point now)
{
    if (endpoint_record* record = find(id)) {
        add_ramp_actions(*record, record->ramp.peer_reported(process, cold, now));
        update_availability(*record);
    }
}

void dispatcher::implementation::probe_finished(const endpoint_id& id, bool success, time_point now)
{
    if (const endpoint_record* record = find(id)) {
        record->pool->chooser.probed(record->index, success, now);
    }
}

// Returns whether one more endpoint of the pool may become cold because of slow answers, which is
// at most a third of the pool. When more are slow, the pool is overloaded or its work has changed,
// and treating its endpoints as cold would remove the remaining capacity.
bool dispatcher::implementation::may_turn_cold(const pool_state& pool) const
{
    std::size_t cold = 0;
    for (const endpoint_record* record : pool.records) {
        cold += record != nullptr && record->connected && !record->ramp.warm() ? 1 : 0;
    }
    return (cold + 1) * 3 <= pool.chooser.size();
}

void dispatcher::implementation::tick_endpoints(time_point now)
{
    for (const auto& [id, record] : endpoints_) {
        if (record->connected && record->in_service) {
            add_ramp_actions(*record, record->ramp.tick(now));
        }
        if (record->refusing_until && *record->refusing_until <= now) {
            record->refusing_until.reset();
            update_availability(*record);
        }
    }
    for (const auto& [id, pool] : pools_) {
        for (const probe_due& due : pool->chooser.due_probes(now)) {
            pending_actions_.emplace_back(probe_endpoint{pool->chooser.id(due.endpoint)});
        }
    }
}

std::vector<endpoint_id> dispatcher::implementation::wanted_endpoints() const
{
    std::vector<endpoint_id> wanted;
    for (const auto& [id, record] : endpoints_) {
        if (record->wanted) {
            wanted.push_back(id);
        }
    }
    return wanted;
}

} // namespace quetzal::serving
