#ifndef QUETZAL_SERVING_DISPATCHER_HPP
#define QUETZAL_SERVING_DISPATCHER_HPP

// Makes all serving decisions of one shard: admission, queueing, endpoint choice, warm-up of cold
// endpoints, retries and hedges. Each function takes an event and the current time and returns the
// actions that the caller has to perform.
//
// Life of a request: `submit_request` leads to `request_admitted` (at once or later) or
// `request_refused`. After the admission, the caller submits a call for each stage as soon as the
// stages that it depends on have finished. Each call leads to `start_attempt` actions and ends with
// exactly one `call_done` or `call_failed`. The caller reports the events of each attempt.
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

// The request is admitted. The caller submits its first stages.
struct request_admitted
{
    request_key request{};
};

// The request ends before its first stage. None of its work ran.
struct request_refused
{
    request_key request{};
    failure why;
};

// Send the call to the endpoint. The sender makes the final check, that of the connection's
// incarnation. It reports a call that cannot be sent as `attempt_failed` with verdict not_run.
struct start_attempt
{
    request_key request{};
    call_key call{};
    std::uint32_t attempt = 0; // from 1 within the call
    endpoint_id endpoint;
    incarnation process;        // send only over a connection to this process
    std::uint32_t offset = 0;   // first chunk to send, for a resumed stream
    time_point give_up;         // end of the attempt's time
    std::uint32_t priority = 0; // 0 is the most urgent; derived from the slack
    bool hedge = false;
    bool cold = false; // the endpoint is cold: needs the exclusive right or a borrowed call slot
    std::optional<time_point> start_by; // of a borrowed call slot: latest time to send the call
};

// Cancel an attempt whose answer is no longer needed.
struct cancel_attempt
{
    call_key call{};
    std::uint32_t attempt = 0;
    endpoint_id endpoint;
};

// Use the answer of this attempt, and of no other, for the call. Issued at the attempt's first
// chunk, or at its success when no chunk was reported.
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

// The call ends without an answer. `why.run` is the combined verdict of all its attempts.
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

// Send the declaration of this instance, which holds the exclusive right, to the other instances.
struct declare_endpoint
{
    endpoint_id endpoint;
    warmth_declaration declaration;
};

// Notify the holder of the endpoint's exclusive right that the endpoint is cold. With `cold` false,
// ask the holder for its declaration.
struct notify_endpoint_holder
{
    endpoint_id endpoint;
    incarnation process;
    bool cold = true;
};

// Ask the holder of a cold endpoint to lend one of its call slots.
struct request_cold_slot
{
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t sequence = 0;
};

// Grant the borrower a call slot. The call has to start within `start_within`.
struct grant_cold_slot
{
    instance_id to;
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t sequence = 0;
    duration start_within{};
};

// Return a borrowed call slot to the holder.
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

// An arriving request.
struct request_submission
{
    request_key request{};
    class_id work_class;
    customer_id customer;
    time_point arrived;
    std::optional<time_point> deadline; // set by the caller; only shortens the class's own deadline
};

// A stage call whose preceding stages have finished.
struct call_submission
{
    request_key request{};
    call_key call{};
    std::size_t stage = 0;               // index in the pipeline
    std::vector<prompt_prefix> prefixes; // in ascending length; empty when there is no prompt
    std::optional<double> cost;          // expected, in seconds of stage time; measured if absent
};

// An attempt whose complete answer arrived.
struct attempt_success
{
    call_key call{};
    std::uint32_t attempt = 0;
    std::optional<std::uint32_t> cached_tokens; // of the prompt, if the engine reports them
};

// An attempt that ended without a complete answer.
struct attempt_failure
{
    call_key call{};
    std::uint32_t attempt = 0;
    failure why;
    std::uint32_t offset = 0;         // chunks of the answer already forwarded to the caller
    bool refused_by_endpoint = false; // the endpoint refused before running, e.g. when overloaded
};

