#ifndef QUETZAL_REQUESTS_FRAME_PARSER_HPP
#define QUETZAL_REQUESTS_FRAME_PARSER_HPP

// Incremental parser of endpoints' answers: newline-separated JSON objects
// `{"call":...,"seq":n,"data":...}` and `{"call":...,"end":true,"frames":n}`. Bytes are received
// into blocks of the parser, and the data of a frame is a slice of its block.

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

inline constexpr std::size_t max_frame_size = 64u << 10;     // bytes, with the envelope
inline constexpr std::size_t receive_block_size = 16u << 10; // bytes

// The most that one `prepare` and `commit` can add to an answer: a frame begun before and a block.
inline constexpr std::size_t max_read_ahead = max_frame_size + receive_block_size;

// A part of an answer. `call` is valid as long as `data` or a copy of it.
struct data_frame
{
    std::string_view call; // as received, escapes not decoded
    std::uint64_t sequence = 0;
    chunk data; // text of the JSON value, checked, without surrounding white space
};

// The end of an answer.
struct end_frame
{
    std::string call;         // as received, escapes not decoded
    std::uint64_t frames = 0; // sequence numbers of the whole stream, with those before an offset
};

// A line that is not a frame.
struct bad_frame
{
    enum class cause
    {
        malformed,
        oversized // nothing after it is parsed
    };
    cause why = cause::malformed;
};

using frame = std::variant<data_frame, end_frame, bad_frame>;

// Accepts any split of the bytes. Unknown members are checked and ignored; members that occur
// twice, control characters and invalid UTF-8 make a frame malformed. Empty lines are skipped. Not
// thread-safe.
class frame_parser
{
public:
    // Returns room to receive into, never empty. Valid until the next `prepare` or `commit`.
    std::span<char> prepare();

    // Takes the first `received` bytes of the room and appends the frames that are complete now.
    void commit(std::size_t received, std::vector<frame>& into);

    // Copies bytes that were received elsewhere into blocks and parses them.
    void feed(std::string_view bytes, std::vector<frame>& into);

    // Bytes of a frame that is not complete. When the connection ends it must be 0.
    std::size_t pending() const noexcept { return filled_ - begin_; }

private:
    void next_block(std::size_t size);
    void parse_line(std::size_t begin, std::size_t end, std::vector<frame>& into);

    std::shared_ptr<char[]> block_;
    std::size_t block_size_ = 0;
    std::size_t begin_ = 0;   // of the incomplete frame
    std::size_t filled_ = 0;  // end of the received bytes
    std::size_t scanned_ = 0; // end of the bytes searched for a line break
    bool sliced_ = false;     // whether a chunk of the block was given out
    bool stopped_ = false;    // after an oversized frame
};

} // namespace quetzal::requests

#endif
