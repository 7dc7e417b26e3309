// One attempt of a request at one endpoint. The rest of the processing is in request_flow.cpp.

#include <algorithm>
#include <exception>
#include <utility>

#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/endpoint_announcement.hpp>
#include <quetzal/gateway/endpoints/load_header.hpp>
#include <quetzal/gateway/http_status.hpp>
#include <quetzal/gateway/request_flow.hpp>

#include "stream_outbox.hpp"

namespace quetzal::gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr duration connect_timeout = 300ms;
constexpr duration min_connect_timeout = 1ms;       // at the end of a stop
constexpr std::size_t max_response_size = 8u << 20; // bytes of a response that is not a stream
constexpr unsigned max_stray_responses = 2; // responses to other requests skipped in one attempt
constexpr std::size_t max_stray_size = 1u << 20; // bytes of a skipped response
// A refusal is taken as such without the rest of its body after these limits.
constexpr std::size_t max_refusal_size = 64u << 10; // bytes
constexpr duration refusal_body_timeout = 200ms;
constexpr std::size_t max_event_size = 64u << 10; // bytes of one event of a stream
// A retryable request is sent to another endpoint, if one may take it, when the head or the body of
// its response takes longer than this multiple of the route's latency target.
constexpr int slow_attempt_factor = 2;
constexpr duration min_attempt_timeout = 400ms;
// A resumable stream that completes no event for this time is resumed at another endpoint, if one
// may take it.
constexpr duration stream_stall_timeout = 1500ms;
constexpr duration silence_recheck = 50ms; // while no endpoint may take the request

// Records that a stream has passed on `events` events in all by `now`.
void record_events(request_progress& progress, std::uint64_t events, time_point now)
{
    if (events == progress.events) {
        return;
    }
    progress.events = events;
    progress.last_event = now;
    if (!progress.first_event) {
        progress.first_event = now;
    }
}

// Returns why the end of a response's body is not the end of its stream; empty if it is. The
// framing of the body does not tell: a server ends it properly also when what writes the events has
// stopped.
std::string describe_early_end(const running_request& request, const event_splitter& events,
                               bool has_events, const channel& connection)
{
    if (events.is_inside_event()) {
        return "the stream ended inside an event";
    }
    // A stream that goes on after an event may have nothing to add.
    const bool resumed = events.last_id() || !request.message.last_event_id.empty();
    const bool may_be_empty =
        connection.has_length() && (resumed || request.message.method == "HEAD");
    return has_events || may_be_empty ? "" : "the stream ended before its first event";
}

std::string_view header_value(const channel::fields& headers, const std::string& name)
{
    const auto value = headers[name];
    return {value.data(), value.size()};
}

} // namespace

// Closes the connection of an attempt when its endpoint has been too slow for some time, as soon as
// another endpoint may take the request over.
class request_flow::silence_watch
{
public:
    silence_watch(request_flow& flow, const running_request& request, attempt_state& state,
                  const chosen_endpoint& chosen, const response_writer& writer, channel& connection)
        : retryable_(state.retryable), timer_(flow.context_.get_executor(), [&, this] {
              if (!flow.reserve_retry(request, state, chosen, writer.has_started_stream(),
                                      boot_clock::now())) {
                  timer_.expires_after(silence_recheck);
                  return;
              }
              fired_ = true;
              connection.close();
          })
    {
    }

    void start(duration allowed)
    {
        if (retryable_) {
            timer_.expires_after(allowed);
        }
    }

    void stop() { timer_.clear(); }

    // Returns the failure of the attempt whose read ended with `error`.
    attempt_failure describe(failure error) const
    {
        if (fired_) {
            error.detail = "the endpoint is too slow and another one is free";
        }
        return attempt_failure{std::move(error)};
    }

private:
    bool retryable_;
    bool fired_ = false;
    lazy_deadline timer_;
};

bool request_flow::reserve_retry(const running_request& request, attempt_state& state,
                                 const chosen_endpoint& chosen, bool started_stream, time_point now)
{
    if (!state.retryable || state.runs + 1 >= request.matched->max_attempts ||
        !may_send_again(request, state, started_stream, now) ||
        (started_stream && !can_resume_in_time(request, state, now)))
    {
        return false;
    }
    const std::string service = select_service(request);
    endpoint_requirements requirements{{}, state.tried_endpoints};
    requirements.avoid.push_back(chosen.target.id);
    state.retry_reserved = pools_.has_free_endpoint(view_, service, requirements, now) &&
                           budget_.try_retry(service, members_.recent_size(now), now);
    return state.retry_reserved;
}