// Input of the check before each start.
struct gate_context
{
    request_key request{};
    customer_id customer;
    class_id work_class;
    bool admission = false; // whether the request is admitted (true) or a stage attempt starts
};

// Checks key, view and credit immediately before an admission or an attempt. `defer` keeps the work
// in its queue while the deadline allows. When the gate returns `start` for an admission, the
// request is always admitted, so the gate may consume a credit. For an attempt, the gate may be
// called again after `start`, when no endpoint has free capacity. The gate is called at every event
// for the first entry of each waiting customer, so it has to be cheap. It must not call the
// dispatcher.
using dispatch_gate = std::function<gate_result(const gate_context&)>;

// Why a request was routed, delayed or refused, in chronological order.
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

// Options and identity of a dispatcher.
struct dispatcher_options
{
    instance_id self;
    zone_id zone;
    std::uint64_t seed = 1;
    budget_options budget;
    chooser_options chooser; // the pool's configuration overrides `concurrency`
    retry_budget::options retries;
    std::size_t queue_capacity = 1024; // maximum of requests per pool that wait for admission
    std::size_t max_subset = 24;
    bool hedges = true;
    std::size_t kept_explanations = 512; // finished requests whose explanation is kept
};

// Not thread-safe. For a few requests per second and instance, one dispatcher under one lock is
// sufficient. Requests may also be divided among several dispatchers; each then counts only its own
// work.
class dispatcher
{
public:
    dispatcher(dispatcher_options options, dispatch_gate gate);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;

    // Applies a configuration. Calls on removed pools fail. Evacuated zones receive no new work,
    // and the endpoints of zones that return to service start cold.
    actions configure(std::shared_ptr<const config::published> published, time_point now);

    // Applies an instance list, in which endpoints are added, leaving or removed.
    actions update(const config::instance_list& list, time_point now);

    // The endpoint is connected at `process`, or no longer connected when `process` is absent.
    actions connection_changed(const endpoint_id& endpoint, std::optional<incarnation> process,
                               time_point now);
    actions report(const endpoint_id& endpoint, const load_report& report, time_point now);
    actions cache_events(const endpoint_id& endpoint, const std::vector<cache_event>& events,
                         time_point now);

    // This instance gains the exclusive right to the endpoint, with the fencing token `fence`, or
    // loses it when `fence` is absent.
    actions exclusive_right_changed(const endpoint_id& endpoint, std::optional<std::uint64_t> fence,
                                    time_point now);
    actions declared(const endpoint_id& endpoint, const warmth_declaration& declaration,
                     time_point now);
    // Another instance notifies this one, the holder of the exclusive right, about the endpoint.
    // `cold` false asks for the holder's declaration.
    actions peer_reported(const endpoint_id& endpoint, incarnation process, bool cold,
                          time_point now);
    // Messages of the other instance about a lent call slot; see `cold_slots.hpp`.
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

    // Ends a request. `completed` states whether the complete answer reached the caller. Running
    // attempts are cancelled; waiting calls are removed without further actions.
    actions finish_request(request_key request, bool completed, time_point now);

    // Handles everything that is due: expiry, hedges, probes and the end of attempts' time. Has to
    // be called at `next_tick` and at least every 100 ms.
    actions tick(time_point now);
    std::optional<time_point> next_tick() const;

    // Returns the explanation of a running or recently finished request; without steps when the
    // request is unknown.
    explanation explain(request_key request) const;

    // Returns the endpoints to which this instance should keep connections: its subset of each
    // pool, and the endpoints whose exclusive right it holds.
    std::vector<endpoint_id> wanted_endpoints() const;

    // Statistics of one pool, for metrics.
    struct pool_figures
    {
        std::size_t waiting_requests = 0; // wait for admission with this pool as bottleneck
        std::size_t waiting_calls = 0;
        std::size_t running = 0;
        std::size_t usable = 0;
        std::size_t ejected = 0;
        std::uint32_t places = 0; // calls that all usable endpoints may run at once
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
