// `quetzalctl send`: sends requests as a caller does: asks for an address, gets an identity for
// classes that are not idempotent, streams the answer and resumes it when the connection breaks.

#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "commands.hpp"
#include "http.hpp"

namespace quetzal::ctl {

namespace json = boost::json;

namespace {

constexpr int max_resumes = 5;

struct order
{
    std::string work_class;
    std::string customer;
    std::string body;
};

// What became of an order.
struct fate
{
    std::string verdict = "may_have_run";
    std::string reason; // empty: the whole answer arrived
    std::string identity;
    std::string answer;
    std::chrono::milliseconds took{};
};

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::fprintf(stderr, "quetzalctl: %s cannot be read\n", path.c_str());
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

std::string member(const json::value& value, std::string_view name)
{
    const auto* object = value.if_object();
    const auto* found = object == nullptr ? nullptr : object->if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string()) : "";
}

// Keys by customer; the empty name stands for a file that holds one key.
std::optional<std::map<std::string, std::string>> read_keys(const std::string& path)
{
    std::map<std::string, std::string> keys;
    if (path.empty()) {
        return keys;
    }
    auto text = read_file(path);
    if (!text) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const json::value value = json::parse(*text, error);
    if (!error && value.is_object()) {
        for (const auto& [customer, key] : value.get_object()) {
            keys[std::string(customer)] = std::string(key.as_string());
        }
        return keys;
    }
    while (!text->empty() && (text->back() == '\n' || text->back() == '\r')) {
        text->pop_back();
    }
    keys[""] = *text;
    return keys;
}

std::optional<std::vector<order>> read_orders(const options& chosen)
{
    if (chosen.orders_file.empty()) {
        return std::vector<order>{
            {chosen.work_class, "", chosen.arguments.empty() ? "" : chosen.arguments.front()}};
    }
    const auto text = read_file(chosen.orders_file);
    if (!text) {
        return std::nullopt;
    }
    std::vector<order> orders;
    std::istringstream lines(*text);
    for (std::string line; std::getline(lines, line);) {
        boost::system::error_code error;
        const json::value value = json::parse(line, error);
        if (error) {
            std::fprintf(stderr, "quetzalctl: %s:%zu: not a JSON object\n",
                         chosen.orders_file.c_str(), orders.size() + 1);
            return std::nullopt;
        }
        orders.push_back(
            {member(value, "class"), member(value, "customer"), member(value, "body")});
    }
    return orders;
}

class sender
{
public:
    sender(const options& chosen, std::map<std::string, std::string> keys)
        : chosen_(chosen), keys_(std::move(keys))
    {
    }

    fate send(const order& work)
    {
        const auto begin = std::chrono::steady_clock::now();
        fate result = send_untimed(work);
        result.took = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - begin);
        return result;
    }

private:
    net::http_request make_request(const char* method, const std::string& path,
                                   const order& work) const
    {
        net::http_request request;
        request.method = method;
        request.path = path;
        const auto named = keys_.find(work.customer);
        const auto key = named == keys_.end() ? keys_.find("") : named;
        if (key != keys_.end()) {
            request.headers.add("Authorization", "Bearer " + key->second);
        }
        return request;
    }

    // Asks the known instances in turn which one to use.
    std::string choose_address(const order& work) const
    {
        for (const auto& instance : chosen_.instances) {
            auto request = make_request("GET", "/v1/address", work);
            request.query = "caller=" + net::percent_encode(work.customer + work.body);
            const auto response = call(instance, request);
            if (response && response->status == 200) {
                return member(json::parse(response->body), "address");
            }
        }
        return chosen_.instances.front();
    }

    fate send_untimed(const order& work) const
    {
        const std::string address = choose_address(work);
        auto request = make_request("POST", "/v1/requests", work);
        request.headers.add("Quetzal-Class", work.work_class);
        if (!chosen_.deadline.empty()) {
            request.headers.add("Quetzal-Deadline", chosen_.deadline);
        }
        fate result;
        result.identity = chosen_.identity;
        if (result.identity.empty()) {
            const auto issued = call(address, make_request("POST", "/v1/identities", work));
            if (issued && issued->status == 200) {
                result.identity = member(json::parse(issued->body), "identity");
            }
        }
        if (!result.identity.empty()) {
            request.headers.add("Quetzal-Request-Id", result.identity);
        }
        request.body = work.body;
        receive(address, request, work, result);
        return result;
    }

