// Tests how the process ends, and what tells it from outside: its exit status, its last lines and
// the time that it takes.

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <optional>
#include <poll.h>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <quetzal/platform/wire_names.hpp>
#include <quetzal/testing/section.hpp>

using quetzal::testing::check;
using quetzal::testing::section;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// First ports of the processes, used by no other test. The tests of this file run at the same time.
constexpr std::uint16_t crash_ports = 19940;
constexpr std::uint16_t closed_log_ports = 19950;
constexpr std::uint16_t unread_log_ports = 19960;
constexpr std::uint16_t planned_ports = 19970;
constexpr std::uint16_t held_up_ports = 19980;
constexpr std::uint16_t balance_ports = 19990;

// How long a process without requests takes to stop, with room for a busy machine.
constexpr auto stop_time = 5s;

std::string settings_text(std::uint16_t first_port)
{
    const auto address = [&](int offset) {
        return "\"127.0.0.1:" + std::to_string(first_port + offset) + "\"\n";
    };
    return "[instance]\nname = \"front\"\nzone = \"a\"\naddress = \"127.0.0.1\"\n[listen]\ncallers "
           "= " +
           address(0) + "readiness = " + address(1) + "directory = " + address(2) +
           "metrics = " + address(3) + "[store]\naddress = " + address(4) +
           "[peers]\nfirst_port = " + std::to_string(first_port + 5) +
           "\nlast_port = " + std::to_string(first_port + 6) +
           "\nseeds = []\n[bounds]\nstop_grace_s = 1\n";
}

// Both ends of a pipe, for the standard output of a process.
class output_pipe
{
public:
    output_pipe()
    {
        int ends[2] = {};
        check(::pipe2(ends, O_CLOEXEC) == 0, "a pipe is made");
        reader_ = ends[0];
        writer_ = ends[1];
    }

    ~output_pipe()
    {
        close(reader_);
        close(writer_);
    }

    output_pipe(const output_pipe&) = delete;
    output_pipe& operator=(const output_pipe&) = delete;

    int writer() const { return writer_; }

    // Writes until the pipe has no more room.
    void fill()
    {
        ::fcntl(writer_, F_SETFL, O_NONBLOCK);
        while (::write(writer_, "\n", 1) == 1) {
        }
        ::fcntl(writer_, F_SETFL, 0);
    }

    void close_reader() { close(reader_); }

    void close_writer() { close(writer_); }

    // Reads until the text contains `awaited`, the writers have closed the pipe, or `time` passes.
    // Returns all text read so far.
    const std::string& read_until(const std::string& awaited, std::chrono::milliseconds time = 10s)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        while (text_.find(awaited) == std::string::npos) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                until - std::chrono::steady_clock::now());
            pollfd readable{reader_, POLLIN, 0};
            if (left <= 0ms || ::poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
                break;
            }
            char buffer[4096];
            const ssize_t size = ::read(reader_, buffer, sizeof buffer);
            if (size <= 0) {
                break;
            }
            text_.append(buffer, static_cast<std::size_t>(size));
        }
        return text_;
    }

    // Reads until the writers have closed the pipe. Returns all text read so far.
    const std::string& read_to_end() { return read_until("no line contains this"); }

private:
    static void close(int& end)
    {
        if (end >= 0) {
            ::close(end);
            end = -1;
        }
    }

    int reader_ = -1;
    int writer_ = -1;
    std::string text_;
};

// A process that writes to a pipe.
class front_process
{
public:
    front_process(std::uint16_t first_port, output_pipe& output)
    {
        char name[] = "/tmp/process_end_XXXXXX";
        directory_ = ::mkdtemp(name);
        file_ = directory_ + "/settings.toml";
        std::ofstream(file_) << settings_text(first_port);
        std::string program = QUETZALLEVER_PROGRAM;
        std::string front = "--front";
        std::string option = "--config=" + file_;
        char* arguments[] = {program.data(), front.data(), option.data(), nullptr};
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        ::posix_spawn_file_actions_adddup2(&actions, output.writer(), STDOUT_FILENO);
        ::posix_spawn(&id_, program.c_str(), &actions, nullptr, arguments, environ);
        ::posix_spawn_file_actions_destroy(&actions);
        output.close_writer();
    }

    ~front_process()
    {
        if (id_ > 0) {
            ::kill(id_, SIGKILL);
            ::waitpid(id_, nullptr, 0);
        }
        ::unlink(file_.c_str());
        ::rmdir(directory_.c_str());
    }

    front_process(const front_process&) = delete;
    front_process& operator=(const front_process&) = delete;

    void signal(int number) { ::kill(id_, number); }

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
            std::this_thread::sleep_for(5ms);
        }
        return std::nullopt;
    }

private:
    std::string directory_;
    std::string file_;
    pid_t id_ = 0;
};

