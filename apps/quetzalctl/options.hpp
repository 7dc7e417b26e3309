#ifndef QUETZALCTL_OPTIONS_HPP
#define QUETZALCTL_OPTIONS_HPP

// The command line of quetzalctl.

#include <string>
#include <vector>

namespace quetzal::ctl {

// Exit codes, docs/OPERATIONS.md.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;  // an instance did not answer, or an answer was a refusal
inline constexpr int exit_invalid = 2; // wrong command line or an invalid file

// What the command line asked for.
struct options
{
    std::string command;
    std::vector<std::string> arguments; // after the command
    std::vector<std::string> instances; // "address:port"
    bool json = false;
    bool html = false;
    std::string kind; // of the file to check: settings, config or instances
    std::string work_class;
    std::string key_file;
    std::string orders_file;
    std::string deadline;
    std::string identity;
};

// Parses the command line. Prints what is wrong and returns false for a wrong one; `--help` prints
// the usage and ends the process with code 0.
bool parse_options(int argc, const char** argv, options& parsed);

} // namespace quetzal::ctl

#endif
