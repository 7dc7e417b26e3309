#ifndef QUETZAL_CONFIG_CONFIG_TRACKER_HPP
#define QUETZAL_CONFIG_CONFIG_TRACKER_HPP

// Decides which published configuration is in force at an instance. The version in force never
// decreases while the process lives, whatever the source returns. A service restored from an old
// copy has no effect until it publishes a version above the one in force.

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

// Where a value came from.
enum class value_source
{
    service, // the configuration service or the platform's instance list itself
    peer     // another instance
};

// A value that was parsed and checked, or the reason why it fails the checks. Checking takes
// milliseconds for 1 MB and needs no lock; do it before `offer`.
struct config_candidate
{
    std::shared_ptr<const std::string> text;
    digest content{};                       // SHA-256 of the text
    std::shared_ptr<const published> value; // null when the checks failed
    std::optional<parse_error> error;
};

// Parses and checks a text. Thread-safe.
config_candidate check_config(std::string text);

// Why a value was not taken; each cause is counted by its own metric.
enum class refusal_cause
{
    invalid,  // fails the checks
    older,    // its version is below the one in force
    conflict, // the version in force with other content
    abandoned // instance list only: a peer's copy of a revision that the platform took back
};

// Returns the stable lower-case code, e.g. "older".
std::string_view to_string(refusal_cause cause) noexcept;

// A value that was refused, kept for the log, the metrics and the status page.
struct refused_value
{
    refusal_cause cause = refusal_cause::invalid;
    value_source from = value_source::service;
    std::uint64_t version = 0; // 0 when it failed the checks
    std::string detail;        // what was expected and found; no content of the value
    time_point at{};
};

// The value is in force from now on: publish it to all shards and announce its version to peers.
struct config_accepted
{
    std::shared_ptr<const published> value;
    std::shared_ptr<const std::string> text;
    std::uint64_t former_version = 0; // 0: none was in force
};

// The value is the one in force.
struct value_unchanged
{
};

using config_outcome = std::variant<config_accepted, value_unchanged, refused_value>;

// The version in force at one instance. Not thread-safe.
class config_tracker
{
public:
    // Takes the value when its version is above the one in force; refuses it whole otherwise.
    // Everything accepted stays in force until a higher version is accepted.
    config_outcome offer(const config_candidate& candidate, value_source from, time_point now);

    // The value in force; null before the first one.
    const std::shared_ptr<const published>& in_force() const noexcept { return value_; }

    // The text of the value in force, for transfer to peers; null before the first one.
    const std::shared_ptr<const std::string>& text() const noexcept { return text_; }

    // The version in force; 0 before the first one. This is what instances tell each other and what
    // the service is asked for changes after. A version that failed the checks does not count: its
    // number may be wrong as well, and would hide the corrected value.
    std::uint64_t version() const noexcept { return value_ ? value_->version : 0; }

    // The last refusal; empty when none occurred since a value was last accepted.
    const std::optional<refused_value>& last_refusal() const noexcept { return refusal_; }

    // Whether this content failed the checks last time, so that it need not be parsed again.
    bool is_known_invalid(const digest& content) const noexcept;

private:
    refused_value refuse(refusal_cause cause, value_source from, std::uint64_t version,
                         std::string detail, time_point now);

    std::shared_ptr<const published> value_;
    std::shared_ptr<const std::string> text_;
    digest content_{};
    digest invalid_content_{}; // of the last value that failed the checks
    std::optional<refused_value> refusal_;
};

} // namespace quetzal::config

#endif
