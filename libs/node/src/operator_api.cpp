#include <quetzal/node/operator_api.hpp>

#include <fstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <quetzal/burn/snapshot.hpp>
#include <quetzal/peer/codec.hpp>
#include <unistd.h>

namespace quetzal::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// Resident memory in bytes, from the second field of /proc/self/statm (proc(5)).
double resident_memory()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

json::object member_json(const membership::member_view& member)
{
    return {{"instance", member.instance.name},
            {"zone", member.zone.name},
            {"state", membership::to_string(member.state)},
            {"config_version", member.known.config}};
}

json::object rights_json(const rights::rights_status& status)
{
    return {{"members", status.members},
            {"committee", status.committee},
            {"quorum", status.quorum},
            {"held", status.held},
            {"wanted", status.wanted},
            {"granted", status.granted},
            {"customers", status.customers},
            {"fresh", status.fresh},
            {"greatest_fence", status.greatest_fence}};
}

json::object pool_json(const serving::dispatcher::pool_figures& figures)
{
    return {{"waiting_requests", figures.waiting_requests},
            {"waiting_calls", figures.waiting_calls},
            {"running", figures.running},
            {"usable", figures.usable},
            {"ejected", figures.ejected},
            {"retries", figures.retries},
            {"hedges", figures.hedges},
            {"p95_ms", std::chrono::duration_cast<std::chrono::milliseconds>(figures.p95).count()}};
}

} // namespace

operator_api::operator_api(shared_state& state, control_plane& control, request_engine& engine,
                           serving_front& front, std::function<void()> drain)
    : state_(state), control_(control), engine_(engine), front_(front), drain_(std::move(drain))
{
}

void operator_api::watch_server(std::string name, const net::server_counters& counters)
{
    servers_.emplace_back(std::move(name), &counters);
}

asio::awaitable<void> operator_api::handle(const net::http_request& request,
                                           net::response_stream& response)
{
    net::http_response answer = net::json_response(404, R"({"detail":"no such method and path"})");
    if (request.method == "POST" && request.path == "/v1/drain") {
        drain_();
        answer = net::json_response(202, R"({"draining":true})");
    } else if (request.method != "GET") {
        answer = net::json_response(405, R"({"detail":"the method is not allowed"})");
    } else if (request.path == "/healthz") {
        answer = health();
    } else if (request.path == "/readyz") {
        answer = readiness();
    } else if (request.path == "/metrics") {
        answer = metrics();
    } else if (request.path == "/v1/status") {
        answer = co_await status();
    } else if (request.path == "/v1/explain") {
        const auto customer = request.parameter("customer");
        if (customer) {
            answer = co_await explain_customer(*customer);
        } else {
            answer = explain(request);
        }
    } else if (request.path == "/v1/burn") {
        answer = net::json_response(200, burn::to_json(engine_.burn()));
    }
    co_await response.send(std::move(answer));
}

net::http_response operator_api::health() const
{
    return {200, {{"Content-Type", "text/plain"}}, "ok\n"};
}

