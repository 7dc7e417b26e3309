#ifndef QUETZAL_GATEWAY_ENDLESS_GATEWAY_HPP
#define QUETZAL_GATEWAY_ENDLESS_GATEWAY_HPP

// A gateway whose endpoints send bytes without end, at full speed or so slowly that each read
// succeeds. Every variant prints one line with its outcome, its duration in ms, the growth of
// memory in KiB, the duration in ms of another request that is served meanwhile, and for both how
// much of it other processes had the processor.

#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <quetzal/gateway/request_flow.hpp>
#include <quetzal/testing/runqueue_wait.hpp>
#include <quetzal/testing/section.hpp>

#include "driven_endless_server.hpp"
#include "test_names.hpp"

namespace quetzal::gateway::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using quetzal::testing::check;
using quetzal::testing::endless_bytes;
using quetzal::testing::memory_growth;
using std::chrono::milliseconds;

inline constexpr milliseconds route_timeout{900};
inline constexpr milliseconds trickle_pause{20};
// Added to the route's timeout for the processing of its end.
inline constexpr milliseconds timeout_tolerance{600};
inline constexpr milliseconds close_timeout{1000}; // for the endpoint to notice that it was closed
inline constexpr milliseconds normal_request_limit{800};   // of a request that is served meanwhile
inline constexpr std::size_t growth_limit_kib = 20u << 10; // for one response of any kind
inline constexpr std::size_t concurrent_requests = 64;
inline constexpr std::size_t concurrent_growth_limit_kib = 80u << 10;
// A trickle of units of this size fills memory as far as the limits allow.
inline constexpr std::size_t large_unit_size = 256u << 10;

// Bytes that are no answer, after a prefix; "ID" stands for the id of the request.
struct variant
{
    std::string name;
    std::string prefix;
    std::string unit;
};

inline const std::string signed_head = "HTTP/1.1 200 OK\r\nId: ID\r\nSign: s\r\n";
inline const std::string chunked_head = signed_head + "Transfer-Encoding: chunked\r\n\r\n";
inline const std::string two_events = "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\n";
inline const std::string two_event_chunks =
    "10\r\nid: 0\ndata: e0\n\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n";

inline std::string with_id(std::string text, const std::string& id)
{
    for (auto at = text.find("ID"); at != std::string::npos; at = text.find("ID", at + id.size())) {
        text.replace(at, 2, id);
    }
    return text;
}

inline std::string id_of(const std::string& head)
{
    const auto from = head.find("\r\nId: ") + 6;
    return head.substr(from, head.find("\r\n", from) - from);
}

