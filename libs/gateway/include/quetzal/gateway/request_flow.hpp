#ifndef QUETZAL_GATEWAY_REQUEST_FLOW_HPP
#define QUETZAL_GATEWAY_REQUEST_FLOW_HPP

// Processes a request: matches its route, checks its key, runs its stages, sends it to an endpoint
// and writes the response. Every rejection states correctly whether the request may have run: 503
// means that no endpoint started to run it.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <quetzal/gateway/caller_request.hpp>
#include <quetzal/gateway/channel_pool.hpp>
#include <quetzal/gateway/drain_plan.hpp>
#include <quetzal/gateway/endpoint_pools.hpp>
#include <quetzal/gateway/event_splitter.hpp>
#include <quetzal/gateway/fleet_retry_budget.hpp>
#include <quetzal/gateway/member_table.hpp>
#include <quetzal/gateway/part_quarantine.hpp>
#include <quetzal/gateway/stage_coordinator.hpp>
#include <quetzal/telemetry/metrics.hpp>

namespace quetzal::gateway {

namespace internal {
class stream_outbox;
}

class request_flow
{
public:
    request_flow(boost::asio::io_context& context, catalog& view, endpoint_pools& pools,
                 channel_pool& channels, stage_coordinator& coordinator, member_table& members,
                 part_quarantine& quarantine, const header_names& names,
                 retry_budget_options budget, telemetry::metrics& metrics);

    // Serves one request and writes its response, or closes the connection.
    boost::asio::awaitable<void> serve(std::shared_ptr<running_request> request,
                                       response_writer& writer);

    // Returns the number of requests being served.
    std::size_t running() const noexcept { return running_.size(); }

    // Sets what is called when there is new evidence about parts that crash endpoints, so that it
    // reaches the other instances without delay.
    void on_evidence(std::function<void()> handler) { handle_evidence_ = std::move(handler); }

    // Begins a planned stop. From now on a request is sent to an endpoint only if its response is
    // expected to be complete before the end of the window; others are refused with 503 at once.
    void begin_drain(drain_window window);

    // Refuses the requests that can no longer be sent in time and, if another instance is ready,
    // those for which no endpoint has free capacity while the stop shortens the time that they may
    // wait for it. At the end of the window ends every request whose response has not started, with
    // an error status. Called repeatedly during a stop.
    void enforce_drain(time_point now);

    // Logs every request being served: what it waits for, and when it was received and sent,
    // relative to the beginning of the stop.
    void log_unfinished(time_point stop_began) const;

    // Returns the number of requests that have ended, with any outcome.
    std::uint64_t ended() const noexcept { return ended_; }

private:
    using request_ptr = std::shared_ptr<running_request>;

    // A whole response of an endpoint.
    struct saved_response
    {
        unsigned status = 0;
        std::string headers;
        std::string body;
    };
    // Outcomes of one attempt at an endpoint.
    struct delivered
    {
        // What the caller has not taken yet when the endpoint has sent everything: a response, or
        // the rest of a stream.
        std::optional<saved_response> response{};
        std::shared_ptr<internal::stream_outbox> rest{};
    };
    struct attempt_failure
    {
        failure error;
        std::optional<saved_response> response{}; // sent in case no retry is possible
        bool inputs_expired = false;              // the stages have to run again
    };
    using attempt_result = std::variant<delivered, attempt_failure>;
    class silence_watch;

    // Progress of the attempts of one request.
    struct attempt_state
    {
        std::vector<std::string> tried_endpoints; // ids
        std::vector<std::string> inputs;          // handles of the final stages' results
        std::uint64_t stage_ticket = 0;           // of the submitted stages; 0: none
        bool inputs_released = false;             // a further attempt needs new results
        event_splitter events;
        std::string stream_headers;                  // from the first endpoint
        unsigned runs = 0;                           // attempts that may have run
        unsigned refusals = 0;                       // attempts that did not run
        unsigned unreachable = 0;                    // attempts that could not connect
        std::optional<saved_response> last_response; // sent if no later attempt succeeds
        bool retryable = false;
        bool retry_reserved = false; // the budget has counted the next retry already
        // Of the current attempt: whether bytes of the request were sent, and whether an event of a
        // stream, or another response, was received whole.
        bool was_sent = false;
        bool has_content = false;

        // Forgets what went wrong before the first event of an attempt. It says nothing about a
        // further attempt after this one.
        void forget_failures()
        {
            tried_endpoints.clear();
            refusals = 0;
            unreachable = 0;
            last_response.reset();
        }
    };

