#ifndef QUETZAL_SERVING_SRC_DISPATCHER_STATE_HPP
#define QUETZAL_SERVING_SRC_DISPATCHER_STATE_HPP

// State of a dispatcher. The functions are in dispatcher_endpoints.cpp (configuration, endpoints),
// dispatcher_requests.cpp (admission, explanations), dispatcher_calls.cpp (stage calls) and
// dispatcher_attempts.cpp (running attempts).

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include <quetzal/base/random.hpp>
#include <quetzal/serving/dispatcher.hpp>

namespace quetzal::serving {

namespace internal {

struct pool_state;

// An endpoint of this instance's subset, or whose exclusive right this instance holds.
struct endpoint_record
{
    endpoint_id id;
    zone_id zone;
    pool_state* pool = nullptr;
    endpoint_index index = no_endpoint_index;
    cold_ramp ramp;
    lent_slots lent;        // used while this instance holds the exclusive right
    borrowed_slot borrowed; // used while another instance holds it
    bool wanted = true;     // listed as live, in the subset or held
    bool connected = false;
    bool in_service = true;
    std::optional<time_point> refusing_until;
};

struct pool_state
{
    config::pool declared;
    endpoint_chooser chooser;
    fair_queue calls;
    fair_queue admissions; // requests whose bottleneck is this pool
    retry_budget budget;
    std::vector<endpoint_record*> records; // by index in the chooser
    std::size_t running = 0;               // attempts in flight
    std::size_t upstream = 0;  // admitted requests whose call to this pool has not started yet
    double mean_cost = 0;      // seconds of stage time per call; 0: unknown
    double upstream_delay = 0; // mean seconds from admission to the call to this pool
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
};

struct pipeline_state
{
    config::pipeline declared;
    deadline_budget budget;
    std::vector<std::shared_ptr<pool_state>> pools; // by stage
};

struct request_state
{
    request_submission start;
    config::work_class work_class;
    std::shared_ptr<pipeline_state> pipeline;
    time_point deadline;
    time_point end; // later than the deadline when the class finishes late work
    std::vector<bool> done;
    std::size_t bottleneck = 0; // stage
    bool admitted = false;
    time_point admitted_at;
    bool reached_bottleneck = false;
    std::set<call_key> calls;
    std::vector<explanation::step> steps;
};

struct attempt_state
{
    std::uint32_t number = 0;
    endpoint_record* endpoint = nullptr;
    time_point started;
    std::optional<time_point> first_chunk;
    time_point last_chunk;
    prompt_prefix expected_prefix;
    bool hedge = false;
    bool borrowed = false; // uses a call slot that the endpoint's holder lent
};

struct call_state
{
    call_submission start;
    request_state* request = nullptr;
    pool_state* pool = nullptr;
    stage_limits limits;
    double cost = 1; // as a multiple of the pool's mean cost per call
    bool queued = false;
    bool retry_token = false; // taken for a retry that has not started yet
    std::uint32_t attempts = 0;
    std::uint32_t offset = 0;
    std::vector<attempt_state> running;
    std::optional<std::uint32_t> selected; // attempt whose answer is used
    std::optional<verdict> run;            // combined verdict of the failed attempts
    std::optional<failure> last_failure;
    std::vector<endpoint_index> tried;
    std::optional<std::uint32_t> failed_zone;
    std::optional<time_point> timer;

    const config::stage& stage() const { return request->pipeline->declared.stages[start.stage]; }
};

// Returns whole milliseconds as text, e.g. "12 ms".
std::string milliseconds_text(duration value);

} // namespace internal

class dispatcher::implementation
{
public:
    implementation(dispatcher_options options, dispatch_gate gate);

    void configure(std::shared_ptr<const config::published> published, time_point now);
    void update(const config::instance_list& list, time_point now);
    void connection_changed(const endpoint_id& id, std::optional<incarnation> process,
                            time_point now);
    void report(const endpoint_id& id, const load_report& report, time_point now);
    void cache_events(const endpoint_id& id, const std::vector<cache_event>& events,
                      time_point now);
    void exclusive_right_changed(const endpoint_id& id, std::optional<std::uint64_t> fence,
                                 time_point now);
    void declared(const endpoint_id& id, const warmth_declaration& declaration);
    void peer_reported(const endpoint_id& id, incarnation process, bool cold, time_point now);
    void slot_requested(const endpoint_id& id, const instance_id& from, incarnation process,
                        std::uint32_t sequence, time_point now);
    void slot_granted(const endpoint_id& id, incarnation process, std::uint32_t sequence,
                      duration start_within);
    void slot_returned(const endpoint_id& id, const instance_id& from, std::uint32_t sequence,
                       slot_result how, time_point now);
    void probe_finished(const endpoint_id& id, bool success, time_point now);

    void submit_request(const request_submission& start, time_point now);
    void submit_call(const call_submission& start, time_point now);
    void chunk_received(call_key key, std::uint32_t attempt, time_point now);
    void attempt_succeeded(const attempt_success& success, time_point now);
    void attempt_failed(const attempt_failure& failed, time_point now);
    void finish_request(request_key key, bool completed, time_point now);
    void tick(time_point now);

