// Measures the path of a token through an instance: from received bytes through frame parser, stage
// attempt, pipeline run and answer log to a reader. Counts allocations as well as time, because the
// goal is no allocation per token.

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <cstring>
#include <new>
#include <quetzal/requests/answer_log.hpp>
#include <quetzal/requests/frame_parser.hpp>
#include <quetzal/requests/pipeline_run.hpp>
#include <string>

namespace {

std::atomic<std::uint64_t> allocations{0};

} // namespace

// Not inlined, because GCC 12 otherwise reports mismatched allocation and deallocation functions.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* const memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

using namespace quetzal;
using namespace quetzal::requests;

constexpr incarnation process{1733290000000123};
constexpr std::size_t tokens_per_answer = 256; // 8 s at 32 ms between tokens
constexpr std::size_t tokens_per_read = 4;     // a few tokens arrive in one packet

const std::string& answer_bytes()
{
    static const std::string bytes = [] {
        const std::string call = to_string(call_id{process, 1234, 0, 0});
        std::string text;
        for (std::size_t index = 0; index < tokens_per_answer; ++index) {
            text += "{\"call\":\"" + call + "\",\"seq\":" + std::to_string(index) +
                    ",\"data\":\" token" + std::to_string(index % 10) + "\"}\n";
        }
        return text + "{\"call\":\"" + call +
               "\",\"end\":true,\"frames\":" + std::to_string(tokens_per_answer) + "}\n";
    }();
    return bytes;
}

// Receives like a socket, into the parser's own buffer.
void receive(frame_parser& parser, std::string_view part, std::vector<frame>& frames)
{
    const auto buffer = parser.prepare();
    const std::size_t copied = std::min(buffer.size(), part.size());
    std::memcpy(buffer.data(), part.data(), copied);
    parser.commit(copied, frames);
}

void report(benchmark::State& state, std::uint64_t allocated)
{
    const auto tokens = static_cast<double>(state.iterations()) * tokens_per_answer;
    state.counters["tokens/s"] = benchmark::Counter(tokens, benchmark::Counter::kIsRate);
    state.counters["allocations/token"] = static_cast<double>(allocated) / tokens;
    if (static_cast<double>(allocated) >= tokens / 2) {
        state.SkipWithError("more than one allocation for two tokens");
    }
}

void parse_frames(benchmark::State& state)
{
    const std::string& bytes = answer_bytes();
    const std::size_t step = bytes.size() / tokens_per_answer * tokens_per_read;
    std::vector<frame> frames;
    const auto before = allocations.load();
    for (auto _ : state) {
        frame_parser parser;
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            frames.clear();
            receive(parser, std::string_view(bytes).substr(at, step), frames);
            benchmark::DoNotOptimize(frames.data());
        }
    }
    report(state, allocations.load() - before);
}
BENCHMARK(parse_frames);

void parse_run_and_log(benchmark::State& state)
{
    const std::string& bytes = answer_bytes();
    const std::size_t step = bytes.size() / tokens_per_answer * tokens_per_read;
    auto pipeline = std::make_shared<config::pipeline>();
    pipeline->stages.emplace_back();
    const call_id call{process, 1234, 0, 0};
    std::vector<frame> frames;
    std::vector<run_action> actions;
    std::vector<answer_chunk> parts;
    const auto before = allocations.load();
    for (auto _ : state) {
        pipeline_run run({1234, process, pipeline, time_point(std::chrono::hours(1))});
        answer_log log;
        frame_parser parser;
        actions.clear();
        run.start(actions);
        run.grant(0, endpoint_id("e"), time_point(std::chrono::hours(1)), false, actions);
        run.handle(call, connected{}, actions);
        run.handle(call, checks_passed{}, actions);
        std::uint64_t read = 0;
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            frames.clear();
            actions.clear();
            receive(parser, std::string_view(bytes).substr(at, step), frames);
            for (const auto& one : frames) {
                std::visit([&](const auto& event) { run.handle(call, event, actions); }, one);
            }
            for (auto& action : actions) {
                if (auto* part = std::get_if<append_answer>(&action)) {
                    log.append(std::move(part->data));
                }
            }
            parts.clear();
            if (log.read(read, 1u << 16, parts) && !parts.empty()) {
                read = parts.back().offset + parts.back().data.size();
                log.acknowledge(read);
            }
        }
        log.end({verdict::ran, {}});
        if (!run.ended() || log.size() != read) {
            state.SkipWithError("the answer is not complete");
        }
    }
    report(state, allocations.load() - before);
}
BENCHMARK(parse_run_and_log);

} // namespace

BENCHMARK_MAIN();
