#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <quetzal/gateway/stage_coordinator.hpp>
#include <quetzal/testing/section.hpp>

#include "test_names.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::gateway::testing::test_names;
using quetzal::testing::check;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t own_process = 2;
const std::string peer_address = "127.0.0.9";
constexpr std::uint16_t peer_port = 19890; // used by no other test

// An instance that has just started and knows no peers yet, with one stage endpoint.
class started_instance
{
public:
    explicit started_instance(std::uint16_t peer_port = 0)
        : members({}, self(), boot_clock::now()), channels(context.get_executor()),
          peers(context, {"127.0.0.1", 0, peer_port, {}}, members),
          coordinator(context, view, channels, members, peers, test_names(), {}, {})
    {
        peers.on_message([](const std::string&, const peer_message&) {});
        peers.on_loss([this](const std::string& address, std::uint64_t process) {
            coordinator.peer_lost(address, process);
        });
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
            done += outcome.status == job_status::done ? 1 : 0;
        });
    }

    // Receives a heartbeat of the peer, which is the coordinator if it is settled.
    void hear_peer(std::uint64_t incarnation, std::uint64_t process, bool settled)
    {
        heartbeat message;
        member_record& peer = message.sender.record;
        peer.address = peer_address;
        peer.incarnation = incarnation;
        peer.process = process;
        peer.settled = settled;
        peer.configuration = settled ? 1 : 0;
        peer.capacity_score = 1000;
        members.merge_heartbeat(message, boot_clock::now());
    }

    static member_record self()
    {
        member_record record;
        record.address = "127.0.0.1";
        record.configuration = 1;
        record.process = own_process;
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
    std::size_t done = 0;
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
    instance.coordinator.take("127.0.0.9", job_submission{{5, 7, 1}, whole_fleet, job});
    check(instance.coordinator.unfinished_peer_jobs() == 1, "a job of a peer counts");
    instance.coordinator.take({}, job_submission{{5, 7, 1}, whole_fleet, job});
    check(instance.coordinator.unfinished_peer_jobs() == 1, "a job of this instance does not");
    instance.coordinator.take("127.0.0.9", job_release{{5, 7, 1}});
    check(instance.coordinator.unfinished_peer_jobs() == 0, "a released job does not");
    job.stages.front().pieces = 0;
    instance.coordinator.take("127.0.0.9", job_submission{{5, 8, 1}, whole_fleet, job});
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

// Guards against results of another request: a restarted instance counts its jobs from 1 again, and
// took the answers to the jobs of its former process for answers to its own.
Test(stage_coordinator, answer_to_another_submission_is_not_taken)
{
    started_instance instance(peer_port);
    instance.context.run_for(milliseconds(500)); // until it takes its peers for known
    instance.hear_peer(10000, 5, true);
    instance.submit_job("", milliseconds(5000));
    job_outcome outcome;
    outcome.status = job_status::done;
    const auto answer = [&](std::uint64_t process, std::uint64_t ticket, std::uint32_t attempt) {
        instance.coordinator.take(peer_address, job_answer{{process, ticket, attempt}, outcome});
    };
    answer(own_process - 1, 1, 1);
    check(instance.done == 0, "an answer to a job of the former process is not taken");
    answer(own_process, 1, 2);
    check(instance.done == 0, "an answer to another submission of the job is not taken");
    answer(own_process, 1, 1);
    check(instance.done == 1, "the answer to this submission is taken");
    answer(own_process, 1, 1);
    check(instance.done == 1, "a second copy of the answer is not taken");
}

// Guards against requests that wait until their deadline: when a coordinator noticed that the
// former process of an instance had ended, it dropped the jobs of the restarted one.
Test(stage_coordinator, end_of_a_former_process_leaves_the_jobs_of_the_next_one)
{
    started_instance instance;
    stage_job job;
    job.stages.push_back({"s", {}, 0, 1});
    job.latency_budget_ms = job.remaining_ms = 5000;
    instance.coordinator.take(peer_address, job_submission{{5, 1, 1}, whole_fleet, job});
    instance.coordinator.take(peer_address, job_submission{{6, 1, 1}, whole_fleet, job});
    check(instance.coordinator.unfinished_peer_jobs() == 2, "both processes have a job");
    instance.coordinator.peer_lost(peer_address, 5);
    check(instance.coordinator.unfinished_peer_jobs() == 1, "the job of the former one is dropped");
    instance.coordinator.take(peer_address, job_release{{5, 1, 1}});
    check(instance.coordinator.unfinished_peer_jobs() == 1, "a late release changes nothing");
    instance.coordinator.take(peer_address, job_release{{6, 1, 1}});
    check(instance.coordinator.unfinished_peer_jobs() == 0, "the other job is that of the process");
}

// Guards against requests that wait until their deadline for a coordinator that has lost power and
// started again: its new process is alive, and knows nothing of the jobs of the former one.
Test(stage_coordinator, jobs_of_a_restarted_coordinator_are_sent_again)
{
    started_instance instance(peer_port);
    boost::asio::ip::tcp::acceptor peer(instance.context,
                                        {boost::asio::ip::make_address(peer_address), peer_port});
    instance.context.run_for(milliseconds(500)); // until it takes its peers for known
    instance.hear_peer(10000, 5, true);
    instance.submit_job("", milliseconds(5000));
    instance.context.run_for(milliseconds(150));
    check(instance.coordinator.open_jobs() == 0, "the job is at the peer");
    instance.hear_peer(20000, 6, false);
    instance.context.run_for(milliseconds(150));
    check(instance.coordinator.open_jobs() == 1, "the job is sent to the next coordinator");
}
