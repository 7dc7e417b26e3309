#ifndef QUETZAL_REQUESTS_REASSEMBLY_HPP
#define QUETZAL_REQUESTS_REASSEMBLY_HPP

// Restores the order of the frames of one response.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <quetzal/requests/chunk.hpp>
#include <vector>

namespace quetzal::requests::internal {

// The position of a frame in the stream.
enum class frame_position
{
    next,       // next to deliver; call `take_held` afterwards
    early,      // held until the frames before it have arrived
    duplicate,  // already delivered or held
    beyond_end, // conflicts with the end frame
    buffer_full // too many frames or bytes are held
};

// Not thread-safe. Holds at most `max_held_frames` frames and `max_frame_size` bytes.
class reassembly
{
public:
    explicit reassembly(std::uint64_t offset) noexcept : next_(offset) {}

    // Classifies a frame and holds it if it is early.
    frame_position add(std::uint64_t sequence, const chunk& data);

    // Removes and returns the held frame that is next to deliver, if any.
    std::optional<chunk> take_held();

    // Sets the number of frames from the end frame. Returns false if it conflicts with the frames
    // or the number received before.
    bool set_frame_count(std::uint64_t frames);

    // Whether every frame up to the end was delivered.
    bool is_complete() const noexcept { return end_ == next_; }

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
