#ifndef QUETZAL_REQUESTS_ANSWER_LOG_HPP
#define QUETZAL_REQUESTS_ANSWER_LOG_HPP

// The answer of one request: what the last stage streamed, kept for the first caller connection and
// for connections that resume from a byte offset.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <quetzal/base/verdict.hpp>
#include <quetzal/requests/chunk.hpp>
#include <vector>

namespace quetzal::requests {

inline constexpr std::size_t max_unread_bytes = 256u << 10; // design, section 9

// How an answer ended. It is whole exactly when `why` is empty.
struct answer_end
{
    verdict run = verdict::may_have_run;
    std::optional<failure> why;

    bool whole() const noexcept { return !why; }
};

// A chunk with the offset of its first byte. The `id` of its server-sent event is
// `offset + data.size()`, the offset to resume from.
struct answer_chunk
{
    std::uint64_t offset = 0;
    chunk data;
};

// A bounded buffer with any number of readers. A reader is an offset that its connection keeps; it
// calls `read`, writes the chunks to its socket and then calls `acknowledge`. Back-pressure follows
// the reader that has come furthest, so a dead connection does not stop the one that replaced it.
// A reader that falls behind what is kept is refused by `read`. Not thread-safe.
class answer_log
{
public:
    // `capacity` bounds the bytes kept before the end, counted with the envelopes of the frames.
    explicit answer_log(std::size_t capacity = max_unread_bytes) noexcept : capacity_(capacity) {}

    // Whether the producer should read more from its endpoint. `ahead` is the most that one more
    // read can add; with it, `append` never fails.
    bool accepts(std::size_t ahead) const noexcept { return unread() + ahead <= capacity_; }

    // Bytes appended and not acknowledged by any reader, counted with the envelopes; 0 after the
    // end.
    std::size_t unread() const noexcept { return unread_charge_; }

    // Adds a chunk. Returns false and changes nothing after the end or when it would exceed the
    // capacity. Empty chunks are dropped.
    bool append(chunk data);

    // A reader has passed on everything before the offset. Offsets beyond the end are ignored.
    void acknowledge(std::uint64_t offset);

    // Ends the answer. Only the first end counts. Copies the kept chunks into one block of their
    // exact size, which frees the receive blocks.
    void end(answer_end how);

    // Appends to `into` the chunks from the offset on, at least one if there is one, and then no
    // more than `max_bytes`. Succeeds with nothing at the end of what is there. Fails with
    // `not_found` if the offset is no longer kept and with `invalid_request` if it is not the start
    // of a chunk; the verdict is that of the run so far, never `not_run`.
    result<void> read(std::uint64_t offset, std::size_t max_bytes,
                      std::vector<answer_chunk>& into) const;

    std::uint64_t size() const noexcept { return size_; }        // bytes appended in all
    std::uint64_t first_kept() const noexcept { return first_; } // offset of the oldest byte kept
    std::size_t memory() const noexcept { return kept_charge_; } // bytes kept, with envelopes
    const std::optional<answer_end>& ended() const noexcept { return end_; }

private:
    void trim();
    void compact();
    bool read_running(std::uint64_t offset, std::size_t max_bytes,
                      std::vector<answer_chunk>& into) const;
    bool read_ended(std::uint64_t offset, std::size_t max_bytes,
                    std::vector<answer_chunk>& into) const;
    tl::unexpected<failure> refuse(reason why, std::string detail) const;

    std::size_t capacity_;
    std::vector<answer_chunk> chunks_; // before the end, from `head_` on
    std::size_t head_ = 0;
    std::size_t unread_from_ = 0; // index of the first chunk not acknowledged
    std::uint64_t size_ = 0;
    std::uint64_t first_ = 0;
    std::size_t kept_charge_ = 0;
    std::size_t unread_charge_ = 0;
    std::optional<answer_end> end_;

    // After the end: the kept bytes in one block and the start of each chunk in it.
    std::shared_ptr<char[]> block_;
    std::vector<std::uint32_t> starts_;
};

} // namespace quetzal::requests

#endif
