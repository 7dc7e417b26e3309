#include <quetzal/gateway/piece_queue.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace quetzal::gateway {

void piece_queue::push(waiting_piece piece) { waiting_.push_back(std::move(piece)); }

void piece_queue::cancel(std::uint64_t ticket)
{
    std::erase_if(waiting_, [&](const waiting_piece& piece) { return piece.ticket == ticket; });
}

std::vector<waiting_piece> piece_queue::take_hopeless(time_point now, duration call_time)
{
    const auto first_hopeless =
        std::stable_partition(waiting_.begin(), waiting_.end(), [&](const waiting_piece& piece) {
            return piece.deadline >= now + call_time;
        });
    std::vector<waiting_piece> hopeless(std::make_move_iterator(first_hopeless),
                                        std::make_move_iterator(waiting_.end()));
    waiting_.erase(first_hopeless, waiting_.end());
    return hopeless;
}

std::vector<waiting_piece> piece_queue::take_call(std::size_t batch, time_point now,
                                                  duration call_time)
{
    const auto rank = [&](const waiting_piece& piece) {
        const bool late = piece.useful_until < now + call_time;
        return std::tuple(late, piece.order.priority, piece.useful_until,
                          std::string_view(piece.order.request_id), piece.order.piece);
    };
    const std::size_t taken = std::min(batch, waiting_.size());
    const auto middle = waiting_.begin() + static_cast<std::ptrdiff_t>(taken);
    std::partial_sort(waiting_.begin(), middle, waiting_.end(),
                      [&](const waiting_piece& left, const waiting_piece& right) {
                          return rank(left) < rank(right);
                      });
    std::vector<waiting_piece> call(std::make_move_iterator(waiting_.begin()),
                                    std::make_move_iterator(middle));
    waiting_.erase(waiting_.begin(), middle);
    return call;
}

std::size_t piece_queue::ahead_of(std::int32_t priority) const
{
    return static_cast<std::size_t>(
        std::count_if(waiting_.begin(), waiting_.end(), [&](const waiting_piece& piece) {
            return piece.order.priority <= priority;
        }));
}

duration expected_completion(const stage_capacity& capacity, std::size_t endpoints,
                             std::size_t pieces_ahead)
{
    const duration full_call = capacity.call_time + capacity.piece_time * capacity.batch;
    const std::size_t calls_at_once = std::max<std::size_t>(endpoints * capacity.slots, 1);
    const std::size_t calls_ahead = pieces_ahead / std::max(capacity.batch, 1u);
    const std::size_t rounds = calls_ahead / calls_at_once;
    // A call in progress is half done on average when a piece arrives.
    return full_call / 2 + full_call * (rounds + 1);
}

} // namespace quetzal::gateway
