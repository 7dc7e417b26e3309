// quetzalctl: the tool of operators and callers. `quetzalctl --help` lists the commands.

#include <functional>
#include <map>

#include "commands.hpp"

int main(int argc, const char** argv)
{
    using namespace quetzal::ctl;
    const std::map<std::string, std::function<int(const options&)>> commands{
        {"check", run_check},     {"status", run_status}, {"documents", run_documents},
        {"explain", run_explain}, {"drain", run_drain},   {"report", run_report},
        {"send", run_send}};
    options chosen;
    if (!parse_options(argc, argv, chosen)) {
        return exit_invalid;
    }
    return commands.at(chosen.command)(chosen);
}