    void receive(const std::string& address, net::http_request request, const order& work,
                 fate& result) const
    {
        std::string offset = "0";
        for (int attempt = 0; attempt <= max_resumes; ++attempt) {
            const auto outcome = stream(address, request, [&](const server_event& event) {
                if (event.name == "data") {
                    result.answer += decode(event.data);
                    offset = event.id;
                } else {
                    note_end(event.data, event.name == "end", result);
                }
            });
            if (outcome && outcome->status != 200) {
                note_end(outcome->body, false, result);
                return;
            }
            if (outcome && outcome->ended) {
                return;
            }
            if (!outcome && outcome.error().run == verdict::not_run && attempt == 0) {
                result.verdict = "not_run";
                result.reason = outcome.error().detail;
                return;
            }
            if (result.identity.empty()) {
                result.reason = "the connection broke";
                return;
            }
            request =
                make_request("GET", "/v1/requests/" + net::percent_encode(result.identity), work);
            request.query = "offset=" + offset;
        }
        result.reason = "the connection broke too often";
    }

    // The data of an event is one JSON value; strings are shown without their quotes.
    static std::string decode(const std::string& data)
    {
        boost::system::error_code error;
        const json::value value = json::parse(data, error);
        return !error && value.is_string() ? std::string(value.get_string()) : data;
    }

    static void note_end(const std::string& text, bool whole, fate& result)
    {
        boost::system::error_code error;
        const json::value value = json::parse(text, error);
        result.verdict = member(value, "verdict");
        result.reason = whole ? "" : member(value, "reason") + ": " + member(value, "detail");
    }

    const options& chosen_;
    std::map<std::string, std::string> keys_;
};

struct class_summary
{
    int whole = 0;
    int not_run = 0;
    int other = 0;
    std::chrono::milliseconds slowest{};
};

void print_fate(const options& chosen, const order& work, const fate& result)
{
    if (chosen.json) {
        const json::object object{{"class", work.work_class},      {"customer", work.customer},
                                  {"identity", result.identity},   {"verdict", result.verdict},
                                  {"reason", result.reason},       {"answer", result.answer},
                                  {"took_ms", result.took.count()}};
        std::printf("%s\n", json::serialize(object).c_str());
        return;
    }
    const std::string what = result.reason.empty() ? "whole answer" : result.reason;
    std::printf("%-12s %-16s %5lld ms  %-12s %s\n", work.work_class.c_str(),
                work.customer.empty() ? "(open)" : work.customer.c_str(),
                static_cast<long long>(result.took.count()), result.verdict.c_str(), what.c_str());
}

void print_summary(const std::map<std::string, class_summary>& summaries)
{
    std::printf("\n%-12s %6s %8s %6s %10s\n", "class", "whole", "not run", "other", "slowest");
    for (const auto& [name, summary] : summaries) {
        std::printf("%-12s %6d %8d %6d %7lld ms\n", name.c_str(), summary.whole, summary.not_run,
                    summary.other, static_cast<long long>(summary.slowest.count()));
    }
}

} // namespace

int run_send(const options& chosen)
{
    auto keys = read_keys(chosen.key_file);
    const auto orders = read_orders(chosen);
    if (!keys || !orders) {
        return exit_invalid;
    }
    if (chosen.instances.empty() || (chosen.work_class.empty() && chosen.orders_file.empty())) {
        std::fprintf(stderr,
                     "quetzalctl: send needs --instance (caller port) and --class or --orders\n");
        return exit_invalid;
    }
    sender client(chosen, std::move(*keys));
    std::map<std::string, class_summary> summaries;
    bool all_whole = true;
    for (const auto& work : *orders) {
        const fate result = client.send(work);
        auto& summary = summaries[work.work_class];
        const bool whole = result.reason.empty();
        all_whole = all_whole && whole;
        ++(whole ? summary.whole : result.verdict == "not_run" ? summary.not_run : summary.other);
        summary.slowest = std::max(summary.slowest, result.took);
        print_fate(chosen, work, result);
        if (orders->size() == 1 && !chosen.json) {
            std::printf("%s\n%s\n", result.identity.c_str(), result.answer.c_str());
        }
    }
    if (!chosen.orders_file.empty() && !chosen.json) {
        print_summary(summaries);
    }
    return all_whole ? exit_ok : exit_failed;
}

} // namespace quetzal::ctl
