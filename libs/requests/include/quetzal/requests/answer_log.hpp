#ifndef QUETZAL_REQUESTS_ANSWER_LOG_HPP
#define QUETZAL_REQUESTS_ANSWER_LOG_HPP

// The answer of one request: the data streamed by the last stage, buffered for the caller's first
// connection and for connections that resume from a byte offset.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <quetzal/base/verdict.hpp>
#include <quetzal/requests/chunk.hpp>
#include <vector>

namespace quetzal::requests {

inline constexpr std::size_t max_unacknowledged_bytes = 256u
                                                        << 10; // bytes; see section 9 of the design

// How an answer ended. The answer is complete exactly when `why` is empty.
struct answer_end
{
    verdict run = verdict::may_have_run;
    std::optional<failure> why;

    bool is_complete() const noexcept { return !why; }
};

// A chunk with the offset of its first byte. The `id` of its server-sent event is
// `offset + data.size()`, the offset to resume from.
struct answer_chunk
{
    std::uint64_t offset = 0;
    chunk data;
};

// A bounded buffer with any number of readers. The connection of a reader keeps the reader's
// offset; it calls `read`, writes the chunks to its socket and then calls `acknowledge`.
// Back-pressure follows the reader with the greatest acknowledged offset, so that a dead connection
// does not block the connection that replaced it. `read` fails for a reader whose offset is no
// longer retained. Not thread-safe.
class answer_log
{
public:
    // `capacity` bounds the bytes retained before the end, including the envelopes of the frames.
    explicit answer_log(std::size_t capacity = max_unacknowledged_bytes) noexcept
        : capacity_(capacity)
    {
    }

    // Whether the producer should read more from its endpoint. `ahead` is the maximum number of
    // bytes that one more read can add; if this returns true, `append` accepts all of them.
    bool accepts(std::size_t ahead) const noexcept
    {
        return unacknowledged_bytes() + ahead <= capacity_;
    }

    // Bytes appended and not acknowledged by any reader, including the envelopes; 0 after the end.
    std::size_t unacknowledged_bytes() const noexcept { return unacknowledged_charge_; }

    // Adds a chunk. Returns false and changes nothing after the end or if the chunk would exceed
    // the capacity. Empty chunks are dropped.
    bool append(chunk data);

    // Records that a reader has forwarded everything before the offset. Offsets beyond the end are
    // ignored.
    void acknowledge(std::uint64_t offset);

    // Ends the answer; later calls have no effect. Copies the retained chunks into one block of
    // their exact size, which frees the receive blocks.
    void end(answer_end outcome);

    // Appends to `into` the chunks from the offset on: at least one if any is available, and
    // further chunks up to `max_bytes` in total. Succeeds without appending if the offset equals
    // `size()`. Fails with `not_found` if the offset is no longer retained and with
    // `invalid_request` if it is not the start of a chunk; the verdict is that of the run so far,
    // never `not_run`.
    result<void> read(std::uint64_t offset, std::size_t max_bytes,
                      std::vector<answer_chunk>& into) const;

    std::uint64_t size() const noexcept { return size_; } // total bytes appended
    std::uint64_t first_offset() const noexcept
    {
        return first_offset_;
    } // of the oldest byte retained
    std::size_t memory() const noexcept
    {
        return retained_charge_;
    } // bytes retained, including envelopes
    const std::optional<answer_end>& ended() const noexcept { return end_; }

private:
    void trim();
    void compact();
    bool read_running(std::uint64_t offset, std::size_t max_bytes,
                      std::vector<answer_chunk>& into) const;
    bool read_ended(std::uint64_t offset, std::size_t max_bytes,
                    std::vector<answer_chunk>& into) const;
    tl::unexpected<failure> read_failure(reason why, std::string detail) const;

    std::size_t capacity_;
    std::vector<answer_chunk> chunks_; // used before the end, from index `head_` on
    std::size_t head_ = 0;
    std::size_t first_unacknowledged_ = 0; // index of a chunk
    std::uint64_t size_ = 0;
    std::uint64_t first_offset_ = 0;
    std::size_t retained_charge_ = 0;
    std::size_t unacknowledged_charge_ = 0;
    std::optional<answer_end> end_;

    // Used after the end: the retained bytes in one block and the start of each chunk in the block.
    std::shared_ptr<char[]> block_;
    std::vector<std::uint32_t> starts_;
};

} // namespace quetzal::requests

#endif
