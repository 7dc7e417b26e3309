#ifndef QUETZALLEVER_PROGRAMS_HPP
#define QUETZALLEVER_PROGRAMS_HPP

// The two programs of the binary, and what they share.

#include <optional>
#include <string>

inline constexpr int exit_stopped = 0; // after a planned stop
inline constexpr int exit_failed = 1;  // a port or file cannot be used
inline constexpr int exit_usage = 2;   // wrong options or settings

// Runs the entry instance with the project's own interface. Returns the exit code.
int run_instance(const std::string& settings_path);

// Runs the entry instance on the users' platform. Returns the exit code.
int run_front(const std::string& settings_path);

// Reads a whole file. Returns nothing if it cannot be read.
std::optional<std::string> read_text(const std::string& path);

// Reads a whole file, or prints that it cannot be read.
std::optional<std::string> read_file(const std::string& path);

#endif
