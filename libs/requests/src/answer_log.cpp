#include <quetzal/requests/answer_log.hpp>

#include <algorithm>
#include <cstring>
#include <memory>

namespace quetzal::requests {

bool answer_log::append(chunk data)
{
    if (data.size() == 0) {
        return !end_;
    }
    if (end_ || unacknowledged_charge_ + data.charge() > capacity_) {
        return false;
    }
    const auto offset = size_;
    size_ += data.size();
    retained_charge_ += data.charge();
    unacknowledged_charge_ += data.charge();
    chunks_.push_back({offset, std::move(data)});
    trim();
    return true;
}

void answer_log::acknowledge(std::uint64_t offset)
{
    if (offset > size_ || end_) {
        return;
    }
    while (first_unacknowledged_ < chunks_.size()) {
        const auto& [start, data] = chunks_[first_unacknowledged_];
        if (start + data.size() > offset) {
            break;
        }
        unacknowledged_charge_ -= data.charge();
        ++first_unacknowledged_;
    }
    trim();
}

// Drops the oldest acknowledged chunks while the retained bytes exceed the capacity.
void answer_log::trim()
{
    while (retained_charge_ > capacity_ && head_ < first_unacknowledged_) {
        auto& oldest = chunks_[head_];
        retained_charge_ -= oldest.data.charge();
        first_offset_ = oldest.offset + oldest.data.size();
        oldest.data = {};
        ++head_;
    }
    // Moves the remaining chunks to the front only if they are the smaller half, so that the
    // amortized cost per chunk is constant.
    if (head_ > 64 && head_ * 2 > chunks_.size()) {
        chunks_.erase(chunks_.begin(), chunks_.begin() + static_cast<std::ptrdiff_t>(head_));
        first_unacknowledged_ -= head_;
        head_ = 0;
    }
}

void answer_log::end(answer_end outcome)
{
    if (end_) {
        return;
    }
    end_ = std::move(outcome);
    compact();
}

void answer_log::compact()
{
    const std::size_t kept = size_ - first_offset_;
    block_ = std::make_shared_for_overwrite<char[]>(kept);
    starts_.reserve(chunks_.size() - head_);
    for (std::size_t index = head_; index < chunks_.size(); ++index) {
        const auto& [offset, data] = chunks_[index];
        const std::size_t start = offset - first_offset_;
        std::memcpy(block_.get() + start, data.view().data(), data.size());
        starts_.push_back(static_cast<std::uint32_t>(start));
    }
    chunks_ = {};
    head_ = 0;
    first_unacknowledged_ = 0;
    unacknowledged_charge_ = 0;
    retained_charge_ = kept + starts_.size() * sizeof(std::uint32_t);
}

result<void> answer_log::read(std::uint64_t offset, std::size_t max_bytes,
                              std::vector<answer_chunk>& into) const
{
    if (offset < first_offset_) {
        return read_failure(reason::not_found, "the answer is available from offset " +
                                                   std::to_string(first_offset_) + " on; offset " +
                                                   std::to_string(offset) +
                                                   " is no longer available");
    }
    if (offset == size_) {
        return {};
    }
    const bool found =
        end_ ? read_ended(offset, max_bytes, into) : read_running(offset, max_bytes, into);
    if (!found) {
        return read_failure(reason::invalid_request,
                            "offset " + std::to_string(offset) + " is not the start of a chunk");
    }
    return {};
}

bool answer_log::read_running(std::uint64_t offset, std::size_t max_bytes,
                              std::vector<answer_chunk>& into) const
{
    auto next = std::lower_bound(
        chunks_.begin() + static_cast<std::ptrdiff_t>(head_), chunks_.end(), offset,
        [](const answer_chunk& kept, std::uint64_t wanted) { return kept.offset < wanted; });
    if (next == chunks_.end() || next->offset != offset) {
        return false;
    }
    std::size_t taken = 0;
    do {
        taken += next->data.size();
        into.push_back(*next);
        ++next;
    } while (next != chunks_.end() && taken + next->data.size() <= max_bytes);
    return true;
}

bool answer_log::read_ended(std::uint64_t offset, std::size_t max_bytes,
                            std::vector<answer_chunk>& into) const
{
    auto next = std::lower_bound(starts_.begin(), starts_.end(), offset - first_offset_);
    if (next == starts_.end() || *next != offset - first_offset_) {
        return false;
    }
    const std::size_t begin = *next;
    std::size_t end = begin;
    do {
        const std::size_t start = *next;
        ++next;
        end = next != starts_.end() ? *next : size_ - first_offset_;
        into.push_back({first_offset_ + start,
                        chunk(block_, {block_.get() + start, end - start}, end - start)});
    } while (next != starts_.end() &&
             (next + 1 != starts_.end() ? next[1] : size_ - first_offset_) - begin <= max_bytes);
    return true;
}

tl::unexpected<failure> answer_log::read_failure(reason why, std::string detail) const
{
    const bool ran = end_ && end_->run == verdict::ran;
    return tl::unexpected(
        failure{ran ? verdict::ran : verdict::may_have_run, why, std::move(detail), {}});
}

} // namespace quetzal::requests
