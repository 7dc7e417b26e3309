#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <quetzal/gateway/caller_request.hpp>
#include <quetzal/testing/section.hpp>

#include "test_names.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::gateway::testing::test_names;
using quetzal::testing::check;
using quetzal::testing::section;
namespace http = boost::beast::http;

namespace {

result<caller_request> read(const http::fields& headers, std::string target = "/a/?q=1")
{
    return read_caller_request("POST", std::move(target), headers, "body", test_names(), {});
}

} // namespace

// Guards against callers that set headers reserved for the gateway, and against keys that are
// forwarded to an endpoint.
Test(caller_request, forwards_only_permitted_headers)
{
    http::fields headers;
    headers.set("Host", "Pule25.Example:80");
    headers.set("Id", "abc");
    headers.set("Key", "secret");
    headers.set("Deadline", "1500");
    headers.set("Customer", "forged");
    headers.set("Expect-Endpoint", "forged");
    headers.set("Priority", "0");
    headers.set("Inputs", "forged");
    headers.set("Hold", "forged");
    headers.set("kv-from", "forged");
    headers.set("Connection", "keep-alive, X-Hop");
    headers.set("X-Hop", "1");
    headers.set("X-Kept", "yes");
    const auto request = read(headers);
    check(request.has_value(), "the request is valid");
    section("the gateway reads its own headers", [&] {
        check(request->host == "pule25.example", "the host is in lower case and without port");
        check(request->path() == "/a/", "the path excludes the query");
        check(request->key == "secret" && request->id == "abc", "key and id are read");
        check(request->caller_timeout == std::chrono::milliseconds(1500),
              "the caller's timeout is read");
    });
    section("only permitted headers are forwarded", [&] {
        const auto& lines = request->forwarded_headers;
        check(lines.find("X-Kept: yes\r\n") != std::string::npos,
              "an unrelated header is forwarded");
        check(lines.find("Id: abc\r\n") != std::string::npos, "the id is forwarded unchanged");
        check(lines.find("forged") == std::string::npos, "reserved headers are removed");
        check(lines.find("secret") == std::string::npos, "the key is removed");
        check(lines.find("X-Hop") == std::string::npos, "hop-by-hop headers are removed");
    });
}

Test(caller_request, rejects_malformed_requests)
{
    http::fields good;
    good.set("Host", "h");
    good.set("Id", "abc");
    check(read(good).has_value(), "a request with host and id only is valid");
    check(!read(good, "http://h/a/"), "a target that is not a path is rejected");
    check(!read({}), "a missing id is rejected");
    for (const auto& [name, value] : {std::pair("Deadline", "1s"), std::pair("Prompt", "a:b"),
                                      std::pair("Deadline", "-5"), std::pair("Prompt", "x")})
    {
        http::fields bad = good;
        bad.set(name, value);
        const auto request = read(bad);
        check(!request && request.error().run == verdict::not_run,
              std::string("rejected as not run: ") + value);
    }
    http::fields twice = good;
    twice.insert("Id", "other");
    check(!read(twice), "a repeated id is rejected");
}

// Guards against sessions that are all sent to the same few endpoints because they share a prompt
// template.
Test(caller_request, keeps_the_two_longest_prompt_prefixes)
{
    const auto prefixes = [](const char* text) {
        http::fields headers;
        headers.set("Host", "h");
        headers.set("Id", "abc");
        headers.set("Prompt", text);
        return read(headers)->prefixes;
    };
    const auto first = prefixes("5c:800,91:410,e4:250");
    const auto same_session = prefixes("5c:800,91:410,ff:90");
    const auto other_session = prefixes("5c:800,92:410,e4:250");
    check(first.size() == 2 && first[0].tokens == 1210 && first[1].tokens == 1460,
          "the two longest prefixes are kept");
    check(first[0].hash == same_session[0].hash, "requests of a session share a prefix");
    check(first[0].hash != other_session[0].hash, "different sessions have different prefixes");
    check(prefixes("5c:800").size() == 1, "a single part is kept");
}

// Guards against a request that crashes one endpoint after another because its repeats are not
// recognized: all parts of their prompts but the last one are shared with sound requests.
Test(caller_request, repeats_of_a_prompt_are_recognized)
{
    const auto keys_of = [](const std::string& prompt) {
        http::fields headers;
        headers.set("Host", "h");
        headers.set("Id", "abc");
        headers.set("Prompt", prompt);
        const auto request = read(headers);
        check(request.has_value(), "the request is valid");
        return request->quarantine_keys;
    };
    const auto keys = keys_of("a:5,b:6,c:7");
    const auto other = keys_of("a:5,b:6,d:7");
    check(keys.size() == 3, "a key for each shared part and one for the whole prompt");
    check(keys_of("a:5,b:6,c:7") == keys, "a repeat has the same keys");
    check(other[0] == keys[0] && other[1] == keys[1],
          "another request shares the keys of its parts");
    check(other[2] != keys[2], "and has another key for the whole prompt");
    check(keys_of("x:5,b:6,c:7")[2] != keys[2], "the key of the whole prompt covers all parts");
}
