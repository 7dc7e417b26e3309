#include <array>
#include <string>

#include <quetzal/config/instance_list.hpp>
#include <quetzal/config/published.hpp>

#include "test_documents.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::config;
using namespace quetzal::config::test;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// A change that makes a valid text invalid, and the expected position of the error.
struct fault
{
    std::string_view original;
    std::string_view replacement;
    std::string_view name; // expected in the error
    std::size_t line;      // expected line in the changed text
};

template <class Parse>
void check_faults(std::string_view text, const auto& faults, Parse parse)
{
    std::string mismatches;
    for (const auto& [original, replacement, name, line] : faults) {
        const std::string changed = replaced(text, original, replacement);
        check(!changed.empty(), "the valid text contains " + std::string(original));
        const auto parsed = parse(changed);
        const parse_error found = parsed ? parse_error{} : parsed.error();
        if (found.name != name || found.line != line || found.column == 0) {
            mismatches += "\nfound \"" + found.message() + "\" instead of " + std::string(name) +
                          " in line " + std::to_string(line);
        }
    }
    check(mismatches.empty(), mismatches);
}

constexpr std::array published_faults{
    // Syntax and structure.
    fault{"{\n", "[", "JSON", 1},
    fault{"\"version\": 7,", "\"version\": 7", "JSON", 3},
    fault{"]\n}", "]\n} x", "JSON", 28},
    fault{"\"version\": 7,", "", "version", 1},
    fault{"[\"north\"]", "\"north\"", "regions", 3},
    fault{"{\"deadline\": \"2s\"}", "7", "classes[1].target", 21},
    // Names.
    fault{"\"version\": 7", "\"version\": 7, \"versoin\": 8", "versoin", 2},
    fault{"\"rate\": 1", "\"rate\": 1, \"weight\": 2", "customers[1].weight", 26},
    fault{"\"rate\": 1", "\"rate\": 1, \"rate\": 9", "customers[1].rate", 26},
    fault{"\"rate\": 1", "\"r\\u0061te\": 1", "customers[1].r\\u0061te", 26},
    fault{"\"c-2\"", "\"c-1\"", "customers[1].name", 26},
    fault{"\"c-2\"", "\"c 2\"", "customers[1].name", 26},
    fault{"\"c-2\"", "\"\"", "customers[1].name", 26},
    fault{"[\"north\"]", "[\"north\", \"north\"]", "regions[1]", 3},
    fault{"{\"name\": \"b\"", "{\"name\": \"a\"", "zones[1].name", 6},
    fault{"\"find\"", "\"answer\"", "pipelines[0].stages[1].after[0]", 15},
    fault{"\"book\", \"s", "\"lookup\", \"s", "pipelines[1].name", 17},
    // References and cycles.
    fault{"\"region\": \"north\"}", "\"region\": \"south\"}", "zones[0].region", 5},
    fault{"\"pool\": \"generate\"", "\"pool\": \"rerank\"", "pipelines[0].stages[1].pool", 15},
    fault{"\"pipeline\": \"book\"", "\"pipeline\": \"pay\"", "classes[1].pipeline", 21},
    fault{"[\"find\"]", "[\"answer\"]", "pipelines[0].stages[1].after[0]", 15},
    fault{"[\"find\"]", "[\"find\", \"find\"]", "pipelines[0].stages[1].after[1]", 15},
    fault{"\"pool\": \"retrieve\"}", "\"pool\": \"retrieve\", \"after\": [\"answer\"]}",
          "pipelines[0].stages[0].after[0]", 14},
    // Values, ranges and units.
    fault{"\"version\": 7", "\"version\": 0", "version", 2},
    fault{"\"version\": 7", "\"version\": -7", "version", 2},
    fault{"\"version\": 7", "\"version\": 7.5", "version", 2},
    fault{"\"version\": 7", "\"version\": \"7\"", "version", 2},
    fault{"\"out\"", "\"drained\"", "zones[1].state", 6},
    fault{"\"cold_concurrency\": 2", "\"cold_concurrency\": 9", "pools[1].cold_concurrency", 10},
    fault{"\"concurrency\": 4", "\"concurrency\": 0", "pools[0].concurrency", 9},
    fault{"\"8s\"", "\"8\"", "classes[0].target.deadline", 20},
    fault{"\"8s\"", "\"11min\"", "classes[0].target.deadline", 20},
    fault{"\"8s\"", "\"8s\", \"attainment\": 1", "classes[0].target.attainment", 20},
    fault{"\"1300ms\"", "\"9s\"", "classes[0].target.first_token", 20},
    fault{"\"open_rate\": 5, ", "", "classes[2].open_rate", 22},
    fault{"\"open\": true", "\"open\": 1", "classes[2].open", 22},
    fault{"\"idempotent\": false, \"target\"", "\"target\"", "classes[1].idempotent", 21},
    fault{"2.5", "1e999", "customers[0].rate", 25},
    fault{"2.5", "0", "customers[0].rate", 25},
    fault{"\"burst\": 4", "\"burst\": 0.5", "customers[1].burst", 26},
    fault{"015ad", "015a", "customers[0].keys[0]", 25},
    fault{"\"keys\": []",
          "\"keys\": [\"BA7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\"]",
          "customers[1].keys", 26},
};

