#ifndef QUETZAL_BURN_RECORDER_HPP
#define QUETZAL_BURN_RECORDER_HPP

// Records every finished request of an instance against the objectives of its class.

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

// Pairs of customer and class that one instance keeps: 3,200 customers with all of 18 classes.
inline constexpr std::size_t default_max_pairs = 57'600;

// How a request ended, as far as the objectives are concerned.
enum class outcome
{
    whole,   // the whole answer was delivered
    failed,  // cut, failed or refused by the system
    excluded // beyond the customer's rate, malformed, or cancelled by the caller: not counted
};

// What one stage took and what the deadline budget allowed it.
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
    duration took{};                         // from the arrival to the end
    std::optional<duration> first_token;     // from the arrival; empty when none was delivered
    std::optional<duration> longest_gap;     // between two chunks; empty with fewer than two
    std::optional<std::size_t> failed_stage; // index, when a stage made the request fail
    std::span<const stage_time> stages;      // by index in the pipeline, those that began
};

// Counts one observation against its target, without a look at any clock.
counts judge(const observation& seen, const config::target& objective);

// Not thread-safe; shard it by customer and give each shard its part of the bound. Memory is
// bounded by `max_pairs`; requests of further
// pairs are counted for their class under the empty customer name, so none is lost.
class recorder
{
public:
    recorder(time_point started, std::size_t max_pairs = default_max_pairs);

    // Takes the targets of a configuration. Classes that are gone keep their counts until these
    // leave the longest window.
    void configure(const config::published& published);

    // Records a request. Classes that were never configured are ignored.
    void record(const observation& seen, time_point now);

    // Drops pairs without requests in the longest window. Call about once an hour.
    void expire(time_point now);

    // Returns the counts of all pairs for merging with other instances'.
    snapshot take(const instance_id& self, incarnation process, time_point now) const;

    std::size_t pairs() const noexcept { return pairs_.size(); }

    // Bytes of one pair in memory, without the hash table's bucket and without names longer than 15
    // bytes.
    static std::size_t bytes_per_pair() noexcept;

private:
    struct class_entry
    {
        class_objective objective;
        bool configured = true; // in the newest configuration
    };

    struct pair_key
    {
        customer_id customer;
        class_id work_class;
    };

    // A key to look for, without a copy of the names.
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
        time_point last{};
        windows_ring ring;
    };

    pair_entry& pair_of(const customer_id& customer, const class_id& work_class);

    time_point started_;
    std::size_t max_pairs_;
    std::uint64_t config_version_ = 0;
    std::unordered_map<class_id, class_entry> classes_;
    std::unordered_map<pair_key, pair_entry, pair_hash, pair_equal> pairs_;
};

} // namespace quetzal::burn

#endif