asio::awaitable<request_flow::attempt_result> request_flow::attempt(const request_ptr& request,
                                                                    response_writer& writer,
                                                                    attempt_state& state,
                                                                    const chosen_endpoint& chosen)
{
    serving::attempt_outcome outcome;
    outcome.prompt = chosen.prompt;
    outcome.expected_prefix = chosen.expected_prefix;
    duration connect_limit = connect_timeout;
    if (drain_.window()) {
        const duration left = drain_.window()->responses_end - boot_clock::now();
        connect_limit = std::clamp(left, duration(min_connect_timeout), connect_timeout);
    }
    auto taken = co_await channels_.acquire(chosen.target, connect_limit);
    attempt_result ended = attempt_failure{};
    state.was_sent = false;
    state.has_content = false;
    state.retry_reserved = false;
    bool broke_off = false; // the deadline passed in the middle of a response
    if (!taken) {
        pools_.mark_unreachable(chosen, boot_clock::now());
        ended = attempt_failure{{verdict::not_run, reason::no_endpoint, taken.error().detail, {}}};
    } else if (!request->abort_reason() && writer.caller_disconnected()) {
        request->abort(
            {verdict::may_have_run, reason::cancelled, "the caller closed the connection", {}});
        outcome.counts = false;
        channels_.release(chosen.target, *taken, boot_clock::now());
        ended = attempt_failure{{verdict::not_run,
                                 reason::cancelled,
                                 "the caller closed the connection before the request was sent",
                                 {}}};
    } else if (!view_.accepts_work(chosen.target) || request->abort_reason()) {
        // The catalog or the request has changed while the connection was opened.
        outcome.counts = false;
        channels_.release(chosen.target, *taken, boot_clock::now());
        ended = attempt_failure{
            {verdict::not_run, reason::no_endpoint, "the endpoint no longer accepts work", {}}};
    } else if (!writer.has_started_stream() && boot_clock::now() > latest_send(*request)) {
        // The request has waited too long, for an endpoint or for the connection.
        outcome.counts = false;
        channels_.release(chosen.target, *taken, boot_clock::now());
        ended = attempt_failure{drain_refusal(boot_clock::now())};
    } else if (auto refused = quarantine_refusal(*request, true)) {
        outcome.counts = false;
        channels_.release(chosen.target, *taken, boot_clock::now());
        ended = attempt_failure{std::move(*refused)};
    } else {
        const std::shared_ptr<channel> connection = *taken;
        request->set_abort_handler([connection] { connection->close(); });
        state.was_sent = true;
        ended = co_await exchange(request, writer, state, chosen, connection, outcome);
        request->set_abort_handler({});
        broke_off = request->abort_reason() &&
                    request->abort_reason()->why == reason::deadline_passed &&
                    (request->phase == request_phase::stream ? state.events.has_partial_event()
                                                             : connection->has_partial_response());
        log_failed_attempt(*request, state, chosen, ended, broke_off);
        channels_.release(chosen.target, connection, boot_clock::now());
        if (connection->was_lost() && !state.has_content) {
            co_await examine_loss(*request, chosen);
        }
    }
    outcome.success = std::holds_alternative<delivered>(ended);
    if (request->abort_reason()) {
        outcome.counts = outcome.success || broke_off;
    }
    pools_.finish_request(chosen, outcome, boot_clock::now());
    if (auto* whole = std::get_if<delivered>(&ended)) {
        const bool written = co_await write_rest(writer, *whole);
        if (!written && !request->abort_reason()) {
            co_return fail_unread(*request);
        }
    }
    co_return ended;
}

asio::awaitable<bool> request_flow::write_rest(response_writer& writer, delivered& whole)
{
    if (whole.response) {
        co_await writer.write_response(whole.response->status, std::move(whole.response->headers),
                                       std::move(whole.response->body));
    }
    if (whole.rest) {
        co_return co_await whole.rest->finish();
    }
    co_return true;
}

void request_flow::log_failed_attempt(const running_request& request, const attempt_state& state,
                                      const chosen_endpoint& chosen, const attempt_result& ended,
                                      bool broke_off)
{
    const auto* failed = std::get_if<attempt_failure>(&ended);
    if (failed == nullptr || failed->error.run == verdict::not_run) {
        return;
    }
    const failure& why = request.abort_reason() ? *request.abort_reason() : failed->error;
    if (why.why == reason::cancelled) {
        return; // the caller has left
    }
    log_event("attempt_failed",
              {{"request", request.message.id},
               {"endpoint", chosen.target.id},
               {"verdict", to_string(failed->error.run)},
               {"reason", to_string(why.why)},
               {"detail", why.detail},
               {"within_response", broke_off},
               {"has_content", state.has_content},
               {"parts", request.message.shared_part_ids},
               {"after_ms", whole_milliseconds(boot_clock::now() - chosen.started)}});
}

