#ifndef QUETZAL_GATEWAY_PIECE_QUEUE_HPP
#define QUETZAL_GATEWAY_PIECE_QUEUE_HPP

// Pieces of stages that wait for a call to one service, and the decision which of them form the
// next call. A call costs nearly the same however few pieces it carries, so pieces of many requests
// share calls, and the order of the queue decides who is served under load.

#include <cstdint>
#include <string>
#include <vector>

#include <quetzal/base/time.hpp>
#include <quetzal/gateway/catalog.hpp>

namespace quetzal::gateway {

// What is asked of a stage endpoint. `inputs` are handles of earlier results.
struct piece_order
{
    std::string request_id;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    std::string key;
    std::vector<std::string> inputs;
    std::int32_t priority = 0;      // 0 is the most urgent
    std::uint32_t useful_ms = 0;    // until the request's latency target, when sent to a peer
    std::uint32_t remaining_ms = 0; // until the request's deadline, when sent to a peer

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(request_id, stage, piece, key, inputs, priority, useful_ms, remaining_ms);
    }
};

// A waiting piece. Times are those of this process.
struct waiting_piece
{
    std::uint64_t ticket = 0; // chosen by the owner of the queue, unique
    piece_order order;
    time_point useful_until; // the request's latency target less the work that follows
    time_point deadline;
};

class piece_queue
{
public:
    // Adds a piece.
    void push(waiting_piece piece);

    // Removes the piece of that ticket if it still waits.
    void cancel(std::uint64_t ticket);

    // Takes the pieces whose deadline leaves no time for a call.
    std::vector<waiting_piece> take_hopeless(time_point now, duration call_time);

    // Takes the pieces of the next call, at most `batch`: those that can still be in time first, by
    // priority and then by urgency; pieces of one request stay together.
    std::vector<waiting_piece> take_call(std::size_t batch, time_point now, duration call_time);

    // Pieces ahead of a new one of that priority.
    std::size_t ahead_of(std::int32_t priority) const;

    std::size_t size() const noexcept { return waiting_.size(); }
    bool empty() const noexcept { return waiting_.empty(); }

private:
    std::vector<waiting_piece> waiting_;
};

// Time until a new piece of that priority would be done, if `endpoints` endpoints work on the queue
// with full calls.
duration expected_completion(const stage_capacity& capacity, std::size_t endpoints,
                             std::size_t pieces_ahead);

} // namespace quetzal::gateway

#endif