std::string to_text(std::optional<int> exit_code)
{
    return exit_code ? std::to_string(*exit_code) : "still running";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Returns the last line of the text, without its end.
std::string last_line(const std::string& text)
{
    const std::string lines = text.substr(0, text.find_last_not_of('\n') + 1);
    return lines.substr(lines.rfind('\n') + 1);
}

// Returns the value of a field of the last line of an event, or -1 if there is none.
long number_in(const std::string& text, const std::string& event, const std::string& field)
{
    const auto line = text.rfind("\"event\":\"" + event + "\"");
    const std::string name = "\"" + field + "\":";
    const auto found = line == std::string::npos ? line : text.find(name, line);
    if (found == std::string::npos || found > text.find('\n', line)) {
        return -1;
    }
    return std::strtol(text.c_str() + found + name.size(), nullptr, 10);
}

// Connects as soon as the port is open.
bool connect(asio::ip::tcp::socket& socket, std::uint16_t port)
{
    for (int tries = 0; tries < 200; ++tries) {
        boost::system::error_code error;
        socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            return true;
        }
        socket.close(error);
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

// Returns the process's metrics as text.
std::string read_metrics(std::uint16_t port)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    if (!connect(socket, port)) {
        return {};
    }
    const std::string request = "GET /metrics HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n";
    boost::system::error_code error;
    asio::write(socket, asio::buffer(request), error);
    std::string text;
    asio::read(socket, asio::dynamic_buffer(text), error); // until the end
    return text;
}

} // namespace

// Guards against a crash that nothing tells from a planned stop.
Test(process_end, a_crash_leaves_a_line, .timeout = 60)
{
    section("given a crash of a process that serves", [] {
        output_pipe output;
        front_process process(crash_ports, output);
        check(contains(output.read_until("\"event\":\"started\""), "started"), "it starts");
        process.signal(SIGSEGV);
        const auto ended = process.exit_code(stop_time);
        check(ended == -SIGSEGV, "the exit status names the signal: " + to_text(ended));
        const auto& text = output.read_to_end();
        check(contains(text, R"("instance":"front","event":"crashed","signal":11,)"),
              "the log names it: " + text);
        check(contains(text, "\"stopping\":false"), "not stopping: " + text);
    });
    section("given a crash of a process that stops", [] {
        output_pipe output;
        front_process process(crash_ports, output);
        check(contains(output.read_until("\"event\":\"started\""), "started"), "it starts");
        process.signal(SIGTERM);
        check(contains(output.read_until("\"event\":\"stopping\""), "stopping"), "it stops");
        process.signal(SIGABRT);
        const auto ended = process.exit_code(stop_time);
        check(ended == -SIGABRT, "the exit status names the signal: " + to_text(ended));
        const auto& text = output.read_to_end();
        check(contains(text, "\"stopping\":true"), "stopping: " + text);
        check(!contains(text, "\"event\":\"stopped\""), "no planned exit: " + text);
    });
}

// Guards against a process that ends, without any sign, because the reader of its log has gone.
Test(process_end, a_closed_log_does_not_end_the_process, .timeout = 60)
{
    output_pipe output;
    output.close_reader();
    front_process process(closed_log_ports, output);
    const auto metrics = read_metrics(closed_log_ports + 3);
    const auto ended_early = process.exit_code(50ms);
    check(!ended_early, "it serves: " + to_text(ended_early));
    check(contains(metrics, "\nquetzal_log_lines_left_out_total "), "the lines are counted");
    check(!contains(metrics, "\nquetzal_log_lines_left_out_total 0"), "as left out: " + metrics);
    process.signal(SIGTERM);
    const auto ended = process.exit_code(stop_time);
    check(ended == 0, "a planned stop ends it: " + to_text(ended));
}

// Guards against a stopped process that stays until SIGKILL, because nothing reads its log.
Test(process_end, an_unread_log_does_not_hold_up_the_end, .timeout = 60)
{
    output_pipe output;
    output.fill();
    front_process process(unread_log_ports, output);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    check(connect(socket, unread_log_ports + 1), "it serves");
    process.signal(SIGTERM);
    const auto ended = process.exit_code(stop_time);
    check(ended == 0, "a planned stop ends it: " + to_text(ended));
}

