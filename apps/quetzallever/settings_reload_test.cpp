// Tests that a running process follows its settings file.

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <quetzal/testing/section.hpp>

using boost::asio::ip::udp;
using quetzal::testing::check;
using namespace std::chrono_literals;

extern char** environ;

namespace {

// Ports of the process, used by no other test.
constexpr std::uint16_t heartbeat_port = 19935;
const std::string settings_without_seeds = R"([instance]
name = "front"
zone = "a"
address = "127.0.0.1"
[listen]
callers = "127.0.0.1:19930"
readiness = "127.0.0.1:19931"
directory = "127.0.0.1:19932"
metrics = "127.0.0.1:19933"
[store]
address = "127.0.0.1:19934"
[peers]
first_port = 19935
last_port = 19936
)";

class running_process
{
public:
    running_process()
    {
        char name[] = "/tmp/settings_reload_XXXXXX";
        directory_ = ::mkdtemp(name);
        file_ = directory_ + "/settings.toml";
        write_seed("127.0.0.3"); // nothing listens there
        std::string program = QUETZALLEVER_PROGRAM;
        std::string front = "--front";
        std::string option = "--config=" + file_;
        char* arguments[] = {program.data(), front.data(), option.data(), nullptr};
        ::posix_spawn(&id_, program.c_str(), nullptr, nullptr, arguments, environ);
        std::this_thread::sleep_for(500ms);
    }

    ~running_process()
    {
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
        ::unlink(file_.c_str());
        ::rmdir(directory_.c_str());
    }

    void write_seed(const std::string& address)
    {
        std::ofstream(file_) << settings_without_seeds << "seeds = [\"" << address << ":1\"]\n";
    }

    void signal(int number) { ::kill(id_, number); }

private:
    std::string directory_;
    std::string file_;
    pid_t id_ = 0;
};

// An instance that is named as a seed.
class seed
{
public:
    explicit seed(const std::string& address)
        : socket_(context_, {boost::asio::ip::make_address(address), heartbeat_port})
    {
        socket_.non_blocking(true);
    }

    bool hears_within(std::chrono::milliseconds time)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            char byte = 0;
            udp::endpoint from;
            boost::system::error_code error;
            socket_.receive_from(boost::asio::buffer(&byte, 1), from, 0, error);
            if (!error) {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

private:
    boost::asio::io_context context_;
    udp::socket socket_;
};

} // namespace

// Guards against an instance that stays alone for good, because it started while its seeds were
// gone and does not notice that its settings name others.
Test(settings_reload, changed_seeds_are_contacted, .timeout = 60)
{
    seed signalled("127.0.0.4");
    seed silent("127.0.0.5");
    bool heard_early = false;
    bool heard_after_signal = false;
    bool heard_without_signal = false;
    {
        running_process process; // ends before the checks, as a failed one skips its destructor
        heard_early = signalled.hears_within(1s);
        process.write_seed("127.0.0.4");
        process.signal(SIGHUP);
        heard_after_signal = signalled.hears_within(1500ms);
        process.write_seed("127.0.0.5");
        heard_without_signal = silent.hears_within(6s);
    }
    check(!heard_early, "an instance that is no seed hears nothing");
    check(heard_after_signal, "a new seed is contacted when the settings change with a signal");
    check(heard_without_signal, "a new seed is contacted when they change without a signal");
}
