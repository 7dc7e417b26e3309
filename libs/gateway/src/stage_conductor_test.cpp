#include <boost/asio/io_context.hpp>
#include <quetzal/gateway/stage_coordinator.hpp>
#include <quetzal/testing/section.hpp>

#include "test_names.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::gateway::testing::test_names;
using quetzal::testing::check;
using std::chrono::milliseconds;

namespace {

// An instance that has just started and knows no peers yet, with one stage endpoint.
class started_instance
{
public:
    started_instance()
        : members({}, self(), boot_clock::now()), channels(context.get_executor()),
          peers(context, {"127.0.0.1", 0, 0, {}}, members),
          coordinator(context, view, channels, members, peers, test_names(), {}, {})
    {
        published_configuration configuration;
        configuration.version = 1;
        service_definition service;
        service.name = "s";
        service.stage.emplace();
        service.stage->call_time = milliseconds(200);
        configuration.services.push_back(service);
        view.apply(configuration);
        add_endpoints(1, "");
    }

    void add_endpoints(std::size_t count, const std::string& zone)
    {
        for (std::size_t index = 0; index < count; ++index) {
            endpoint value;
            value.id = "e" + zone + std::to_string(index);
            value.service = "s";
            value.zone = zone;
            view.put_endpoint(value);
        }
    }

    // Submits a job of one piece whose results are needed in the zone within `time`.
    void submit_job(const std::string& zone, milliseconds time)
    {
        local_job job;
        job.content.request_id = "r" + std::to_string(++submitted);
        job.content.zone = zone;
        job.content.stages.push_back({"s", {}, 0, 1});
        job.latency_deadline = job.deadline = boot_clock::now() + time;
        coordinator.submit(std::move(job), [this](const job_outcome& outcome) {
            refused += outcome.status == job_status::refused ? 1 : 0;
        });
    }

    static member_record self()
    {
        member_record record;
        record.address = "127.0.0.1";
        record.configuration = 1;
        return record;
    }

    // Submits a job whose expected time is longer than its deadline allows.
    void submit_late_job()
    {
        local_job job;
        job.content.stages.push_back({"s", {}, 0, 1});
        job.latency_deadline = job.deadline = boot_clock::now() + milliseconds(100);
        coordinator.submit(std::move(job), [this](const job_outcome& outcome) {
            refused += outcome.status == job_status::refused ? 1 : 0;
        });
    }

    boost::asio::io_context context{1};
    catalog view;
    member_table members;
    channel_pool channels;
    peer_link peers;
    stage_coordinator coordinator;
    std::size_t submitted = 0;
    std::size_t refused = 0;
};

} // namespace

// Guards against a crash after a start: jobs that waited until the peers were known are sent in a
// loop, and a job that is refused at once is removed while the others are still being sent.
Test(stage_coordinator, jobs_wait_until_peers_are_known)
{
    started_instance instance;
    for (int job = 0; job < 50; ++job) {
        instance.submit_late_job();
    }
    check(instance.refused == 0, "no job is refused before the instance has joined");
    instance.context.run_for(milliseconds(1200));
    check(instance.refused == 50,
          "each job is refused once the instance has joined as the only one");
}

// Guards against a stopping instance that exits while it runs the stages of requests that other
// instances have accepted, which then have to start anew elsewhere.
Test(stage_coordinator, unfinished_jobs_of_peers_are_counted)
{
    started_instance instance;
    stage_job job;
    job.stages.push_back({"s", {}, 0, 1});
    job.latency_budget_ms = job.remaining_ms = 5000;
    instance.coordinator.take("127.0.0.9", job_submission{7, whole_fleet, job});
    check(instance.coordinator.unfinished_peer_jobs() == 1, "a job of a peer counts");
    instance.coordinator.take({}, job_submission{7, whole_fleet, job});
    check(instance.coordinator.unfinished_peer_jobs() == 1, "a job of this instance does not");
    instance.coordinator.take("127.0.0.9", job_release{7});
    check(instance.coordinator.unfinished_peer_jobs() == 0, "a released job does not");
    job.stages.front().pieces = 0;
    instance.coordinator.take("127.0.0.9", job_submission{8, whole_fleet, job});
    check(instance.coordinator.unfinished_peer_jobs() == 0, "a finished job does not");
}

// Guards against requests that are refused because the endpoints of one availability zone have too
// much work, while those of another zone are idle.
Test(stage_coordinator, job_that_one_zone_refuses_is_offered_to_another_one)
{
    constexpr std::size_t endpoints_in_zone = 40;
    started_instance instance;
    instance.view.remove_endpoint("e0");
    instance.add_endpoints(endpoints_in_zone, "a");
    instance.add_endpoints(endpoints_in_zone, "b");
    instance.context.run_for(milliseconds(1200)); // until it has joined as the only instance
    // A call takes 200 ms: the endpoints of one zone can run 51 jobs in time, those of two zones
    // 102.
    for (std::size_t job = 0; job < 2 * endpoints_in_zone; ++job) {
        instance.submit_job("a", milliseconds(450));
    }
    check(instance.refused == 0, "the second zone takes what the first one cannot run in time");
    for (std::size_t job = 0; job < 2 * endpoints_in_zone; ++job) {
        instance.submit_job("a", milliseconds(450));
    }
    check(instance.refused > endpoints_in_zone, "jobs that no zone can run in time are refused");
}
