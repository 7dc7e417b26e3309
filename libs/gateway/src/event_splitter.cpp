#include <quetzal/gateway/event_splitter.hpp>

#include <algorithm>
#include <utility>

namespace quetzal::gateway {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view event_end_crlf = "\n\r\n"; // also after a line that ends with LF alone
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

bool is_name_character(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_';
}

// Whether a line is a field or a comment, i.e. a colon follows a possibly empty name.
bool is_well_formed_line(std::string_view line)
{
    const auto end = std::find_if_not(line.begin(), line.end(), is_name_character);
    return end != line.end() && *end == ':';
}

struct checked_events
{
    std::size_t size = 0; // of the events before the first malformed one, without empty lines after
    bool malformed = false;
    std::uint64_t events = 0; // ended by an empty line
};

// More than one additional empty line between two events is malformed.
checked_events check_lines(std::string_view events)
{
    constexpr unsigned max_empty_lines = 2;
    checked_events checked;
    unsigned empty_lines = 1; // an event has ended before
    for (std::size_t begin = 0; begin < events.size();) {
        const std::size_t end = std::min(events.find('\n', begin), events.size());
        std::string_view line = events.substr(begin, end - begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        begin = std::min(end + 1, events.size());
        empty_lines = line.empty() ? empty_lines + 1 : 0;
        if (empty_lines > max_empty_lines || (!line.empty() && !is_well_formed_line(line))) {
            checked.malformed = true;
            return checked;
        }
        if (empty_lines == 1) {
            checked.size = begin;
            ++checked.events;
        }
    }
    return checked;
}

} // namespace

std::string event_splitter::take_complete_events()
{
    // The end of an event may begin in the part that has been searched before.
    const std::size_t from = searched_ - std::min(searched_, event_end_crlf.size() - 1);
    const std::size_t found = end_of_last_event(std::string_view(pending_).substr(from));
    if (found == 0) {
        searched_ = pending_.size();
        return {};
    }
    const std::size_t end = from + found;
    searched_ = 0;
    std::string events;
    if (end == pending_.size()) {
        events = std::exchange(pending_, {});
    } else {
        events = pending_.substr(0, end);
        pending_.erase(0, end);
    }
    const checked_events checked = check_lines(events);
    malformed_ = checked.malformed;
    if (!malformed_) {
        pending_.insert(0, events, checked.size); // an additional empty line waits for an event
    }
    events.resize(checked.size);
    taken_ += checked.events;
    update_last_id(events);
    return events;
}

std::string event_splitter::take_final_lines()
{
    std::string lines = std::exchange(pending_, {});
    searched_ = 0;
    malformed_ = malformed_ || check_lines(lines).malformed;
    return malformed_ ? std::string() : lines;
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
