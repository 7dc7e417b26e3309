#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <quetzal/config/settings.hpp>

#include "test_documents.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::config;
using namespace quetzal::config::test;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

struct fault
{
    std::string_view original;
    std::string_view replacement;
    std::string_view message; // expected beginning
};

constexpr fault faults[]{
    {"instance = \"q-1\"", "", "f:1:1: instance: expected a value; the name is missing"},
    {"instance = \"q-1\"", "instance = \"q 1\"", "f:1:12: instance: expected 1 to 64 characters"},
    {"region =", "regoin =", "f:1:1: region: expected a value"},
    {"[listen]", "[listening]", "f:1:1: listen: expected a value"},
    {"zone = \"a\"", "zone = \"a\"\nzone = \"b\"", "f:3:8: TOML: expected valid TOML"},
    {"zone = \"a\"", "zone = 1", "f:2:8: zone: expected a non-empty string"},
    {"\"10.0.1.5\"", "\"localhost\"", "f:5:11: listen.address: expected a numeric IP address"},
    {"8081", "8080", "f:7:17: listen.operator_port: expected a port that differs"},
    {"8082", "65536", "f:8:13: listen.peer_port: expected a whole number from 1 to 65535"},
    {"\"10.0.9.1:8500\"", "\"10.0.9.1\"", "f:10:17: platform.configuration: expected a numeric"},
    {"[fd00::1]", "fd00::1", "f:11:17: platform.instance_list: expected a numeric"},
    {"id = 1", "id = 256", "f:13:6: peers.current.id: expected a whole number from 0 to 255"},
    {"\"0123456789abcdef\"", "\"0123456789abcde\"",
     "f:14:10: peers.current.secret: expected at least 16 bytes"},
    {"[limits]", "[peers.previous]\nid = 1\nsecret = \"0123456789abcdeg\"\n[limits]",
     "f:15:1: peers.previous: expected an id that differs"},
    {"[limits]", "[tls]\nkey_file = \"k\"\n[limits]",
     "f:15:1: tls.certificate_file: expected a value"},
    {"[limits]", "[log]\nlevel = \"loud\"\n[limits]",
     "f:16:9: log.level: expected one of \"trace\""},
    {"\"64MiB\"", "\"64MB\"", "f:16:13: limits.body_size: expected a string with a whole number"},
    {"\"64MiB\"", "67108864", "f:16:13: limits.body_size: expected a string with a whole number"},
    {"\"64MiB\"", "\"65MiB\"", "f:16:13: limits.body_size: expected a size from 1KiB to 64MiB"},
    {"\"64MiB\"", "\"64MiB\"\ntotal_memory = \"63MiB\"",
     "f:16:13: limits.body_size: expected a size no greater than total_memory"},
    {"\"250ms\"", "\"0s\"",
     "f:17:23: limits.slow_sender_timeout: expected a duration from 100ms to 600000ms"},
    {"[limits]", "[runtime]\nshards = 12\n[limits]",
     "f:16:10: runtime.shards: expected a power of two"},
    {"[limits]", "[limits]\nbody = \"1MiB\"",
     "f:16:1: limits.body: expected one of the names body_size connections"},
};

} // namespace

// Guards against an instance that starts with a value that its operator did not intend, and against
// an error that does not tell its position.
Test(settings, reports_every_kind_of_error_with_its_position)
{
    section("the unchanged text is accepted", [] {
        const auto parsed = parse_settings(small_settings, "f");
        check(parsed.has_value(), parsed ? "" : parsed.error().front().message());
        check(parsed->instance == instance_id("q-1"), "the instance name is read");
        check(parsed->limits.body_size == 64u << 20, "a size with a unit is read");
        check(parsed->limits.slow_sender_timeout == std::chrono::milliseconds(250),
              "a duration with a unit is read");
        check(parsed->limits.stream_buffer == max_stream_buffer,
              "an absent member has its default");
        check(parsed->platform.instance_list == socket_address{"fd00::1", 8501},
              "an IPv6 address is read");
        check(!parsed->tls && !parsed->peers.previous, "absent optional tables are empty");
    });
    section("each fault is reported", [] {
        std::string mismatches;
        for (const auto& [original, replacement, message] : faults) {
            const std::string text = replaced(small_settings, original, replacement);
            check(!text.empty(), "the valid text contains the replaced part");
            const auto parsed = parse_settings(text, "f");
            const std::string found = parsed ? "no error" : parsed.error().front().message();
            if (!found.starts_with(message)) {
                mismatches +=
                    "\nfound \"" + found + "\" instead of \"" + std::string(message) + "\"";
            }
        }
        check(mismatches.empty(), mismatches);
    });
}

// Guards against reporting only the first error, so that an operator has to restart the instance
// once for each error in the file.
Test(settings, reports_all_errors_of_a_file_in_order)
{
    const auto parsed = parse_settings("instance = \"\"\nzone = 4\nregion = \"n\"\ncolour = 1\n"
                                       "[listen]\naddress = \"x\"\n[platform]\n[peers]\n"
                                       "[limits]\nbody_size = \"1TB\"\nconnections = \"many\"\n",
                                       "f");
    check(!parsed.has_value(), "the file is rejected");
    std::vector<std::string> names;
    for (const auto& error : parsed.error()) {
        names.push_back(error.name);
    }
    const std::vector<std::string> expected{"instance",
                                            "zone",
                                            "colour",
                                            "listen.caller_port",
                                            "listen.operator_port",
                                            "listen.peer_port",
                                            "listen.address",
                                            "platform.configuration",
                                            "platform.instance_list",
                                            "peers.current",
                                            "peers.current.id",
                                            "peers.current.secret",
                                            "limits.body_size",
                                            "limits.connections"};
    std::string found;
    for (const auto& name : names) {
        found += name + " ";
    }
    check(names == expected, found);
    check(!parse_settings(std::string(max_settings_size + 1, ' '), "f"),
          "an oversized file is rejected");
}

// Guards against secrets in logs, because errors of the settings are logged at startup.
Test(settings, errors_never_contain_a_secret)
{
    const auto parsed = parse_settings(
        replaced(small_settings, "\"0123456789abcdef\"", "\"hidden\"\nsecret2 = \"hidden\""), "f");
    for (const auto& error : parsed.error()) {
        check(error.message().find("hidden") == std::string::npos, error.message());
    }
}

// Guards against an example file that the parser rejects or that does not show the defaults.
Test(settings, example_file_is_valid_and_shows_the_defaults)
{
    const auto path =
        std::filesystem::path(__FILE__).parent_path() / "../../../examples/settings/entry.toml";
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed = parse_settings(text.str(), "entry.toml");
    check(parsed.has_value(), parsed ? "" : parsed.error().front().message());
    const limit_settings defaults;
    check(parsed->limits.header_size == defaults.header_size, "header_size");
    check(parsed->limits.body_size == defaults.body_size, "body_size");
    check(parsed->limits.slow_sender_timeout == defaults.slow_sender_timeout,
          "slow_sender_timeout");
    check(parsed->limits.stream_buffer == defaults.stream_buffer, "stream_buffer");
    check(parsed->limits.connections == defaults.connections, "connections");
    check(parsed->limits.total_memory == defaults.total_memory, "total_memory");
    check(parsed->runtime.threads == runtime_settings{}.threads, "threads");
    check(parsed->runtime.shards == runtime_settings{}.shards, "shards");
}
