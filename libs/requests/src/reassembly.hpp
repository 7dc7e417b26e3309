#ifndef QUETZAL_REQUESTS_REASSEMBLY_HPP
#define QUETZAL_REQUESTS_REASSEMBLY_HPP

// Puts the frames of one answer in order.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <quetzal/requests/chunk.hpp>
#include <vector>

namespace quetzal::requests::internal {

// Where a frame belongs.
enum class frame_place
{
    next,       // deliver it, then `take_held`
    early,      // held until the frames before it have come
    seen,       // delivered or held before
    beyond_end, // contradicts the end frame
    no_room     // too many or too large frames are held
};

// Not thread-safe. Holds at most `max_held_frames` frames and `max_frame_size` bytes.
class reassembly
{
public:
    explicit reassembly(std::uint64_t offset) noexcept : next_(offset) {}

    // Judges a frame and keeps it if it is early.
    frame_place add(std::uint64_t sequence, const chunk& data);

    // Returns the held frame whose turn has come.
    std::optional<chunk> take_held();

    // Takes the end frame's number of frames. Returns false if frames contradict it.
    bool end(std::uint64_t frames);

    // Whether every frame up to the end was delivered.
    bool whole() const noexcept { return end_ == next_; }

    std::uint64_t next_sequence() const noexcept { return next_; }

private:
    struct held_frame
    {
        std::uint64_t sequence = 0;
        chunk data;
    };

    std::uint64_t next_;
    std::optional<std::uint64_t> end_;
    std::vector<held_frame> held_;
    std::size_t held_bytes_ = 0;
};

} // namespace quetzal::requests::internal

#endif
