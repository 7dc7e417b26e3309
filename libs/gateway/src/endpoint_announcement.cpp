#include <quetzal/gateway/endpoint_announcement.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/http_status.hpp>

namespace quetzal::gateway {

namespace {

constexpr double max_pause_seconds = 300; // a longer one is taken for this

std::optional<duration> parse_seconds(std::string_view text)
{
    double seconds = 0;
    const char* const end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, seconds);
    if (error != std::errc{} || last != end || !(seconds > 0)) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(seconds, max_pause_seconds)));
}

} // namespace

endpoint_announcement read_announcement(const channel::fields& headers, unsigned status,
                                        const header_names& names)
{
    endpoint_announcement announced;
    if (status == http_status::misdirected) {
        return announced;
    }
    if (const auto leaving = headers.find(names.leaving); leaving != headers.end()) {
        announced.leaving = leaving->value() != "0";
    }
    const auto retry_after = headers.find(boost::beast::http::field::retry_after);
    if (status == http_status::unavailable && retry_after != headers.end()) {
        announced.pause = parse_seconds({retry_after->value().data(), retry_after->value().size()});
    }
    return announced;
}

void record_announcement(catalog& view, const endpoint& source,
                         const endpoint_announcement& announced, time_point now)
{
    const bool accepted_work = view.accepts_work(source);
    if (announced.leaving) {
        view.record_leaving(source, now);
    }
    if (announced.pause) {
        view.record_pause(source, now + *announced.pause, now);
    }
    if (accepted_work && !view.accepts_work(source)) {
        log_event("endpoint_announced",
                  {{"endpoint", source.id},
                   {"service", source.service},
                   {"leaving", announced.leaving},
                   {"pause_ms", whole_milliseconds(announced.pause.value_or(duration::zero()))}});
    }
}

} // namespace quetzal::gateway
