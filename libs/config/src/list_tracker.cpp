#include <quetzal/config/list_tracker.hpp>

namespace quetzal::config {

list_candidate check_list(std::string text)
{
    list_candidate candidate;
    candidate.content = sha256(text);
    if (auto parsed = parse_instance_list(text)) {
        candidate.value = std::make_shared<const instance_list>(std::move(*parsed));
    } else {
        candidate.error = std::move(parsed.error());
    }
    candidate.text = std::make_shared<const std::string>(std::move(text));
    return candidate;
}

list_outcome list_tracker::offer(const list_candidate& candidate, value_source from, time_point now)
{
    if (!candidate.value) {
        const std::string detail = candidate.error ? candidate.error->message() : "not parsed";
        return refuse(refusal_cause::invalid, from, 0, detail, now);
    }
    const std::uint64_t offered = candidate.value->revision;
    if (from == value_source::peer && offered <= abandoned_revision_ && offered != revision()) {
        return refuse(refusal_cause::abandoned, from, offered,
                      "the platform abandoned revision " + std::to_string(abandoned_revision_),
                      now);
    }
    const bool same = offered == revision() && candidate.content == content_;
    if (same || offered > revision()) {
        if (from == value_source::service) {
            mismatch_since_.reset();
        }
        return same ? list_outcome(value_unchanged{}) : accept(candidate, false);
    }
    if (from == value_source::service) {
        if (!mismatch_since_) {
            mismatch_since_ = now;
        }
        if (now - *mismatch_since_ >= list_restore_delay) {
            abandoned_revision_ = std::max(abandoned_revision_, revision());
            return accept(candidate, true);
        }
    }
    return refuse(offered == revision() ? refusal_cause::conflict : refusal_cause::older, from,
                  offered, "revision " + std::to_string(revision()) + " is in use", now);
}

list_outcome list_tracker::accept(const list_candidate& candidate, bool restored)
{
    const std::uint64_t previous = revision();
    value_ = candidate.value;
    text_ = candidate.text;
    content_ = candidate.content;
    mismatch_since_.reset();
    refusal_.reset();
    return list_accepted{value_, text_, previous, restored};
}

refused_value list_tracker::refuse(refusal_cause cause, value_source from, std::uint64_t revision,
                                   std::string detail, time_point now)
{
    refusal_ = refused_value{cause, from, revision, std::move(detail), now};
    return *refusal_;
}

} // namespace quetzal::config
