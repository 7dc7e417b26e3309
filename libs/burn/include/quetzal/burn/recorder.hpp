#ifndef QUETZAL_BURN_RECORDER_HPP
#define QUETZAL_BURN_RECORDER_HPP

// Counts the finished requests of one instance against the objectives of their class.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <quetzal/base/hash.hpp>
#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/burn/snapshot.hpp>
#include <quetzal/burn/window.hpp>
#include <quetzal/config/published.hpp>
#include <span>
#include <unordered_map>

namespace quetzal::burn {

// Maximum number of pairs of customer and class that one instance tracks: 3,200 customers that
// each use all of 18 classes.
inline constexpr std::size_t default_max_pairs = 57'600;

// How a request ended, as far as the objectives are concerned.
enum class outcome
{
    whole,   // the complete response was delivered
    failed,  // truncated, failed, or rejected by the system
    excluded // over the customer's rate limit, malformed, or cancelled by the caller: not counted
};

// Time that one stage took, and its share of the deadline budget.
struct stage_time
{
    duration took{};
    duration allotted{};
};

// One finished request.
struct observation
{
    customer_id customer;
    class_id work_class;
    outcome how = outcome::whole;
    duration took{};                     // from arrival to completion
    std::optional<duration> first_token; // from arrival; empty if no token was delivered
    std::optional<duration> longest_gap; // between two chunks; empty if there were fewer than two
    std::optional<std::size_t>
        failed_stage;                   // index of the stage that made the request fail, if any
    std::span<const stage_time> stages; // the stages that started, by index in the pipeline
};

// Returns the counts of one request, judged against its target. Reads no clock.
counts judge(const observation& request, const config::target& objective);

// Counts requests per pair of customer and class. Not thread-safe: shard it by customer and give
// each shard its part of `max_pairs`, which bounds the memory. Requests of further pairs are
// counted for their class under the empty customer name, so that no request is lost.
class recorder
{
public:
    recorder(time_point started, std::size_t max_pairs = default_max_pairs);

    // Applies the targets of a configuration. Removed classes keep their counts until these leave
    // the longest window.
    void configure(const config::published& published);

    // Records a request. Requests of classes that were never configured are ignored.
    void record(const observation& request, time_point now);

    // Removes pairs without requests in the longest window. Call about once an hour.
    void expire(time_point now);

    // Returns the counts of all pairs, for merging with those of other instances.
    snapshot take(const instance_id& self, incarnation process, time_point now) const;

    std::size_t pairs() const noexcept { return pairs_.size(); }

    // Returns the memory of one pair in bytes, without its hash table bucket and without the heap
    // memory of names longer than 15 bytes.
    static std::size_t bytes_per_pair() noexcept;

private:
    struct class_entry
    {
        class_objective objective;
        bool configured = true; // present in the newest configuration
    };

    struct pair_key
    {
        customer_id customer;
        class_id work_class;
    };

    // Lookup key that refers to the names instead of copying them.
    struct pair_view
    {
        const customer_id& customer;
        const class_id& work_class;
    };

    struct pair_hash
    {
        using is_transparent = void;

        template <class Key>
        std::size_t operator()(const Key& key) const noexcept
        {
            return combine_hash(stable_hash(key.customer.name), stable_hash(key.work_class.name));
        }
    };

    struct pair_equal
    {
        using is_transparent = void;

        template <class Left, class Right>
        bool operator()(const Left& left, const Right& right) const noexcept
        {
            return left.customer == right.customer && left.work_class == right.work_class;
        }
    };

    struct pair_entry
    {
        time_point last_request{};
        windows_ring ring;
    };

    // Returns the entry of a pair. Adds a missing one, under the empty customer name once there are
    // `max_pairs` pairs.
    pair_entry& find_or_add_pair(const customer_id& customer, const class_id& work_class);

    time_point started_;
    std::size_t max_pairs_;
    std::uint64_t config_version_ = 0;
    std::unordered_map<class_id, class_entry> classes_;
    std::unordered_map<pair_key, pair_entry, pair_hash, pair_equal> pairs_;
};

} // namespace quetzal::burn

#endif
