// Tests signals that reach the process while it starts.

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <optional>
#include <spawn.h>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <quetzal/testing/section.hpp>

using quetzal::testing::check;
using quetzal::testing::section;
namespace asio = boost::asio;
using namespace std::chrono_literals;

extern char** environ;

namespace {

// Ports of the process, used by no other test.
constexpr std::uint16_t readiness_port = 19861;
const std::string settings = R"([instance]
name = "front"
zone = "a"
address = "127.0.0.1"
[listen]
callers = "127.0.0.1:19860"
readiness = "127.0.0.1:19861"
directory = "127.0.0.1:19862"
metrics = "127.0.0.1:19863"
[store]
address = "127.0.0.1:19864"
[peers]
first_port = 19865
last_port = 19866
seeds = ["127.0.0.1:19865"]
[bounds]
stop_grace_s = 1
)";

// A process whose settings file is a named pipe, so that it waits for its settings until they are
// written.
class starting_process
{
public:
    starting_process()
    {
        char name[] = "/tmp/start_signals_XXXXXX";
        directory_ = ::mkdtemp(name);
        pipe_ = directory_ + "/settings.toml";
        ::mkfifo(pipe_.c_str(), 0600);
        std::string program = QUETZALLEVER_PROGRAM;
        std::string front = "--front";
        std::string option = "--config=" + pipe_;
        char* arguments[] = {program.data(), front.data(), option.data(), nullptr};
        ::posix_spawn(&id_, program.c_str(), nullptr, nullptr, arguments, environ);
        writer_ = ::open(pipe_.c_str(), O_WRONLY); // returns when the process opens the file
        std::this_thread::sleep_for(50ms);
    }

    ~starting_process()
    {
        if (id_ > 0) {
            ::kill(id_, SIGKILL);
            ::waitpid(id_, nullptr, 0);
        }
        ::unlink(pipe_.c_str());
        ::rmdir(directory_.c_str());
    }

    void signal(int number)
    {
        ::kill(id_, number);
        std::this_thread::sleep_for(100ms);
    }

    void write_settings()
    {
        ::signal(SIGPIPE, SIG_IGN); // the process may have ended
        const auto written = ::write(writer_, settings.data(), settings.size());
        static_cast<void>(written);
        ::close(writer_);
    }

    // Waits for the end of the process and returns its exit code, or minus the signal that ended
    // it, or nothing if it still runs after `time`.
    std::optional<int> exit_code(std::chrono::milliseconds time)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            int status = 0;
            if (::waitpid(id_, &status, WNOHANG) == id_) {
                id_ = 0;
                return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            }
            std::this_thread::sleep_for(20ms);
        }
        return std::nullopt;
    }

private:
    std::string directory_;
    std::string pipe_;
    pid_t id_ = 0;
    int writer_ = -1;
};

bool listens(std::uint16_t port)
{
    asio::io_context context;
    for (int tries = 0; tries < 100; ++tries) {
        asio::ip::tcp::socket socket(context);
        boost::system::error_code error;
        socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

// Guards against a signal that ends a process while it starts, with the requests that its open
// ports have received.
Test(start_signals, signals_do_not_end_a_starting_process)
{
    section("given SIGHUP before the settings are read", [] {
        starting_process process;
        process.signal(SIGHUP);
        process.write_settings();
        const auto ended = process.exit_code(200ms);
        check(!ended, "the process goes on: " + std::to_string(ended.value_or(0)));
        check(listens(readiness_port), "it serves");
        process.signal(SIGTERM);
        check(process.exit_code(5s) == 0, "a planned stop ends it");
    });
    section("given SIGTERM before the settings are read", [] {
        starting_process process;
        process.signal(SIGTERM);
        process.write_settings();
        const auto ended = process.exit_code(5s);
        check(ended == 0, "it ends as a planned stop: " + std::to_string(ended.value_or(-1000)));
    });
}
