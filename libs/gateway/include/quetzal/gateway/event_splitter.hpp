#ifndef QUETZAL_GATEWAY_EVENT_SPLITTER_HPP
#define QUETZAL_GATEWAY_EVENT_SPLITTER_HPP

// Splits the bytes of a server-sent event stream into complete events, so that an event cut short
// by an endpoint, or bytes that are no event, are never forwarded. Every line of an event is a
// field with a name, a colon and a value, or a comment, and ends with LF or CRLF. An empty line
// ends the event.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal::gateway {

class event_splitter
{
public:
    // Appends received bytes.
    void add(std::string_view bytes) { pending_ += bytes; }

    // Removes and returns all complete events, possibly none. Returns only those before the first
    // malformed one, if any. Updates `last_id`.
    std::string take_complete_events();

    // Whether bytes that are no event were found. Nothing more may be added before
    // `discard_partial_event`.
    bool is_malformed() const noexcept { return malformed_; }

    // Whether bytes of an incomplete event are buffered.
    bool has_partial_event() const noexcept { return !pending_.empty(); }

    // Whether more than empty lines are buffered.
    bool is_inside_event() const noexcept
    {
        return pending_.find_first_not_of("\r\n") != std::string::npos;
    }

    // Returns the number of buffered bytes.
    std::size_t pending_size() const noexcept { return pending_.size(); }

    // Removes and returns the additional empty lines after the last event of a stream that has
    // ended outside an event; returns nothing if they are malformed.
    std::string take_final_lines();

    // Discards the incomplete event before another endpoint continues the stream.
    void discard_partial_event()
    {
        pending_.clear();
        searched_ = 0;
        malformed_ = false;
    }

    // Returns the number of events that were returned.
    std::uint64_t taken() const noexcept { return taken_; }

    // The value of the last `id` field among the returned events, if any.
    const std::optional<std::string>& last_id() const noexcept { return last_id_; }

private:
    void update_last_id(std::string_view events);

    std::string pending_;
    std::size_t searched_ = 0; // bytes of `pending_` in which no event ends
    bool malformed_ = false;
    std::uint64_t taken_ = 0;
    std::optional<std::string> last_id_;
};

} // namespace quetzal::gateway

#endif
