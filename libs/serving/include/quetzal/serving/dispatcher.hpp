#ifndef QUETZAL_SERVING_DISPATCHER_HPP
#define QUETZAL_SERVING_DISPATCHER_HPP

// The serving decisions of one shard behind one interface: admission, queues, endpoint choice, cold
// ramp, retries and hedges. Events and the present time go in, actions come out.
//
// A request takes this way: `submit_request` answers with `request_admitted` (at once or later) or
// `request_refused`. After the admission the caller submits a call for each stage as soon as the
// stages before it have finished. Each call leads to `start_attempt` actions and ends with exactly
// one `call_done` or `call_failed`. The caller reports what happens to each attempt.
// `finish_request` ends the request.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <quetzal/config/instance_list.hpp>
#include <quetzal/config/published.hpp>
#include <quetzal/serving/cold_ramp.hpp>
#include <quetzal/serving/cold_slots.hpp>
#include <quetzal/serving/deadline_budget.hpp>
#include <quetzal/serving/endpoint_chooser.hpp>
#include <quetzal/serving/fair_queue.hpp>
#include <quetzal/serving/retry_policy.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// The request may run: submit its first stages.
struct request_admitted
{
    request_key request{};
};

// The request ends before its first stage; nothing of it ran.
struct request_refused
{
    request_key request{};
    failure why;
};

// Send the call to the endpoint. The final checks (connection's incarnation) remain with the
// sender; a call that cannot be sent is reported as `attempt_failed` with verdict not_run.
struct start_attempt
{
    request_key request{};
    call_key call{};
    std::uint32_t attempt = 0; // from 1 within the call
    endpoint_id endpoint;
    incarnation process;        // send only over a connection to this process
    std::uint32_t offset = 0;   // first chunk wanted, for a resumed stream
    time_point give_up;         // end of the attempt's time
    std::uint32_t priority = 0; // 0 is the most urgent; by slack
    bool hedge = false;
    bool cold = false; // the endpoint is cold: the exclusive right or a lent call is needed
    std::optional<time_point> start_by; // of a lent call: send nothing later than this
};

// Stop an attempt whose answer is not wanted any more.
struct cancel_attempt
{
    call_key call{};
    std::uint32_t attempt = 0;
    endpoint_id endpoint;
};

// From now on only this attempt's answer belongs to the call. Comes with its first chunk.
struct select_attempt
{
    call_key call{};
    std::uint32_t attempt = 0;
};

struct call_done
{
    request_key request{};
    call_key call{};
    std::uint32_t attempt = 0;
};

// The call ends without an answer. `why.run` covers all of its attempts.
struct call_failed
{
    request_key request{};
    call_key call{};
    failure why;
};

// Ask an ejected endpoint for its load; report the result with `probe_finished`.
struct probe_endpoint
{
    endpoint_id endpoint;
};

// Disseminate the holder's declaration.
struct declare_endpoint
{
    endpoint_id endpoint;
    warmth_declaration declaration;
};

// Tell the holder of the endpoint's exclusive right. `cold` false asks for its declaration.
struct notify_endpoint_holder
{
    endpoint_id endpoint;
    incarnation process;
    bool cold = true;
};

// Ask the holder of a cold endpoint for one of its calls.
struct request_cold_slot
{
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t sequence = 0;
};

// Tell the borrower that it may start a call.
struct grant_cold_slot
{
    instance_id to;
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t sequence = 0;
    duration start_within{};
};

// Give a lent call back to the holder.
struct return_cold_slot
{
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t sequence = 0;
    slot_result how = slot_result::unused;
};

using action =
    std::variant<request_admitted, request_refused, start_attempt, cancel_attempt, select_attempt,
                 call_done, call_failed, probe_endpoint, declare_endpoint, notify_endpoint_holder,
                 request_cold_slot, grant_cold_slot, return_cold_slot>;
using actions = std::vector<action>;

// A request as it arrives.
struct request_submission
{
    request_key request{};
    class_id work_class;
    customer_id customer;
    time_point arrived;
    std::optional<time_point> deadline; // earlier than the class's own where the caller asks so
};

// A stage call that is ready to run.
struct call_submission
{
    request_key request{};
    call_key call{};
    std::size_t stage = 0;               // index in the pipeline
    std::vector<prompt_prefix> prefixes; // ascending length; empty: no prompt
    std::optional<double> cost;          // expected, in seconds of stage time; default: measured
};

// The last part of an answer.
struct attempt_success
{
    call_key call{};
    std::uint32_t attempt = 0;
    std::optional<std::uint32_t> cached_tokens; // of the prompt, where the engine tells
};

// An attempt that ended without its whole answer.
struct attempt_failure
{
    call_key call{};
    std::uint32_t attempt = 0;
    failure why;
    std::uint32_t offset = 0;         // chunks of the answer already passed on to the caller
    bool refused_by_endpoint = false; // the endpoint refused before running, e.g. as overloaded
};

