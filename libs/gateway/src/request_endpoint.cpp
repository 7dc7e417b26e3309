// Chooses the endpoint of an attempt, keeps requests away whose content crashes endpoints, and
// examines endpoints that were lost. The rest of the processing is in request_flow.cpp.

#include <algorithm>
#include <utility>

#include <quetzal/base/hash.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/request_flow.hpp>

namespace quetzal::gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr duration poll_interval = 15ms; // while no endpoint has free capacity
constexpr std::chrono::milliseconds no_endpoint_retry_after{500};
// For a connection that shows whether an endpoint has crashed.
constexpr duration crash_check_timeout = 200ms;

} // namespace

asio::awaitable<result<chosen_endpoint>>
request_flow::choose_endpoint(const request_ptr& request, const response_writer& writer,
                              const attempt_state& state)
{
    const std::string service = select_service(*request);
    request->phase = request_phase::endpoint;
    endpoint_requirements requirements{request->message.prefixes, state.tried_endpoints};
    const bool started_stream = writer.has_started_stream();
    const time_point wait_until = started_stream
                                      ? latest_end(*request)
                                      : std::min(request->target_deadline, request->deadline);
    while (true) {
        const time_point now = boot_clock::now();
        if (started_stream && !pools_.has_usable_endpoint(view_, service, requirements.avoid)) {
            requirements.avoid.clear(); // an endpoint that failed before is better than none
        }
        auto chosen = pools_.start_request(view_, service, requirements, members_, now);
        if (chosen) {
            co_return std::move(*chosen);
        }
        if (request->abort_reason()) {
            failure why = *request->abort_reason();
            why.run = verdict::not_run;
            co_return tl::unexpected(why);
        }
        if (!pools_.has_usable_endpoint(view_, service)) {
            const auto pause_end = view_.next_pause_end(service);
            if (!pause_end && !started_stream) {
                co_return not_run(reason::no_endpoint, "no endpoint accepts work",
                                  no_endpoint_retry_after);
            }
            if (pause_end && *pause_end > wait_until) {
                co_return not_run(reason::overloaded, "all endpoints have asked for a pause",
                                  std::chrono::ceil<std::chrono::milliseconds>(*pause_end - now));
            }
        }
        if (now >= wait_until || state.last_response) {
            co_return not_run(reason::overloaded, "all endpoints are full");
        }
        request->waits_for_place = true;
        co_await pause(poll_interval);
        request->waits_for_place = false;
    }
}

std::optional<failure> request_flow::quarantine_refusal(const running_request& request,
                                                        bool sending)
{
    const auto& parts = request.message.quarantine_keys;
    const time_point now = boot_clock::now();
    const auto rank = [&](std::uint64_t part) {
        return members_.rank_for(std::to_string(part), now);
    };
    const auto decision = quarantine_.check(parts, rank, now);
    if (const auto* found = std::get_if<part_quarantine::quarantined>(&decision)) {
        const auto position = std::find(parts.begin(), parts.end(), found->part) - parts.begin();
        const std::string blamed = found->part == parts.back()
                                       ? "this prompt as a whole, with the parts "
                                       : "part " + std::to_string(position + 1) + " of the parts ";
        return failure{verdict::not_run, reason::quarantined,
                       "endpoints crashed under " + blamed + request.message.shared_part_ids,
                       std::chrono::ceil<std::chrono::milliseconds>(found->left)};
    }
    if (const auto* tested = std::get_if<part_quarantine::retest>(&decision); tested && sending) {
        log_event("part_tested", {{"request", request.message.id}, {"part_hash", tested->part}});
        quarantine_.start_retest(tested->part, now);
    }
    return std::nullopt;
}

asio::awaitable<void> request_flow::examine_loss(const running_request& request,
                                                 const chosen_endpoint& chosen)
{
    const auto& parts = request.message.quarantine_keys;
    if (parts.empty()) {
        co_return;
    }
    // An endpoint that still accepts connections has not crashed.
    const auto probe = std::make_shared<channel>(context_.get_executor());
    const auto opened = co_await probe->open(chosen.target.address, crash_check_timeout);
    const bool crashed = !opened && probe->was_lost();
    probe->close();
    if (!crashed) {
        co_return;
    }
    const time_point now = boot_clock::now();
    pools_.mark_unreachable(chosen, now);
    const std::uint64_t incarnation =
        combine_hash(stable_hash(chosen.target.id), chosen.target.started);
    const auto added = quarantine_.record_crash(parts, incarnation, chosen.started, now);
    log_event("endpoint_crashed", {{"request", request.message.id},
                                   {"endpoint", chosen.target.id},
                                   {"parts", request.message.shared_part_ids},
                                   {"suspects", quarantine_.suspects()}});
    for (const std::uint64_t part : added) {
        log_event("part_quarantined", {{"part_hash", part}, {"request", request.message.id}});
    }
    handle_evidence_();
}

} // namespace quetzal::gateway
