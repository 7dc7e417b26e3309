// libFuzzer target of the frame parser. `frame_parser_test` runs it with fixed seeds; for a longer
// search, build it with `-fsanitize=fuzzer`.
//
// Aborts if the frames depend on how the bytes are split, or if the parser and Boost.JSON disagree
// about a line.

#include <boost/json/parse.hpp>

#include <cstdlib>
#include <quetzal/base/random.hpp>
#include <quetzal/requests/frame_parser.hpp>
#include <string>

using namespace quetzal;
using namespace quetzal::requests;

namespace {

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

// Returns a frame as text, so that frames can be compared after their blocks were freed.
std::string describe(const frame& one)
{
    if (const auto* data = std::get_if<data_frame>(&one)) {
        return "data " + std::string(data->call) + ' ' + std::to_string(data->sequence) + ' ' +
               std::string(data->data.view());
    }
    if (const auto* end = std::get_if<end_frame>(&one)) {
        return "end " + end->call + ' ' + std::to_string(end->frames);
    }
    const auto why = std::get<bad_frame>(one).why;
    return why == bad_frame::cause::malformed ? "malformed" : "oversized";
}

std::vector<std::string> parse(std::string_view bytes, random_source* split)
{
    frame_parser parser;
    std::vector<std::string> found;
    std::vector<frame> frames;
    while (!bytes.empty()) {
        const std::size_t part =
            split ? 1 + split->below(std::min<std::size_t>(bytes.size(), 40)) : bytes.size();
        frames.clear();
        parser.feed(bytes.substr(0, part), frames);
        for (const auto& one : frames) {
            found.push_back(describe(one));
        }
        bytes.remove_prefix(part);
    }
    return found;
}

bool has(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

bool occurs_twice(std::string_view text, std::string_view part)
{
    return text.find(part) != text.rfind(part);
}

// Whether the two parsers may disagree: Boost.JSON decodes names, keeps the last of duplicate
// members, treats a carriage return as white space, accepts negative zero, and rejects unpaired
// surrogates and large exponents.
bool outside_comparison(std::string_view line)
{
    return has(line, "\\") || has(line, "\r") || has(line, "-0") ||
           occurs_twice(line, "\"call\"") || occurs_twice(line, "\"seq\"") ||
           occurs_twice(line, "\"data\"") || occurs_twice(line, "\"end\"") ||
           occurs_twice(line, "\"frames\"");
}

bool is_frame(const boost::json::object& line)
{
    const auto is_unsigned = [&](const char* name) {
        const auto* value = line.if_contains(name);
        return value && (value->is_uint64() || (value->is_int64() && value->get_int64() >= 0));
    };
    const auto* call = line.if_contains("call");
    const auto* end = line.if_contains("end");
    const bool ends = end && end->is_bool() && end->get_bool();
    return call && call->is_string() &&
           (!end
                ? is_unsigned("seq") && line.contains("data") && !line.contains("frames")
                : ends && is_unsigned("frames") && !line.contains("seq") && !line.contains("data"));
}

void compare_with_reference(std::string_view line)
{
    if (outside_comparison(line) || line.size() > max_frame_size) {
        return;
    }
    frame_parser parser;
    std::vector<frame> frames;
    parser.feed(std::string(line) + '\n', frames);
    boost::json::error_code error;
    boost::json::parse_options options;
    options.max_depth = 64;
    const auto parsed =
        boost::json::parse({line.data(), line.size()}, error, boost::json::storage_ptr(), options);
    if (frames.empty()) {
        require(line.empty());
        return;
    }
    require(frames.size() == 1);
    const bool accepted = !std::holds_alternative<bad_frame>(frames.front());
    if (error) {
        require(!accepted || error == boost::json::error::exponent_overflow);
        return;
    }
    const bool expected = parsed.is_object() && is_frame(parsed.get_object());
    const bool deep = has(line, "[[[[[[[[[[[[[[[[");
    require(accepted == expected || (deep && !accepted));
    if (const auto* data = std::get_if<data_frame>(&frames.front())) {
        const auto value = data->data.view();
        require(boost::json::parse({value.data(), value.size()}, error, boost::json::storage_ptr(),
                                   options) == parsed.at("data"));
        require(parsed.at("call").as_string() ==
                boost::json::string_view(data->call.data(), data->call.size()));
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(bytes), size);
    random_source split(size);
    require(parse(text, nullptr) == parse(text, &split));
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto end = std::min(text.find('\n', begin), text.size());
        compare_with_reference(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return 0;
}
