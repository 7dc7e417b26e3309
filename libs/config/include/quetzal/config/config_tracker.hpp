#ifndef QUETZAL_CONFIG_CONFIG_TRACKER_HPP
#define QUETZAL_CONFIG_CONFIG_TRACKER_HPP

// Decides which published configuration is in force at an instance. The version in force never
// decreases while the process runs, whatever the source returns. A configuration service that was
// restored from an old copy has no effect until it publishes a version above the one in force.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <quetzal/base/digest.hpp>
#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/config/published.hpp>

namespace quetzal::config {

// The source of a value.
enum class value_source
{
    service, // the platform's configuration service or instance list service
    peer     // another instance
};

// A value that was parsed and checked, or the error for which it fails the checks. Checking 1 MB
// takes milliseconds and needs no lock; do it before calling `offer`.
struct config_candidate
{
    std::shared_ptr<const std::string> text;
    digest content{};                       // SHA-256 of the text
    std::shared_ptr<const published> value; // null when the checks failed
    std::optional<parse_error> error;
};

// Parses and checks a text. Thread-safe.
config_candidate check_config(std::string text);

// Why a value was rejected. Each cause has its own metric.
enum class refusal_cause
{
    invalid,  // fails the checks
    older,    // the version is below the one in force
    conflict, // same version as the one in force, but different content
    abandoned // instance list only: a peer's copy of a revision that the platform abandoned
};

// Returns the stable lower-case code, e.g. "older".
std::string_view to_string(refusal_cause cause) noexcept;

// A rejected value, as reported in the log, the metrics and the status page.
struct refused_value
{
    refusal_cause cause = refusal_cause::invalid;
    value_source from = value_source::service;
    std::uint64_t version = 0; // 0 if the value failed the checks
    std::string detail;        // what was expected and found; never content of the value
    time_point at{};
};

// The value is now in force. The caller publishes it to all shards and announces its version to
// peers.
struct config_accepted
{
    std::shared_ptr<const published> value;
    std::shared_ptr<const std::string> text;
    std::uint64_t previous_version = 0; // 0: none was in force
};

// The value is already in force.
struct value_unchanged
{
};

using config_outcome = std::variant<config_accepted, value_unchanged, refused_value>;

// Tracks the configuration in force at one instance. Not thread-safe.
class config_tracker
{
public:
    // Accepts the value if its version is above the one in force; otherwise rejects all of it. An
    // accepted value stays in force until a higher version is accepted.
    config_outcome offer(const config_candidate& candidate, value_source from, time_point now);

    // Returns the value in force; null before the first one.
    const std::shared_ptr<const published>& in_force() const noexcept { return value_; }

    // Returns the text of the value in force, for transfer to peers; null before the first one.
    const std::shared_ptr<const std::string>& text() const noexcept { return text_; }

    // Returns the version in force; 0 before the first one. Instances report this version to each
    // other and ask the service for versions above it. A value that failed the checks does not
    // count: its version number may be wrong too and would then hide the corrected value.
    std::uint64_t version() const noexcept { return value_ ? value_->version : 0; }

    // Returns the last rejection; empty if there was none since a value was last accepted.
    const std::optional<refused_value>& last_refusal() const noexcept { return refusal_; }

    // Returns whether the last value that failed the checks had this content, so that the caller
    // need not parse it again.
    bool is_known_invalid(const digest& content) const noexcept;

private:
    refused_value refuse(refusal_cause cause, value_source from, std::uint64_t version,
                         std::string detail, time_point now);

    std::shared_ptr<const published> value_;
    std::shared_ptr<const std::string> text_;
    digest content_{};
    digest invalid_content_{}; // content of the last value that failed the checks
    std::optional<refused_value> refusal_;
};

} // namespace quetzal::config

#endif
