#ifndef QUETZAL_CONFIG_LIST_TRACKER_HPP
#define QUETZAL_CONFIG_LIST_TRACKER_HPP

// Decides which revision of the instance list is in use at an instance.
//
// The list only tells which instances to contact, so unlike the configuration it may return to a
// lower revision. A lagging list reader returns lower revisions for a while; these are ignored. A
// platform that was restored from an old copy returns only lower revisions. When the platform has
// returned nothing else for `list_restore_delay`, the lower revision comes into use. Instances that
// joined after the copy was made are then unknown until the platform lists them again, and
// instances that left since then are members again until the platform removes them. No guarantee
// depends on the list: voters compare committees, not revisions, and probes detect members that no
// longer run. Until enough instances use the lower revision, voters with different lists may reject
// each other's requests, which delays work but never admits too much.

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <quetzal/config/config_tracker.hpp>
#include <quetzal/config/instance_list.hpp>

namespace quetzal::config {

// How long the platform must return only lower revisions before it counts as restored from an old
// copy. Must exceed the lag of a list reader, which is a few seconds.
inline constexpr duration list_restore_delay = std::chrono::seconds(60);

// A list that was parsed and checked, or the error for which it fails the checks.
struct list_candidate
{
    std::shared_ptr<const std::string> text;
    digest content{};
    std::shared_ptr<const instance_list> value; // null when the checks failed
    std::optional<parse_error> error;
};

// Parses and checks a text. Thread-safe.
list_candidate check_list(std::string text);

// The list is now in use.
struct list_accepted
{
    std::shared_ptr<const instance_list> value;
    std::shared_ptr<const std::string> text;
    std::uint64_t previous_revision = 0; // 0: none was in use
    bool restored = false;               // the revision is lower because the platform was restored
};

using list_outcome = std::variant<list_accepted, value_unchanged, refused_value>;

// Tracks the instance list in use at one instance. Not thread-safe.
class list_tracker
{
public:
    // Accepts a higher revision from any source. Accepts a lower revision, or different content
    // under the same revision, only from the platform and after `list_restore_delay` as described
    // above. Rejects a peer's copy of a revision that the platform abandoned.
    list_outcome offer(const list_candidate& candidate, value_source from, time_point now);

    // Returns the list in use; null before the first one.
    const std::shared_ptr<const instance_list>& in_use() const noexcept { return value_; }

    // Returns the text of the list in use, for transfer to peers; null before the first one.
    const std::shared_ptr<const std::string>& text() const noexcept { return text_; }

    // Returns the revision in use; 0 before the first one.
    std::uint64_t revision() const noexcept { return value_ ? value_->revision : 0; }

    // Returns the higher of the revision in use and the highest revision that the platform
    // abandoned. Copies of peers up to this revision are not worth fetching.
    std::uint64_t highest_known_revision() const noexcept
    {
        return std::max(revision(), abandoned_revision_);
    }

    // Returns the last rejection; empty if there was none since a list was last accepted.
    const std::optional<refused_value>& last_refusal() const noexcept { return refusal_; }

private:
    list_outcome accept(const list_candidate& candidate, bool restored);
    refused_value refuse(refusal_cause cause, value_source from, std::uint64_t revision,
                         std::string detail, time_point now);

    std::shared_ptr<const instance_list> value_;
    std::shared_ptr<const std::string> text_;
    digest content_{};
    std::uint64_t abandoned_revision_ = 0; // highest revision that the platform abandoned
    std::optional<time_point>
        mismatch_since_; // since when the platform returns only lower or conflicting lists
    std::optional<refused_value> refusal_;
};

} // namespace quetzal::config

#endif
