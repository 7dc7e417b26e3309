// Shows that a restarted instance takes the answer to a request of its former process for the
// answer to one of its own. A coordinator of stages is frozen while it runs the pieces of requests
// of another instance; that instance is killed, started again and sent further requests; then the
// coordinator wakes. Usage: foreign_inputs QUETZALLEVER RECORD

#include <map>
#include <optional>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <quetzal/net/http_client.hpp>

#include "../../platform/soak/fleet.hpp"
#include "../../platform/soak/work_folder.hpp"
#include "../support/case_log.hpp"
#include "../support/end_of_run.hpp"

namespace {

using namespace quetzal;
using namespace quetzal::soak;
using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr std::size_t instances = 10;
constexpr std::uint32_t pieces = 2;
constexpr std::size_t requests_at_once = 6;
constexpr duration call_time = 400ms;
constexpr std::chrono::milliseconds client_limit = 6000ms;
constexpr duration ready_timeout = 10s;
constexpr duration freeze_after = 150ms; // after the first requests, while their pieces are run
constexpr duration kill_after = 900ms;   // after the freeze, when the endpoints have answered
constexpr duration waking_after = 150ms; // after the second requests
constexpr duration finish_after = 9s;    // longer than the time limit of every request

struct scenario
{
    asio::io_context& context;
    history& observed;
    fleet& installation;
    review::case_log& log;
    bool could_run = false;

    asio::awaitable<std::optional<double>> open_jobs(std::size_t index)
    {
        const auto& options = installation.instance(index).options();
        auto connection = co_await net::http_connection::connect(
            context.get_executor(), options.address, metrics_port, 300ms);
        if (!connection) {
            co_return std::nullopt;
        }
        net::http_request request;
        request.method = "GET";
        request.path = "/metrics";
        request.headers.add("Host", options.address);
        auto answer = co_await (*connection)->exchange(request, 300ms, 1u << 20);
        if (!answer) {
            co_return std::nullopt;
        }
        const std::string name = "\nquetzal_stage_jobs_open ";
        const auto found = answer->body.find(name);
        if (found == std::string::npos) {
            co_return std::nullopt;
        }
        co_return std::stod(answer->body.substr(found + name.size()));
    }

    asio::awaitable<void> send_one(std::size_t index)
    {
        client_connection connection(context, observed, installation.instance(index).process());
        const bool open = co_await connection.open(installation.callers_address(index));
        if (!open) {
            log.line("cannot connect to instance " + std::to_string(index));
            co_return;
        }
        client_request request;
        request.requested.route = route_class::staged;
        request.requested.events = 3;
        request.requested.event_time = 20ms;
        request.limit = client_limit;
        request.key = customer_key;
        request.pieces = pieces;
        co_await connection.exchange(request);
    }

    void send(std::size_t index, std::size_t count)
    {
        log.line("send " + std::to_string(count) + " requests to instance " +
                 std::to_string(index));
        for (std::size_t number = 0; number < count; ++number) {
            spawn(context, send_one(index));
        }
    }

    // Returns the instance that schedules the stages, seen by a request through `through`.
    asio::awaitable<std::optional<std::size_t>> find_coordinator(std::size_t through)
    {
        send(through, 1);
        const time_point end = boot_clock::now() + 3s;
        while (boot_clock::now() < end) {
            for (std::size_t index = 0; index < instances; ++index) {
                const auto jobs = co_await open_jobs(index);
                if (jobs && *jobs > 0) {
                    co_await installation.sleep_for(1500ms);
                    co_return index;
                }
            }
            co_await installation.sleep_for(20ms);
        }
        co_return std::nullopt;
    }

    asio::awaitable<void> play()
    {
        const bool ready = co_await installation.wait_ready(ready_timeout);
        if (!ready) {
            log.line("the instances were not ready in time");
            context.stop();
            co_return;
        }
        co_await installation.sleep_for(2500ms);
        const auto coordinator = co_await find_coordinator(0);
        if (!coordinator) {
            log.line("no instance schedules stages");
            context.stop();
            co_return;
        }
        log.line("instance " + std::to_string(*coordinator) + " schedules the stages");
        const std::size_t sender = *coordinator == 1 || *coordinator == 0 ? 2 : 1;
        instance_process& frozen = installation.instance(*coordinator);
        instance_process& killed = installation.instance(sender);
        send(sender, requests_at_once);
        co_await installation.sleep_for(freeze_after);
        if (review::has_trouble()) {
            log.line("freeze instance " + std::to_string(*coordinator));
            frozen.suspend();
            co_await installation.sleep_for(kill_after);
            log.line("kill instance " + std::to_string(sender));
            killed.kill();
            while (killed.running()) {
                co_await installation.sleep_for(5ms);
            }
            log.line("start instance " + std::to_string(sender) + " again");
            if (const auto started = killed.start(); !started) {
                log.line(started.error());
                context.stop();
                co_return;
            }
            while (true) {
                const auto jobs = co_await open_jobs(sender);
                if (jobs) {
                    break;
                }
                co_await installation.sleep_for(20ms);
            }
            co_await installation.sleep_for(900ms);
        } else {
            co_await installation.sleep_for(kill_after + 1200ms);
        }
        send(sender, requests_at_once);
        co_await installation.sleep_for(waking_after);
        if (review::has_trouble()) {
            log.line("wake instance " + std::to_string(*coordinator));
            frozen.resume();
        }
        could_run = true;
        co_await installation.sleep_for(finish_after);
        installation.finish();
        context.stop();
    }
};

std::string describe(const request_record& request)
{
    std::string text = "request " + request.id + " of process " + std::to_string(request.process) +
                       ": " + std::string(to_string(request.end));
    if (request.status != 0) {
        text += " " + std::to_string(request.status);
    }
    return text;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: foreign_inputs QUETZALLEVER RECORD\n");
        return review::not_run;
    }
    review::case_log log(argv[2]);
    const work_folder folder;
    asio::io_context context(1);
    const review::end_of_run guard(context);
    history observed;
    fleet_options options;
    options.binary = argv[1];
    options.folder = folder.path();
    options.instances = instances;
    options.zones = 3;
    options.slowness = {1.0, 1.0, 1.0};
    options.configuration.pieces = pieces;
    options.configuration.stage_call_time = call_time;
    fleet installation(context, observed, std::move(options));
    if (const auto started = installation.start(); !started) {
        log.line(started.error());
        return review::not_run;
    }
    scenario plays{context, observed, installation, log};
    spawn(context, plays.play());
    context.run();
    for (const request_record& request : observed.requests) {
        log.line(describe(request));
    }
    std::size_t foreign = 0;
    for (const run_record& run : observed.runs) {
        if (!run.stage) {
            log.line("endpoint " + run.endpoint + " got request " + run.request +
                     (run.started ? " and ran it" : " and refused it") +
                     (run.alteration.empty() ? "" : ": " + run.alteration));
        }
        foreign += run.alteration == "inputs of another request" ? 1 : 0;
    }
    if (!plays.could_run) {
        folder.remove();
        return review::not_run;
    }
    log.line("MIXED: " + std::to_string(foreign) +
             " requests were given inputs of another request");
    folder.remove();
    return foreign > 0 ? review::rule_broken : review::rule_held;
}
