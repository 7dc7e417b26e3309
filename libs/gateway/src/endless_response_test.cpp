// Tests the request flow against endpoints that send a head or a body without end.

#include <boost/asio/detached.hpp>
#include <quetzal/gateway/decision_log.hpp>

#include "endless_gateway.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::section;

namespace {

std::vector<variant> head_variants()
{
    return {
        {"no status line", "", "x"},
        {"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"one header line", "HTTP/1.1 200 OK\r\nA: ", "b"},
        {"signed header lines", signed_head, "A: b\r\n"},
        {"interim 100", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim 103 signed", "", "HTTP/1.1 103 Early Hints\r\nId: ID\r\nSign: s\r\n\r\n"},
        {"empty lines", "", "\r\n"},
        {"line feeds", "", "\n"},
    };
}

std::vector<variant> stray_variants()
{
    return {
        {"stray answers", "",
         "HTTP/1.1 200 OK\r\nId: other\r\nSign: s\r\nContent-Length: 1\r\n\r\nx"},
        {"stray answer's body",
         "HTTP/1.1 200 OK\r\nId: other\r\nSign: s\r\nContent-Length: 999999999999\r\n\r\n", "x"},
        {"stray answer's chunks",
         "HTTP/1.1 200 OK\r\nId: other\r\nSign: s\r\nTransfer-Encoding: chunked\r\n\r\n",
         "1\r\nx\r\n"},
    };
}

std::vector<variant> body_variants()
{
    return {
        {"length too large", signed_head + "Content-Length: 999999999999\r\n\r\n", "x"},
        {"chunks", chunked_head, "8\r\nxxxxxxxx\r\n"},
        {"one chunk", chunked_head + "fffffffff\r\n", "x"},
        {"chunk extension", chunked_head + "1;", "x"},
        {"trailer lines", chunked_head + "1\r\nx\r\n0\r\n", "A: b\r\n"},
        {"trailer line", chunked_head + "1\r\nx\r\n0\r\nA: ", "b"},
        {"no length", signed_head + "\r\n", "x"},
        {"body of a failure",
         "HTTP/1.1 500 Error\r\nId: ID\r\nContent-Length: 999999999999\r\n\r\n", "x"},
    };
}

// With a body that would be complete in time at full speed.
std::vector<variant> slow_body_variants()
{
    auto variants = body_variants();
    variants.push_back(
        {"length within the limit", signed_head + "Content-Length: 8388608\r\n\r\n", "x"});
    return variants;
}

struct read_outcome
{
    std::optional<duration> took; // to read the body
    bool failed = false;
};

asio::awaitable<void> read_response(std::shared_ptr<channel> connection, std::uint16_t port,
                                    duration timeout, read_outcome& outcome)
{
    const tcp::endpoint address(asio::ip::make_address("127.0.0.1"), port);
    co_await connection->open(address, timeout);
    const std::string head = "GET / HTTP/1.1\r\nId: 1\r\n\r\n";
    co_await connection->send(head, {}, timeout);
    co_await connection->read_head(timeout);
    const time_point started = boot_clock::now();
    const auto body = co_await connection->read_whole_body(16u << 20, timeout);
    outcome.took = boot_clock::now() - started;
    outcome.failed = !body;
}

} // namespace

// Guards against an endless head that is buffered without limit, taken for a response, or read
// beyond the deadline.
Test(endless_response, head_at_full_speed, .timeout = 120)
{
    play_all(head_variants(), full_speed);
}

// Guards against a timeout that each received byte of a head renews.
Test(endless_response, head_as_a_trickle, .timeout = 120)
{
    play_all(head_variants(), trickle);
}

// Guards against responses to other requests that are skipped without end.
Test(endless_response, stray_answers, .timeout = 120)
{
    play_all(stray_variants(), full_speed);
    play_all(stray_variants(), trickle);
}

// Guards against an endless body that is buffered without limit.
Test(endless_response, body_at_full_speed, .timeout = 120)
{
    play_all(body_variants(), full_speed);
}

// Guards against a timeout that each received byte of a body renews.
Test(endless_response, body_as_a_trickle, .timeout = 120)
{
    play_all(slow_body_variants(), trickle);
}

// Guards against a refusal that counts as such only after its endless body.
Test(endless_response, refusal_with_an_endless_body, .timeout = 60)
{
    expectations all;
    for (const milliseconds pause : {milliseconds(0), trickle_pause}) {
        std::atomic<unsigned> attempts{0};
        const auto respond = [&](const std::string& head, std::size_t) {
            const std::string refusal =
                "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: ID\r\nContent-Length: 9999999999\r\n\r\n";
            return attempts++ > 0 ? endless_bytes{complete_response(head), {}, {}}
                                  : endless_bytes{with_id(refusal, id_of(head)), "x", pause};
        };
        asio::io_context context(1);
        driven_endless_server first(context, respond);
        driven_endless_server second(context, respond);
        gateway_fixture gateway(context, route_kind::non_idempotent, false,
                                {first.port(), second.port()});
        const auto running = gateway.start("/a/x");
        gateway.finish(*running);
        all.expect(running->response.status_ == 200 && running->response.body_ == "good",
                   "another endpoint answers, as the first one has not run the request");
    }
}

// Guards against memory that grows with the number of endless bodies read at once.
Test(endless_response, many_at_once, .timeout = 120)
{
    play_many_at_once(slow_body_variants(), route_kind::non_idempotent);
}

// Guards against endless bytes on an idle connection that are taken for the next answer or stay
// connected.
Test(endless_response, bytes_after_a_complete_answer, .timeout = 60)
{
    for (const milliseconds pause : {milliseconds(0), trickle_pause}) {
        asio::io_context context(1);
        driven_endless_server server(context, [&](const std::string& head, std::size_t position) {
            const bool first = position == 1 && id_of(head) == "r1";
            return endless_bytes{complete_response(head, id_of(head)),
                                 first ? complete_response("\r\nId: old\r\n", "old") : "", pause};
        });
        gateway_fixture gateway(context, route_kind::non_idempotent, false, {server.port()});
        const memory_growth growth;
        const auto first = gateway.start("/a/x");
        gateway.finish(*first);
        check(first->response.body_ == "r1", "the first request gets its own answer");
        gateway.context.restart();
        gateway.context.run_for(milliseconds(100));
        section("when idle connections are pruned", [&] {
            gateway.channels.prune(gateway.view, boot_clock::now());
            gateway.context.restart();
            gateway.context.run_for(milliseconds(100));
            check(server.sending() == 0, "the connection is closed");
        });
        const auto second = gateway.start("/a/x");
        gateway.finish(*second);
        check(second->response.body_ == "r2", "the second request gets its own answer");
        check(growth.kib() < growth_limit_kib, "memory stays bounded");
    }
}

// Guards against an endpoint that keeps getting requests although each one ends at its deadline in
// the middle of the answer.
Test(endless_response, counts_as_a_failure_of_the_endpoint, .timeout = 120)
{
    constexpr std::size_t rounds = 12;
    constexpr std::size_t requests_per_round = 4;
    for (const variant& played : {head_variants()[0], body_variants()[1], body_variants()[2]}) {
        asio::io_context context(1);
        driven_endless_server bad(context, [&](const std::string& head, std::size_t) {
            return endless_bytes{with_id(played.prefix, id_of(head)), played.unit, trickle_pause};
        });
        const auto respond = [](const std::string& head, std::size_t) {
            return endless_bytes{complete_response(head), {}, {}};
        };
        driven_endless_server good(context, respond);
        driven_endless_server good_too(context, respond);
        driven_endless_server good_as_well(context, respond);
        gateway_fixture gateway(context, route_kind::non_idempotent, false,
                                {bad.port(), good.port(), good_too.port(), good_as_well.port()});
        for (std::size_t round = 0; round < rounds; ++round) {
            std::vector<std::shared_ptr<exchange>> running;
            for (std::size_t index = 0; index < requests_per_round; ++index) {
                running.push_back(gateway.start("/a/x"));
            }
            for (const auto& one : running) {
                gateway.finish(*one);
            }
        }
        std::fprintf(stderr, "| %s | of %zu requests, %zu reach the bad endpoint |\n",
                     played.name.c_str(), rounds * requests_per_round, bad.requests());
        check(bad.requests() <= requests_per_round + 2, "the endpoint is ejected");
    }
}

// Guards against a response read as a whole, e.g. of a stage call, whose timeout each received byte
// renews.
Test(endless_response, whole_body_has_one_timeout, .timeout = 60)
{
    constexpr milliseconds body_timeout{200};
    for (const variant& played : slow_body_variants()) {
        asio::io_context context(1);
        driven_endless_server server(context, [&](const std::string& head, std::size_t) {
            return endless_bytes{with_id(played.prefix, id_of(head)), played.unit, trickle_pause};
        });
        const auto connection = std::make_shared<channel>(context.get_executor());
        read_outcome read;
        asio::co_spawn(context, read_response(connection, server.port(), body_timeout, read),
                       asio::detached);
        context.run_for(body_timeout * 8);
        section(played.name, [&] {
            check(read.took && read.failed, "reading fails");
            check(*read.took < body_timeout * 4, "it ends within its timeout");
            check(!connection->is_reusable(), "the connection is not reused");
        });
    }
}

// Guards against a failure whose log line does not tell which endpoint exceeded which limit.
Test(endless_response, is_logged_with_endpoint_request_and_limit, .timeout = 60)
{
    const std::string path = "/tmp/endless_response_test." + std::to_string(::getpid()) + ".log";
    check(std::freopen(path.c_str(), "w", stdout) != nullptr, "the log is written to a file");
    start_log("test");
    asio::io_context context(1);
    driven_endless_server server(context, [&](const std::string&, std::size_t) {
        return endless_bytes{signed_head, "A: b\r\n", {}};
    });
    gateway_fixture gateway(context, route_kind::non_idempotent, false, {server.port()});
    const auto running = gateway.start("/a/x");
    gateway.finish(*running);
    stop_log();
    std::ifstream file(path);
    std::string found;
    for (std::string line; std::getline(file, line);) {
        found += line.find("attempt_failed") != std::string::npos ? line : "";
    }
    std::remove(path.c_str());
    check(found.find("\"r1\"") != std::string::npos, "the request is named");
    check(found.find("\"s" + std::to_string(server.port()) + "\"") != std::string::npos,
          "the endpoint is named");
    check(found.find("exceeds 32768 bytes") != std::string::npos, "the limit is named: " + found);
}
