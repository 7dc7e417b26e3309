#ifndef QUETZAL_GATEWAY_EVENT_SPLITTER_HPP
#define QUETZAL_GATEWAY_EVENT_SPLITTER_HPP

// Splits the bytes of a server-sent event stream into complete events, so that an event cut short
// by an endpoint is never forwarded.

#include <optional>
#include <string>
#include <string_view>

namespace quetzal::gateway {

class event_splitter
{
public:
    // Appends received bytes.
    void add(std::string_view bytes) { pending_ += bytes; }

    // Removes and returns all complete events, possibly none. Updates `last_id`.
    std::string take_complete_events();

    // Whether bytes of an incomplete event are buffered.
    bool has_partial_event() const noexcept { return !pending_.empty(); }

    // Removes and returns the remaining bytes, for a stream that is complete but lacks the final
    // empty line. Updates `last_id`.
    std::string take_remainder();

    // Discards the incomplete event before another endpoint continues the stream.
    void discard_partial_event() { pending_.clear(); }

    // The value of the last `id` field among the returned events, if any.
    const std::optional<std::string>& last_id() const noexcept { return last_id_; }

private:
    void update_last_id(std::string_view events);

    std::string pending_;
    std::optional<std::string> last_id_;
};

} // namespace quetzal::gateway

#endif