    // Starts all work that can start, and returns the actions since the last call.
    actions take_actions(time_point now);

    std::optional<time_point> next_tick() const;
    explanation explain(request_key key) const;
    std::vector<endpoint_id> wanted_endpoints() const;
    pool_figures figures(const pool_id& id) const;

private:
    using request_state = internal::request_state;
    using call_state = internal::call_state;
    using attempt_state = internal::attempt_state;
    using pool_state = internal::pool_state;
    using pipeline_state = internal::pipeline_state;
    using endpoint_record = internal::endpoint_record;

    // Configuration and endpoints.
    void update_pools();
    void update_pipelines();
    void update_zones(time_point now);
    void update_endpoints(time_point now);
    void add_wanted_endpoints(pool_state& pool, std::set<endpoint_id>& wanted) const;
    bool in_region(const zone_id& zone) const;
    std::uint32_t zone_index(const zone_id& zone);
    endpoint_record* find(const endpoint_id& id);
    endpoint_record& add_endpoint(const config::listed_endpoint& listed, pool_state& pool,
                                  time_point now);
    void remove_if_idle(endpoint_record& record);
    void update_availability(endpoint_record& record);
    void add_ramp_actions(endpoint_record& record, const std::vector<ramp_action>& ramp_actions);
    bool may_turn_cold(const pool_state& pool) const;
    void tick_endpoints(time_point now);

    // Lent call slots of cold endpoints.
    static std::uint32_t capacity_of(const endpoint_record& record);
    static bool can_borrow(const endpoint_record& record);
    static std::size_t count_borrowable(const pool_state& pool);
    void tick_slots(time_point now);
    void return_slot(endpoint_record& record, std::uint32_t sequence, slot_result how);

    // Requests.
    void refuse_request(request_key key, failure why, time_point now);
    std::vector<duration> expected_waits(const pipeline_state& pipeline,
                                         const customer_id& customer, time_point now) const;
    duration expected_wait(const pool_state& pool, const customer_id& customer,
                           time_point now) const;
    static std::size_t find_bottleneck(const pipeline_state& pipeline);
    void queue_admission(request_state& request, time_point now);
    bool can_admit(const pool_state& pool, time_point now) const;
    gate_result check_admission(const request_state& request) const;
    static void add_delay_step(request_state& request, time_point now, const std::string& cause);
    void admit_waiting_requests(pool_state& pool, time_point now);
    void refuse_removed(const std::vector<removed_entry>& removed, const pool_state& pool,
                        time_point now);
    void mark_bottleneck_reached(request_state& request);
    void keep_explanation(request_state& request);
    static void add_step(request_state& request, time_point now, std::string what);

    // Calls.
    void queue_call(call_state& call, time_point expires);
    void start_queued_calls(pool_state& pool, time_point now);
    gate_result check_start(const call_state& call, time_point now, std::optional<choice>& chosen);
    static double tolerable_slowdown(const call_state& call, time_point now);
    std::optional<choice> choose(const call_state& call, time_point now);
    void start(call_state& call, const choice& chosen, bool hedge, time_point now);
    void set_timer(call_state& call);
    void apply_timer(call_state& call, time_point now);
    void hedge(call_state& call, time_point now);
    slow_attempt hedge_candidate(const call_state& call) const;
    void end_attempt(call_state& call, std::size_t position, const attempt_outcome& outcome,
                     time_point now);
    void cancel_running(call_state& call, std::size_t position, time_point now, bool too_slow);
    void select(call_state& call, std::uint32_t attempt, time_point now);
    void update_mean_cost(call_state& call, duration whole);
    void fail_call(call_state& call, failure why, time_point now);
    void fail_removed(const std::vector<removed_entry>& removed, const pool_state& pool,
                      time_point now);
    void erase_call(call_state& call);
    call_state* find(call_key key);
    static std::optional<std::size_t> position_of(const call_state& call, std::uint32_t attempt);

    dispatcher_options options_;
    dispatch_gate gate_;
    random_source random_;
    actions pending_actions_;

    std::shared_ptr<const config::published> published_;
    config::instance_list instance_list_;
    std::map<zone_id, std::uint32_t> zone_indexes_;
    std::map<pool_id, std::shared_ptr<pool_state>> pools_;
    std::map<pipeline_id, std::shared_ptr<pipeline_state>> pipelines_;
    std::map<endpoint_id, std::unique_ptr<endpoint_record>> endpoints_;
    std::map<endpoint_id, std::uint64_t> held_rights_; // fencing tokens
    std::size_t live_instances_ = 1; // live entry instances of the region, at least 1

    std::unordered_map<request_key, request_state> requests_;
    std::unordered_map<call_key, call_state> calls_;
    std::set<std::pair<time_point, call_key>> timers_;
    std::deque<explanation> finished_explanations_;
};

} // namespace quetzal::serving

#endif
