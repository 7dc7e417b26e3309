#ifndef QUETZAL_RIGHTS_HANDOVERS_HPP
#define QUETZAL_RIGHTS_HANDOVERS_HPP

// Planned handover of partitions: the holder stops using a partition, sends its ledger to the
// successor, and after the successor's confirmation releases its votes in favor of the successor.
// The successor uses a ledger only if no voter of its quorum has seen a greater fencing token than
// the ledger's, so that no third instance can have held the partition in between.

#include <array>
#include <map>
#include <optional>
#include <vector>

#include <quetzal/rights/committee.hpp>

namespace quetzal::rights {

// A ledger that was received and has not been used yet.
struct received_ledger
{
    instance_id from;
    std::uint64_t fence = 0;
    time_point at{};
    std::vector<peer::ledger_entry> entries;
};

class handovers
{
public:
    explicit handovers(const options& settings) : settings_(settings) {}

    // Starts a handover of a partition that is no longer in use here. The ledger is truncated to
    // one datagram; the successor treats customers without an entry as if the holder had failed.
    void start(partition_index partition, const instance_id& successor, std::uint64_t fence,
               std::vector<peer::ledger_entry> ledger, time_point now);

    // Returns the messages to send now, first attempts and retries.
    std::vector<peer::outgoing_message> due_messages(time_point now);

    // A partition that can be released to the successor.
    struct confirmed_handover
    {
        partition_index partition = 0;
        instance_id successor;
    };

    // Applies a confirmation. Returns the handover that it confirms; none for an unknown one.
    std::optional<confirmed_handover> on_ack(const instance_id& from,
                                             const peer::handover_ack& ack);

    // Removes handovers whose successor did not respond; the leases at the voters expire.
    void drop_timed_out(time_point now);

    // Stores a received ledger, unless this instance has held the partition in a later term.
    // Returns the confirmation.
    peer::handover_ack on_handover(const instance_id& from, const peer::handover& message,
                                   time_point now);

    // Records the start of a term with the fencing token `fence`. Removes the partition's ledger
    // and returns it if it is still exact, that is, if no voter has seen a greater fencing token.
    std::optional<received_ledger> take_ledger(partition_index partition, std::uint64_t fence,
                                               std::uint64_t previous_fence, time_point now);

    // Returns whether a received ledger for this partition waits for the release of the votes.
    bool has_ledger(partition_index partition, time_point now) const;

    bool has_any_ledger(time_point now) const;

    // Returns whether this instance hands the partition over.
    bool is_handing_over(partition_index partition) const { return transfers_.contains(partition); }

    // Returns the number of unconfirmed handovers to other instances.
    std::size_t active_count() const noexcept { return transfers_.size(); }

    // Returns when `due_messages` has something to send; `time_point::max()` for never.
    time_point next_wakeup() const noexcept;

private:
    struct transfer
    {
        instance_id successor;
        peer::handover message;
        std::vector<time_point> outstanding_until; // absolute times, one per ledger entry
        time_point started{};
        time_point next_send{};
    };

    options settings_;
    std::uint32_t sequence_ = 0;
    std::map<partition_index, transfer> transfers_;
    std::map<partition_index, received_ledger> received_;           // at most one per partition
    std::array<std::uint64_t, peer::partition_count> used_fence_{}; // of the last term here
};

} // namespace quetzal::rights

#endif
