#include <quetzal/base/random.hpp>
#include <quetzal/requests/frame_parser.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::requests;
using quetzal::testing::check;
using quetzal::testing::section;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size);

namespace {

std::vector<frame> parse(std::string_view bytes)
{
    frame_parser parser;
    std::vector<frame> frames;
    parser.feed(bytes, frames);
    return frames;
}

bool is_bad(std::string_view line, bad_frame::cause why = bad_frame::cause::malformed)
{
    const auto frames = parse(line);
    const auto* bad = frames.size() == 1 ? std::get_if<bad_frame>(&frames[0]) : nullptr;
    return bad && bad->why == why;
}

void fuzz(const std::string& text)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

} // namespace

// Guards against tokens that are changed, lost or merged by the parser.
Test(frame_parser, returns_data_unchanged)
{
    section("frames split at any byte", [] {
        const std::string bytes = "{\"call\":\"7-1-0-0\",\"seq\":0,\"data\":\"a\\u00e9\\n\"}\n\r\n"
                                  "{ \"data\" : {\"x\":[1, -2.5e3]} , \"seq\":1,\"call\":\"7\"}\r\n"
                                  "{\"call\":\"7-1-0-0\",\"end\":true,\"frames\":2,\"new\":null}\n";
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            frame_parser parser;
            std::vector<frame> frames;
            parser.feed(bytes.substr(0, cut), frames);
            parser.feed(bytes.substr(cut), frames);
            check(frames.size() == 3 && parser.pending() == 0, "all frames are returned");
            const auto& first = std::get<data_frame>(frames[0]);
            check(first.call == "7-1-0-0" && first.data.view() == "\"a\\u00e9\\n\"",
                  "data is unchanged");
            check(std::get<data_frame>(frames[1]).data.view() == "{\"x\":[1, -2.5e3]}",
                  "object is unchanged");
            check(std::get<end_frame>(frames[2]).frames == 2, "end frame is returned");
        }
    });
    section("chunks stay unchanged while the parser continues", [] {
        frame_parser parser;
        std::vector<frame> frames;
        for (int index = 0; index < 5000; ++index) {
            parser.feed("{\"call\":\"c\",\"seq\":" + std::to_string(index) +
                            ",\"data\":" + std::to_string(index) + "}\n",
                        frames);
        }
        for (int index = 0; index < 5000; ++index) {
            check(std::get<data_frame>(frames[index]).data.view() == std::to_string(index),
                  "data is unchanged");
        }
    });
}

// Guards against text that breaks a server-sent event or a caller's JSON parser, and against
// ambiguous frames.
Test(frame_parser, rejects_invalid_frames)
{
    for (const char* line : {"{}",
                             "[]",
                             "x",
                             "{\"call\":\"c\"}",
                             "{\"call\":\"c\",\"seq\":0}",
                             "{\"call\":\"c\",\"seq\":0,\"data\":}",
                             "{\"call\":\"c\",\"seq\":0,\"data\":1}x",
                             "{\"call\":\"c\",\"seq\":0,\"data\":1,}",
                             "{\"call\":1,\"seq\":0,\"data\":1}",
                             "{\"call\":\"c\",\"seq\":-1,\"data\":1}",
                             "{\"call\":\"c\",\"seq\":1.0,\"data\":1}",
                             "{\"call\":\"c\",\"seq\":18446744073709551616,\"data\":1}",
                             "{\"call\":\"c\",\"seq\":0,\"seq\":1,\"data\":1}",
                             "{\"call\":\"c\",\"seq\":0,\"data\":1,\"end\":true,\"frames\":1}",
                             "{\"call\":\"c\",\"end\":false,\"frames\":1}",
                             "{\"call\":\"c\",\"end\":true}",
                             "{\"call\":\"c\",\"seq\":0,\"data\":[1,\r2]}",
                             "{\"call\":\"c\",\"seq\":0,\"data\":\"\t\"}",
                             "{\"call\":\"c\",\"seq\":0,\"data\":\"\xff\"}",
                             "{\"call\":\"c\",\"seq\":0,\"data\":\"\xed\xa0\x80\"}",
                             "{\"call\":\"c\",\"seq\":0,\"data\":\"\\x\"}",
                             "{\"call\":\"c\",\"seq\":0,\"data\":01}"})
    {
        check(is_bad(line + std::string("\n")), line);
    }
    const auto nested = [](std::size_t depth) {
        return "{\"call\":\"c\",\"seq\":0,\"data\":" + std::string(depth, '[') +
               std::string(depth, ']') + "}\n";
    };
    check(!is_bad(nested(32)) && is_bad(nested(33)) && is_bad(nested(30000)),
          "at most 32 levels are accepted");
    const auto sized = [](std::size_t size) {
        const std::string head = "{\"call\":\"c\",\"seq\":0,\"data\":\"";
        return head + std::string(size - head.size() - 2, 'x') + "\"}";
    };
    check(!is_bad(sized(max_frame_size) + "\n"), "a frame of the maximum size is accepted");
    check(is_bad(sized(max_frame_size + 1) + "\n{}\n", bad_frame::cause::oversized),
          "a frame beyond the maximum size is oversized");
    check(is_bad(std::string(10 * max_frame_size, 'x'), bad_frame::cause::oversized),
          "a long line without a line break is oversized");
}

// Guards against reads beyond a block and against frames that depend on the split. Runs the fuzz
// target, which compares with Boost.JSON, on inputs from a fixed seed.
Test(frame_parser, passes_the_fuzz_target_with_a_fixed_seed)
{
    const std::string pieces[] = {"{",       "}",        "[",        "]",       ":",
                                  ",",       "\"",       "\\",       "\\u00e9", "\n",
                                  "\r",      " ",        "0",        "12",      "-",
                                  "1.5e3",   "true",     "null",     "\"x\"",   "\"call\"",
                                  "\"seq\"", "\"data\"", "\xc3\xa9", "\"end\"", "\"frames\""};
    random_source random(20261204);
    for (int round = 0; round < 20000; ++round) {
        std::string text;
        if (random.below(2) == 0) {
            text = "{\"call\":\"c-1\",\"seq\":" + std::to_string(random.below(100)) +
                   ",\"data\":{\"t\":[\"a\",1.5,true,null]}}\n"
                   "{\"call\":\"c-1\",\"end\":true,\"frames\":7}\n";
            for (auto changes = random.below(4); changes > 0; --changes) {
                const auto& piece = pieces[random.below(std::size(pieces))];
                text.replace(random.below(text.size()), random.below(4), piece);
            }
        } else {
            for (auto parts = random.below(60); parts > 0; --parts) {
                text += pieces[random.below(std::size(pieces))];
            }
        }
        fuzz(text);
    }
}
