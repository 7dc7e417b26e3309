#include <quetzal/requests/frame_parser.hpp>

#include <algorithm>
#include <cstring>
#include <optional>

#include "decimal.hpp"
#include "json_scanner.hpp"

namespace quetzal::requests {

namespace {

// A new block is started if less space than this is left, to avoid very short reads.
constexpr std::size_t min_receive_space = 1024; // bytes

// The members of one line.
struct frame_members
{
    std::optional<std::string_view> call;
    std::optional<std::string_view> sequence;
    std::optional<std::string_view> data;
    std::optional<std::string_view> end;
    std::optional<std::string_view> frames;

    // Returns the value of a member to set, or null if the name is unknown.
    std::optional<std::string_view>* slot(std::string_view name) noexcept
    {
        if (name == "call") {
            return &call;
        }
        if (name == "seq") {
            return &sequence;
        }
        if (name == "data") {
            return &data;
        }
        if (name == "end") {
            return &end;
        }
        return name == "frames" ? &frames : nullptr;
    }
};

bool read_member(internal::json_scanner& scanner, frame_members& members)
{
    scanner.skip_space();
    const auto name = scanner.scan_string();
    scanner.skip_space();
    if (!name || !scanner.consume(':')) {
        return false;
    }
    scanner.skip_space();
    const auto value = scanner.scan_value();
    if (!value) {
        return false;
    }
    if (auto* const slot = members.slot(*name)) {
        if (*slot) {
            return false;
        }
        *slot = value;
    }
    scanner.skip_space();
    return true;
}

std::optional<frame_members> read_members(std::string_view line)
{
    internal::json_scanner scanner(line);
    frame_members members;
    scanner.skip_space();
    if (!scanner.consume('{')) {
        return std::nullopt;
    }
    do {
        if (!read_member(scanner, members)) {
            return std::nullopt;
        }
    } while (scanner.consume(','));
    if (!scanner.consume('}')) {
        return std::nullopt;
    }
    scanner.skip_space();
    if (!scanner.at_end()) {
        return std::nullopt;
    }
    return members;
}

// Returns the text of a JSON string without its quotes.
std::optional<std::string_view> unquoted(const std::optional<std::string_view>& value)
{
    if (!value || value->front() != '"') {
        return std::nullopt;
    }
    return value->substr(1, value->size() - 2);
}

std::optional<std::uint64_t> parse_number(const std::optional<std::string_view>& value)
{
    return value ? internal::parse_decimal<std::uint64_t>(*value) : std::nullopt;
}

} // namespace

std::span<char> frame_parser::prepare()
{
    if (block_size_ - filled_ < min_receive_space) {
        next_block(receive_block_size + pending());
    }
    return {block_.get() + filled_, block_size_ - filled_};
}

// Moves the incomplete frame to the front of a block of at least `size` bytes.
void frame_parser::next_block(std::size_t size)
{
    const std::size_t kept = pending();
    // A block to which returned chunks refer is not overwritten: another thread may read them.
    if (!block_shared_ && block_size_ >= size) {
        std::memmove(block_.get(), block_.get() + begin_, kept);
    } else {
        const auto next = std::make_shared_for_overwrite<char[]>(size);
        if (kept > 0) {
            std::memcpy(next.get(), block_.get() + begin_, kept);
        }
        block_ = next;
        block_size_ = size;
        block_shared_ = false;
    }
    scanned_ -= begin_;
    begin_ = 0;
    filled_ = kept;
}

void frame_parser::commit(std::size_t received, std::vector<frame>& into)
{
    if (stopped_ || !block_) {
        return;
    }
    filled_ += std::min(received, block_size_ - filled_);
    while (!stopped_) {
        const auto* const line_break = static_cast<const char*>(
            std::memchr(block_.get() + scanned_, '\n', filled_ - scanned_));
        const std::size_t end =
            line_break ? static_cast<std::size_t>(line_break - block_.get()) : filled_;
        if (end - begin_ > max_frame_size) {
            into.emplace_back(bad_frame{bad_frame::cause::oversized});
            stopped_ = true;
            begin_ = scanned_ = filled_ = 0;
            return;
        }
        if (!line_break) {
            scanned_ = filled_;
            return;
        }
        parse_line(begin_, end, into);
        begin_ = scanned_ = end + 1;
    }
}

void frame_parser::feed(std::string_view bytes, std::vector<frame>& into)
{
    while (!bytes.empty()) {
        const auto buffer = prepare();
        const std::size_t part = std::min(buffer.size(), bytes.size());
        std::memcpy(buffer.data(), bytes.data(), part);
        commit(part, into);
        bytes.remove_prefix(part);
    }
}

void frame_parser::parse_line(std::size_t begin, std::size_t end, std::vector<frame>& into)
{
    std::string_view line(block_.get() + begin, end - begin);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        return;
    }
    if (const auto members = read_members(line)) {
        const auto call = unquoted(members->call);
        const auto sequence = parse_number(members->sequence);
        const auto frames = parse_number(members->frames);
        const bool ends = members->end == std::string_view("true");
        if (call && sequence && members->data && !members->end && !members->frames) {
            block_shared_ = true;
            into.emplace_back(
                data_frame{*call, *sequence, chunk(block_, *members->data, end + 1 - begin)});
            return;
        }
        if (call && ends && frames && !members->sequence && !members->data) {
            into.emplace_back(end_frame{std::string(*call), *frames});
            return;
        }
    }
    into.emplace_back(bad_frame{bad_frame::cause::malformed});
}

} // namespace quetzal::requests
