// Tests the line that a crashing process leaves.

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <stdexcept>
#include <string>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <quetzal/gateway/crash_report.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

struct crashed_process
{
    std::string output;
    int status = 0;
};

// Runs `body` in a process of its own whose standard output is `output`, and which reports crashes.
pid_t start_process(int output, const std::function<void()>& body)
{
    const pid_t id = ::fork();
    if (id == 0) {
        const rlimit no_core{0, 0};
        ::setrlimit(RLIMIT_CORE, &no_core);
        ::dup2(output, STDOUT_FILENO);
        ::close(output);
        report_crashes("front \"1\"");
        body();
        ::_exit(0);
    }
    return id;
}

crashed_process run_process(const std::function<void()>& body)
{
    int ends[2] = {};
    check(::pipe2(ends, O_CLOEXEC) == 0, "a pipe is made");
    const pid_t id = start_process(ends[1], body);
    ::close(ends[1]);
    crashed_process ended;
    char buffer[512];
    for (ssize_t size = 0; (size = ::read(ends[0], buffer, sizeof buffer)) > 0;) {
        ended.output.append(buffer, static_cast<std::size_t>(size));
    }
    ::close(ends[0]);
    ::waitpid(id, &ended.status, 0);
    return ended;
}

bool ended_by(const crashed_process& ended, int signal)
{
    return WIFSIGNALED(ended.status) && WTERMSIG(ended.status) == signal;
}

bool contains(const crashed_process& ended, const std::string& text)
{
    return ended.output.find(text) != std::string::npos;
}

// One line of JSON that names the instance and the signal.
bool has_line(const crashed_process& ended, int signal)
{
    return ended.output.starts_with("{\"time_ms\":") && ended.output.ends_with("}\n") &&
           ended.output.find('\n') == ended.output.size() - 1 &&
           contains(ended, R"(,"instance":"front \"1\"","event":"crashed","signal":)" +
                               std::to_string(signal) + ",");
}

// Uses more stack with each call. The volatile reads keep the calls and their frames.
int overflow_stack(int depth)
{
    volatile char frame[4096];
    frame[0] = static_cast<char>(depth);
    return depth < 0 ? 0 : overflow_stack(depth + 1) + frame[0];
}

void fail()
{
    throw std::runtime_error("unexpected");
}

void throw_out_of_noexcept() noexcept
{
    fail();
}

void write_to_nowhere()
{
    volatile int* volatile nowhere = nullptr;
    *nowhere = 1;
}

} // namespace

// Guards against a crash that looks like a planned stop: a platform that has sent SIGTERM does not
// report how the process ended, so the log has to.
Test(crash_report, a_crash_leaves_a_line_and_its_exit_status)
{
    section("given each signal", [] {
        for (const int signal : {SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL}) {
            const auto ended = run_process([&] { ::raise(signal); });
            check(has_line(ended, signal), "a line: " + ended.output);
            check(ended_by(ended, signal), "the status names " + std::to_string(signal));
            check(contains(ended, "\"stopping\":false"), "not stopping: " + ended.output);
        }
    });
    section("given a stopping process", [] {
        const auto ended = run_process([] {
            report_crashes_as_stopping();
            std::abort();
        });
        check(has_line(ended, SIGABRT), "a line: " + ended.output);
        check(ended_by(ended, SIGABRT), "the status names the signal");
        check(contains(ended, "\"stopping\":true"), "stopping: " + ended.output);
    });
    section("given a write to an invalid address", [] {
        const auto ended = run_process(write_to_nowhere);
        check(has_line(ended, SIGSEGV), "a line: " + ended.output);
        check(ended_by(ended, SIGSEGV), "the status names the signal");
        check(contains(ended, "\"code\":\"0x"), "the place in the program: " + ended.output);
    });
    section("given an overflow of the stack", [] {
        const auto ended = run_process([] { overflow_stack(0); });
        check(has_line(ended, SIGSEGV), "a line: " + ended.output);
        check(ended_by(ended, SIGSEGV), "the status names the signal");
    });
    section("given an exception that nothing catches", [] {
        const auto ended = run_process(throw_out_of_noexcept);
        check(has_line(ended, SIGABRT), "a line: " + ended.output);
        check(ended_by(ended, SIGABRT), "the status names the signal");
        check(contains(ended, "runtime_error\""), "the type: " + ended.output);
    });
}

// Guards against a crashed process that stays, because nothing reads its standard output.
Test(crash_report, a_full_output_does_not_hold_up_the_end, .timeout = 10)
{
    int ends[2] = {};
    check(::pipe2(ends, O_CLOEXEC | O_NONBLOCK) == 0, "a pipe is made");
    while (::write(ends[1], "x", 1) == 1) {
    }
    check(errno == EAGAIN, "the pipe is full");
    ::fcntl(ends[1], F_SETFL, 0);
    crashed_process ended;
    const pid_t id = start_process(ends[1], [] { std::abort(); });
    ::waitpid(id, &ended.status, 0);
    check(ended_by(ended, SIGABRT), "the status names the signal");
}
