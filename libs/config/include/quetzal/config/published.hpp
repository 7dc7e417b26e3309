#ifndef QUETZAL_CONFIG_PUBLISHED_HPP
#define QUETZAL_CONFIG_PUBLISHED_HPP

// The published configuration: what operators declare in version control and the configuration
// service publishes as one JSON value. Operators declare targets, keys and availability zone
// states, never weights or addresses. `parse_published` checks everything; a value that fails is
// refused whole.

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

// What kind of back end a pool consists of.
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
    std::uint32_t concurrency = 8;      // calls that a warm endpoint runs at once
    std::uint32_t cold_concurrency = 1; // calls that a freshly started endpoint bears at once
    bool checks_fence = false;    // whether its endpoints refuse orders with an old fencing number
    bool resumes_streams = false; // whether its endpoints resume a stream from an offset
    std::optional<std::string> model; // model to serve, for model engines
};

// One step of a pipeline. Stages form a directed acyclic graph through `after`.
struct stage
{
    stage_id id;
    pool_id pool;
    std::vector<std::size_t> after; // indexes of the stages whose results this one needs
    bool idempotent = true;         // whether a call may be sent again when its outcome is unknown
};

// A pipeline of three to six stages in topological order; the last stage gives the answer.
struct pipeline
{
    pipeline_id id;
    std::vector<stage> stages;
};

// What an operator promises for a class of work.
struct target
{
    duration deadline{};                 // whole answer, from the arrival of the request
    double attainment = 0.95;            // share of requests that must meet every bound, in (0, 1)
    std::optional<duration> first_token; // first chunk of the answer, from the arrival
    std::optional<duration> between_tokens; // gap between two chunks
};

// What happens to a request that cannot meet its deadline any more.
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
    bool open = false; // open route: runs without a key, charged to the class itself
    double open_rate = 0;
    double open_burst = 0;
};

// A customer with its fleet-wide limits. Keys are known only by digest.
struct customer
{
    customer_id id;
    std::vector<digest> keys; // SHA-256 of each valid key
    double rate = 0;          // requests a second
    double burst = 0;         // requests, at least 1
};

// A whole, checked configuration. Value type, immutable once shared; queries are thread-safe.
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

    // Returns the customer whose key has this digest, or null. The comparison takes constant time
    // for equal bucket positions, so that a caller cannot guess a digest byte by byte.
    const customer* authenticate(const digest& key) const noexcept;

    // Whether endpoints of this zone may receive new work; unknown zones may not.
    bool accepts_work(const zone_id& id) const noexcept;

    // Rebuilds the lookup tables after the lists changed.
    void index();

private:
    std::unordered_map<std::string, std::size_t> zone_index_;
    std::unordered_map<std::string, std::size_t> pool_index_;
    std::unordered_map<std::string, std::size_t> pipeline_index_;
    std::unordered_map<std::string, std::size_t> class_index_;
    std::unordered_map<std::string, std::size_t> customer_index_;
    std::unordered_multimap<std::uint64_t, std::pair<digest, std::size_t>> key_index_;
};

// Where and why a text was refused.
struct parse_error
{
    std::size_t line = 0;   // from 1; 0 when the position is not known
    std::size_t column = 0; // from 1; 0 when the position is not known
    std::string name;       // e.g. "customers[3].rate"
    std::string expected;   // what would have been accepted

    // Returns "line:column: name: expected ...", without the position when it is not known.
    std::string message() const;
};

inline constexpr std::size_t max_name_size = 64; // bytes of an entity's name

// Parses and checks the JSON text of a published configuration. Unknown names, wrong types, values
// out of range, bad units, duplicate names, references to undeclared names and cycles are errors.
// Returns the first error; its position is that of the member, or of the value around a missing
// one.
tl::expected<published, parse_error> parse_published(std::string_view json);

} // namespace quetzal::config

#endif
