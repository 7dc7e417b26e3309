// The entry instance: `quetzallever --config FILE` with the project's own interface, or
// `quetzallever --front` on the users' platform, whose settings file is named by the environment
// variable QUETZALLEVER_SETTINGS unless --config names one. Exit codes: 0 after a planned stop, 1
// when a port or file cannot be used, 2 for wrong options or settings. SIGTERM and SIGINT start a
// planned stop; SIGHUP reads again what may change while the process runs.

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <popt.h>

#include "programs.hpp"

namespace {

constexpr const char* front_settings_variable = "QUETZALLEVER_SETTINGS";

struct command_line
{
    std::string settings_path; // empty: the options are wrong
    bool front = false;        // on the users' platform
};

// Reads the options and prints what is wrong with them.
command_line parse_options(int argc, const char** argv)
{
    char* path = nullptr;
    int front = 0;
    const poptOption options[] = {
        {"config", 'c', POPT_ARG_STRING, &path, 0, "settings of this instance (TOML)", "FILE"},
        {"front", 'f', POPT_ARG_NONE, &front, 0, "run on the users' platform", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("quetzallever", argc, argv, options, 0);
    const int code = poptGetNextOpt(context);
    command_line chosen;
    chosen.front = front != 0;
    const char* from_platform = chosen.front ? std::getenv(front_settings_variable) : nullptr;
    if (code < -1) {
        std::fprintf(stderr, "quetzallever: %s: %s\n",
                     poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(code));
    } else if (path != nullptr) {
        chosen.settings_path = path;
    } else if (from_platform != nullptr) {
        chosen.settings_path = from_platform;
    } else {
        poptPrintUsage(context, stderr, 0);
    }
    poptFreeContext(context);
    return chosen;
}

} // namespace

std::optional<std::string> read_text(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

std::optional<std::string> read_file(const std::string& path)
{
    auto text = read_text(path);
    if (!text) {
        std::fprintf(stderr, "quetzallever: %s cannot be read\n", path.c_str());
    }
    return text;
}

int main(int argc, const char** argv)
{
    const command_line options = parse_options(argc, argv);
    if (options.settings_path.empty()) {
        return exit_usage;
    }
    if (options.front) {
        return run_front(options.settings_path);
    }
#ifdef QUETZAL_OWN_INTERFACE
    return run_instance(options.settings_path);
#else
    std::fprintf(stderr, "quetzallever: this build only has --front\n");
    return exit_usage;
#endif
}