asio::awaitable<request_flow::attempt_result>
request_flow::exchange(const request_ptr& request, response_writer& writer, attempt_state& state,
                       const chosen_endpoint& chosen, std::shared_ptr<channel> connection,
                       serving::attempt_outcome& outcome)
{
    const time_point started = boot_clock::now();
    if (state.runs == 0 && state.refusals == 0) {
        budget_.count_request(chosen.target.service, started);
    }
    const std::string head = request_head(*request, state, chosen, started);
    request->phase = request_phase::response;
    if (!request->sent) {
        request->sent = started;
    }
    request->progress.endpoint = chosen.target.id;
    // The request's own deadline expires first. The connection fails earlier if the endpoint reads
    // nothing (see `configure_socket`).
    const duration timeout = request->deadline - started + 100ms;
    const auto sent = co_await connection->send(head, request->message.body, timeout);
    if (!sent) {
        co_return attempt_failure{sent.error()};
    }
    const bool head_request = request->message.method == "HEAD";
    const duration allowed = std::max<duration>(
        request->matched->latency_target * slow_attempt_factor, min_attempt_timeout);
    const time_point due = request->deadline + 100ms; // the request's own deadline expires first
    silence_watch silence(*this, *request, state, chosen, writer, *connection);
    silence.start(allowed);
    unsigned status = 0;
    for (unsigned stray = 0;; ++stray) {
        const duration head_timeout = due - boot_clock::now();
        const auto got = co_await connection->read_head(head_timeout, head_request);
        if (!got) {
            co_return silence.describe(got.error());
        }
        status = *got;
        record_announcement(view_, chosen.target,
                            read_announcement(connection->headers(), status, names_),
                            boot_clock::now());
        const auto echoed = header_value(connection->headers(), names_.request_id);
        if (echoed.empty() || echoed == request->message.id) {
            break;
        }
        // A late response to an earlier request; the response to this one may follow.
        log_event("stray_answer", {{"request", request->message.id},
                                   {"endpoint", chosen.target.id},
                                   {"answers", echoed}});
        const duration stray_timeout = due - boot_clock::now();
        const auto skipped = co_await connection->read_whole_body(max_stray_size, stray_timeout);
        if (!skipped || stray >= max_stray_responses) {
            connection->close();
            std::string detail = "response to another request";
            if (!skipped) {
                detail += ": " + skipped.error().detail;
            }
            co_return attempt_failure{
                {verdict::may_have_run, reason::answer_mismatch, std::move(detail), {}}};
        }
    }
    silence.stop();
    const time_point answered = boot_clock::now();
    outcome.latency = answered - started;
    const auto& headers = connection->headers();
    if (const auto load = read_load(header_value(headers, names_.load))) {
        pools_.report_load(chosen, *load, answered);
        outcome.pace = load->pace;
    }
    const bool has_signature = !header_value(headers, names_.signature).empty();
    const bool encoded = headers.find("Content-Encoding") != headers.end();
    const bool success = status >= 200 && status < 300;
    // Without a name, a refusal or an error may be an earlier one that the endpoint repeats; only
    // the first response on a connection cannot.
    if (header_value(headers, names_.request_id).empty() &&
        (success || connection->responses() > 1)) {
        connection->close();
        co_return attempt_failure{{verdict::may_have_run,
                                   reason::answer_mismatch,
                                   "response does not name its request",
                                   {}}};
    }
    const bool rejected =
        headers.find(names_.not_run) != headers.end() || status == http_status::misdirected;
    if (success && (!has_signature || encoded)) {
        connection->close();
        co_return attempt_failure{{verdict::may_have_run,
                                   reason::answer_mismatch,
                                   "response is unsigned or has a content encoding",
                                   {}}};
    }
    if (status == http_status::ok && request->matched->kind == route_kind::stream) {
        co_return co_await relay_stream(request, writer, state, chosen, connection, outcome);
    }
    std::string response_headers = forwarded_response_headers(headers);
    std::size_t body_limit = max_response_size;
    duration body_timeout = due - answered;
    if (rejected) {
        body_limit = max_refusal_size;
        body_timeout = std::min(body_timeout, refusal_body_timeout);
    } else {
        silence.start(allowed);
    }
    auto body = co_await connection->read_whole_body(body_limit, body_timeout);
    silence.stop();
    outcome.whole = boot_clock::now() - started;
    if (rejected) {
        outcome.counts = !body;
        const bool overloaded =
            status == http_status::unavailable || status == http_status::too_many_requests;
        co_return attempt_failure{
            {verdict::not_run,
             overloaded ? reason::overloaded : reason::no_endpoint,
             "endpoint rejected the request with status " + std::to_string(status),
             {}},
            {},
            status == http_status::conflict && !request->matched->stages.empty()};
    }
    if (!body) {
        co_return silence.describe(body.error());
    }
    state.has_content = true;
    if (success) {
        quarantine_.record_begun(request->message.quarantine_keys, boot_clock::now());
    }
    // A stream that has started cannot end as another response.
    const bool stream_started = writer.has_started_stream();
    if (status >= 500 || stream_started) {
        attempt_failure failed{
            {verdict::ran,
             reason::endpoint_failed,
             "endpoint responded with status " + std::to_string(status),
             {}},
            saved_response{status, std::move(response_headers), std::move(*body)},
            false};
        if (!has_signature || stream_started) {
            failed.response.reset();
        }
        co_return failed;
    }
    delivered whole;
    whole.response = saved_response{status, std::move(response_headers), std::move(*body)};
    co_return whole;
}

