// Builds the head of a request to an endpoint. The rest of the processing is in request_flow.cpp.

#include <algorithm>

#include <quetzal/gateway/request_flow.hpp>

#include "request_priority.hpp"

namespace quetzal::gateway {

std::string request_flow::request_head(const running_request& request, const attempt_state& state,
                                       const chosen_endpoint& chosen, time_point now) const
{
    const auto& message = request.message;
    std::string head = message.method + " " + message.target + " HTTP/1.1\r\n";
    head += message.forwarded_headers;
    const auto add = [&](const std::string& name, const std::string& value) {
        head += name + ": " + value + "\r\n";
    };
    add(names_.deadline,
        std::to_string(std::max<std::int64_t>(whole_milliseconds(request.deadline - now), 1)));
    add(names_.expected_endpoint, chosen.target.id);
    if (!request.caller.customer.empty()) {
        add(names_.customer, request.caller.customer);
    }
    const auto& last_id = state.events.last_id();
    if (last_id || !message.last_event_id.empty()) {
        add(names_.last_event_id, last_id.value_or(message.last_event_id));
    }
    if (!request.matched->stages.empty()) {
        std::string inputs;
        for (const auto& handle : state.inputs) {
            inputs += inputs.empty() ? handle : "," + handle;
        }
        add(names_.inputs, inputs);
    }
    if (request.matched->kind == route_kind::stream) {
        add(names_.priority, std::to_string(internal::endpoint_priority(request.priority)));
    }
    if (!message.body.empty() || (message.method != "GET" && message.method != "HEAD")) {
        add("Content-Length", std::to_string(message.body.size()));
    }
    return head + "\r\n";
}

} // namespace quetzal::gateway
