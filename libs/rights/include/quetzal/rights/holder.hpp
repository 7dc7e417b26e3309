#ifndef QUETZAL_RIGHTS_HOLDER_HPP
#define QUETZAL_RIGHTS_HOLDER_HPP

// The partitions that this instance holds or tries to acquire. The lease of a grant starts when its
// request was sent, on this instance's boot clock, and is shortened by the drift margin. A
// partition is held while a quorum of voters that know its fencing token have valid grants. Voters
// that started recently do not know previous committees, so their grants count only if the whole
// committee grants.

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include <quetzal/rights/committee.hpp>

namespace quetzal::rights {

// A partition that this instance has acquired.
struct acquisition
{
    partition_index partition = 0;
    std::uint64_t fence = 0;
    std::uint64_t previous_fence = 0; // greatest fencing token that the quorum had seen
    time_point previous_until{};      // credits of a previous holder may be in use until then
};

class holder
{
public:
    holder(instance_id self, const options& settings);

    // Sets the committee table. Grants requested under the previous table stay valid, but are
    // counted separately.
    void set_committees(std::shared_ptr<const committee_table> committees);

    // Sets the version of the configuration in use. Grants of voters with a newer configuration
    // count only after this instance has reached that version.
    void set_config(std::uint64_t version);

    // Sets whether to request grants for a partition.
    void set_wanted(partition_index partition, bool wanted);

    // Returns the requests to the voters of all wanted partitions, or only of those not held yet if
    // `include_held` is false. With `include_held` and no partition held, the committee of this
    // instance gets requests too, to prove contact; otherwise the voters of the held partitions
    // prove it. `list` is the list revision in use.
    std::vector<peer::outgoing_message> make_requests(bool include_held, std::uint64_t list,
                                                      time_point now);

    // Applies a grant and returns the partitions acquired by it. `wall`, the wall clock in
    // milliseconds, is the lower bound of new fencing tokens. Grants for unknown requests have no
    // effect.
    std::vector<acquisition> on_grant(const instance_id& from, const peer::renew_grant& grant,
                                      std::uint64_t wall, time_point now);

    // Drops the partitions whose leases have expired and returns them.
    std::vector<partition_index> drop_expired(time_point now);

    // Drops a partition, which the caller no longer uses.
    void drop(partition_index partition);

    // Returns the messages that release the partitions at all their voters in favor of `successor`.
    std::vector<peer::outgoing_message>
    make_releases(const std::vector<partition_index>& partitions, const instance_id& successor);

    bool holds(partition_index partition, time_point now) const noexcept;

    // Returns when the current lease ends, or a past time if the partition is not held.
    time_point valid_until(partition_index partition) const noexcept;

    // Returns the fencing token of a partition, or 0 if it is not held.
    std::uint64_t fence(partition_index partition) const noexcept;

    // Returns the greatest fencing token of this process.
    std::uint64_t greatest_fence() const noexcept { return greatest_fence_; }

    // Returns until when this instance's view counts as fresh, by contact with a quorum of its own
    // committee or by a held partition.
    time_point fresh_until() const;

    // Makes later fencing tokens greater than `seen`.
    void raise_fence(std::uint64_t seen) { greatest_fence_ = std::max(greatest_fence_, seen); }

    // Returns whether a fencing token was chosen that the voters do not know yet, and resets the
    // flag.
    bool take_fence_pending();

    // Returns the number of partitions that are held.
    std::size_t held() const noexcept { return held_; }

    // Returns the number of partitions that are wanted and not held.
    std::size_t acquiring() const noexcept { return acquiring_; }

private:
    struct grant_record
    {
        instance_id voter;
        time_point valid_until{};
        time_point pending_until{}; // of a grant that requires configuration `pending_config`
        std::uint64_t pending_config = 0;
        std::uint64_t fence = 0;          // fencing token that the voter knows
        std::uint64_t previous_fence = 0; // fencing token that the voter had seen before
        time_point previous_until{};
        bool recent_start = false; // the voter started recently
    };
    struct grant_set // grants requested under one committee
    {
        std::uint64_t members = 0;
        std::size_t quorum = 0;
        std::size_t committee_size = 0;
        std::vector<grant_record> grants;
    };
    struct partition_state
    {
        bool wanted = false;
        bool held = false;
        std::uint64_t fence = 0;                // 0: not chosen yet
        std::uint32_t first_valid_sequence = 0; // grants for earlier requests have no effect
        grant_set current;
        grant_set previous;
    };
    struct sent_request
    {
        instance_id to;
        std::uint32_t sequence = 0;
        time_point at{};
        std::uint64_t members = 0;
        std::uint64_t fence = 0;
        std::vector<partition_index> partitions;
    };

    static grant_record& find_or_add_record(std::vector<grant_record>& grants,
                                            const instance_id& voter);
    void extend_grant(grant_record& record, std::uint64_t config, time_point until) const;
    void apply_pending_grants(std::vector<grant_record>& grants) const;
    time_point quorum_valid_until(const grant_set& votes, std::uint64_t fence) const;
    time_point lease_end(const partition_state& state) const;
    void record_grant(partition_state& state, partition_index partition, const sent_request& sent,
                      const peer::renew_grant& grant, time_point valid_until, time_point now);
    void try_acquire(partition_index partition, std::uint64_t wall, time_point now,
                     std::vector<acquisition>& completed);
    void append_requests(std::vector<peer::outgoing_message>& messages, const instance_id& to,
                         const std::vector<partition_index>& partitions, std::uint64_t list,
                         time_point now);

    instance_id self_;
    options settings_;
    std::shared_ptr<const committee_table> committees_;
    std::uint64_t config_ = 0;
    std::uint32_t sequence_ = 0;
    std::uint64_t greatest_fence_ = 0;
    bool fence_pending_ = false;
    std::size_t held_ = 0;
    std::size_t acquiring_ = 0;
    std::array<partition_state, peer::partition_count> partitions_;
    std::array<time_point, peer::partition_count> valid_until_{};
    std::deque<sent_request> sent_;
    std::unordered_map<instance_id, std::uint64_t> peer_member_digests_;
    std::vector<instance_id> own_committee_;
    std::vector<grant_record> contacts_;
};

} // namespace quetzal::rights

#endif
