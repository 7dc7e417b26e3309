// Shows that an instance stops to use endpoints which lost power and started again under their ids:
// each time the requests that were open at them count as open for good, until the instance refuses
// every request of their service. Usage: lost_places QUETZALLEVER RECORD

#include <deque>
#include <map>
#include <memory>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/parse.hpp>
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

constexpr std::size_t instances = 8;
constexpr std::size_t endpoints = 4; // of the service of the added route
constexpr unsigned channels = 51;    // `max-connections` of that service
constexpr std::size_t events = 20;   // one endpoint at a time loses its power
constexpr duration dark_time = 2s;
constexpr duration pause = 1s;          // between two of them
constexpr duration reset_after = 500ms; // the host's reset of old channels, when it is back
constexpr duration settled_time = 8s;   // after the last one, for a steady state
constexpr duration judged_time = 12s;
constexpr duration work_time = 100ms;      // of a request
constexpr duration heartbeat = 1200ms;     // `heartbeat-ms` of the endpoints
constexpr duration added_interval = 30ms;  // of requests of the added route, at each instance
constexpr duration first_interval = 200ms; // of requests of a first route
constexpr std::uint32_t time_limit_ms = 3000;
constexpr std::size_t least_requests = 20;
constexpr duration ready_timeout = 10s;

// What became of the requests of one route while they were judged.
struct route_count
{
    std::size_t sent = 0;
    std::size_t served = 0;
    std::map<unsigned, std::size_t> ends; // by status; 0: no answer
};

struct scenario
{
    struct replica
    {
        std::string id;
        std::string service;
        std::unique_ptr<net::http_server> server;
        std::uint16_t port = 0;
        std::uint64_t born = 0;
        std::uint64_t sequence = 0;
        std::uint64_t lifetime = 0;
        bool dark = false;
        std::size_t ran = 0;
    };

    scenario(asio::io_context& io, review::case_log& record, store_standin& documents)
        : context(io), log(record), store(documents), names(platform::make_header_names())
    {
    }

    bool open_endpoints()
    {
        for (std::size_t index = 0; index <= endpoints; ++index) {
            replica& opened = replicas.emplace_back();
            opened.id = "replica-" + std::to_string(index);
            opened.service = index < endpoints ? scarce_service : plain_service;
            opened.server = std::make_unique<net::http_server>(
                context.get_executor(), net::server_limits{}, nullptr,
                [this, &opened](const net::http_request& request, net::response_stream& response) {
                    return run(opened, request, response);
                });
            const auto port = opened.server->listen(network + "2", 0);
            if (!port) {
                return false;
            }
            opened.port = *port;
            opened.born = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
            write_entry(opened);
        }
        return true;
    }

    asio::awaitable<void> run(replica& self, const net::http_request& request,
                              net::response_stream& response)
    {
        const std::string id(request.headers.find(names.request_id).value_or(""));
        const std::uint64_t lifetime = self.lifetime;
        const time_point end = boot_clock::now() + work_time;
        while (!self.dark && self.lifetime == lifetime && boot_clock::now() < end) {
            co_await sleep_for(10ms);
        }
        if (self.dark || self.lifetime != lifetime) {
            // The host has no power: silence, until it is back and resets what it does not know.
            while (self.dark) {
                co_await sleep_for(10ms);
            }
            co_await sleep_for(reset_after);
            co_return;
        }
        ++self.ran;
        net::http_response answer;
        answer.headers.add(names.request_id, id);
        answer.headers.add(names.signature, "signature-of-" + id);
        answer.body = "done " + id;
        co_await response.send(std::move(answer));
    }

    // The entry that an endpoint writes of itself.
    void write_entry(replica& self)
    {
        store.put("servers/" + self.id, boost::json::serialize(boost::json::object{
                                            {"service", self.service},
                                            {"address", network + "2:" + std::to_string(self.port)},
                                            {"zone", "zone-a"},
                                            {"version", "1"},
                                            {"slots", 64},
                                            {"state", "ready"},
                                            {"cold-remaining-ms", 0},
                                            {"sequence", ++self.sequence},
                                            {"born", self.born}}));
    }

    asio::awaitable<void> beat()
    {
        while (!finished) {
            co_await sleep_for(heartbeat);
            for (replica& self : replicas) {
                if (!self.dark) {
                    write_entry(self);
                }
            }
        }
    }

