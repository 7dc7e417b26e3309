#include <quetzal/config/config_tracker.hpp>

namespace quetzal::config {

std::string_view to_string(refusal_cause cause) noexcept
{
    switch (cause) {
    case refusal_cause::invalid:
        return "invalid";
    case refusal_cause::older:
        return "older";
    case refusal_cause::conflict:
        return "conflict";
    case refusal_cause::abandoned:
        return "abandoned";
    }
    return "invalid";
}

config_candidate check_config(std::string text)
{
    config_candidate candidate;
    candidate.content = sha256(text);
    if (auto parsed = parse_published(text)) {
        candidate.value = std::make_shared<const published>(std::move(*parsed));
    } else {
        candidate.error = std::move(parsed.error());
    }
    candidate.text = std::make_shared<const std::string>(std::move(text));
    return candidate;
}

config_outcome config_tracker::offer(const config_candidate& candidate, value_source from,
                                     time_point now)
{
    if (!candidate.value) {
        const std::string detail = candidate.error ? candidate.error->message() : "not parsed";
        invalid_content_ = candidate.content;
        return refuse(refusal_cause::invalid, from, 0, detail, now);
    }
    const std::uint64_t offered = candidate.value->version;
    if (offered < version()) {
        return refuse(refusal_cause::older, from, offered,
                      "version " + std::to_string(version()) + " is in force", now);
    }
    if (offered == version()) {
        if (candidate.content == content_) {
            return value_unchanged{};
        }
        return refuse(refusal_cause::conflict, from, offered,
                      "content " + to_hex(candidate.content).substr(0, 16) +
                          " differs from content " + to_hex(content_).substr(0, 16) +
                          " in force; publish it under a higher version",
                      now);
    }
    const std::uint64_t previous = version();
    value_ = candidate.value;
    text_ = candidate.text;
    content_ = candidate.content;
    refusal_.reset();
    return config_accepted{value_, text_, previous};
}

bool config_tracker::is_known_invalid(const digest& content) const noexcept
{
    return refusal_ && invalid_content_ == content;
}

refused_value config_tracker::refuse(refusal_cause cause, value_source from, std::uint64_t version,
                                     std::string detail, time_point now)
{
    refusal_ = refused_value{cause, from, version, std::move(detail), now};
    return *refusal_;
}

} // namespace quetzal::config
