#include <quetzal/serving/dispatcher.hpp>

#include "dispatcher_state.hpp"

namespace quetzal::serving {

dispatcher::dispatcher(dispatcher_options options, dispatch_gate gate)
    : implementation_(std::make_unique<implementation>(std::move(options), std::move(gate)))
{
}

dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;
dispatcher& dispatcher::operator=(dispatcher&&) noexcept = default;

actions dispatcher::configure(std::shared_ptr<const config::published> published, time_point now)
{
    implementation_->configure(std::move(published), now);
    return implementation_->take_actions(now);
}

actions dispatcher::update(const config::instance_list& list, time_point now)
{
    implementation_->update(list, now);
    return implementation_->take_actions(now);
}

actions dispatcher::connection_changed(const endpoint_id& endpoint,
                                       std::optional<incarnation> process, time_point now)
{
    implementation_->connection_changed(endpoint, process, now);
    return implementation_->take_actions(now);
}

actions dispatcher::report(const endpoint_id& endpoint, const load_report& report, time_point now)
{
    implementation_->report(endpoint, report, now);
    return implementation_->take_actions(now);
}

actions dispatcher::cache_events(const endpoint_id& endpoint,
                                 const std::vector<cache_event>& events, time_point now)
{
    implementation_->cache_events(endpoint, events, now);
    return implementation_->take_actions(now);
}

actions dispatcher::exclusive_right_changed(const endpoint_id& endpoint,
                                            std::optional<std::uint64_t> fence, time_point now)
{
    implementation_->exclusive_right_changed(endpoint, fence, now);
    return implementation_->take_actions(now);
}

actions dispatcher::declared(const endpoint_id& endpoint, const warmth_declaration& declaration,
                             time_point now)
{
    implementation_->declared(endpoint, declaration);
    return implementation_->take_actions(now);
}

actions dispatcher::peer_reported(const endpoint_id& endpoint, incarnation process, bool cold,
                                  time_point now)
{
    implementation_->peer_reported(endpoint, process, cold, now);
    return implementation_->take_actions(now);
}

actions dispatcher::slot_requested(const endpoint_id& endpoint, const instance_id& from,
                                   incarnation process, std::uint32_t sequence, time_point now)
{
    implementation_->slot_requested(endpoint, from, process, sequence, now);
    return implementation_->take_actions(now);
}

actions dispatcher::slot_granted(const endpoint_id& endpoint, incarnation process,
                                 std::uint32_t sequence, duration start_within, time_point now)
{
    implementation_->slot_granted(endpoint, process, sequence, start_within);
    return implementation_->take_actions(now);
}

actions dispatcher::slot_returned(const endpoint_id& endpoint, const instance_id& from,
                                  std::uint32_t sequence, slot_result how, time_point now)
{
    implementation_->slot_returned(endpoint, from, sequence, how, now);
    return implementation_->take_actions(now);
}

actions dispatcher::probe_finished(const endpoint_id& endpoint, bool success, time_point now)
{
    implementation_->probe_finished(endpoint, success, now);
    return implementation_->take_actions(now);
}

actions dispatcher::submit_request(const request_submission& request, time_point now)
{
    implementation_->submit_request(request, now);
    return implementation_->take_actions(now);
}

actions dispatcher::submit_call(const call_submission& call, time_point now)
{
    implementation_->submit_call(call, now);
    return implementation_->take_actions(now);
}

actions dispatcher::chunk_received(call_key call, std::uint32_t attempt, time_point now)
{
    implementation_->chunk_received(call, attempt, now);
    return implementation_->take_actions(now);
}

actions dispatcher::attempt_succeeded(const attempt_success& success, time_point now)
{
    implementation_->attempt_succeeded(success, now);
    return implementation_->take_actions(now);
}

actions dispatcher::attempt_failed(const attempt_failure& failure, time_point now)
{
    implementation_->attempt_failed(failure, now);
    return implementation_->take_actions(now);
}

actions dispatcher::finish_request(request_key request, bool completed, time_point now)
{
    implementation_->finish_request(request, completed, now);
    return implementation_->take_actions(now);
}

actions dispatcher::tick(time_point now)
{
    implementation_->tick(now);
    return implementation_->take_actions(now);
}

std::optional<time_point> dispatcher::next_tick() const
{
    return implementation_->next_tick();
}

explanation dispatcher::explain(request_key request) const
{
    return implementation_->explain(request);
}

std::vector<endpoint_id> dispatcher::wanted_endpoints() const
{
    return implementation_->wanted_endpoints();
}

dispatcher::pool_figures dispatcher::figures(const pool_id& pool) const
{
    return implementation_->figures(pool);
}

} // namespace quetzal::serving