inline std::string complete_response(const std::string& head, const std::string& body = "good")
{
    return with_id(signed_head, id_of(head)) + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// The rest of a stream after `two_events`.
inline std::string resumed_stream(const std::string& head)
{
    return with_id(chunked_head, id_of(head)) + "10\r\nid: 2\ndata: e2\n\n\r\n0\r\n\r\n";
}

// Records the response that the flow writes.
class recorded_response final : public response_writer
{
public:
    asio::awaitable<bool> write_response(unsigned status, std::string, std::string body) override
    {
        status_ = status;
        body_ = std::move(body);
        complete_ = true;
        co_return true;
    }

    asio::awaitable<bool> write_stream_part(unsigned status, const std::string&, std::string bytes,
                                            bool last) override
    {
        status_ = status;
        stream_started_ = true;
        body_ += bytes;
        complete_ = last;
        co_return true;
    }

    bool has_started_stream() const override { return stream_started_; }
    bool caller_disconnected() override { return false; }
    void abort_connection() override { connection_aborted_ = true; }

    unsigned status_ = 0;
    std::string body_;
    bool stream_started_ = false;
    bool complete_ = false;
    bool connection_aborted_ = false;
};

// A request in progress and its response.
struct exchange
{
    recorded_response response;
    time_point started = boot_clock::now();
    duration waited_before = quetzal::testing::runqueue_wait();
    std::optional<duration> took;
    duration waited{}; // the part of it in which other processes had the processor
};

// A gateway with the route /a/ to the given endpoints, and the route /n/ to an endpoint that always
// answers.
class gateway_fixture
{
public:
    gateway_fixture(asio::io_context& loop, route_kind kind, bool resumable,
                    const std::vector<std::uint16_t>& ports, milliseconds timeout = route_timeout)
        : context(loop), members({}, self(), boot_clock::now() - std::chrono::seconds(10)),
          pools({"z", {}, 1}), channels(context.get_executor()),
          peers(context, {"127.0.0.1", 0, 0, {}}, members),
          coordinator(context, view, channels, members, peers, names, {}, {}),
          flow(context, view, pools, channels, coordinator, members, quarantine, names,
               {0.2, 500, std::chrono::seconds(10)}, metrics),
          normal(context, [](const std::string& head, std::size_t) {
              return endless_bytes{complete_response(head), {}, {}};
          })
    {
        published_configuration configuration;
        configuration.version = 1;
        configuration.routes.push_back(make_route("/a/", kind, resumable, "s", timeout));
        configuration.routes.push_back(
            make_route("/n/", route_kind::non_idempotent, false, "n", timeout));
        for (const auto* name : {"s", "n"}) {
            service_definition service;
            service.name = name;
            service.max_connections = 500;
            configuration.services.push_back(service);
        }
        configuration.customers.push_back({"c", {"key"}, {}});
        view.apply(configuration);
        for (const std::uint16_t port : ports) {
            add_endpoint("s", port);
        }
        add_endpoint("n", normal.port());
        pools.refresh(view, 1, boot_clock::now());
    }

    static route make_route(const std::string& prefix, route_kind kind, bool resumable,
                            const std::string& service, milliseconds timeout)
    {
        route made;
        made.name = prefix;
        made.host = "h";
        made.prefix = prefix;
        made.kind = kind;
        made.resumable = resumable;
        made.timeout = timeout;
        made.latency_target = milliseconds(100);
        made.max_attempts = 2;
        made.services.push_back({service, 1});
        return made;
    }

    static member_record self()
    {
        member_record record;
        record.address = "127.0.0.1";
        return record;
    }

    void add_endpoint(const std::string& service, std::uint16_t port)
    {
        gateway::endpoint value;
        value.id = service + std::to_string(port);
        value.service = service;
        value.zone = "z";
        value.address = tcp::endpoint(asio::ip::make_address("127.0.0.1"), port);
        view.put_endpoint(value);
    }

    std::shared_ptr<exchange> start(const std::string& target)
    {
        caller_request message;
        message.method = "GET";
        message.target = target;
        message.host = "h";
        message.id = "r" + std::to_string(++last_id);
        message.key = "key";
        message.forwarded_headers = "Host: h\r\nId: " + message.id + "\r\n";
        message.received = boot_clock::now();
        auto started = std::make_shared<exchange>();
        asio::co_spawn(
            context, flow.serve(std::make_shared<running_request>(message), started->response),
            [started](const std::exception_ptr&) {
                started->waited = quetzal::testing::runqueue_wait() - started->waited_before;
                started->took = boot_clock::now() - started->started;
            });
        return started;
    }

    // Runs until the exchange has ended, for at most three times the timeout of the route.
    void finish(const exchange& running)
    {
        const time_point until = boot_clock::now() + route_timeout * 3;
        while (!running.took && boot_clock::now() < until) {
            context.restart();
            context.run_for(milliseconds(5));
        }
    }

    asio::io_context& context;
    header_names names = test_names();
    catalog view;
    member_table members;
    telemetry::metrics metrics;
    endpoint_pools pools;
    channel_pool channels;
    part_quarantine quarantine;
    peer_link peers;
    stage_coordinator coordinator;
    request_flow flow;
    driven_endless_server normal;
    unsigned last_id = 0;
};

// Collects the broken expectations of all variants of a test, so that one does not hide another.
class expectations
{
public:
    ~expectations() { check(broken_ == 0, std::to_string(broken_) + " expectations are broken"); }

    void expect(bool condition, const std::string& text)
    {
        if (!condition) {
            ++broken_;
            std::fprintf(stderr, "    BROKEN: %s\n", text.c_str());
        }
    }

private:
    std::size_t broken_ = 0;
};

struct played_case
{
    route_kind kind = route_kind::non_idempotent;
    bool resumable = false;
    milliseconds pause{0};
    milliseconds timeout = route_timeout;
};

// Plays one variant: the first attempt gets bytes without end, a second one a complete response.
inline void play(const variant& played, const played_case& how, expectations& all)
{
    const bool stream = how.kind == route_kind::stream;
    std::atomic<unsigned> attempts{0};
    const auto respond = [&](const std::string& head, std::size_t) {
        if (attempts++ > 0) {
            return endless_bytes{stream ? resumed_stream(head) : complete_response(head), {}, {}};
        }
        const auto id = id_of(head);
        return endless_bytes{with_id(played.prefix, id), with_id(played.unit, id), how.pause};
    };
    asio::io_context context(1);
    driven_endless_server first(context, respond);
    driven_endless_server second(context, respond);
    gateway_fixture gateway(context, how.kind, how.resumable, {first.port(), second.port()},
                            how.timeout);
    const memory_growth growth;
    const auto running = gateway.start("/a/x");
    gateway.context.run_for(milliseconds(50));
    const auto other = gateway.start("/n/x");
    gateway.finish(*other);
    gateway.finish(*running);
    const time_point closed_by = boot_clock::now() + close_timeout;
    while (first.sending() + second.sending() > 0 && boot_clock::now() < closed_by) {
        gateway.context.restart();
        gateway.context.run_for(milliseconds(5));
    }
    const std::size_t growth_kib = growth.kib();
    const auto& response = running->response;
    const auto took = running->took.value_or(route_timeout * 3);
    const auto other_took = other->took.value_or(route_timeout * 3);
    std::fprintf(stderr, "| %s | %s | %s | %u%s, %zu bytes | %lld | %zu | %lld | %lld, %lld |\n",
                 played.name.c_str(), how.pause.count() == 0 ? "full speed" : "trickle",
                 stream                               ? (how.resumable ? "resumable" : "stream")
                 : how.kind == route_kind::idempotent ? "idempotent"
                                                      : "not idempotent",
                 response.status_, response.complete_ ? "" : " incomplete", response.body_.size(),
                 static_cast<long long>(whole_milliseconds(took)), growth_kib,
                 static_cast<long long>(whole_milliseconds(other_took)),
                 static_cast<long long>(whole_milliseconds(running->waited)),
                 static_cast<long long>(whole_milliseconds(other->waited)));
    all.expect(running->took && took < how.timeout + timeout_tolerance,
               "the request ends within its timeout");
    all.expect(other->response.body_ == "good" && other_took < normal_request_limit,
               "another request is served meanwhile");
    all.expect(growth_kib < growth_limit_kib, "memory stays bounded");
    all.expect(first.sending() + second.sending() == 0, "the connection is closed");
    if (stream) {
        const std::string sent = two_events + (how.resumable ? "id: 2\ndata: e2\n\n" : "");
        all.expect(response.body_ == sent,
                   "the caller gets whole events only: " + response.body_.substr(0, 200));
        all.expect(response.complete_ == how.resumable, "only a complete stream ends as complete");
        all.expect(response.connection_aborted_ != how.resumable,
                   "the caller's connection is closed after an incomplete stream");
    } else if (how.kind == route_kind::idempotent) {
        all.expect(response.status_ == 200 && response.body_ == "good",
                   "a second endpoint answers the request");
    } else {
        all.expect(response.status_ == 502 || response.status_ == 504,
                   "the response does not claim that the request has not run");
        all.expect(response.body_.find("may_have_run") != std::string::npos,
                   "the verdict is that the request may have run");
    }
    if (!how.resumable && how.kind != route_kind::idempotent) {
        all.expect(attempts == 1, "the request is sent once");
    }
}

inline void play_all(const std::vector<variant>& variants, const std::vector<played_case>& cases)
{
    expectations all;
    for (const variant& played : variants) {
        for (const played_case& how : cases) {
            play(played, how, all);
        }
    }
}

inline const std::vector<played_case> full_speed{{route_kind::non_idempotent, false, {}},
                                                 {route_kind::idempotent, false, {}}};
inline const std::vector<played_case> trickle{{route_kind::non_idempotent, false, trickle_pause},
                                              {route_kind::idempotent, false, trickle_pause}};

// Plays each variant with many requests at the same time.
inline void play_many_at_once(const std::vector<variant>& variants, route_kind kind)
{
    expectations all;
    for (const variant& played : variants) {
        for (const milliseconds pause : {milliseconds(0), trickle_pause}) {
            std::string unit = played.unit;
            while (pause.count() > 0 && unit.size() < large_unit_size) {
                unit += played.unit;
            }
            asio::io_context context(1);
            driven_endless_server server(context, [&](const std::string& head, std::size_t) {
                return endless_bytes{with_id(played.prefix, id_of(head)), unit, pause};
            });
            gateway_fixture gateway(context, kind, false, {server.port()});
            const memory_growth growth;
            std::vector<std::shared_ptr<exchange>> all_running;
            for (std::size_t index = 0; index < concurrent_requests; ++index) {
                all_running.push_back(gateway.start("/a/x"));
            }
            gateway.context.run_for(milliseconds(50));
            const auto other = gateway.start("/n/x");
            gateway.finish(*other);
            duration longest{};
            for (const auto& running : all_running) {
                gateway.finish(*running);
                longest = std::max(longest, running->took.value_or(route_timeout * 3));
            }
            const std::size_t growth_kib = growth.kib();
            const auto other_took = other->took.value_or(route_timeout * 3);
            std::fprintf(stderr, "| %zu x %s | %s | | | %lld | %zu | %lld |\n", concurrent_requests,
                         played.name.c_str(), pause.count() == 0 ? "full speed" : "trickle",
                         static_cast<long long>(whole_milliseconds(longest)), growth_kib,
                         static_cast<long long>(whole_milliseconds(other_took)));
            all.expect(growth_kib < concurrent_growth_limit_kib, "memory stays bounded");
            all.expect(longest < route_timeout + timeout_tolerance * 2,
                       "all requests end within their timeout");
            all.expect(other->response.body_ == "good" && other_took < normal_request_limit,
                       "another request is served meanwhile");
        }
    }
}

} // namespace quetzal::gateway::testing

#endif
