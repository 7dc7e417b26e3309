// `quetzalctl status`, `documents`, `explain`, `drain` and `report burn`: the operators' interface
// of the instances.

#include <cstdio>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <quetzal/burn/report.hpp>
#include <quetzal/burn/snapshot.hpp>

#include "commands.hpp"
#include "http.hpp"

namespace quetzal::ctl {

namespace json = boost::json;

namespace {

bool require_instances(const options& chosen)
{
    if (chosen.instances.empty()) {
        std::fprintf(
            stderr,
            "quetzalctl: name the operator port of at least one instance with --instance\n");
        return false;
    }
    return true;
}

net::http_request make_request(const char* method, const char* path, std::string query = {})
{
    net::http_request request;
    request.method = method;
    request.path = path;
    request.query = std::move(query);
    return request;
}

std::string text_of(const json::value& value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

void print_status(const json::object& status)
{
    std::printf("%s: %s, zone %s, configuration %s, instance list %s, running %s\n",
                text_of(status.at("instance")).c_str(),
                status.at("ready").as_bool() ? "ready" : "not ready",
                text_of(status.at("zone")).c_str(), text_of(status.at("config_version")).c_str(),
                text_of(status.at("list_revision")).c_str(),
                text_of(status.at("requests_running")).c_str());
    if (const auto waiting = text_of(status.at("waiting_for")); !waiting.empty()) {
        std::printf("  waiting for: %s\n", waiting.c_str());
    }
    if (const auto* refused = status.if_contains("last_refused_configuration")) {
        std::printf("  refused configuration: %s\n", text_of(*refused).c_str());
    }
    std::printf("  rights: %s\n", text_of(status.at("rights")).c_str());
    for (const auto& member : status.at("members").as_array()) {
        std::printf("  member %s: %s, zone %s, configuration %s\n",
                    text_of(member.at("instance")).c_str(), text_of(member.at("state")).c_str(),
                    text_of(member.at("zone")).c_str(),
                    text_of(member.at("config_version")).c_str());
    }
    for (const auto& [name, pool] : status.at("pools").as_object()) {
        std::printf("  pool %s: %s\n", std::string(name).c_str(), text_of(pool).c_str());
    }
}

void print_no_answer(const std::string& instance, const std::string& detail)
{
    std::fprintf(stderr, "%s: no answer: %s\n", instance.c_str(), detail.c_str());
}

// Calls every instance; `each` gets the bodies of those that answered with 200.
int for_each_instance(const options& chosen, const net::http_request& request, unsigned expected,
                      const std::function<void(const std::string&, const std::string&)>& each)
{
    int code = exit_ok;
    for (const auto& instance : chosen.instances) {
        const auto response = call(instance, request);
        if (!response || response->status != expected) {
            print_no_answer(instance, response ? response->body : response.error().detail);
            code = exit_failed;
            continue;
        }
        each(instance, response->body);
    }
    return code;
}

// Returns the value of a metric without labels as text, or "unknown".
std::string metric(const std::string& text, const std::string& name)
{
    const std::string padded = "\n" + text;
    const std::size_t line = padded.find("\n" + name + " ");
    if (line == std::string::npos) {
        return "unknown";
    }
    const std::size_t begin = line + name.size() + 2;
    return padded.substr(begin, padded.find('\n', begin) - begin);
}

// Names of the values that `documents` prints, and the metrics that hold them.
constexpr std::pair<const char*, const char*> document_metrics[] = {
    {"era", "quetzal_store_era"},
    {"revision", "quetzal_store_revision"},
    {"configuration", "quetzal_configuration_version"},
    {"held", "quetzal_documents_held"},
    {"store_silent_s", "quetzal_view_age_seconds"}};

} // namespace

int run_documents(const options& chosen)
{
    if (!require_instances(chosen)) {
        return exit_invalid;
    }
    json::array all;
    const int code =
        for_each_instance(chosen, make_request("GET", "/metrics"), 200,
                          [&](const std::string& instance, const std::string& body) {
                              json::object values{{"instance", instance}};
                              std::string line = instance + ":";
                              for (const auto& [name, series] : document_metrics) {
                                  values[name] = metric(body, series);
                                  line += std::string(" ") + name + " " + metric(body, series);
                              }
                              all.push_back(values);
                              if (!chosen.json) {
                                  std::printf("%s\n", line.c_str());
                              }
                          });
    if (chosen.json) {
        std::printf("%s\n", json::serialize(all).c_str());
    }
    return code;
}

int run_status(const options& chosen)
{
    if (!require_instances(chosen)) {
        return exit_invalid;
    }
    json::array all;
    const int code = for_each_instance(chosen, make_request("GET", "/v1/status"), 200,
                                       [&](const std::string&, const std::string& body) {
                                           all.push_back(json::parse(body));
                                           if (!chosen.json) {
                                               print_status(all.back().as_object());
                                           }
                                       });
    if (chosen.json) {
        std::printf("%s\n", json::serialize(all).c_str());
    }
    return code;
}

int run_explain(const options& chosen)
{
    if (chosen.arguments.size() > 1 && chosen.instances.empty()) {
        return run_explain_logs(chosen);
    }
    if (!require_instances(chosen) || chosen.arguments.size() != 1) {
        std::fprintf(stderr, "quetzalctl: explain needs one request identity\n");
        return exit_invalid;
    }
    const auto request =
        make_request("GET", "/v1/explain", "request=" + net::percent_encode(chosen.arguments[0]));
    return for_each_instance(
        chosen, request, 200, [&](const std::string&, const std::string& body) {
            if (chosen.json) {
                std::printf("%s\n", body.c_str());
                return;
            }
            const json::value value = json::parse(body);
            for (const auto& step : value.at("steps").as_array()) {
                std::printf("%10s us  %s\n", text_of(step.at("after_us")).c_str(),
                            text_of(step.at("what")).c_str());
            }
        });
}

int run_drain(const options& chosen)
{
    if (!require_instances(chosen)) {
        return exit_invalid;
    }
    return for_each_instance(
        chosen, make_request("POST", "/v1/drain"), 202,
        [&](const std::string& instance, const std::string& body) {
            std::printf("%s\n", chosen.json ? body.c_str() : (instance + ": draining").c_str());
        });
}

int run_report(const options& chosen)
{
    if (chosen.arguments != std::vector<std::string>{"burn"} || !require_instances(chosen)) {
        std::fprintf(stderr, "quetzalctl: the only report is: report burn\n");
        return exit_invalid;
    }
    std::vector<burn::snapshot> snapshots;
    std::vector<instance_id> expected;
    int code = exit_ok;
    for (const auto& instance : chosen.instances) {
        const auto response = call(instance, make_request("GET", "/v1/burn"));
        auto parsed = response && response->status == 200
                          ? burn::parse_snapshot(response->body)
                          : tl::expected<burn::snapshot, std::string>(tl::unexpect, "no answer");
        if (parsed) {
            expected.push_back(parsed->instance);
            snapshots.push_back(std::move(*parsed));
        } else {
            // The name of a silent instance is unknown here; its address stands for it in the
            // report.
            expected.emplace_back(instance);
            code = exit_failed;
        }
    }
    const auto merged = burn::merge(snapshots, expected);
    const std::string text = chosen.html   ? burn::render_html(merged)
                             : chosen.json ? burn::render_json(merged)
                                           : burn::render_text(merged);
    std::printf("%s\n", text.c_str());
    return code;
}

} // namespace quetzal::ctl
