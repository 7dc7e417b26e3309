#include "reassembly.hpp"

#include <algorithm>

#include <quetzal/requests/frame_parser.hpp>
#include <quetzal/requests/stage_attempt.hpp>

namespace quetzal::requests::internal {

frame_position reassembly::add(std::uint64_t sequence, const chunk& data)
{
    const auto is_held = [this, sequence] {
        return std::any_of(held_.begin(), held_.end(), [sequence](const held_frame& held) {
            return held.sequence == sequence;
        });
    };
    if (sequence < next_ || is_held()) {
        return frame_position::duplicate;
    }
    if (end_ && sequence >= *end_) {
        return frame_position::beyond_end;
    }
    if (sequence == next_) {
        ++next_;
        return frame_position::next;
    }
    if (held_.size() >= max_held_frames || held_bytes_ + data.charge() > max_frame_size) {
        return frame_position::buffer_full;
    }
    held_bytes_ += data.charge();
    held_.push_back({sequence, data});
    return frame_position::early;
}

std::optional<chunk> reassembly::take_held()
{
    const auto found = std::find_if(held_.begin(), held_.end(), [this](const held_frame& held) {
        return held.sequence == next_;
    });
    if (found == held_.end()) {
        return std::nullopt;
    }
    chunk data = std::move(found->data);
    held_bytes_ -= data.charge();
    held_.erase(found);
    ++next_;
    return data;
}

bool reassembly::set_frame_count(std::uint64_t frames)
{
    const bool beyond = std::any_of(held_.begin(), held_.end(), [frames](const held_frame& held) {
        return held.sequence >= frames;
    });
    if (frames < next_ || beyond || (end_ && *end_ != frames)) {
        return false;
    }
    end_ = frames;
    return true;
}

} // namespace quetzal::requests::internal
