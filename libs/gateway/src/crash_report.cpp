#include <quetzal/gateway/crash_report.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <concepts>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <string>
#include <typeinfo>

#include <cxxabi.h>
#include <link.h>
#include <poll.h>
#include <ucontext.h>
#include <unistd.h>

#include <quetzal/base/time.hpp>

#include "json_text.hpp"

namespace quetzal::gateway {

namespace {

constexpr std::array reported_signals{SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL};
constexpr std::size_t signal_stack_size = std::size_t{64} * 1024; // bytes
constexpr std::size_t max_line_size = 1024;                       // bytes
constexpr std::size_t max_name_size = 256;                        // bytes, of the instance
// How long a crashed process waits for room in standard output.
constexpr std::chrono::milliseconds max_write_wait{100};

// Text in a buffer of fixed size, because a signal handler must not allocate. Text that has no room
// is left out.
template <std::size_t Size>
class fixed_text
{
public:
    void append(std::string_view text)
    {
        const std::size_t length = std::min(text.size(), Size - size_);
        std::copy_n(text.data(), length, buffer_.data() + size_);
        size_ += length;
    }

    void append(std::integral auto number, int base = 10)
    {
        char* const end = buffer_.data() + Size;
        if (const auto [next, error] = std::to_chars(buffer_.data() + size_, end, number, base);
            error == std::errc())
        {
            size_ = static_cast<std::size_t>(next - buffer_.data());
        }
    }

    std::string_view view() const { return {buffer_.data(), size_}; }

private:
    std::array<char, Size> buffer_{};
    std::size_t size_ = 0;
};

// The addresses of the program's own code; `base` is where the program is loaded.
struct code_range
{
    std::uintptr_t base = 0;
    std::uintptr_t begin = 0;
    std::uintptr_t end = 0;
};

// What the handlers need, prepared before a crash.
struct crash_state
{
    fixed_text<max_name_size> instance; // as a JSON string
    code_range program;
    std::terminate_handler previous_terminate = nullptr;
    std::atomic<bool> stopping = false;
    std::atomic<bool> crashed = false;
    std::atomic<const char*> exception = nullptr; // type that std::terminate was called for
};

constinit crash_state state;

alignas(std::max_align_t) std::array<std::byte, signal_stack_size> signal_stack;

// Takes the range of the first object, which is the program.
int take_program(dl_phdr_info* object, std::size_t, void* result)
{
    auto& program = *static_cast<code_range*>(result);
    program.base = object->dlpi_addr;
    for (std::size_t index = 0; index < object->dlpi_phnum; ++index) {
        const auto& segment = object->dlpi_phdr[index];
        if (segment.p_type == PT_LOAD && (segment.p_flags & PF_X) != 0) {
            program.begin = program.base + segment.p_vaddr;
            program.end = program.begin + segment.p_memsz;
        }
    }
    return 1;
}

// Returns the address of the instruction that was executed, or 0 if it is not known.
std::uintptr_t code_address(const void* context)
{
    [[maybe_unused]] const auto& machine = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
    return static_cast<std::uintptr_t>(machine.gregs[REG_RIP]);
#elif defined(__aarch64__)
    return static_cast<std::uintptr_t>(machine.pc);
#else
    return 0;
#endif
}

// Writes the line with one system call, unless standard output has no room.
void write_line(std::string_view line)
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, static_cast<int>(max_write_wait.count())) == 0) {
        return; // the exit status still names the signal
    }
    [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
}

// Only uses what is safe in a signal handler.
void handle_crash(int signal, siginfo_t*, void* context)
{
    if (!state.crashed.exchange(true)) {
        fixed_text<max_line_size> line;
        line.append("{\"time_ms\":");
        line.append(wall_now().time_since_epoch().count());
        line.append(",\"instance\":");
        line.append(state.instance.view());
        line.append(",\"event\":\"crashed\",\"signal\":");
        line.append(signal);
        line.append(state.stopping ? ",\"stopping\":true" : ",\"stopping\":false");
        if (const std::uintptr_t address = code_address(context);
            address >= state.program.begin && address < state.program.end)
        {
            line.append(",\"code\":\"0x");
            line.append(address - state.program.base, 16);
            line.append("\"");
        }
        if (const char* exception = state.exception; exception != nullptr) {
            line.append(",\"exception\":\"");
            line.append(exception);
            line.append("\"");
        }
        line.append("}\n");
        write_line(line.view());
    } else {
        // Another thread writes its line first.
        ::poll(nullptr, 0, static_cast<int>(max_write_wait.count()));
    }
    // SA_RESETHAND has restored the default action, which takes place when this function returns.
    ::raise(signal);
}

[[noreturn]] void handle_terminate()
{
    if (const std::type_info* type = abi::__cxa_current_exception_type(); type != nullptr) {
        state.exception = type->name();
    }
    if (state.previous_terminate != nullptr) {
        state.previous_terminate(); // prints the exception
    }
    std::abort();
}

} // namespace

void report_crashes(std::string_view instance)
{
    std::string name;
    append_json_string(name, instance);
    state.instance.append(name.size() <= max_name_size ? name : "\"\"");
    ::dl_iterate_phdr(take_program, &state.program);
    state.previous_terminate = std::set_terminate(handle_terminate);

    stack_t stack{};
    stack.ss_sp = signal_stack.data();
    stack.ss_size = signal_stack.size();
    ::sigaltstack(&stack, nullptr); // without it, only an overflow of the stack is not reported
    struct sigaction action = {};
    action.sa_sigaction = handle_crash;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
    ::sigemptyset(&action.sa_mask);
    for (const int signal : reported_signals) {
        ::sigaction(signal, &action, nullptr);
    }
}

void report_crashes_as_stopping()
{
    state.stopping = true;
}

} // namespace quetzal::gateway
