#ifndef QUETZAL_GATEWAY_CRASH_REPORT_HPP
#define QUETZAL_GATEWAY_CRASH_REPORT_HPP

// A last log line of a process that crashes: on SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL and
// std::terminate, one JSON line with the event `crashed` is written to standard output. The default
// action of the signal then ends the process, so that its exit status names the signal too.

#include <string_view>

namespace quetzal::gateway {

// Installs the handlers, for the whole life of the process. `instance` is the name in the line.
// Must be called once, by the thread that runs the event loop: only on this thread is an overflow
// of the stack reported.
void report_crashes(std::string_view instance);

// Says in the line of a later crash that the process was stopping.
void report_crashes_as_stopping();

} // namespace quetzal::gateway

#endif