net::http_response operator_api::readiness() const
{
    const bool ready = state_.ready && !state_.stopping;
    return {
        ready ? 200u : 503u, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n"};
}

net::http_response operator_api::metrics()
{
    auto& figures = state_.figures;
    for (const auto& [name, counters] : servers_) {
        const std::vector<telemetry::label> labels{{"server", name}};
        figures.set("quetzal_connections_open", labels, static_cast<double>(counters->open));
        figures.set("quetzal_connections_accepted_total", labels,
                    static_cast<double>(counters->accepted));
        figures.set("quetzal_connections_rejected_total", labels,
                    static_cast<double>(counters->rejected));
        figures.set("quetzal_malformed_requests_total", labels,
                    static_cast<double>(counters->malformed));
        figures.set("quetzal_slow_senders_total", labels, static_cast<double>(counters->timed_out));
    }
    const auto& peers = control_.counters();
    figures.set("quetzal_peer_sent_total", {}, static_cast<double>(peers.sent));
    figures.set("quetzal_peer_sent_bytes_total", {}, static_cast<double>(peers.sent_bytes));
    figures.set("quetzal_peer_received_total", {}, static_cast<double>(peers.received));
    figures.set("quetzal_peer_received_bytes_total", {}, static_cast<double>(peers.received_bytes));
    for (std::size_t cause = 0; cause < peers.dropped.size(); ++cause) {
        figures.set("quetzal_peer_dropped_total",
                    {{"cause", std::string(to_string(static_cast<peer::drop_cause>(cause)))}},
                    static_cast<double>(peers.dropped[cause]));
    }
    figures.set("quetzal_requests_running", {}, static_cast<double>(engine_.running()));
    figures.set("quetzal_ready", {}, state_.ready ? 1 : 0);
    figures.set("process_resident_memory_bytes", {}, resident_memory());
    const auto [config, list] = state_.current();
    figures.set("quetzal_config_version", {}, config ? static_cast<double>(config->version) : 0);
    figures.set("quetzal_list_revision", {}, list ? static_cast<double>(list->revision) : 0);
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, figures.render()};
}

net::http_response operator_api::explain(const net::http_request& request) const
{
    // The sequence number is the third part from the end of an identity, see `request_identity`.
    const std::string text = request.parameter("request").value_or("");
    std::vector<std::string> parts;
    for (std::size_t begin = 0; begin <= text.size();) {
        const auto end = std::min(text.find('-', begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    if (parts.size() < 3) {
        return net::json_response(400, R"({"detail":"request must be a request identity"})");
    }
    const auto sequence = std::strtoull(parts[parts.size() - 3].c_str(), nullptr, 10);
    const auto explanation = front_.query([sequence](const serving::dispatcher& dispatcher) {
        return dispatcher.explain(serving::request_key{sequence});
    });
    if (explanation.steps.empty()) {
        return net::json_response(404, R"({"detail":"nothing is known of this request here"})");
    }
    json::array steps;
    const auto begin = explanation.steps.front().at;
    for (const auto& step : explanation.steps) {
        const auto after = std::chrono::duration_cast<std::chrono::microseconds>(step.at - begin);
        steps.push_back(json::object{{"after_us", after.count()}, {"what", step.what}});
    }
    return net::json_response(200,
                              json::serialize(json::object{{"request", text}, {"steps", steps}}));
}

asio::awaitable<net::http_response> operator_api::explain_customer(std::string name)
{
    customer_id customer(name);
    const auto home = co_await control_.explain_home(std::move(customer));
    json::object object;
    object["customer"] = name;
    object["home"] = home.home.name;
    object["home_here"] = home.here;
    co_return net::json_response(200, json::serialize(object));
}

asio::awaitable<net::http_response> operator_api::status()
{
    const auto control = co_await control_.status();
    const auto config = state_.current().config;
    json::object object;
    object["instance"] = state_.settings.instance.name;
    object["zone"] = state_.settings.zone.name;
    object["incarnation"] = state_.process.value;
    object["ready"] = state_.ready && !state_.stopping;
    object["stopping"] = state_.stopping.load();
    object["waiting_for"] = control.readiness.waiting_for;
    object["config_version"] = control.config_version;
    object["list_revision"] = control.list_revision;
    object["reads_service"] = control.reads_service;
    object["requests_running"] = engine_.running();
    object["rights"] = rights_json(control.rights);
    if (control.last_refusal) {
        object["last_refused_configuration"] = control.last_refusal->detail;
    }
    json::array members;
    for (const auto& member : control.members) {
        members.push_back(member_json(member));
    }
    object["members"] = std::move(members);
    json::object pools;
    for (const auto& pool : config ? config->pools : std::vector<config::pool>()) {
        pools[pool.id.name] =
            pool_json(front_.query([&pool](const serving::dispatcher& dispatcher) {
                return dispatcher.figures(pool.id);
            }));
    }
    object["pools"] = std::move(pools);
    co_return net::json_response(200, json::serialize(object));
}

} // namespace quetzal::node