asio::awaitable<request_flow::attempt_result>
request_flow::relay_stream(const request_ptr& request, response_writer& writer,
                           attempt_state& state, const chosen_endpoint& chosen,
                           std::shared_ptr<channel> connection, serving::attempt_outcome& outcome)
{
    if (!writer.has_started_stream()) {
        state.stream_headers = forwarded_response_headers(connection->headers());
    }
    const auto outbox = std::make_shared<internal::stream_outbox>(
        context_, writer, state.stream_headers, channels_.memory());
    attempt_result ended = attempt_failure{};
    std::exception_ptr thrown;
    try {
        ended = co_await relay_events(request, writer, *outbox, state, chosen, connection, outcome);
    } catch (...) {
        thrown = std::current_exception(); // rethrown when `writer` is no longer in use
    }
    if (auto* whole = std::get_if<delivered>(&ended)) {
        whole->rest = outbox;
        co_return ended;
    }
    if (thrown || request->abort_reason()) {
        outbox->discard();
    }
    const bool written = co_await outbox->finish();
    if (thrown) {
        std::rethrow_exception(thrown);
    }
    if (!written && !request->abort_reason()) {
        co_return fail_unread(*request);
    }
    co_return ended;
}

request_flow::attempt_failure request_flow::fail_unread(running_request& request)
{
    request.abort(
        {verdict::may_have_run, reason::cancelled, "the caller closed the connection", {}});
    return attempt_failure{*request.abort_reason()};
}

asio::awaitable<request_flow::attempt_result>
request_flow::relay_events(const request_ptr& request, response_writer& writer,
                           internal::stream_outbox& outbox, attempt_state& state,
                           const chosen_endpoint& chosen, std::shared_ptr<channel> connection,
                           serving::attempt_outcome& outcome)
{
    state.events.discard_partial_event();
    const time_point started = boot_clock::now() - outcome.latency;
    silence_watch silence(*this, *request, state, chosen, writer, *connection);
    silence.start(stream_stall_timeout);
    while (true) {
        std::string bytes;
        const duration timeout = request->deadline - boot_clock::now() + 100ms;
        const auto more = co_await connection->read_body(bytes, timeout);
        if (!more) {
            co_return silence.describe(more.error());
        }
        state.events.add(bytes);
        std::string events = state.events.take_complete_events();
        std::string broken;
        if (!*more) {
            const bool has_events = state.has_content || !events.empty();
            broken = describe_early_end(*request, state.events, has_events, *connection);
        }
        bool last = !*more && broken.empty();
        if (last) {
            events += state.events.take_final_lines();
        }
        if (state.events.is_malformed()) {
            broken = "the stream contains bytes that are no event";
            last = false;
        } else if (state.events.pending_size() > max_event_size) {
            broken = "an event of the stream exceeds " + std::to_string(max_event_size) + " bytes";
        }
        if (!events.empty() || last) {
            silence.stop(); // restarted only by an event, not by every byte
            if (!state.has_content) {
                state.has_content = true;
                quarantine_.record_begun(request->message.quarantine_keys, boot_clock::now());
                outcome.latency = boot_clock::now() - started;
                coordinator_.release(state.stage_ticket); // the endpoint has fetched the results
                state.inputs_released = !request->matched->stages.empty();
                state.forget_failures();
            }
            request->phase = request_phase::stream;
            const std::uint64_t passed = state.events.taken();
            if (!co_await outbox.add(std::move(events), last)) {
                connection->close();
                co_return fail_unread(*request);
            }
            record_events(request->progress, passed, boot_clock::now());
            silence.start(stream_stall_timeout);
        }
        if (!broken.empty()) {
            connection->close();
            co_return attempt_failure{
                {verdict::may_have_run, reason::endpoint_failed, std::move(broken), {}}};
        }
        if (last) {
            outcome.whole = boot_clock::now() - started;
            co_return delivered{};
        }
    }
}

} // namespace quetzal::gateway
