// Runs the bench and prints a table; see docs/decisions/bench.md.

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string>
#include <vector>

#include "src/report.hpp"

using namespace quetzal::bench;

namespace {

constexpr const char* usage =
    "usage: policy_bench [--fleet NAME] [--scenario NAME] [--seed N] [--seconds N]\n"
    "                    [--json FILE] [--commit HASH]\n"
    "fleets: banderas, trinidad, design/10 (default: all)\n";

struct arguments
{
    std::string fleet;
    std::string scenario;
    std::string json_file;
    std::string commit = "unknown";
    run_options options;
};

bool parse(int count, char** values, arguments& parsed)
{
    for (int index = 1; index + 1 < count; index += 2) {
        const std::string name = values[index];
        const char* value = values[index + 1];
        if (name == "--fleet") {
            parsed.fleet = value;
        } else if (name == "--scenario") {
            parsed.scenario = value;
        } else if (name == "--seed") {
            parsed.options.seed = std::strtoull(value, nullptr, 10);
        } else if (name == "--seconds") {
            parsed.options.length = std::chrono::seconds(std::strtoll(value, nullptr, 10));
        } else if (name == "--json") {
            parsed.json_file = value;
        } else if (name == "--commit") {
            parsed.commit = value;
        } else {
            return false;
        }
    }
    return count % 2 == 1;
}

} // namespace

int main(int count, char** values)
{
    arguments parsed;
    if (!parse(count, values, parsed)) {
        std::fputs(usage, stderr);
        return 2;
    }
    std::printf("seed %llu\n", static_cast<unsigned long long>(parsed.options.seed));
    std::vector<scenario_result> results;
    std::size_t missed = 0;
    for (const auto& installation : {banderas(), trinidad(), design_size()}) {
        if (!parsed.fleet.empty() && parsed.fleet != installation.name) {
            continue;
        }
        std::printf("%s: capacity %.1f requests/s, thinned by %.0f\n", installation.name.c_str(),
                    installation.capacity, installation.thinning);
        for (const auto& what :
             make_scenarios(installation, parsed.options.length, parsed.options.seed))
        {
            if (!parsed.scenario.empty() && parsed.scenario != what.name) {
                continue;
            }
            results.push_back(compare(installation, what, parsed.options));
            std::fputs(table(results.back()).c_str(), stdout);
            for (const auto& bound : missed_bounds(results.back())) {
                std::printf("  MISSED: %s\n", bound.c_str());
                ++missed;
            }
            std::fflush(stdout);
        }
    }
    std::printf("%zu scenarios, %zu bounds missed\n", results.size(), missed);
    if (!parsed.json_file.empty()) {
        std::ofstream(parsed.json_file) << json(results, parsed.options, parsed.commit);
    }
    return 0;
}
