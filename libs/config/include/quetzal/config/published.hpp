#ifndef QUETZAL_CONFIG_PUBLISHED_HPP
#define QUETZAL_CONFIG_PUBLISHED_HPP

// The published configuration, which operators declare in version control and the configuration
// service publishes as one JSON value. Operators declare targets, keys and availability zone
// states, never weights or addresses. `parse_published` checks the complete value and rejects all
// of it if any check fails.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <quetzal/base/digest.hpp>
#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <tl/expected.hpp>

namespace quetzal::config {

inline constexpr std::size_t max_published_size =
    1u << 20;                                // bytes, limit of the configuration service
inline constexpr std::size_t max_stages = 6; // stages of one pipeline

// Whether an availability zone may receive new work.
enum class zone_state
{
    in,
    out
};

// One availability zone.
struct zone
{
    zone_id id;
    region_id region;
    zone_state state = zone_state::in;
};

// The kind of back end that the endpoints of a pool run.
enum class pool_kind
{
    model_engine,
    service
};

// A set of interchangeable endpoints.
struct pool
{
    pool_id id;
    pool_kind kind = pool_kind::service;
    std::uint32_t concurrency = 8;      // concurrent calls that a warm endpoint runs
    std::uint32_t cold_concurrency = 1; // concurrent calls that a newly started endpoint runs
    bool checks_fence = false;    // whether its endpoints reject orders with an old fencing token
    bool resumes_streams = false; // whether its endpoints can resume a stream from an offset
    std::optional<std::string> model; // model to serve, for model engines
};

// One step of a pipeline. Stages form a directed acyclic graph through `after`.
struct stage
{
    stage_id id;
    pool_id pool;
    std::vector<std::size_t> after; // indexes of the stages whose results this stage needs
    bool idempotent = true;         // whether a call may be retried when its outcome is unknown
};

// A pipeline of 1 to `max_stages` stages in topological order. The last stage gives the answer.
struct pipeline
{
    pipeline_id id;
    std::vector<stage> stages;
};

// The service level objective of a work class.
struct target
{
    duration deadline{};      // complete answer, from the arrival of the request
    double attainment = 0.95; // fraction of requests that must meet every bound, in (0, 1)
    std::optional<duration>
        first_token; // first chunk of the answer, from the arrival of the request
    std::optional<duration> between_tokens; // gap between two chunks
};

// What happens to a request that can no longer meet its deadline.
enum class late_policy
{
    refuse,
    finish
};

// A class of work, such as proofs, lookups or bookings.
struct work_class
{
    class_id id;
    pipeline_id pipeline;
    target objective;
    bool idempotent = true; // false: runs at most once and needs an identity issued by the system
    late_policy late = late_policy::refuse;
    bool open = false;     // open route: needs no key; the class itself has the rate limit
    double open_rate = 0;  // requests per second
    double open_burst = 0; // requests
};

// A customer with its fleet-wide rate limit. Only the digests of its keys are known.
struct customer
{
    customer_id id;
    std::vector<digest> keys; // SHA-256 of each valid key
    double rate = 0;          // requests per second
    double burst = 0;         // requests, at least 1
};

// A complete, checked configuration. A value type that must not be modified once it is shared;
// const member functions are thread-safe.
class published
{
public:
    std::uint64_t version = 0;
    std::vector<region_id> regions;
    std::vector<zone> zones;
    std::vector<pool> pools;
    std::vector<pipeline> pipelines;
    std::vector<work_class> classes;
    std::vector<customer> customers;

    const zone* find(const zone_id& id) const noexcept;
    const pool* find(const pool_id& id) const noexcept;
    const pipeline* find(const pipeline_id& id) const noexcept;
    const work_class* find(const class_id& id) const noexcept;
    const customer* find(const customer_id& id) const noexcept;

    // Returns the customer whose key has this digest, or null. Digests in the same bucket are
    // compared in constant time, so that a caller cannot guess a digest byte by byte.
    const customer* authenticate(const digest& key) const noexcept;

    // Returns whether endpoints of this zone may receive new work; false for unknown zones.
    bool accepts_work(const zone_id& id) const noexcept;

    // Rebuilds the lookup tables. Call it after changing the lists.
    void index();

private:
    std::unordered_map<std::string, std::size_t> zone_index_;
    std::unordered_map<std::string, std::size_t> pool_index_;
    std::unordered_map<std::string, std::size_t> pipeline_index_;
    std::unordered_map<std::string, std::size_t> class_index_;
    std::unordered_map<std::string, std::size_t> customer_index_;
    std::unordered_multimap<std::uint64_t, std::pair<digest, std::size_t>> key_index_;
};

// Where and why a text was rejected.
struct parse_error
{
    std::size_t line = 0;   // from 1; 0 if the position is unknown
    std::size_t column = 0; // from 1; 0 if the position is unknown
    std::string name;       // e.g. "customers[3].rate"
    std::string expected;   // what would have been accepted

    // Returns "line:column: name: expected ...", without the position if it is unknown.
    std::string message() const;
};

inline constexpr std::size_t max_name_size = 64; // bytes of an entity's name

// Parses and checks the JSON text of a published configuration. Unknown names, wrong types, values
// out of range, invalid units, duplicate names, references to undeclared names and cycles are
// errors. Returns the first error with the position of the member, or of the enclosing value if the
// member is missing.
tl::expected<published, parse_error> parse_published(std::string_view json);

} // namespace quetzal::config

#endif
