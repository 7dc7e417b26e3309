// Shows that an instance which starts while its seeds are gone never joins the others, although the
// platform names live seeds in the settings file soon after and says so with SIGHUP. The fleet
// stays split, and both parts give a cold endpoint a whole fleet's share. Usage: split_fleet
// QUETZALLEVER RECORD

#include <algorithm>
#include <csignal>
#include <deque>
#include <fstream>
#include <memory>
#include <sstream>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <quetzal/net/http_server.hpp>
#include <quetzal/platform/wire_names.hpp>
#include <unistd.h>

#include "../../platform/soak/documents_text.hpp"
#include "../../platform/soak/fleet.hpp"
#include "../../platform/soak/process_control.hpp"
#include "../../platform/soak/store_standin.hpp"
#include "../../platform/soak/work_folder.hpp"
#include "../support/case_log.hpp"
#include "../support/end_of_run.hpp"

namespace {

using namespace quetzal;
using namespace quetzal::soak;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::size_t seed_count = 3;  // instances 0, 1 and 2
constexpr std::size_t restarted = 3;   // the instance that comes back
constexpr std::size_t instances = 9;   // those after it run all the while
constexpr duration dark_time = 2s;     // until the restarted instance is back
constexpr duration seed_lag = 3s;      // `seed-lag-s`
constexpr duration settled_time = 36s; // the code counts instances that it saw in the last 30 s
constexpr double cold_per_second = 11; // `cold-per-s`
constexpr double cold_overage = 1.5;   // `cold-overage`
constexpr double cold_slack = 5;       // `cold-slack`
constexpr double bound = cold_per_second * cold_overage + cold_slack; // requests in a second
constexpr std::uint64_t cold_ms = 3000;                               // `cold-start-s` 3
constexpr duration request_interval = 16ms; // of the callers of each instance
constexpr std::uint32_t time_limit_ms = 3000;
constexpr duration ready_timeout = 10s;

struct scenario
{
    explicit scenario(asio::io_context& io, review::case_log& record, store_standin& documents)
        : context(io), log(record), store(documents), names(platform::make_header_names()),
          endpoint(io.get_executor(), {}, nullptr,
                   [this](const net::http_request& request, net::response_stream& response) {
                       return run(request, response);
                   })
    {
    }

    asio::awaitable<void> run(const net::http_request& request, net::response_stream& response)
    {
        arrivals.push_back(boot_clock::now());
        const std::string id(request.headers.find(names.request_id).value_or(""));
        net::http_response answer;
        answer.headers.add(names.request_id, id);
        answer.headers.add(names.signature, "signature-of-" + id);
        answer.body = "done " + id;
        co_await response.send(std::move(answer));
    }

