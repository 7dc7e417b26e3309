// Tests the calls of stages against endpoints that send bytes without end, repeat responses, reset
// connections, send a status that is none, or announce that they want no further calls.

#include <thread>

#include <boost/asio/io_context.hpp>
#include <quetzal/gateway/stage_coordinator.hpp>
#include <quetzal/testing/endless_server.hpp>
#include <quetzal/testing/section.hpp>

#include "request_flow_fixture.hpp"
#include "test_names.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::gateway::testing::fake_endpoint;
using quetzal::gateway::testing::scripted_response;
using quetzal::gateway::testing::test_names;
using quetzal::testing::check;
using quetzal::testing::endless_bytes;
using quetzal::testing::endless_server;
using quetzal::testing::section;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds call_time{50};
constexpr milliseconds job_time{3000};
// A call is given up after three times its expected time and 300 ms, for its head and again for its
// body; then it is made once more.
constexpr milliseconds done_within{1800};

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string complete = head + "Content-Length: 2\r\n\r\nok";

// An instance that coordinates the stages alone, with two endpoints.
class coordinating_instance
{
public:
    explicit coordinating_instance(const std::vector<std::uint16_t>& ports)
        : members({}, self(), boot_clock::now() - std::chrono::seconds(10)),
          channels(context.get_executor()), peers(context, {"127.0.0.1", 0, 0, {}}, members),
          coordinator(context, view, channels, members, peers, test_names(), protocol(),
                      {0.2, 50, std::chrono::seconds(10)})
    {
        published_configuration configuration;
        configuration.version = 1;
        service_definition service;
        service.name = "s";
        service.max_connections = 50;
        service.stage.emplace();
        service.stage->call_time = call_time;
        service.stage->queue = 1;
        configuration.services.push_back(service);
        view.apply(configuration);
        for (const std::uint16_t port : ports) {
            endpoint value;
            value.id = "e" + std::to_string(port);
            value.service = "s";
            value.zone = "z";
            value.address = {boost::asio::ip::make_address("127.0.0.1"), port};
            view.put_endpoint(value);
        }
        coordinator.refresh();
    }

    static member_record self()
    {
        member_record record;
        record.address = "127.0.0.1";
        record.configuration = 1;
        return record;
    }

    static stage_protocol protocol()
    {
        stage_protocol made;
        made.run_target = "/run";
        made.release_target = "/release";
        made.encode_call = [](const std::vector<called_piece>&, time_point) { return "{}"; };
        made.decode_call = [](std::string_view body, std::size_t pieces) {
            std::optional<std::vector<piece_outcome>> outcomes;
            if (body.starts_with("ok")) {
                outcomes.emplace(pieces, piece_outcome{piece_status::done, std::string(body)});
            }
            return outcomes;
        };
        made.encode_release = [](const std::vector<std::string>&) { return "{}"; };
        made.endpoint_address_of = [](std::string_view) { return "127.0.0.1:1"; };
        return made;
    }

    boost::asio::io_context context{1};
    catalog view;
    member_table members;
    channel_pool channels;
    peer_link peers;
    stage_coordinator coordinator;
};

} // namespace

