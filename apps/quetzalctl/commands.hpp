#ifndef QUETZALCTL_COMMANDS_HPP
#define QUETZALCTL_COMMANDS_HPP

// The commands of quetzalctl. Each returns the exit code.

#include "options.hpp"

namespace quetzal::ctl {

int run_check(const options& chosen);
int run_status(const options& chosen);
int run_documents(const options& chosen);
int run_explain(const options& chosen);      // asks instances
int run_explain_logs(const options& chosen); // reads log files
int run_drain(const options& chosen);
int run_report(const options& chosen);
int run_send(const options& chosen);

} // namespace quetzal::ctl

#endif
