#ifndef QUETZAL_CONFIG_LIST_TRACKER_HPP
#define QUETZAL_CONFIG_LIST_TRACKER_HPP

// Decides which reading of the instance list is in use at an instance.
//
// The list is a hint about whom to ask, so unlike the configuration it may go back. A reader that
// lags returns lower revisions for a while; these are ignored. A platform restored from an old copy
// returns lower revisions only. After `list_restore_after` of nothing else, the lower revision is
// the truth and comes into use: instances that joined since the copy are unknown until the platform
// lists them again, and instances that left are members again until it removes them. No promise
// depends on this: voters compare committees, not revisions, and a member that is gone is suspected
// by probes. Until enough instances have made the same step, voters with differing lists may refuse
// each other, which delays work but never admits too much.

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <quetzal/config/config_tracker.hpp>
#include <quetzal/config/instance_list.hpp>

namespace quetzal::config {

// How long the platform must return only lower revisions before they count as a restored copy:
// longer than the lag of a list reader, which is seconds.
inline constexpr duration list_restore_after = std::chrono::seconds(60);

// A list that was parsed and checked, or the reason why it fails the checks.
struct list_candidate
{
    std::shared_ptr<const std::string> text;
    digest content{};
    std::shared_ptr<const instance_list> value; // null when the checks failed
    std::optional<parse_error> error;
};

// Parses and checks a text. Thread-safe.
list_candidate check_list(std::string text);

// The list is in use from now on.
struct list_accepted
{
    std::shared_ptr<const instance_list> value;
    std::shared_ptr<const std::string> text;
    std::uint64_t former_revision = 0; // 0: none was in use
    bool restored = false;             // the revision went back because the platform's did
};

using list_outcome = std::variant<list_accepted, value_unchanged, refused_value>;

// The list in use at one instance. Not thread-safe.
class list_tracker
{
public:
    // Takes a higher revision from any source. Takes a lower one, or other content under the same
    // revision, from the platform alone and by the rule above. A peer's copy of a revision that the
    // platform took back is refused.
    list_outcome offer(const list_candidate& candidate, value_source from, time_point now);

    // The list in use; null before the first one.
    const std::shared_ptr<const instance_list>& in_use() const noexcept { return value_; }

    // The text of the list in use, for transfer to peers; null before the first one.
    const std::shared_ptr<const std::string>& text() const noexcept { return text_; }

    // The revision in use; 0 before the first one.
    std::uint64_t revision() const noexcept { return value_ ? value_->revision : 0; }

    // Peers' copies up to this revision are not worth fetching: the one in use, or a higher one
    // that the platform took back.
    std::uint64_t settled() const noexcept { return std::max(revision(), abandoned_revision_); }

    // The last refusal; empty when none occurred since a list was last accepted.
    const std::optional<refused_value>& last_refusal() const noexcept { return refusal_; }

private:
    list_outcome accept(const list_candidate& candidate, bool restored);
    refused_value refuse(refusal_cause cause, value_source from, std::uint64_t revision,
                         std::string detail, time_point now);

    std::shared_ptr<const instance_list> value_;
    std::shared_ptr<const std::string> text_;
    digest content_{};
    std::uint64_t abandoned_revision_ = 0; // highest revision that the platform took back
    std::optional<time_point>
        contrary_since_; // first of the platform's uninterrupted older answers
    std::optional<refused_value> refusal_;
};

} // namespace quetzal::config

#endif
