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
        endpoint value;
        value.id = "e";
        value.service = "s";
        view.put_endpoint(value);
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
    instance.coordinator.take("127.0.0.9", job_submission{7, job});
    check(instance.coordinator.unfinished_peer_jobs() == 1, "a job of a peer counts");
    instance.coordinator.take({}, job_submission{7, job});
    check(instance.coordinator.unfinished_peer_jobs() == 1, "a job of this instance does not");
    instance.coordinator.take("127.0.0.9", job_release{7});
    check(instance.coordinator.unfinished_peer_jobs() == 0, "a released job does not");
    job.stages.front().pieces = 0;
    instance.coordinator.take("127.0.0.9", job_submission{8, job});
    check(instance.coordinator.unfinished_peer_jobs() == 0, "a finished job does not");
}
