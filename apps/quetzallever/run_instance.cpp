#include <cstdio>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <quetzal/node/entry_instance.hpp>
#include <quetzal/node/log.hpp>

#include "programs.hpp"

namespace {

std::optional<quetzal::config::settings> read_settings(const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        return std::nullopt;
    }
    auto parsed = quetzal::config::parse_settings(*text, path);
    if (parsed) {
        return std::move(*parsed);
    }
    for (const auto& error : parsed.error()) {
        std::fprintf(stderr, "%s\n", error.message().c_str());
    }
    return std::nullopt;
}

void wait_for_signals(boost::asio::signal_set& signals, quetzal::node::entry_instance& instance)
{
    signals.async_wait([&signals, &instance](const boost::system::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            instance.reload_certificates();
        } else {
            instance.drain();
        }
        wait_for_signals(signals, instance);
    });
}

} // namespace

int run_instance(const std::string& settings_path)
{
    // Signals that arrive while the process starts are handled once it runs.
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    auto settings = read_settings(settings_path);
    if (!settings) {
        return exit_usage;
    }
    quetzal::node::configure_log(settings->log, settings->instance);
    const unsigned threads = settings->runtime.threads;
    quetzal::node::entry_instance instance(context, std::move(*settings));
    if (const auto started = instance.start(); !started) {
        std::fprintf(stderr, "quetzallever: %s\n", started.error().c_str());
        return exit_failed;
    }
    wait_for_signals(signals, instance);
    std::vector<std::jthread> workers;
    for (unsigned index = 1; index < threads; ++index) {
        workers.emplace_back([&context] { context.run(); });
    }
    context.run();
    return 0;
}
