#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/gateway/crash_report.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/loop_delay.hpp>
#include <quetzal/platform/front.hpp>
#include <quetzal/platform/front_settings.hpp>
#include <quetzal/platform/settings_watch.hpp>

#include "programs.hpp"

namespace {

// Interval at which the settings file is read, since it may change without a signal.
constexpr std::chrono::seconds settings_interval{2};

// Applies changes of the settings file to a running instance.
class settings_reload
{
public:
    settings_reload(boost::asio::io_context& context, quetzal::platform::front& front,
                    std::string path, quetzal::platform::settings_watch watch)
        : timer_(context), front_(front), path_(std::move(path)), watch_(std::move(watch))
    {
    }

    void read()
    {
        if (auto seeds = watch_.update(read_text(path_))) {
            front_.set_seeds(std::move(*seeds));
        }
    }

    void read_periodically()
    {
        timer_.expires_after(settings_interval);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (error) {
                return;
            }
            read();
            read_periodically();
        });
    }

private:
    boost::asio::steady_timer timer_;
    quetzal::platform::front& front_;
    std::string path_;
    quetzal::platform::settings_watch watch_;
};

// Returns the processor time that this thread has used.
quetzal::duration thread_processor_time()
{
    timespec used{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

// Logs when the event loop is held up.
class loop_watch
{
public:
    explicit loop_watch(boost::asio::io_context& context) : timer_(context) {}

    void watch()
    {
        delay_.timer_set(quetzal::boot_clock::now(), thread_processor_time());
        timer_.expires_after(quetzal::gateway::loop_delay_interval);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (error) {
                return;
            }
            check();
            watch();
        });
    }

    // Called by the timer, and after the loop has ended, when the timer does not run any more.
    void check()
    {
        const auto found = delay_.check(quetzal::boot_clock::now(), thread_processor_time());
        if (found) {
            quetzal::gateway::log_event(
                "loop_held_up",
                {{"ms", quetzal::whole_milliseconds(found->delay)},
                 {"processor_ms", quetzal::whole_milliseconds(found->processor_time)}});
        }
    }

private:
    boost::asio::steady_timer timer_;
    quetzal::gateway::loop_delay delay_;
};

void wait_for_signals(boost::asio::signal_set& signals, quetzal::platform::front& front,
                      settings_reload& reload)
{
    signals.async_wait([&](const boost::system::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            quetzal::gateway::log_event("reload_requested", {});
            reload.read();
        } else {
            quetzal::gateway::report_crashes_as_stopping();
            quetzal::gateway::log_stopping();
            front.drain();
        }
        wait_for_signals(signals, front, reload);
    });
}

// Writes the last line and ends the process without destroying its objects, so that neither the
// number of open connections nor a fault in a destructor changes how a planned stop ends. Sanitizer
// builds end the same way, because a check should run what users run.
[[noreturn]] void end_process(int status)
{
    quetzal::gateway::log_event(
        "exiting", {{"status", status}, {"left_out", quetzal::gateway::dropped_log_lines()}});
    static_cast<void>(quetzal::gateway::stop_log()); // what is not written in time is lost
    std::_Exit(status);
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
    std::signal(SIGPIPE, SIG_IGN); // a reader of the log that goes away must not end the process
    quetzal::gateway::report_crashes(settings->name);
    quetzal::gateway::start_log(settings->name);
    quetzal::platform::settings_watch watch(settings_path, *text, *settings);
    quetzal::platform::front front(context, std::move(*settings));
    if (const auto started = front.start(); !started) {
        std::fprintf(stderr, "quetzallever: %s\n", started.error().c_str());
        end_process(exit_failed);
    }
    settings_reload reload(context, front, settings_path, std::move(watch));
    reload.read_periodically();
    loop_watch watched_loop(context);
    watched_loop.watch();
    wait_for_signals(signals, front, reload);
    context.run();
    watched_loop.check();
    end_process(exit_stopped);
}
