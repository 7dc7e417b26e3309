#include <quetzal/base/random.hpp>
#include <quetzal/requests/answer_log.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::requests;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// Reads from an offset to the end of what is there, a few bytes at a time.
result<std::string> read_all(const answer_log& log, std::uint64_t offset, std::size_t step = 5)
{
    std::string text;
    while (offset < log.size()) {
        std::vector<answer_chunk> parts;
        if (const auto read = log.read(offset, step, parts); !read) {
            return tl::unexpected(read.error());
        }
        for (const auto& part : parts) {
            check(part.offset == offset, "parts follow each other");
            text += part.data.view();
            offset += part.data.size();
        }
    }
    return text;
}

} // namespace

// Guards against lost, doubled or mixed parts for readers that resume, before and after the end.
Test(answer_log, every_reader_gets_the_answer_from_its_offset)
{
    answer_log log;
    for (const auto* part : {"one ", "two ", "three"}) {
        check(log.append(chunk(std::string(part))), "append");
    }
    const auto read_back = [&] {
        check(read_all(log, 0) == "one two three", "from the start");
        check(read_all(log, 0, 1) == "one two three", "one part at a time");
        check(read_all(log, 4) == "two three", "resumed");
        check(read_all(log, 13) == "", "nothing new");
        check(read_all(log, 5).error().why == reason::invalid_request, "within a part");
        std::vector<answer_chunk> none;
        check(!log.read(99, 10, none), "beyond what was sent");
    };
    section("while it is streamed", read_back);
    section("after its end", [&] {
        log.acknowledge(4);
        log.end({verdict::ran, {}});
        log.end({verdict::not_run, failure{}});
        read_back();
        check(log.ended()->whole() && log.ended()->run == verdict::ran, "the first end counts");
        check(!log.append(chunk("more")), "nothing is added");
        check(log.memory() == 13 + 3 * sizeof(std::uint32_t), "kept in one block");
    });
}

// Guards against a slow caller filling the memory, and against a silent gap for a late reader.
Test(answer_log, keeps_a_bounded_part)
{
    answer_log log(100);
    const auto append = [&](std::size_t size) { return log.append(chunk(std::string(size, 'x'))); };
    section("the producer stops at the capacity until a reader goes on", [&] {
        check(append(60) && append(40) && !append(1), "full");
        check(!log.accepts(1) && log.size() == 100, "refused whole");
        log.acknowledge(60);
        check(log.accepts(60) && append(60), "room again");
    });
    section("parts that a reader has had make room, and are refused afterwards", [&] {
        check(log.first_kept() == 60 && log.memory() <= 100, "trimmed");
        const auto gone = read_all(log, 0);
        check(!gone && gone.error().why == reason::not_found, "gone");
        check(gone.error().run == verdict::may_have_run, "the work may have run");
        check(read_all(log, 60)->size() == 100, "the rest is there");
    });
    section("parts that nobody has had are never dropped", [&] {
        random_source random(5);
        answer_log busy(1000);
        std::uint64_t acknowledged = 0;
        for (int round = 0; round < 20000; ++round) {
            busy.append(chunk(std::string(1 + random.below(40), 'y')));
            std::vector<answer_chunk> parts;
            check(busy.read(acknowledged, random.below(60), parts).has_value(), "reader in step");
            if (!parts.empty() && random.below(2) == 0) {
                acknowledged = parts.back().offset + parts.back().data.size();
                busy.acknowledge(acknowledged);
            }
            check(busy.memory() <= 1000 && busy.first_kept() <= acknowledged, "bounds");
        }
        check(busy.first_kept() > 100'000, "went round many times");
    });
}
