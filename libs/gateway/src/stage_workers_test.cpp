#include <quetzal/gateway/stage_workers.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against stage calls to an endpoint that says that work takes long there now while another
// one is free, and against avoiding it for good.
Test(stage_workers, endpoint_of_the_usual_pace_goes_first)
{
    constexpr time_point start{seconds(100)};
    catalog view;
    published_configuration configuration;
    configuration.version = 1;
    service_definition service;
    service.name = "s";
    service.stage = stage_capacity{};
    configuration.services.push_back(service);
    view.apply(configuration);
    std::vector<endpoint> listed;
    for (const char* id : {"slow", "usual"}) {
        endpoint value;
        value.id = id;
        value.service = "s";
        view.put_endpoint(value);
        listed.push_back(value);
    }
    stage_workers workers(view);
    const stage_capacity& capacity = *service.stage;
    const auto chosen = [&](time_point now) {
        return workers.choose_idle("s", capacity, now, {})->id;
    };
    chosen(start);
    workers.add_result(listed[1], "h", 1000, start + seconds(100));
    check(chosen(start) == "slow", "without reports, the endpoint that holds less goes first");
    for (int report = 0; report < 20; ++report) {
        workers.record_pace(listed[0], 1, start);
        workers.record_pace(listed[1], 1, start);
    }
    check(chosen(start) == "slow", "nor with reports of the same pace");
    workers.record_pace(listed[0], 3, start);
    check(chosen(start) == "usual", "the endpoint of the usual pace goes first");
    section("when the report is old, the endpoints count alike again", [&] {
        check(chosen(start + seconds(2)) == "slow", "the one that holds less goes first");
    });
}