constexpr std::array list_faults{
    fault{"\"revision\": 3,", "\"revision\": 3", "JSON", 3},
    fault{"\"revision\": 3", "\"revision\": 0", "revision", 2},
    fault{"\"q-2\"", "\"q-1\"", "instances[1].name", 5},
    fault{"\"10.0.0.1\"", "\"host.example\"", "instances[0].address", 4},
    fault{"\"fd00::2\"", "\"fd00::2::3\"", "instances[1].address", 5},
    fault{"\"caller_port\": 80", "\"caller_port\": 65536", "instances[0].caller_port", 4},
    fault{"\"leaving\"", "\"dead\"", "instances[1].state", 5},
    fault{"\"zone\": \"a\"", "\"zon\": \"a\"", "instances[0].zone", 4},
    fault{"\"port\": 90", "\"port\": 90, \"port\": 91", "endpoints[0].port", 8},
};

} // namespace

// Guards against accepting a misspelt, repeated or impossible declaration, and against an error
// that does not tell operators its position.
Test(published, rejects_every_kind_of_error_with_its_position)
{
    section("the unchanged text is accepted", [] {
        const auto config = parse_published(small_config);
        check(config.has_value(), config ? "" : config.error().message());
        check(config->version == 7 && config->zones.size() == 2, "version and zones are read");
        check(config->pipelines[0].stages[1].after == std::vector<std::size_t>{0},
              "the second stage depends on the first");
        check(!config->accepts_work(zone_id("b")) && config->accepts_work(zone_id("a")),
              "only zone a accepts work");
        check(!config->accepts_work(zone_id("c")), "an undeclared zone accepts no work");
        const customer* owner = config->authenticate(sha256("abc"));
        check(owner != nullptr && owner->id == customer_id("c-1"), "the key belongs to c-1");
        check(config->authenticate(sha256("abd")) == nullptr, "an unknown key belongs to nobody");
    });
    section("a single fault makes the parser reject the configuration",
            [] { check_faults(small_config, published_faults, parse_published); });
    section("sizes and nesting are limited", [] {
        std::string large(small_config);
        large.resize(max_published_size, ' ');
        check(parse_published(large).has_value(), "exactly 1 MiB is accepted");
        check(parse_published(large + " ").error().expected == "at most 1 MiB",
              "one byte more is rejected");
        check(!parse_published(std::string(40, '[') + std::string(40, ']')),
              "deep nesting is rejected");
        check(!parse_published(replaced(small_config, "c-2", std::string(65, 'n'))),
              "a name of 65 bytes is rejected");
    });
    section("an error message is one printable line", [] {
        const auto text = replaced(small_config, "\"version\"",
                                   "\"" + std::string(5000, 'n') + "\\n\": 1, \"version\"");
        const auto message = parse_published(text).error().message();
        check(message.size() < 600 && message.find('\n') == std::string::npos, message);
    });
}

// Guards against accepting an ambiguous instance list, or addresses that need name resolution.
Test(instance_list, rejects_every_kind_of_error_with_its_position)
{
    const auto list = parse_instance_list(small_list);
    check(list.has_value(), list ? "" : list.error().message());
    check(list->find(instance_id("q-2"))->state == listed_state::leaving, "q-2 is leaving");
    check(list->find(endpoint_id("e-1"))->port == 90, "the port of e-1 is read");
    check_faults(small_list, list_faults, parse_instance_list);
    check(!parse_instance_list(std::string(max_instance_list_size + 1, ' ')),
          "an oversized list is rejected");
}