    // Waits for the given time.
    boost::asio::awaitable<void> pause(duration time) const;
    // Waits until there is a configuration, if this instance has just started and can expect one.
    boost::asio::awaitable<void> await_configuration(const running_request& request,
                                                     response_writer& writer);
    std::optional<failure> admit(running_request& request, unsigned& status);
    std::optional<failure> resolve_route_and_customer(running_request& request, unsigned& status);
    // Returns the handles of the final stages' results. For a stream that has started, the stages
    // may take the time until its `latest_end`.
    boost::asio::awaitable<result<std::vector<std::string>>>
    run_stages(const request_ptr& request, const response_writer& writer, std::uint64_t& ticket);
    // Runs the stages, for a stream that has started again and again until they succeed, as long as
    // its `latest_end` allows it.
    boost::asio::awaitable<result<std::vector<std::string>>>
    obtain_inputs(const request_ptr& request, const response_writer& writer, std::uint64_t& ticket);
    boost::asio::awaitable<result<void>>
    run_attempts(const request_ptr& request, response_writer& writer, attempt_state& state);
    std::string select_service(const running_request& request) const;
    std::string preferred_zone(const running_request& request,
                               const std::vector<job_stage>& stages);
    boost::asio::awaitable<result<void>>
    send_saved_response(const request_ptr& request, response_writer& writer, attempt_state& state);
    // Waits for an endpoint with free capacity: a request until its latency target, a stream that
    // has started until its `latest_end`.
    boost::asio::awaitable<result<chosen_endpoint>> choose_endpoint(const request_ptr& request,
                                                                    const response_writer& writer,
                                                                    const attempt_state& state);
    boost::asio::awaitable<attempt_result> attempt(const request_ptr& request,
                                                   response_writer& writer, attempt_state& state,
                                                   const chosen_endpoint& chosen);
    // Writes what the caller has not taken yet. Neither the endpoint's connection nor its place is
    // in use meanwhile. Returns false if the caller does not take the rest of a stream.
    static boost::asio::awaitable<bool> write_rest(response_writer& writer, delivered& whole);
    // Logs an attempt that may have run and failed, with the limit that the response exceeded.
    // `broke_off` means that the deadline passed in the middle of the response.
    static void log_failed_attempt(const running_request& request, const attempt_state& state,
                                   const chosen_endpoint& chosen, const attempt_result& ended,
                                   bool broke_off);
    boost::asio::awaitable<attempt_result> exchange(const request_ptr& request,
                                                    response_writer& writer, attempt_state& state,
                                                    const chosen_endpoint& chosen,
                                                    std::shared_ptr<channel> connection,
                                                    serving::attempt_outcome& outcome);
    boost::asio::awaitable<attempt_result>
    relay_stream(const request_ptr& request, response_writer& writer, attempt_state& state,
                 const chosen_endpoint& chosen, std::shared_ptr<channel> connection,
                 serving::attempt_outcome& outcome);
    // Reads the events of a stream into the outbox, until the stream ends or fails.
    boost::asio::awaitable<attempt_result>
    relay_events(const request_ptr& request, response_writer& writer,
                 internal::stream_outbox& outbox, attempt_state& state,
                 const chosen_endpoint& chosen, std::shared_ptr<channel> connection,
                 serving::attempt_outcome& outcome);
    // Aborts a request whose caller no longer takes its stream.
    static attempt_failure fail_unread(running_request& request);
    std::string request_head(const running_request& request, const attempt_state& state,
                             const chosen_endpoint& chosen, time_point now) const;
    // Returns the refusal of a request with a part that is quarantined, if any. `sending` means
    // that the request is sent if it is not refused, and may serve as the test of a part.
    std::optional<failure> quarantine_refusal(const running_request& request, bool sending);
    // Checks whether the endpoint has crashed, after it ended the connection of a request without
    // any content of a response, and records the evidence.
    boost::asio::awaitable<void> examine_loss(const running_request& request,
                                              const chosen_endpoint& chosen);
    // Returns how long a second run of the request's stages is expected to take, or nothing if an
    // endpoint of a stage is missing.
    std::optional<duration> expected_stage_time(const running_request& request) const;
    // Whether a stream that has started and leaves its endpoint now can be expected to go on before
    // its `latest_end` and, during a stop, to be complete by then.
    bool can_resume_in_time(const running_request& request, const attempt_state& state,
                            time_point now) const;
    // Whether a request that is being run by an endpoint could be sent to another one now. If so,
    // counts the retry, so that no other request uses it first.
    bool reserve_retry(const running_request& request, attempt_state& state,
                       const chosen_endpoint& chosen, bool started_stream, time_point now);
    // Whether the time that is left, the failed attempts and a planned stop allow another attempt.
    bool may_send_again(const running_request& request, const attempt_state& state,
                        bool started_stream, time_point now) const;
    // Whether another attempt may follow, apart from the retry budget.
    bool may_repeat(const running_request& request, const attempt_state& state,
                    const attempt_failure& failed, bool started_stream, time_point now) const;
    // Whether the retry budget allows another attempt. Counts it if so.
    bool take_retry(const running_request& request, attempt_state& state, time_point now);
    // Returns whether another attempt follows. A stream that has started waits for the retry budget
    // until its `latest_end`.
    boost::asio::awaitable<bool> await_retry(const request_ptr& request, attempt_state& state,
                                             const attempt_failure& failed,
                                             const response_writer& writer);
    boost::asio::awaitable<void> reject(running_request& request, response_writer& writer,
                                        unsigned status, const failure& why);
    void record_outcome(const running_request& request, std::string_view outcome);
    // How long the longest running stream of each route has taken so far, by route name. Only
    // streams with an event count: an endpoint that is silent says nothing of the others.
    using stream_ages = std::map<std::string, duration, std::less<>>;
    stream_ages longest_streams(time_point now) const;
    // Returns the latest time at which a planned stop allows to send the request.
    time_point latest_send(const running_request& request) const;
    time_point latest_send(const running_request& request, const stream_ages& running) const;
    // Returns the time at which the rest of a stream that has started must have been received: its
    // deadline, or the end of a planned stop.
    time_point latest_end(const running_request& request) const;
    // Whether an instance other than this one is ready and not stopping.
    bool other_instance_ready(time_point now) const;
    // Returns the refusal of a request that cannot be sent in time, and when to retry it.
    failure drain_refusal(time_point now) const;

    boost::asio::io_context& context_;
    catalog& view_;
    endpoint_pools& pools_;
    channel_pool& channels_;
    stage_coordinator& coordinator_;
    member_table& members_;
    part_quarantine& quarantine_;
    std::function<void()> handle_evidence_ = [] {};
    const header_names& names_;
    fleet_retry_budget budget_;
    telemetry::metrics& metrics_;
    time_point started_;
    drain_plan drain_;
    std::set<request_ptr> running_;
    std::uint64_t ended_ = 0;
};

} // namespace quetzal::gateway

#endif
