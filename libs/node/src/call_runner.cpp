// The part of the request engine that runs calls to endpoints: final checks, sending the request
// and reading the response.

#include <algorithm>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <quetzal/node/log.hpp>
#include <quetzal/node/request_engine.hpp>

namespace quetzal::node {

namespace asio = boost::asio;

namespace {

constexpr duration min_timeout = std::chrono::milliseconds(1);
constexpr duration answer_space_check_interval = std::chrono::milliseconds(100);

duration remaining_time(time_point until)
{
    return std::max<duration>(until - boot_clock::now(), min_timeout);
}

// Returns the body of a stage call: the caller's request as a string and the results of earlier
// stages, each as an array of the JSON values of its frames.
std::string call_body(const running_request& request, std::size_t stage)
{
    std::string body =
        "{\"request\":" + boost::json::serialize(boost::json::value(request.request.body)) +
        ",\"results\":{";
    bool first = true;
    for (const auto& result : request.run.inputs(stage)) {
        body += std::exchange(first, false) ? "" : ",";
        body += boost::json::serialize(
            boost::json::value(request.pipeline->stages[result.stage].id.name));
        body += ":[";
        for (std::size_t index = 0; index < result.frames.size(); ++index) {
            body += index == 0 ? "" : ",";
            body += result.frames[index].view();
        }
        body += "]";
    }
    return body + "}}";
}

std::optional<std::chrono::milliseconds> retry_after(const net::response_head& head)
{
    const auto seconds = head.headers.find("Retry-After");
    if (!seconds) {
        return std::nullopt;
    }
    return std::chrono::seconds(std::strtoul(std::string(*seconds).c_str(), nullptr, 10));
}

} // namespace

net::http_request request_engine::make_call_request(const running_request& request,
                                                    const stage_call& call) const
{
    net::http_request message;
    message.method = "POST";
    message.path = "/v1/run";
    message.headers.add("Content-Type", "application/json");
    message.headers.add("Quetzal-Call-Id", to_string(call.id));
    message.headers.add("Quetzal-Priority", std::to_string(call.priority));
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining_time(call.give_up));
    message.headers.add("Quetzal-Deadline", std::to_string(left.count()) + "ms");
    message.body = call_body(request, call.id.stage);
    return message;
}

std::optional<requests::check_failed> request_engine::final_check(const running_request& request,
                                                                  const stage_call& call,
                                                                  time_point now) const
{
    const auto [config, list] = state_.current();
    const auto* endpoint = list ? list->find(call.endpoint) : nullptr;
    const auto& from = request.request;
    if (!control_.fresh(now)) {
        return requests::check_failed{reason::stale_view,
                                      "this instance has lost contact to its peers"};
    }
    if (!config || !is_valid({from.customer, from.key, from.open, from.work_class.id, {}}, *config))
    {
        return requests::check_failed{reason::unauthorized, "the key is not valid any more"};
    }
    if (endpoint == nullptr || endpoint->state != config::listed_state::live ||
        !config->accepts_work(endpoint->zone))
    {
        return requests::check_failed{reason::no_endpoint,
                                      "the endpoint may not receive new work any more"};
    }
    if (call.start_by ? now >= *call.start_by : call.cold && !control_.holds(call.endpoint, now)) {
        return requests::check_failed{reason::no_endpoint,
                                      "the exclusive right to the endpoint has ended"};
    }
    if (now >= call.give_up) {
        return requests::check_failed{reason::deadline_passed, "the time of the call has passed"};
    }
    return std::nullopt;
}

asio::awaitable<void> request_engine::run_call(request_ptr request, call_ptr call)
{
    auto self = shared_from_this();
    const asio::any_io_executor executor = strand_of(call->id.request);
    auto connection = co_await links_.acquire(executor, call->endpoint, call->process);
    if (call->released) {
        co_return;
    }
    if (!connection) {
        handle_event(request, call, requests::connection_refused{});
        report_result(request, *call, false);
        co_return;
    }
    call->connection = std::move(*connection);
    handle_event(request, call, requests::connected{});
    if (!call->checks_due || call->released) {
        co_return;
    }
    auto message = make_call_request(*request, *call);
    if (const auto failed = final_check(*request, *call, boot_clock::now())) {
        handle_event(request, call, *failed);
        report_result(request, *call, false);
        co_return;
    }
    call->send_started = true;
    handle_event(request, call, requests::checks_passed{});
    if (!call->send_offset || call->released) {
        co_return;
    }
    if (*call->send_offset > 0) {
        message.headers.add("Quetzal-Offset", std::to_string(*call->send_offset));
    }
    const auto sent = co_await call->connection->send(message, remaining_time(call->give_up));
    if (!sent) {
        handle_event(request, call, requests::response_ended{});
        co_return;
    }
    co_await read_answer(request, call);
}

asio::awaitable<void> request_engine::wait_for_answer_space(request_ptr request, call_ptr call)
{
    const bool last = call->id.stage + 1 == request->pipeline->stages.size();
    while (last && !call->released && !request->answer->accepts(requests::max_read_ahead)) {
        co_await request->producer->wait(answer_space_check_interval);
    }
}

void request_engine::record_frame(const request_ptr& request, const stage_call& call)
{
    const auto now = boot_clock::now();
    dispatcher_.command([&](serving::dispatcher& dispatcher) {
        return dispatcher.chunk_received(call_key_of(call.id.request, call.id.stage), call.attempt,
                                         now);
    });
    if (call.id.stage + 1 != request->pipeline->stages.size()) {
        return;
    }
    if (!request->first_token) {
        request->first_token = now - request->request.arrived;
    } else {
        request->longest_gap =
            std::max(request->longest_gap.value_or(duration{}), now - request->last_frame);
    }
    request->last_frame = now;
}

asio::awaitable<void> request_engine::read_answer(request_ptr request, call_ptr call)
{
    auto head = co_await call->connection->read_head(remaining_time(call->give_up));
    if (call->released) {
        co_return;
    }
    if (!head) {
        handle_event(request, call, requests::response_ended{});
        co_return;
    }
    if (head->status != 200) {
        const auto said = head->headers.find("Quetzal-Verdict");
        call->refused = said && *said == "not-run";
        if (call->refused) {
            handle_event(request, call, requests::endpoint_refused{retry_after(*head)});
        } else {
            handle_event(request, call, requests::endpoint_error{static_cast<int>(head->status)});
        }
        co_return;
    }
    requests::frame_parser parser;
    std::vector<requests::frame> frames;
    while (true) {
        co_await wait_for_answer_space(request, call);
        if (call->released && !call->reusable) {
            co_return;
        }
        auto piece = co_await call->connection->read_some(remaining_time(call->give_up));
        if (!piece || !piece->has_value()) {
            if (!call->released) {
                handle_event(request, call, requests::response_ended{});
            } else if (piece && call->reusable) {
                links_.release(strand_of(call->id.request), call->endpoint, call->process,
                               std::move(call->connection));
            }
            co_return;
        }
        frames.clear();
        parser.feed(**piece, frames);
        bool delivered = false;
        for (const auto& frame : frames) {
            delivered = delivered || std::holds_alternative<requests::data_frame>(frame);
            std::visit([&](const auto& one) { handle_event(request, call, one); }, frame);
        }
        if (delivered && !call->reported) {
            record_frame(request, *call);
        }
    }
}

} // namespace quetzal::node
