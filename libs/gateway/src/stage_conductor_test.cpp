#include <boost/asio/io_context.hpp>
#include <quetzal/gateway/stage_conductor.hpp>
#include <quetzal/testing/section.hpp>

#include "test_names.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::gateway::testing::test_names;
using quetzal::testing::check;
using std::chrono::milliseconds;

namespace {

// An instance that has just started and knows no peer yet, with one endpoint for a stage.
class started_instance
{
public:
    started_instance()
        : members({}, self(), boot_clock::now()), channels(context.get_executor()),
          peers(context, {"127.0.0.1", 0, 0, {}}, members),
          conductor(context, view, channels, members, peers, test_names(), {}, {})
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

    // Submits a job that is expected to take longer than it may.
    void submit_hopeless()
    {
        own_job job;
        job.content.stages.push_back({"s", {}, 0, 1});
        job.useful_until = job.deadline = boot_clock::now() + milliseconds(100);
        conductor.submit(std::move(job), [this](const job_outcome& outcome) {
            refused += outcome.fate == job_fate::refused ? 1 : 0;
        });
    }

    boost::asio::io_context context{1};
    catalog view;
    member_table members;
    channel_pool channels;
    peer_link peers;
    stage_conductor conductor;
    std::size_t refused = 0;
};

} // namespace

// Guards against a crash after a start: jobs that waited for the news of peers and are refused when
// they are sent end while the others are still being sent.
Test(stage_conductor, jobs_that_wait_for_the_peers)
{
    started_instance instance;
    for (int job = 0; job < 50; ++job) {
        instance.submit_hopeless();
    }
    check(instance.refused == 0, "they wait");
    instance.context.run_for(milliseconds(1200));
    check(instance.refused == 50, "each is refused once the instance knows that it is alone");
}
