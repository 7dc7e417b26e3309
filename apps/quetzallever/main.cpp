// The entry instance: `quetzallever --config FILE`. Exit codes: 0 after a planned stop, 1 when a
// port or file cannot be used, 2 for wrong options or settings. SIGTERM and SIGINT start a planned
// stop, SIGHUP reads the certificates again.

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <popt.h>
#include <quetzal/node/entry_instance.hpp>
#include <quetzal/node/log.hpp>

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

// Returns the path of --config, or an empty text after printing what is wrong.
std::string parse_options(int argc, const char** argv)
{
    char* path = nullptr;
    const poptOption options[] = {
        {"config", 'c', POPT_ARG_STRING, &path, 0, "settings of this instance (TOML)", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("quetzallever", argc, argv, options, 0);
    const int code = poptGetNextOpt(context);
    if (code < -1) {
        std::fprintf(stderr, "quetzallever: %s: %s\n",
                     poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(code));
    } else if (path == nullptr) {
        poptPrintUsage(context, stderr, 0);
    }
    std::string chosen = code < -1 || path == nullptr ? "" : path;
    poptFreeContext(context);
    return chosen;
}

std::optional<quetzal::config::settings> read_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::fprintf(stderr, "quetzallever: %s cannot be read\n", path.c_str());
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto parsed = quetzal::config::parse_settings(text.str(), path);
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

int main(int argc, const char** argv)
{
    const std::string path = parse_options(argc, argv);
    auto settings = path.empty() ? std::nullopt : read_settings(path);
    if (!settings) {
        return exit_usage;
    }
    quetzal::node::configure_log(settings->log, settings->instance);
    const unsigned threads = settings->runtime.threads;
    boost::asio::io_context context(static_cast<int>(threads));
    quetzal::node::entry_instance instance(context, std::move(*settings));
    if (const auto started = instance.start(); !started) {
        std::fprintf(stderr, "quetzallever: %s\n", started.error().c_str());
        return exit_failed;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    wait_for_signals(signals, instance);
    std::vector<std::jthread> workers;
    for (unsigned index = 1; index < threads; ++index) {
        workers.emplace_back([&context] { context.run(); });
    }
    context.run();
    return 0;
}