// Guards against a planned exit that cannot be told from a process that was killed after its last
// request, and against open connections that prolong the exit.
Test(process_end, a_planned_exit_says_so_in_its_last_line, .timeout = 60)
{
    section("given a planned stop with open connections", [] {
        output_pipe output;
        front_process process(planned_ports, output);
        asio::io_context context;
        std::vector<asio::ip::tcp::socket> sockets;
        for (int number = 0; number < 200; ++number) {
            check(connect(sockets.emplace_back(context), planned_ports), "a connection is open");
        }
        process.signal(SIGTERM);
        const auto& text = output.read_until("\"event\":\"exiting\"");
        check(process.exit_code(stop_time) == 0, "it ends as planned");
        check(contains(text, "\"event\":\"stopped\""), "all requests had ended: " + text);
        check(last_line(output.read_to_end())
                  .ends_with(R"("event":"exiting","status":0,"left_out":0})"),
              "the last line: " + text);
    });
    section("given a port that is in use", [] {
        output_pipe output;
        asio::io_context context;
        const asio::ip::tcp::acceptor user(
            context, {asio::ip::make_address("127.0.0.1"), planned_ports + 1});
        front_process process(planned_ports, output);
        const auto ended = process.exit_code(stop_time);
        check(ended == 1, "the status says so: " + to_text(ended));
        const auto line = last_line(output.read_to_end());
        check(line.ends_with(R"("event":"exiting","status":1,"left_out":0})"),
              "the last line: " + line);
    });
}

// Guards against a process that got no processor, or was busy, at the end of its grace period,
// which nothing shows afterwards.
Test(process_end, a_held_up_loop_is_logged, .timeout = 60)
{
    output_pipe output;
    front_process process(held_up_ports, output);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    check(connect(socket, held_up_ports + 1), "it serves");
    const auto hold_up = [&] {
        process.signal(SIGSTOP);
        std::this_thread::sleep_for(700ms);
        process.signal(SIGCONT);
    };
    section("given a process that serves", [&] {
        hold_up();
        const auto& text = output.read_until("\"event\":\"loop_held_up\",\"ms\":");
        check(contains(text, "\"loop_held_up\""), "a line: " + text);
    });
    section("given a stopping process that is held up over its last turn", [&] {
        process.signal(SIGTERM);
        check(contains(output.read_until("\"event\":\"stopping\""), "stopping"), "it stops");
        hold_up();
        check(process.exit_code(stop_time) == 0, "it ends as planned");
        const auto& text = output.read_to_end();
        check(contains(text.substr(text.find("\"stopping\"")), "\"loop_held_up\""),
              "a line: " + text);
        check(contains(last_line(text), "\"exiting\""), "which is not the last: " + text);
        check(number_in(text, "stopped", "longest_delay_ms") >= 500, "the stop tells it: " + text);
    });
}

// Guards against a stop that loses a request without a trace: its counts do not balance, or the
// lines that name the ends of requests and the metrics do not agree with them.
Test(process_end, the_counts_of_a_stop_balance, .timeout = 60)
{
    output_pipe output;
    front_process process(balance_ports, output);
    asio::io_context context;
    const auto send = [&](asio::ip::tcp::socket& socket, const std::string& text) {
        check(connect(socket, balance_ports), "it serves");
        asio::write(socket, asio::buffer(text));
    };
    const std::string id_header = quetzal::platform::make_header_names().request_id;
    const auto head = [&](const std::string& id) {
        return "POST / HTTP/1.1\r\nHost: h\r\n" + id_header + ": " + id + "\r\n";
    };
    asio::ip::tcp::socket waiting(context);
    asio::ip::tcp::socket half(context);
    asio::ip::tcp::socket later(context);
    send(waiting, head("waiting") + "\r\n"); // for the configuration
    send(half, head("half") + "Content-Length: 9\r\n\r\nhalf");
    std::this_thread::sleep_for(200ms);
    process.signal(SIGTERM);
    check(contains(output.read_until("\"event\":\"stopping\""), "stopping"), "it stops");
    send(later, head("later") + "\r\n");
    const std::string metrics = read_metrics(balance_ports + 3);
    check(process.exit_code(stop_time) == 0, "it ends as planned");
    const std::string text = output.read_to_end();
    const auto stopped = [&](const std::string& field) {
        return number_in(text, "stopped", field);
    };
    check(stopped("in_flight") == 2 && stopped("received") == 1, "three were received: " + text);
    check(stopped("refused") == 2 && stopped("unfinished") == 1, "how they ended: " + text);
    check(stopped("complete") + stopped("refused") + stopped("cut") + stopped("caller_left") +
                  stopped("not_written") + stopped("unfinished") ==
              stopped("in_flight") + stopped("received"),
          "the counts balance: " + text);
    check(number_in(text, "stopping", "handled_after_ms") >= 0, "the delay is known: " + text);
    for (const std::string id : {"waiting", "later"}) {
        check(contains(text, R"("event":"request_ended","request":")" + id + '"'),
              "the end is named: " + text);
    }
    const auto last = text.rfind(R"("event":"request_in_stop","request":"half")");
    check(last != std::string::npos && last > text.find("request_ended"),
          "the one that is cut by the exit is named at the end: " + text);
    check(contains(metrics, "quetzal_stop_requests_total{outcome=\"refused\"}"),
          "the metrics count ends: " + metrics);
}
