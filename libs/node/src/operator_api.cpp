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

// Returns the resident memory in bytes, from the second field of /proc/self/statm; see proc(5).
double resident_memory_bytes()
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

json::object pool_json(const serving::dispatcher::pool_figures& statistics)
{
    return {
        {"waiting_requests", statistics.waiting_requests},
        {"waiting_calls", statistics.waiting_calls},
        {"running", statistics.running},
        {"usable", statistics.usable},
        {"ejected", statistics.ejected},
        {"retries", statistics.retries},
        {"hedges", statistics.hedges},
        {"p95_ms", std::chrono::duration_cast<std::chrono::milliseconds>(statistics.p95).count()}};
}

} // namespace

operator_api::operator_api(shared_state& state, control_plane& control, request_engine& engine,
                           locked_dispatcher& dispatcher, std::function<void()> drain)
    : state_(state), control_(control), engine_(engine), dispatcher_(dispatcher),
      drain_(std::move(drain))
{
}

void operator_api::add_server_metrics(std::string name, const net::server_counters& counters)
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
    auto& metrics_registry = state_.metrics;
    for (const auto& [name, counters] : servers_) {
        const std::vector<telemetry::label> labels{{"server", name}};
        metrics_registry.set("quetzal_connections_open", labels,
                             static_cast<double>(counters->open));
        metrics_registry.set("quetzal_connections_accepted_total", labels,
                             static_cast<double>(counters->accepted));
        metrics_registry.set("quetzal_connections_rejected_total", labels,
                             static_cast<double>(counters->rejected));
        metrics_registry.set("quetzal_malformed_requests_total", labels,
                             static_cast<double>(counters->malformed));
        metrics_registry.set("quetzal_slow_senders_total", labels,
                             static_cast<double>(counters->timed_out));
    }
    const auto& peers = control_.counters();
    metrics_registry.set("quetzal_peer_sent_total", {}, static_cast<double>(peers.sent));
    metrics_registry.set("quetzal_peer_sent_bytes_total", {},
                         static_cast<double>(peers.sent_bytes));
    metrics_registry.set("quetzal_peer_received_total", {}, static_cast<double>(peers.received));
    metrics_registry.set("quetzal_peer_received_bytes_total", {},
                         static_cast<double>(peers.received_bytes));
    for (std::size_t cause = 0; cause < peers.dropped.size(); ++cause) {
        metrics_registry.set(
            "quetzal_peer_dropped_total",
            {{"cause", std::string(to_string(static_cast<peer::drop_cause>(cause)))}},
            static_cast<double>(peers.dropped[cause]));
    }
    metrics_registry.set("quetzal_requests_running", {},
                         static_cast<double>(engine_.running_count()));
    metrics_registry.set("quetzal_ready", {}, state_.ready ? 1 : 0);
    metrics_registry.set("process_resident_memory_bytes", {}, resident_memory_bytes());
    const auto [config, list] = state_.current();
    metrics_registry.set("quetzal_config_version", {},
                         config ? static_cast<double>(config->version) : 0);
    metrics_registry.set("quetzal_list_revision", {},
                         list ? static_cast<double>(list->revision) : 0);
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_registry.render()};
}

net::http_response operator_api::explain(const net::http_request& request) const
{
    // The sequence number is the third part from the end of an identity; see `request_identity`.
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
    const auto explanation = dispatcher_.query([sequence](const serving::dispatcher& dispatcher) {
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
    object["home_here"] = home.is_local;
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
    object["requests_running"] = engine_.running_count();
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
            pool_json(dispatcher_.query([&pool](const serving::dispatcher& dispatcher) {
                return dispatcher.figures(pool.id);
            }));
    }
    object["pools"] = std::move(pools);
    co_return net::json_response(200, json::serialize(object));
}

} // namespace quetzal::node
