#ifndef QUETZAL_RIGHTS_HANDOVERS_HPP
#define QUETZAL_RIGHTS_HANDOVERS_HPP

// Handover of partitions by consent: the holder stops, sends the ledger to the successor, and after
// the successor's confirmation releases its votes in the successor's favour. A ledger counts only
// when no voter of the successor's quorum has seen a greater fencing number than the ledger's, so
// that no third holder can have been in between.

#include <array>
#include <map>
#include <optional>
#include <vector>

#include <quetzal/rights/committee.hpp>

namespace quetzal::rights {

// A ledger that was received and not used yet.
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

    // Starts a handover. The partition is no longer in use here. The ledger is cut to what fits one
    // datagram; a successor treats customers without an entry as after proof of death.
    void start(partition_index partition, const instance_id& successor, std::uint64_t fence,
               std::vector<peer::ledger_entry> ledger, time_point now);

    // Returns the messages to send or repeat.
    std::vector<peer::outgoing_message> repeat(time_point now);

    // A partition that can be released to its successor.
    struct confirmed
    {
        partition_index partition = 0;
        instance_id successor;
    };

    // Notes a confirmation.
    std::optional<confirmed> on_ack(const instance_id& from, const peer::handover_ack& ack);

    // Ends handovers whose successor does not answer; the voters' leases run out by themselves.
    void drop_unanswered(time_point now);

    // Stores a received ledger, unless a later term has been held here, and returns the
    // confirmation.
    peer::handover_ack on_handover(const instance_id& from, const peer::handover& message,
                                   time_point now);

    // Notes the start of a term with the number `fence`. Removes the ledger of the partition and
    // returns it if it is still exact, that is, if no voter has seen a greater fencing number.
    std::optional<received_ledger> take(partition_index partition, std::uint64_t fence,
                                        std::uint64_t former_fence, time_point now);

    // Returns whether a ledger for this partition waits for the release.
    bool expects(partition_index partition, time_point now) const;

    bool expects_any(time_point now) const;

    bool leaving(partition_index partition) const { return leaving_.contains(partition); }

    std::size_t running() const noexcept { return leaving_.size(); }

    time_point wake() const noexcept;

private:
    struct transfer
    {
        instance_id successor;
        peer::handover message;
        std::vector<time_point> outstanding_until; // absolute, one for each ledger entry
        time_point started{};
        time_point next{};
    };

    options settings_;
    std::uint32_t sequence_ = 0;
    std::map<partition_index, transfer> leaving_;
    std::map<partition_index, received_ledger> received_; // at most one for each partition
    std::array<std::uint64_t, peer::partition_count> used_fence_{}; // of the last term here
};

} // namespace quetzal::rights

#endif