    asio::awaitable<void> sleep_for(duration length)
    {
        asio::steady_timer timer(context, length);
        boost::system::error_code ignored; // the timer is not cancelled
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    std::string address(std::size_t index) const { return network + std::to_string(10 + index); }

    static asio::awaitable<unsigned> exchange(asio::io_context& io, tcp::endpoint target,
                                              std::string bytes)
    {
        boost::beast::tcp_stream stream(io);
        boost::system::error_code error;
        stream.expires_after(std::chrono::milliseconds(time_limit_ms + 1000));
        co_await stream.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return 0;
        }
        co_await asio::async_write(stream, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        co_await http::async_read(stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        co_return error ? 0 : parser.get().result_int();
    }

    asio::awaitable<bool> wait_ready(std::size_t index)
    {
        const time_point end = boot_clock::now() + ready_timeout;
        const tcp::endpoint target(asio::ip::make_address(address(index)), readiness_port);
        while (boot_clock::now() < end) {
            std::string text = "GET " + readiness_path +
                               " HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
            const unsigned status = co_await exchange(context, target, std::move(text));
            if (status == 200) {
                co_return true;
            }
            co_await sleep_for(50ms);
        }
        co_return false;
    }

    asio::awaitable<void> send_one(std::size_t index)
    {
        const std::string id = "request-" + std::to_string(++last_id);
        std::string text = "POST /safe/1/ HTTP/1.1\r\nHost: soak.example\r\n" + names.request_id +
                           ": " + id + "\r\n" + names.deadline + ": " +
                           std::to_string(time_limit_ms) + "\r\n" + names.key + ": " +
                           customer_key + "\r\nContent-Length: 0\r\n\r\n";
        const tcp::endpoint target(asio::ip::make_address(address(index)), callers_port);
        const unsigned status = co_await exchange(context, target, std::move(text));
        ++ends[status];
        ++ended;
    }

    asio::awaitable<void> send_requests(std::size_t index, time_point end)
    {
        while (boot_clock::now() < end) {
            ++sent;
            spawn(context, send_one(index));
            co_await sleep_for(request_interval);
        }
    }

    // Writes the settings of an instance anew with other seeds, and says so with SIGHUP.
    void change_seeds(std::size_t index, const std::vector<std::size_t>& seeds)
    {
        const std::string path =
            processes[index]->options().folder / ("instance-" + std::to_string(index) + ".toml");
        std::ifstream former(path);
        std::ostringstream text;
        for (std::string line; std::getline(former, line);) {
            if (line.starts_with("seeds = ")) {
                line = "seeds = [";
                for (const std::size_t seed : seeds) {
                    line += (line.ends_with('[') ? "\"" : ", \"") + address(seed) + ":" +
                            std::to_string(first_peer_port) + "\"";
                }
                line += "]";
            }
            text << line << "\n";
        }
        former.close();
        std::ofstream(path) << text.str();
        ::kill(observed.processes[processes[index]->process()].pid, SIGHUP);
    }

    asio::awaitable<void> poll_processes()
    {
        while (!finished) {
            co_await sleep_for(5ms);
            for (auto& process : processes) {
                process->poll(boot_clock::now());
            }
        }
    }

    asio::awaitable<void> play()
    {
        for (std::size_t index = 0; index < instances; ++index) {
            const bool ready = co_await wait_ready(index);
            if (!ready) {
                log.line("instance " + std::to_string(index) + " was not ready in time");
                context.stop();
                co_return;
            }
        }
        co_await sleep_for(2s);
        log.line("instances 0, 1 and 2, which are the seeds, are lost" +
                 std::string(review::has_trouble() ? ", and 3 with them" : ""));
        for (std::size_t index = 0; index < seed_count; ++index) {
            processes[index]->kill();
        }
        if (review::has_trouble()) {
            processes[restarted]->kill();
        }
        co_await sleep_for(dark_time);
        if (review::has_trouble()) {
            log.line("instance 3 starts again, with the seeds as they were");
            if (const auto started = processes[restarted]->start(); !started) {
                log.line(started.error());
                context.stop();
                co_return;
            }
        }
        co_await sleep_for(seed_lag - dark_time);
        log.line("the settings of instances 3 to 8 name 3, 4 and 5 as the seeds; SIGHUP");
        for (std::size_t index = restarted; index < instances; ++index) {
            change_seeds(index, {restarted, restarted + 1, restarted + 2});
        }
        co_await sleep_for(settled_time);
        bool all_ready = true;
        for (std::size_t index = restarted; index < instances; ++index) {
            const bool ready = co_await wait_ready(index);
            all_ready = all_ready && ready;
        }
        log.line("an endpoint starts, cold for " + std::to_string(cold_ms) + " ms");
        store.put("servers/replica-0", registration());
        const time_point end = boot_clock::now() + std::chrono::milliseconds(cold_ms);
        for (std::size_t index = restarted; index < instances; ++index) {
            spawn(context, send_requests(index, end - 500ms));
        }
        co_await sleep_for(std::chrono::milliseconds(cold_ms) - 50ms);
        cold_arrivals = arrivals.size();
        const time_point latest = boot_clock::now() + 6s;
        while (ended < sent && boot_clock::now() < latest) {
            co_await sleep_for(20ms);
        }
        could_run = all_ready;
        finished = true;
        co_await sleep_for(100ms);
        context.stop();
    }

    std::string registration() const
    {
        const auto born = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
        return boost::json::serialize(
            boost::json::object{{"service", plain_service},
                                {"address", network + "2:" + std::to_string(endpoint_port)},
                                {"zone", "zone-a"},
                                {"version", "1"},
                                {"slots", 256},
                                {"state", "ready"},
                                {"cold-remaining-ms", cold_ms},
                                {"sequence", 1},
                                {"born", born}});
    }

    // Returns the most requests that the cold endpoint got in any second.
    std::size_t most_in_a_second() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < std::min(cold_arrivals, arrivals.size()); ++last) {
            while (arrivals[last] - arrivals[first] >= 1s) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    asio::io_context& context;
    review::case_log& log;
    store_standin& store;
    gateway::header_names names;
    net::http_server endpoint;
    std::uint16_t endpoint_port = 0;
    std::string network;
    std::string readiness_path = "/v1/" + std::string("readiness");
    history observed;
    std::vector<std::unique_ptr<instance_process>> processes;
    std::deque<time_point> arrivals;
    std::map<unsigned, std::size_t> ends; // by status; 0: no answer
    std::size_t cold_arrivals = 0;
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::uint64_t last_id = 0;
    bool finished = false;
    bool could_run = false;
};

// The soak's configuration with the limits of a cold endpoint.
std::string configuration()
{
    std::string text = configuration_text({});
    const std::string rate = "\"cold-per-s\":0";
    for (auto found = text.find(rate); found != std::string::npos; found = text.find(rate)) {
        text.replace(found, rate.size(), "\"cold-per-s\":11.0");
    }
    const std::string period = "\"cold-start-s\":0,";
    for (auto found = text.find(period); found != std::string::npos; found = text.find(period)) {
        text.replace(found, period.size(), "\"cold-start-s\":3.0,");
    }
    return text;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: split_fleet QUETZALLEVER RECORD\n");
        return review::not_run;
    }
    review::case_log log(argv[2]);
    const work_folder folder;
    asio::io_context context(1);
    const review::end_of_run guard(context);
    store_standin store(context);
    scenario plays(context, log, store);
    const auto id = static_cast<unsigned>(::getpid());
    plays.network =
        "127." + std::to_string(64 + (id >> 8) % 128) + "." + std::to_string(id % 256) + ".";
    const auto port = plays.endpoint.listen(plays.network + "2", 0);
    if (const auto opened = store.listen(plays.network + "1", store_port); !opened || !port) {
        log.line("cannot listen");
        return review::not_run;
    }
    plays.endpoint_port = *port;
    store.put("op/config", configuration());
    for (std::size_t index = 0; index < instances; ++index) {
        instance_options options;
        options.index = index;
        options.binary = argv[1];
        options.folder = folder.path();
        options.address = plays.address(index);
        options.zone = std::string("zone-") + static_cast<char>('a' + index % 3);
        options.store_address = plays.network + "1";
        for (std::size_t seed = 0; seed < seed_count; ++seed) {
            options.seeds.push_back(plays.address(seed));
        }
        plays.processes.push_back(std::make_unique<instance_process>(plays.observed, options));
        if (const auto started = plays.processes.back()->start(); !started) {
            log.line(started.error());
            return review::not_run;
        }
    }
    spawn(context, plays.poll_processes());
    spawn(context, plays.play());
    context.run();
    for (const auto& [status, count] : plays.ends) {
        log.line(std::to_string(count) + " requests ended with " +
                 (status == 0 ? "no answer" : std::to_string(status)));
    }
    const std::size_t most = plays.most_in_a_second();
    log.line("FAILBACK: the cold endpoint got up to " + std::to_string(most) +
             " requests in one second, the bound is " + std::to_string(bound));
    folder.remove();
    if (!plays.could_run) {
        return review::not_run;
    }
    return static_cast<double>(most) > bound ? review::rule_broken : review::rule_held;
}
