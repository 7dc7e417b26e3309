#include <quetzal/gateway/event_splitter.hpp>

#include <utility>

namespace quetzal::gateway {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view event_end_crlf = "\r\n\r\n";
constexpr std::string_view id_field = "id:";

std::size_t end_of_last_event(std::string_view bytes)
{
    std::size_t end = 0;
    if (const auto found = bytes.rfind(event_end); found != std::string_view::npos) {
        end = found + event_end.size();
    }
    if (const auto found = bytes.rfind(event_end_crlf); found != std::string_view::npos) {
        end = std::max(end, found + event_end_crlf.size());
    }
    return end;
}

} // namespace

std::string event_splitter::take_complete_events()
{
    const std::size_t end = end_of_last_event(pending_);
    if (end == 0) {
        return {};
    }
    std::string events;
    if (end == pending_.size()) {
        events = std::exchange(pending_, {});
    } else {
        events = pending_.substr(0, end);
        pending_.erase(0, end);
    }
    update_last_id(events);
    return events;
}

std::string event_splitter::take_remainder()
{
    update_last_id(pending_);
    return std::exchange(pending_, {});
}

void event_splitter::update_last_id(std::string_view events)
{
    // Only the last `id` field counts; search backwards for one at the start of a line.
    std::size_t from = events.size();
    while (true) {
        const auto found = events.rfind(id_field, from);
        if (found == std::string_view::npos) {
            return;
        }
        if (found == 0 || events[found - 1] == '\n') {
            auto value = events.substr(found + id_field.size());
            value = value.substr(0, value.find_first_of("\r\n"));
            if (value.starts_with(' ')) {
                value.remove_prefix(1);
            }
            last_id_ = std::string(value);
            return;
        }
        from = found - 1;
    }
}

} // namespace quetzal::gateway
