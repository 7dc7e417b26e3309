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
    std::string_view former;
    std::string_view next;
    std::string_view message; // beginning
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

// Guards against an instance that starts with a value its operator did not mean, and against an
// error that does not tell where to look.
Test(settings, every_kind_of_error_is_reported_with_its_place)
{
    section("the unchanged text is accepted", [] {
        const auto all = parse_settings(small_settings, "f");
        check(all.has_value(), all ? "" : all.error().front().message());
        check(all->instance == instance_id("q-1"), "name");
        check(all->limits.body_size == 64u << 20, "size with unit");
        check(all->limits.slow_sender_timeout == std::chrono::milliseconds(250), "time with unit");
        check(all->limits.stream_buffer == design_stream_buffer, "default");
        check(all->platform.instance_list == socket_address{"fd00::1", 8501}, "IPv6 address");
        check(!all->tls && !all->peers.previous, "optional tables");
    });
    section("each fault is found", [] {
        std::string mismatches;
        for (const auto& [former, next, message] : faults) {
            const std::string text = replaced(small_settings, former, next);
            check(!text.empty(), "the fault applies");
            const auto all = parse_settings(text, "f");
            const std::string found = all ? "no error" : all.error().front().message();
            if (!found.starts_with(message)) {
                mismatches +=
                    "\nfound \"" + found + "\" instead of \"" + std::string(message) + "\"";
            }
        }
        check(mismatches.empty(), mismatches);
    });
}

// Guards against a start that fails once for each mistake in a file.
Test(settings, all_errors_of_a_file_are_listed_in_order)
{
    const auto all = parse_settings("instance = \"\"\nzone = 4\nregion = \"n\"\ncolour = 1\n"
                                    "[listen]\naddress = \"x\"\n[platform]\n[peers]\n"
                                    "[limits]\nbody_size = \"1TB\"\nconnections = \"many\"\n",
                                    "f");
    check(!all.has_value(), "refused");
    std::vector<std::string> names;
    for (const auto& error : all.error()) {
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
    check(!parse_settings(std::string(max_settings_size + 1, ' '), "f"), "oversized");
}

// Guards against secrets in logs: errors are logged at the start.
Test(settings, errors_never_show_a_secret)
{
    const auto all = parse_settings(
        replaced(small_settings, "\"0123456789abcdef\"", "\"hidden\"\nsecret2 = \"hidden\""), "f");
    for (const auto& error : all.error()) {
        check(error.message().find("hidden") == std::string::npos, error.message());
    }
}

// Guards against an example that no longer matches the parser or the documented defaults.
Test(settings, the_example_file_parses_and_shows_the_defaults)
{
    const auto path =
        std::filesystem::path(__FILE__).parent_path() / "../../../examples/settings/entry.toml";
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const auto all = parse_settings(text.str(), "entry.toml");
    check(all.has_value(), all ? "" : all.error().front().message());
    const limit_settings defaults;
    check(all->limits.header_size == defaults.header_size, "header_size");
    check(all->limits.body_size == defaults.body_size, "body_size");
    check(all->limits.slow_sender_timeout == defaults.slow_sender_timeout, "slow_sender_timeout");
    check(all->limits.stream_buffer == defaults.stream_buffer, "stream_buffer");
    check(all->limits.connections == defaults.connections, "connections");
    check(all->limits.total_memory == defaults.total_memory, "total_memory");
    check(all->runtime.threads == runtime_settings{}.threads, "threads");
    check(all->runtime.shards == runtime_settings{}.shards, "shards");
}
