#ifndef QUETZAL_GATEWAY_EVENT_SPLITTER_HPP
#define QUETZAL_GATEWAY_EVENT_SPLITTER_HPP

// Splits the bytes of a server-sent event stream into whole events, so that an event that an
// endpoint broke off midway is never passed on.

#include <optional>
#include <string>
#include <string_view>

namespace quetzal::gateway {

class event_splitter
{
public:
    // Adds bytes as they arrive.
    void add(std::string_view bytes) { pending_ += bytes; }

    // Takes all whole events that have arrived, possibly none. `last_id` is updated.
    std::string take_whole_events();

    // Whether bytes of an unfinished event are held.
    bool holds_partial_event() const noexcept { return !pending_.empty(); }

    // Takes the unfinished bytes, e.g. at the proper end of a stream without a final empty line.
    std::string take_rest();

    // Drops the unfinished bytes before a stream goes on at another endpoint.
    void drop_partial_event() { pending_.clear(); }

    // The value of the last `id` field that was taken, if any.
    const std::optional<std::string>& last_id() const noexcept { return last_id_; }

private:
    void note_ids(std::string_view events);

    std::string pending_;
    std::optional<std::string> last_id_;
};

} // namespace quetzal::gateway

#endif
