#include <quetzal/base/random.hpp>
#include <quetzal/requests/answer_log.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::requests;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// Reads from an offset to the end of the available data, at most `step` bytes at a time.
result<std::string> read_all(const answer_log& log, std::uint64_t offset, std::size_t step = 5)
{
    std::string text;
    while (offset < log.size()) {
        std::vector<answer_chunk> parts;
        if (const auto read = log.read(offset, step, parts); !read) {
            return tl::unexpected(read.error());
        }
        for (const auto& part : parts) {
            check(part.offset == offset, "chunks are contiguous");
            text += part.data.view();
            offset += part.data.size();
        }
    }
    return text;
}

} // namespace

// Guards against lost, duplicated or mixed chunks for readers that resume, before and after the
// end.
Test(answer_log, readers_get_the_answer_from_their_offset)
{
    answer_log log;
    for (const auto* part : {"one ", "two ", "three"}) {
        check(log.append(chunk(std::string(part))), "chunk is appended");
    }
    const auto read_back = [&] {
        check(read_all(log, 0) == "one two three", "all chunks from the start");
        check(read_all(log, 0, 1) == "one two three", "one chunk at a time");
        check(read_all(log, 4) == "two three", "resumed at an offset");
        check(read_all(log, 13) == "", "no data at the end");
        check(read_all(log, 5).error().why == reason::invalid_request,
              "an offset within a chunk fails");
        std::vector<answer_chunk> none;
        check(!log.read(99, 10, none), "an offset beyond the end fails");
    };
    section("while the answer is streamed", read_back);
    section("after the answer has ended", [&] {
        log.acknowledge(4);
        log.end({verdict::ran, {}});
        log.end({verdict::not_run, failure{}});
        read_back();
        check(log.ended()->is_complete() && log.ended()->run == verdict::ran,
              "the first end counts");
        check(!log.append(chunk("more")), "no chunk is added after the end");
        check(log.memory() == 13 + 3 * sizeof(std::uint32_t), "data is retained in one block");
    });
}

// Guards against a slow caller exhausting the memory, and against an unreported gap for a late
// reader.
Test(answer_log, retains_a_bounded_amount)
{
    answer_log log(100);
    const auto append = [&](std::size_t size) { return log.append(chunk(std::string(size, 'x'))); };
    section("the producer stops at the capacity until a reader acknowledges data", [&] {
        check(append(60) && append(40) && !append(1), "no chunk is accepted beyond the capacity");
        check(!log.accepts(1) && log.size() == 100, "a rejected chunk is not added in part");
        log.acknowledge(60);
        check(log.accepts(60) && append(60), "acknowledged bytes free capacity");
    });
    section("acknowledged chunks are dropped and cannot be read afterwards", [&] {
        check(log.first_offset() == 60 && log.memory() <= 100, "the oldest chunk is dropped");
        const auto gone = read_all(log, 0);
        check(!gone && gone.error().why == reason::not_found, "a dropped offset is not found");
        check(gone.error().run == verdict::may_have_run, "the verdict is may_have_run");
        check(read_all(log, 60)->size() == 100, "the retained chunks are readable");
    });
    section("unacknowledged chunks are never dropped", [&] {
        random_source random(5);
        answer_log busy(1000);
        std::uint64_t acknowledged = 0;
        for (int round = 0; round < 20000; ++round) {
            busy.append(chunk(std::string(1 + random.below(40), 'y')));
            std::vector<answer_chunk> parts;
            check(busy.read(acknowledged, random.below(60), parts).has_value(),
                  "the acknowledged offset is readable");
            if (!parts.empty() && random.below(2) == 0) {
                acknowledged = parts.back().offset + parts.back().data.size();
                busy.acknowledge(acknowledged);
            }
            check(busy.memory() <= 1000 && busy.first_offset() <= acknowledged,
                  "memory and first offset stay within bounds");
        }
        check(busy.first_offset() > 100'000, "the capacity is reused many times");
    });
}