// Guards against a stage call whose endless response is read until the job is too late, and against
// one that is taken for a result.
Test(endless_stage, call_is_given_up_and_made_again, .timeout = 60)
{
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> variants{
        {"", "x"},
        {head, "A: b\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {head + "Content-Length: 999999\r\n\r\n", "x"},
        {chunked, "1\r\no\r\n"},
        {chunked + "2\r\nok\r\n0\r\n", "A: b\r\n"},
        {head + "\r\n", "ok"}};
    for (const auto& [prefix, unit] : variants) {
        for (const milliseconds pause : {milliseconds(0), milliseconds(20)}) {
            std::atomic<unsigned> calls{0};
            const auto respond = [&, &prefix = prefix, &unit = unit](const std::string&,
                                                                     std::size_t) {
                return calls++ == 0 ? endless_bytes{prefix, unit, pause}
                                    : endless_bytes{complete, {}, {}};
            };
            endless_server first(respond);
            endless_server second(respond);
            coordinating_instance instance({first.port(), second.port()});
            local_job job;
            job.content.request_id = "r";
            job.content.stages.push_back({"s", {}, 0, 1});
            const time_point started = boot_clock::now();
            job.latency_deadline = job.deadline = started + job_time;
            std::optional<job_outcome> outcome;
            duration took{};
            instance.coordinator.submit(std::move(job), [&](const job_outcome& ended) {
                outcome = ended;
                took = boot_clock::now() - started;
                instance.context.stop();
            });
            instance.context.run_for(job_time + milliseconds(500));
            std::fprintf(stderr, "| %s | %s | status %d | %lld ms | %u calls |\n",
                         (prefix + unit).c_str(), pause.count() == 0 ? "full speed" : "trickle",
                         outcome ? static_cast<int>(outcome->status) : -1,
                         static_cast<long long>(whole_milliseconds(took)), calls.load());
            check(outcome && outcome->status == job_status::done && took < done_within,
                  "a second call gives the result in time");
        }
    }
}

// Guards against a second copy of a response that arrives when the connection is in use again: the
// next call would get results that belong to another request, and so would all calls after it.
Test(endless_stage, second_copy_of_a_response_is_not_taken_for_the_next_one, .timeout = 60)
{
    const auto response = [](const std::string& body) {
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    std::atomic<unsigned> calls{0};
    endless_server server([&](const std::string&, std::size_t position) {
        const unsigned call = ++calls;
        std::string bytes = response("ok-" + std::to_string(call));
        if (position == 2) {
            bytes = response("ok-" + std::to_string(call - 1)) + bytes;
        }
        return endless_bytes{bytes, {}, {}};
    });
    coordinating_instance instance({server.port()});
    std::vector<std::string> results;
    for (int number = 1; number <= 3; ++number) {
        local_job job;
        job.content.request_id = "r" + std::to_string(number);
        job.content.stages.push_back({"s", {}, 0, 1});
        job.latency_deadline = job.deadline = boot_clock::now() + job_time;
        instance.coordinator.submit(std::move(job), [&](const job_outcome& ended) {
            check(ended.status == job_status::done, "the job is done");
            results.push_back(ended.results.front());
            instance.context.stop();
        });
        instance.context.restart();
        instance.context.run_for(job_time);
    }
    check(results.size() == 3, "every job ends");
    check(results[0] == "ok-1", "the first job gets its own result");
    // The second call on each connection gets the copy and is made again on another connection.
    check(results[1] == "ok-3", "the second one gets that of the call that was made again");
    check(results[2] == "ok-5", "the third one does, too");
}

// Guards against calls to a stage endpoint after it has announced that it leaves, or while it has
// asked for a pause.
Test(endless_stage, announcements_of_stage_endpoints, .timeout = 60)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
                                "Retry-After: 30\r\nContent-Length: 0\r\n\r\n";
    const std::string last = head + "Leaving: 1\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string& announcing : {refusal, last}) {
        std::atomic<unsigned> announced{0};
        std::atomic<unsigned> other{0};
        endless_server first([&](const std::string&, std::size_t) {
            ++announced;
            return endless_bytes{announcing, {}, {}};
        });
        endless_server second([&](const std::string&, std::size_t) {
            const std::string body = "ok-" + std::to_string(++other);
            return endless_bytes{head + "Content-Length: " + std::to_string(body.size()) +
                                     "\r\n\r\n" + body,
                                 {},
                                 {}};
        });
        coordinating_instance instance({first.port(), second.port()});
        unsigned done = 0;
        unsigned submitted = 0;
        while (submitted < 8) {
            local_job job;
            job.content.request_id = "r" + std::to_string(++submitted);
            job.content.stages.push_back({"s", {}, 0, 1});
            job.latency_deadline = job.deadline = boot_clock::now() + job_time;
            instance.coordinator.submit(std::move(job), [&](const job_outcome& ended) {
                done += ended.status == job_status::done ? 1 : 0;
                if (done == submitted) {
                    instance.context.stop();
                }
            });
            if (submitted > 1)
            { // the first two are submitted together, so that both endpoints get one
                instance.context.restart();
                instance.context.run_for(job_time);
            }
        }
        check(announced == 1, "it gets one call: " + announcing);
        check(done == 8, "all jobs are done: " + announcing);
    }
}

// Guards against a job that ends with no results, or with those of no call: the endpoint stopped
// within the head or the body of its response and closed the connection.
Test(endless_stage, response_that_ends_early, .timeout = 120)
{
    for (std::size_t size = 0; size < complete.size(); ++size) {
        boost::asio::io_context endpoint_context(1);
        fake_endpoint target(endpoint_context, {scripted_response{complete.substr(0, size), true},
                                                scripted_response{complete}});
        std::jthread runs([&](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                endpoint_context.run_for(milliseconds(10));
                endpoint_context.restart();
            }
        });
        coordinating_instance instance({target.address().port()});
        local_job job;
        job.content.request_id = "r";
        job.content.stages.push_back({"s", {}, 0, 1});
        job.latency_deadline = job.deadline = boot_clock::now() + job_time;
        std::optional<job_outcome> outcome;
        instance.coordinator.submit(std::move(job), [&](const job_outcome& ended) {
            outcome = ended;
            instance.context.stop();
        });
        instance.context.run_for(job_time);
        runs.request_stop();
        runs.join();
        check(outcome && outcome->status == job_status::done &&
                  outcome->results == std::vector<std::string>{"ok"} &&
                  target.requests().size() == 2,
              "after " + std::to_string(size) + " bytes the call is made again");
    }
}

// Guards against a job that ends with the bytes that follow a status that is none, or with a part
// of results whose endpoint reset the connection.
Test(endless_stage, response_that_is_none_is_not_taken, .timeout = 120)
{
    const std::string part = head + "\r\nok-part";
    const std::string hidden = head + "Content-Length: 9\r\n\r\nok-hidden";
    std::vector<endless_bytes> responses{{part, {}, {}, true}};
    for (const std::string status : {"000 Error", "099 Error", "101 Switching Protocols",
                                     "600 Error", "999 Error", "20 OK", "2000 OK"})
    {
        for (const std::string& body : {std::string("ok-odd"), hidden}) {
            const std::string bytes = "HTTP/1.1 " + status +
                                      "\r\nContent-Length: " + std::to_string(body.size()) +
                                      "\r\n\r\n" + body;
            responses.push_back({bytes, {}, {}});
        }
    }
    for (const endless_bytes& response : responses) {
        std::atomic<unsigned> calls{0};
        endless_server server([&](const std::string&, std::size_t) {
            return calls++ == 0 ? response : endless_bytes{complete, {}, {}};
        });
        coordinating_instance instance({server.port()});
        local_job job;
        job.content.request_id = "r";
        job.content.stages.push_back({"s", {}, 0, 1});
        job.latency_deadline = job.deadline = boot_clock::now() + job_time;
        std::optional<job_outcome> outcome;
        instance.coordinator.submit(std::move(job), [&](const job_outcome& ended) {
            outcome = ended;
            instance.context.stop();
        });
        instance.context.run_for(job_time);
        check(outcome && outcome->status == job_status::done &&
                  outcome->results == std::vector<std::string>{"ok"} && calls == 2,
              "the call is made again: " + response.prefix);
    }
}