    // An endpoint loses its power, and starts again under its id.
    asio::awaitable<void> lose_power(replica& self)
    {
        log.line(self.id + " loses its power for 2 s");
        self.dark = true;
        co_await sleep_for(dark_time);
        self.dark = false;
        ++self.lifetime;
        self.sequence = 0;
        self.born = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
        write_entry(self);
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

    asio::awaitable<void> send_one(std::size_t index, const char* route, route_count* counted)
    {
        const std::string id = "request-" + std::to_string(++last_id);
        std::string text = "POST /" + std::string(route) +
                           "/1/ HTTP/1.1\r\nHost: soak.example\r\n" + names.request_id + ": " + id +
                           "\r\n" + names.deadline + ": " + std::to_string(time_limit_ms) + "\r\n" +
                           names.key + ": " + customer_key + "\r\nContent-Length: 0\r\n\r\n";
        const tcp::endpoint target(asio::ip::make_address(address(index)), callers_port);
        const unsigned status = co_await exchange(context, target, std::move(text));
        if (counted != nullptr) {
            counted->served += status == 200 ? 1 : 0;
            ++counted->ends[status];
        }
        ++ended;
    }

    asio::awaitable<void> send_requests(std::size_t index, const char* route, duration interval,
                                        route_count& count)
    {
        while (!sent_all) {
            ++sent;
            count.sent += judging ? 1 : 0;
            spawn(context, send_one(index, route, judging ? &count : nullptr));
            co_await sleep_for(interval);
        }
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
        spawn(context, beat());
        co_await sleep_for(2s);
        store.put("op/config", configuration(2, true));
        log.line("a second configuration adds a route");
        co_await sleep_for(2s);
        for (std::size_t index = 0; index < instances; ++index) {
            spawn(context, send_requests(index, "scarce", added_interval, added));
            spawn(context, send_requests(index, "safe", first_interval, first));
        }
        co_await sleep_for(2s);
        for (std::size_t event = 0; event < events; ++event) {
            if (review::has_trouble()) {
                co_await lose_power(replicas[event % endpoints]);
            }
            co_await sleep_for(pause);
        }
        log.line("no more disruption from here on");
        co_await sleep_for(settled_time);
        judging = true;
        co_await sleep_for(judged_time);
        sent_all = true;
        const time_point latest = boot_clock::now() + 5s;
        while (ended < sent && boot_clock::now() < latest) {
            co_await sleep_for(20ms);
        }
        could_run = true;
        finished = true;
        co_await sleep_for(100ms);
        context.stop();
    }

    // The soak's configuration, with the limit of the service, and with the added route or without.
    static std::string configuration(std::uint64_t version, bool with_added)
    {
        boost::json::value parsed = boost::json::parse(configuration_text({}));
        boost::json::object& document = parsed.as_object();
        document["version"] = version;
        boost::json::array& routes = document["routes"].as_array();
        for (auto route = routes.begin(); route != routes.end() && !with_added; ++route) {
            if (route->as_object().at("name").as_string() == "scarce") {
                routes.erase(route);
                break;
            }
        }
        for (auto& service : document["services"].as_array()) {
            if (service.as_object().at("name").as_string() == scarce_service) {
                service.as_object()["max-connections"] = channels;
            }
        }
        return boost::json::serialize(document);
    }

    asio::io_context& context;
    review::case_log& log;
    store_standin& store;
    gateway::header_names names;
    std::string network;
    std::string readiness_path = "/v1/" + std::string("readiness");
    history observed;
    std::deque<replica> replicas;
    std::vector<std::unique_ptr<instance_process>> processes;
    route_count added; // the route that a later configuration added
    route_count first; // a route of the first configuration
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::uint64_t last_id = 0;
    bool judging = false;
    bool sent_all = false;
    bool finished = false;
    bool could_run = false;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: lost_places QUETZALLEVER RECORD\n");
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
    if (const auto opened = store.listen(plays.network + "1", store_port);
        !opened || !plays.open_endpoints())
    {
        log.line("cannot listen");
        return review::not_run;
    }
    store.put("op/config", scenario::configuration(1, false));
    for (std::size_t index = 0; index < instances; ++index) {
        instance_options options;
        options.index = index;
        options.binary = argv[1];
        options.folder = folder.path();
        options.address = plays.address(index);
        options.zone = std::string("zone-") + static_cast<char>('a' + index % 3);
        options.store_address = plays.network + "1";
        for (std::size_t seed = 0; seed < 3; ++seed) {
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
    for (const auto& [name, route] : {std::pair("added", &plays.added), {"first", &plays.first}}) {
        log.line("in steady state, " + std::string(name) + " route: " +
                 std::to_string(route->served) + " of " + std::to_string(route->sent) + " served");
        for (const auto& [status, count] : route->ends) {
            log.line(std::to_string(count) + " requests ended with " +
                     (status == 0 ? "no answer" : std::to_string(status)));
        }
    }
    for (const auto& replica : plays.replicas) {
        log.line(replica.id + " of " + replica.service + " ran " + std::to_string(replica.ran) +
                 " requests");
    }
    folder.remove();
    if (!plays.could_run || plays.added.sent < least_requests || plays.first.served == 0) {
        return review::not_run;
    }
    const double added_share =
        static_cast<double>(plays.added.served) / static_cast<double>(plays.added.sent);
    const double first_share =
        static_cast<double>(plays.first.served) / static_cast<double>(plays.first.sent);
    log.line("CONFIG: the added route is served " + std::to_string(added_share / first_share) +
             " times as often as the first one, the bound is 0.25");
    return added_share < first_share / 4 ? review::rule_broken : review::rule_held;
}
