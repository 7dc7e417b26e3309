#ifndef QUETZAL_REQUESTS_FRAME_PARSER_HPP
#define QUETZAL_REQUESTS_FRAME_PARSER_HPP

// Incremental parser of endpoint responses: newline-separated JSON objects
// `{"call":...,"seq":n,"data":...}` and `{"call":...,"end":true,"frames":n}`. Bytes are received
// into blocks owned by the parser, and the data of a frame is a slice of such a block.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <quetzal/requests/chunk.hpp>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzal::requests {

inline constexpr std::size_t max_frame_size = 64u << 10;     // bytes, including the envelope
inline constexpr std::size_t receive_block_size = 16u << 10; // bytes

// Maximum bytes that one `prepare` and `commit` can add to an answer: an incomplete frame received
// earlier and one block.
inline constexpr std::size_t max_read_ahead = max_frame_size + receive_block_size;

// A part of a response. `call` is valid as long as `data` or a copy of `data` exists.
struct data_frame
{
    std::string_view call; // as received, with escapes not decoded
    std::uint64_t sequence = 0;
    chunk data; // validated text of the JSON value, without surrounding white space
};

// The end of a response.
struct end_frame
{
    std::string call;         // as received, with escapes not decoded
    std::uint64_t frames = 0; // of the whole stream, including those before a resume offset
};

// A line that is not a valid frame.
struct bad_frame
{
    enum class cause
    {
        malformed,
        oversized // the parser ignores all later bytes
    };
    cause why = cause::malformed;
};

using frame = std::variant<data_frame, end_frame, bad_frame>;

// Accepts the bytes in pieces of any size. Unknown members are validated and ignored; duplicate
// members, control characters and invalid UTF-8 make a frame malformed. Empty lines are skipped.
// Not thread-safe.
class frame_parser
{
public:
    // Returns a buffer to receive into, never empty. Valid until the next `prepare` or `commit`.
    std::span<char> prepare();

    // Parses the first `received` bytes of the buffer and appends the frames completed by them.
    void commit(std::size_t received, std::vector<frame>& into);

    // Copies bytes that were received into other memory and parses them.
    void feed(std::string_view bytes, std::vector<frame>& into);

    // Bytes received of an incomplete frame; 0 at the end of a well-formed response.
    std::size_t pending() const noexcept { return filled_ - begin_; }

private:
    void next_block(std::size_t size);
    void parse_line(std::size_t begin, std::size_t end, std::vector<frame>& into);

    std::shared_ptr<char[]> block_;
    std::size_t block_size_ = 0;
    std::size_t begin_ = 0;     // start of the incomplete frame
    std::size_t filled_ = 0;    // end of the received bytes
    std::size_t scanned_ = 0;   // end of the bytes searched for a line break
    bool block_shared_ = false; // whether a returned chunk refers to the block
    bool stopped_ = false;      // set by an oversized frame
};

} // namespace quetzal::requests

#endif
