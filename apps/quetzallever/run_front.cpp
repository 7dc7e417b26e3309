#include <cstdio>
#include <utility>

#include <boost/asio/signal_set.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/platform/front.hpp>
#include <quetzal/platform/front_settings.hpp>

#include "programs.hpp"

namespace {

void wait_for_signals(boost::asio::signal_set& signals, quetzal::platform::front& front)
{
    signals.async_wait([&signals, &front](const boost::system::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            // Only the seeds may change while a process runs, and the members know each other.
            quetzal::gateway::log_event("reload_requested", {});
        } else {
            front.drain();
        }
        wait_for_signals(signals, front);
    });
}

} // namespace

int run_front(const std::string& settings_path)
{
    // Signals that arrive while the process starts are handled once it runs.
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    const auto text = read_file(settings_path);
    if (!text) {
        return exit_usage;
    }
    auto settings = quetzal::platform::parse_front_settings(*text, settings_path);
    if (!settings) {
        for (const auto& error : settings.error()) {
            std::fprintf(stderr, "%s\n", error.message().c_str());
        }
        return exit_usage;
    }
    quetzal::gateway::start_log(settings->name);
    quetzal::platform::front front(context, std::move(*settings));
    if (const auto started = front.start(); !started) {
        std::fprintf(stderr, "quetzallever: %s\n", started.error().c_str());
        return exit_failed;
    }
    wait_for_signals(signals, front);
    context.run();
    quetzal::gateway::stop_log();
    return 0;
}
