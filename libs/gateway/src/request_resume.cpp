// Limits of streams that have started and are resumed at another endpoint. The rest of the
// processing is in request_flow.cpp.

#include <algorithm>

#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/request_flow.hpp>

namespace quetzal::gateway {

namespace asio = boost::asio;

namespace {

// A call of a stage is expected to wait for another one at its endpoint.
constexpr int calls_for_each_stage = 2;
constexpr duration stage_retry_interval = std::chrono::milliseconds(200);
constexpr duration poll_interval = std::chrono::milliseconds(15); // of the retry budget
// Expected duration of an attempt until the first event, besides its stages.
constexpr duration min_resume_time = std::chrono::milliseconds(20);

} // namespace

time_point request_flow::latest_end(const running_request& request) const
{
    return drain_.window() ? std::min(request.deadline, drain_.window()->responses_end)
                           : request.deadline;
}

asio::awaitable<result<std::vector<std::string>>>
request_flow::obtain_inputs(const request_ptr& request, const response_writer& writer,
                            std::uint64_t& ticket)
{
    while (true) {
        auto inputs = co_await run_stages(request, writer, ticket);
        if (inputs || !writer.has_started_stream() || request->abort_reason() ||
            inputs.error().why == reason::invalid_request ||
            boot_clock::now() + stage_retry_interval >= latest_end(*request))
        {
            co_return inputs;
        }
        log_event("stages_repeated",
                  {{"request", request->message.id}, {"detail", inputs.error().detail}});
        coordinator_.release(ticket);
        co_await pause(stage_retry_interval);
    }
}

asio::awaitable<bool> request_flow::await_retry(const request_ptr& request, attempt_state& state,
                                                const attempt_failure& failed,
                                                const response_writer& writer)
{
    while (true) {
        const time_point now = boot_clock::now();
        const bool started_stream = writer.has_started_stream();
        if (!may_repeat(*request, state, failed, started_stream, now)) {
            co_return false;
        }
        if (take_retry(*request, state, now)) {
            co_return true;
        }
        if (!started_stream || now >= latest_end(*request) || request->abort_reason()) {
            co_return false;
        }
        co_await pause(poll_interval);
    }
}

std::optional<duration> request_flow::expected_stage_time(const running_request& request) const
{
    const auto& stages = request.matched->stages;
    const auto counts = parse_piece_counts(request.message.piece_counts);
    std::vector<duration> finished(stages.size());
    duration last{};
    for (std::size_t index = 0; index < stages.size(); ++index) {
        const stage_definition& stage = stages[index];
        for (const std::size_t earlier : stage.after) {
            if (earlier < index) {
                finished[index] = std::max(finished[index], finished[earlier]);
            }
        }
        if (!counts || index >= counts->size() || (*counts)[index] == 0) {
            continue;
        }
        const service_definition* service = view_.find_service(stage.service);
        if (service == nullptr || !service->stage ||
            !pools_.has_usable_endpoint(view_, stage.service)) {
            return std::nullopt;
        }
        const stage_capacity& capacity = *service->stage;
        finished[index] +=
            (capacity.call_time + capacity.piece_time * capacity.batch) * calls_for_each_stage;
        last = std::max(last, finished[index]);
    }
    return last;
}

bool request_flow::can_resume_in_time(const running_request& request, const attempt_state& state,
                                      time_point now) const
{
    duration needed = min_resume_time;
    if (state.inputs_released) {
        const auto stage_time = expected_stage_time(request);
        if (!stage_time) {
            return false;
        }
        needed += *stage_time;
    }
    if (drain_.window()) {
        needed += drain_.slowest_recent(request.matched->name)
                      .value_or(now - request.sent.value_or(request.message.received));
    }
    return now + needed < latest_end(request);
}

} // namespace quetzal::gateway