// What the gate before each start sees.
struct gate_context
{
    request_key request{};
    customer_id customer;
    class_id work_class;
    bool admission = false; // true: admission of the request; false: an attempt of a stage
};

// Checks key, view and credit at the last moment before an admission or an attempt. `defer` keeps
// the work in its queue while the deadline allows. `start` for an admission always leads to it, so
// the gate may consume a credit there; `start` for an attempt may be asked again when no endpoint
// has a free place. Called for the first entry of each waiting customer at every event, so it has
// to be cheap. It must not call the dispatcher.
using dispatch_gate = std::function<gate_result(const gate_context&)>;

// Why a request was routed, delayed or refused, in order of time.
struct explanation
{
    struct step
    {
        time_point at;
        std::string what;
    };
    request_key request{};
    std::vector<step> steps; // the first 32
};

// Constants and identity of a dispatcher.
struct dispatcher_options
{
    instance_id self;
    zone_id zone;
    std::uint64_t seed = 1;
    budget_options budget;
    chooser_options chooser; // `concurrency` comes from the pool
    retry_budget::options retries;
    std::size_t queue_capacity = 1024; // requests per pool that wait for admission
    std::size_t max_subset = 24;
    bool hedges = true;
    std::size_t explained = 512; // finished requests whose explanation is kept
};

// Not thread-safe. With a few requests a second per instance, one dispatcher under one lock is
// enough; requests may also be divided among several, each of which then counts its own work only.
class dispatcher
{
public:
    dispatcher(dispatcher_options options, dispatch_gate gate);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;

    // Applies a configuration. Calls on pools that are gone fail; zones out of service receive
    // nothing from here on; endpoints of zones that are back start cold.
    actions configure(std::shared_ptr<const config::published> published, time_point now);

    // Applies an instance list: endpoints that come, leave or are gone.
    actions update(const config::instance_list& list, time_point now);

    // The endpoint answers over a connection to this process, or (nothing) not any more.
    actions connection_changed(const endpoint_id& endpoint, std::optional<incarnation> process,
                               time_point now);
    actions report(const endpoint_id& endpoint, const load_report& report, time_point now);
    actions cache_events(const endpoint_id& endpoint, const std::vector<cache_event>& events,
                         time_point now);

    // This instance gains (fencing number) or loses the exclusive right to the endpoint.
    actions exclusive_right_changed(const endpoint_id& endpoint, std::optional<std::uint64_t> fence,
                                    time_point now);
    actions declared(const endpoint_id& endpoint, const warmth_declaration& declaration,
                     time_point now);
    // The holder hears of an endpoint from another instance.
    actions peer_reported(const endpoint_id& endpoint, incarnation process, bool cold,
                          time_point now);
    // Messages of the other side of a lent call, see `cold_slots.hpp`.
    actions slot_requested(const endpoint_id& endpoint, const instance_id& from,
                           incarnation process, std::uint32_t sequence, time_point now);
    actions slot_granted(const endpoint_id& endpoint, incarnation process, std::uint32_t sequence,
                         duration start_within, time_point now);
    actions slot_returned(const endpoint_id& endpoint, const instance_id& from,
                          std::uint32_t sequence, slot_result how, time_point now);
    actions probe_finished(const endpoint_id& endpoint, bool success, time_point now);

    actions submit_request(const request_submission& request, time_point now);
    actions submit_call(const call_submission& call, time_point now);
    actions chunk_received(call_key call, std::uint32_t attempt, time_point now);
    actions attempt_succeeded(const attempt_success& success, time_point now);
    actions attempt_failed(const attempt_failure& failure, time_point now);

    // Ends a request: `completed` tells whether its whole answer reached the caller. Attempts that
    // still run are cancelled, waiting calls removed without further actions.
    actions finish_request(request_key request, bool completed, time_point now);

    // Applies what became due: expiry, hedges, probes, ends of attempts. Call it at `next_tick` and
    // at least every 100 ms.
    actions tick(time_point now);
    std::optional<time_point> next_tick() const;

    // Returns the steps of a request that runs or ended a short time ago; empty when unknown.
    explanation explain(request_key request) const;

    // Returns the endpoints that this instance should keep connections to: its subset of each pool
    // and those whose exclusive right it holds.
    std::vector<endpoint_id> wanted_endpoints() const;

    // Figures of one pool for metrics.
    struct pool_figures
    {
        std::size_t waiting_requests = 0; // for admission, with this pool as their bottleneck
        std::size_t waiting_calls = 0;
        std::size_t running = 0;
        std::size_t usable = 0;
        std::size_t ejected = 0;
        std::uint32_t places = 0;
        double retry_tokens = 0;
        std::uint64_t retries = 0;
        std::uint64_t hedges = 0;
        duration p95{};
    };
    pool_figures figures(const pool_id& pool) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace quetzal::serving

#endif
