#ifndef QUETZAL_RIGHTS_HOLDER_HPP
#define QUETZAL_RIGHTS_HOLDER_HPP

// The partitions that this instance holds or tries to get. Every grant counts from the moment its
// request was sent, less the drift margin, by this instance's boot clock. A partition is held while
// a quorum of grants is valid whose voters know its fencing number. Grants of voters that started
// recently don't know of former committees, so with them the whole committee is needed.

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include <quetzal/rights/committee.hpp>

namespace quetzal::rights {

// A partition that became held.
struct acquisition
{
    partition_index partition = 0;
    std::uint64_t fence = 0;
    std::uint64_t former_fence = 0; // greatest that the quorum had seen
    time_point former_until{};      // credits of a former holder may be in use until then
};

class holder
{
public:
    holder(instance_id self, const options& settings);

    // Uses a new committee table. Grants asked for under the former one stay valid as a set.
    void set_committees(std::shared_ptr<const committee_table> committees);

    // Sets the version of the configuration in use. Grants of voters with a newer one count only
    // once it has been reached.
    void set_config(std::uint64_t version);

    // Sets whether to ask for a partition.
    void want(partition_index partition, bool wanted);

    // Asks voters to repeat their grants of all wanted partitions (`all`) or only to grant those
    // not held. `all` asks the committee of the own name too, unless a partition is held, whose
    // voters prove contact as well. `list` is the revision in use.
    std::vector<peer::outgoing_message> request(bool all, std::uint64_t list, time_point now);

    // Uses an answer; returns the partitions that it completed. `wall` gives the lower bound of new
    // fencing numbers. Answers to unknown requests have no effect.
    std::vector<acquisition> on_grant(const instance_id& from, const peer::renew_grant& grant,
                                      std::uint64_t wall, time_point now);

    // Drops partitions whose leases have ended. Returns them.
    std::vector<partition_index> drop_expired(time_point now);

    // Gives a partition up. The caller has stopped to use it.
    void drop(partition_index partition);

    // Returns the messages that tell all voters of the partitions about their release.
    std::vector<peer::outgoing_message> release(const std::vector<partition_index>& partitions,
                                                const instance_id& successor);

    bool holds(partition_index partition, time_point now) const noexcept;

    // Returns when the current lease ends; a past time when the partition is not held.
    time_point valid_until(partition_index partition) const noexcept;

    // Returns the fencing number of a partition, 0 when it is not held.
    std::uint64_t fence(partition_index partition) const noexcept;

    // Returns the greatest fencing number of this process.
    std::uint64_t greatest_fence() const noexcept { return greatest_fence_; }

    // Returns until when the contact with a quorum of the own name's committee counts as fresh.
    time_point fresh_until() const;

    // Makes later fencing numbers greater than this one.
    void raise_fence(std::uint64_t seen) { greatest_fence_ = std::max(greatest_fence_, seen); }

    // Returns, once, whether a fencing number was chosen that voters have not been told.
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
        time_point pending_until{}; // of a grant that needs configuration `pending_config`
        std::uint64_t pending_config = 0;
        std::uint64_t fence = 0;        // fencing number that the voter has been told
        std::uint64_t former_fence = 0; // that it had seen before
        time_point former_until{};
        bool recent_start = false; // of the voter
    };
    struct ballot // grants asked for under one committee
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
        std::uint64_t fence = 0;      // 0: not chosen yet
        std::uint32_t asked_from = 0; // answers to earlier requests have no effect
        ballot current;
        ballot former;
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

    static grant_record& record_of(std::vector<grant_record>& grants, const instance_id& voter);
    void extend(grant_record& record, std::uint64_t config, time_point until) const;
    void promote(std::vector<grant_record>& grants) const;
    time_point quorum_until(const ballot& votes, std::uint64_t fence) const;
    time_point until(const partition_state& state) const;
    void record(partition_state& state, partition_index partition, const sent_request& sent,
                const peer::renew_grant& grant, time_point valid_until, time_point now);
    void try_complete(partition_index partition, std::uint64_t wall, time_point now,
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
    std::unordered_map<instance_id, std::uint64_t> members_of_peer_;
    std::vector<instance_id> own_committee_;
    std::vector<grant_record> contacts_;
};

} // namespace quetzal::rights

#endif
