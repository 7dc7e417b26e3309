#include "report.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>

namespace quetzal::bench {

namespace {

// Shares are compared with the tolerance of a rounding error only.
constexpr double rounding = 1e-9;

[[gnu::format(printf, 1, 2)]] std::string format(const char* pattern, ...)
{
    char buffer[512];
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(buffer, sizeof buffer, pattern, arguments);
    va_end(arguments);
    return buffer;
}

unsigned long long number(std::uint64_t value) { return value; }

double per_met(double value, const figures& run)
{
    return run.met == 0 ? 0 : value / static_cast<double>(run.met);
}

std::string stage_rows(const figures& run)
{
    std::string text;
    for (const auto& [name, stage] : run.stages) {
        text += format(" %s %.1f%%/%.2fc/%.0fms", name.c_str(),
                       stage.due == 0 ? 100.0
                                      : 100.0 * static_cast<double>(stage.completed) /
                                            static_cast<double>(stage.due),
                       per_met(static_cast<double>(stage.calls), run),
                       per_met(stage.slot_seconds * 1000, run));
    }
    return text;
}

std::string json_run(const figures& run)
{
    std::string text =
        format("{\"arrived\":%llu,\"within_rate\":%llu,\"met\":%llu,\"attainment\":%.5f,"
               "\"worst_customer\":%.5f,\"refused\":%llu,\"wrongful_rate\":%llu,"
               "\"wrongful_capacity\":%llu,",
               number(run.arrived), number(run.within_rate), number(run.met), run.attainment,
               run.worst_customer, number(run.refused), number(run.wrongful_rate),
               number(run.wrongful_capacity));
    text += format("\"duplicated\":%llu,\"over_admissions\":%llu,\"cold_overloads\":%llu,"
                   "\"undetected_overloads\":%llu,\"late_zone_sends\":%llu,\"false_not_run\":%llu,\"cache_hit_rate\":%.3f,"
                   "\"classes\":{",
                   number(run.duplicated), number(run.over_admissions), number(run.cold_overloads),
                   number(run.undetected_overloads), number(run.late_zone_sends), number(run.false_not_run), run.cache_hit_rate);
    const char* separator = "";
    for (const auto& [name, attainment] : run.by_class) {
        text += format("%s\"%s\":%.5f", separator, name.c_str(), attainment);
        separator = ",";
    }
    text += "},\"timeline\":[";
    separator = "";
    for (const auto attainment : run.timeline) {
        text += format("%s%.4f", separator, attainment);
        separator = ",";
    }
    text += "],\"missed_by_ending\":{";
    separator = "";
    for (const auto& [name, count] : run.endings) {
        text += format("%s\"%s\":%llu", separator, name.c_str(), number(count));
        separator = ",";
    }
    text += "},\"stages\":{";
    separator = "";
    for (const auto& [name, stage] : run.stages) {
        text += format("%s\"%s\":{\"due\":%llu,\"completed\":%llu,\"calls_per_met\":%.4f,"
                       "\"slot_ms_per_met\":%.2f}",
                       separator, name.c_str(), number(stage.due), number(stage.completed),
                       per_met(static_cast<double>(stage.calls), run),
                       per_met(stage.slot_seconds * 1000, run));
        separator = ",";
    }
    return text + "}}";
}

} // namespace

const figures& scenario_result::of(policy which) const
{
    return std::find_if(runs.begin(), runs.end(),
                        [&](const auto& entry) { return entry.first == which; })
        ->second;
}

scenario_result compare(const fleet& installation, const scenario& what, const run_options& options)
{
    scenario_result result{installation.name, what.name, what.fault, what.load < 1, {}};
    for (const auto which : all_policies) {
        result.runs.emplace_back(which, run(installation, what, which, options));
    }
    return result;
}

std::vector<std::string> missed_bounds(const scenario_result& result)
{
    const auto& ours = result.of(policy::quetzallever);
    double attainment = 0;
    double worst = 0;
    std::uint64_t misses = ~std::uint64_t{0};
    for (const auto& [which, run] : result.runs) {
        if (which != policy::quetzallever) {
            attainment = std::max(attainment, run.attainment);
            worst = std::max(worst, run.worst_customer);
            misses = std::min(misses, run.misses());
        }
    }
    std::vector<std::string> missed;
    if (ours.attainment < attainment - rounding) {
        missed.push_back(format("attainment %.4f is below %.4f of the best baseline",
                                ours.attainment, attainment));
    }
    if (ours.worst_customer < worst - rounding) {
        missed.push_back(format("worst customer %.4f is below %.4f of the best baseline",
                                ours.worst_customer, worst));
    }
    if (result.fault && 2 * ours.misses() > misses) {
        missed.push_back(format("%llu misses are more than half of the best baseline's %llu",
                                number(ours.misses()), number(misses)));
    }
    const auto zero = [&](const char* name, std::uint64_t count) {
        if (count != 0) {
            missed.push_back(format("%llu %s", number(count), name));
        }
    };
    zero("refusals within the rate for the rate", ours.wrongful_rate);
    zero("refusals within the rate while there was capacity", ours.wrongful_capacity);
    zero("duplicated executions", ours.duplicated);
    zero("admissions beyond the rate", ours.over_admissions);
    zero("overloads of cold endpoints", ours.cold_overloads);
    zero("calls to a zone or endpoint that was taken out", ours.late_zone_sends);
    zero("false \"not run\" answers", ours.false_not_run);
    return missed;
}

std::string table(const scenario_result& result)
{
    std::string text = format("%s / %s\n", result.fleet.c_str(), result.scenario.c_str());
    text += format("  %-18s %7s %7s %6s %6s %6s %6s %5s %5s %5s %5s %5s %5s\n", "policy", "attain",
                   "worst", "in", "misses", "w.rate", "w.cap", "dupl", "over", "cold", "zone",
                   "false", "hits");
    for (const auto& [which, run] : result.runs) {
        text += format("  %-18s %6.2f%% %6.2f%% %6llu %6llu %6llu %6llu %5llu %5llu %5llu %5llu "
                       "%5llu %4.0f%%\n",
                       to_string(which).c_str(), 100 * run.attainment, 100 * run.worst_customer,
                       number(run.within_rate), number(run.misses()), number(run.wrongful_rate),
                       number(run.wrongful_capacity), number(run.duplicated),
                       number(run.over_admissions), number(run.cold_overloads),
                       number(run.late_zone_sends), number(run.false_not_run),
                       100 * run.cache_hit_rate);
    }
    for (const auto& [which, run] : result.runs) {
        text += format("  %-18s", to_string(which).c_str()) + stage_rows(run) + "\n";
    }
    for (const auto& [which, run] : result.runs) {
        text += format("  %-18s by tenth of the run:", to_string(which).c_str());
        for (const auto attainment : run.timeline) {
            text += format(" %.1f", 100 * attainment);
        }
        for (const auto& [name, count] : run.endings) {
            text += format(" %s %llu", name.c_str(), number(count));
        }
        text += "\n";
    }
    return text;
}

std::string json(const std::vector<scenario_result>& results, const run_options& options,
                 const std::string& commit)
{
    std::string text = format("{\"commit\":\"%s\",\"seed\":%llu,\"length_s\":%lld,\n\"results\":[",
                              commit.c_str(), number(options.seed),
                              static_cast<long long>(
                                  std::chrono::duration_cast<std::chrono::seconds>(options.length)
                                      .count()));
    const char* separator = "\n";
    for (const auto& result : results) {
        text += separator;
        text += format("{\"fleet\":\"%s\",\"scenario\":\"%s\",\"missed_bounds\":[",
                       result.fleet.c_str(), result.scenario.c_str());
        const char* inner = "";
        for (const auto& bound : missed_bounds(result)) {
            std::string escaped;
            for (const char letter : bound) {
                escaped += letter == '"' ? std::string("'") : std::string(1, letter);
            }
            text += inner + ("\"" + escaped + "\"");
            inner = ",";
        }
        text += "],\"policies\":{";
        inner = "\n ";
        for (const auto& [which, run] : result.runs) {
            text += inner + ("\"" + to_string(which) + "\":") + json_run(run);
            inner = ",\n ";
        }
        text += "}}";
        separator = ",\n";
    }
    return text + "\n]}\n";
}

} // namespace quetzal::bench
