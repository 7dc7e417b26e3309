// Tests what is recorded of a request for the log while it is served.

#include "request_flow_fixture.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against a log that names a wrong endpoint, number of events or cause of a stream's end.
Test(request_progress, is_recorded)
{
    const std::string two = stream_response_head("1") + chunk(event(0)) + chunk(event(1));
    section("given a complete stream", [&] {
        gateway_fixture gateway(route_kind::stream, false, {{{two + "0\r\n\r\n"}}});
        check(gateway.serve("1").complete_, "the caller has it");
        const request_progress& progress = gateway.request->progress;
        check(progress.events == 2, "both events count: " + std::to_string(progress.events));
        check(progress.first_event && progress.last_event, "with their times");
        check(progress.endpoint == "e1", "the endpoint is known: " + progress.endpoint);
        check(!progress.ended_by_instance, "the instance has not ended it");
    });
    section("given a stream that its endpoint breaks off", [&] {
        gateway_fixture gateway(route_kind::stream, false, {{{two, true}}});
        check(!gateway.serve("1").complete_, "the caller has a part");
        const request_progress& progress = gateway.request->progress;
        check(progress.events == 2, "its events count: " + std::to_string(progress.events));
        check(progress.ended_by_instance.has_value(), "the instance has ended it");
    });
    section("given a stream that another endpoint resumes", [&] {
        const scripted_response rest{stream_response_head("1") + chunk(event(2)) + "0\r\n\r\n"};
        gateway_fixture gateway(route_kind::stream, true, {{{two, true}}, {rest}});
        gateway.endpoints[1]->share_script(*gateway.endpoints[0]);
        gateway.endpoints[0]->append(rest);
        check(gateway.serve("1").complete_, "the caller has it");
        const request_progress& progress = gateway.request->progress;
        check(progress.events == 3, "all events count: " + std::to_string(progress.events));
    });
    section("given a response that is no stream", [] {
        gateway_fixture gateway(route_kind::idempotent, false, {{{response_with("1", "x")}}});
        gateway.serve("1");
        const request_progress& progress = gateway.request->progress;
        check(progress.events == 0 && !progress.first_event, "it has no events");
        check(progress.endpoint == "e1", "its endpoint is known");
    });
    section("given a request that is refused", [] {
        gateway_fixture gateway(route_kind::idempotent, false, {{{response_with("1", "x")}}});
        check(gateway.serve("1", "wrong").status_ == 401, "its key is wrong");
        const request_progress& progress = gateway.request->progress;
        check(progress.ended_by_instance == reason::unauthorized, "the reason is recorded");
        check(progress.endpoint.empty(), "no endpoint was sent it");
    });
}
