#ifndef QUETZAL_RIGHTS_PARTITION_TERMS_HPP
#define QUETZAL_RIGHTS_PARTITION_TERMS_HPP

// The partitions that this instance holds, readable without the lock of the holder.

#include <array>
#include <atomic>
#include <optional>

#include <quetzal/rights/committee.hpp>

namespace quetzal::rights {

// Supports one writer and any number of concurrent readers. A reader that saw a term just before
// its release completes its admission under the lock of its shard; the writer takes that lock after
// `clear` to read the ledger.
class partition_terms
{
public:
    struct term
    {
        std::uint64_t fence = 0;
        time_point valid_until{};
    };

    void set(partition_index partition, term value) noexcept
    {
        slot& entry = slots_[partition];
        if (entry.fence.load(std::memory_order_relaxed) != value.fence) {
            // Two terms of one partition never overlap, so the previous term's end has passed for
            // readers before the new fencing token is stored.
            entry.fence.store(value.fence, std::memory_order_release);
        }
        entry.valid_until.store(value.valid_until.time_since_epoch().count(),
                                std::memory_order_release);
    }

    void clear(partition_index partition) noexcept
    {
        slots_[partition].valid_until.store(0, std::memory_order_release);
    }

    // Returns the term that is valid at `now`, if any.
    std::optional<term> active_term(partition_index partition, time_point now) const noexcept
    {
        const slot& entry = slots_[partition];
        const time_point until(duration(entry.valid_until.load(std::memory_order_acquire)));
        if (until <= now) {
            return std::nullopt;
        }
        return term{entry.fence.load(std::memory_order_acquire), until};
    }

private:
    struct slot
    {
        std::atomic<std::uint64_t> fence{0};
        std::atomic<duration::rep> valid_until{0};
    };
    std::array<slot, peer::partition_count> slots_;
};

} // namespace quetzal::rights

#endif
