#ifndef QUETZAL_PEER_MESSAGES_HPP
#define QUETZAL_PEER_MESSAGES_HPP

// Messages between instances over UDP. Every message is a value type; decision code receives and
// emits them without knowing how they travel. Durations count from the moment the receiver asked,
// on its own clock.

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <quetzal/base/ids.hpp>

namespace quetzal::peer {

// Index of a partition of the rights, below `partition_count`.
using partition_index = std::uint16_t;

inline constexpr partition_index partition_count = 256;

// What an instance last heard about another one, spread with probes.
struct member_update
{
    instance_id instance;
    incarnation process;
    bool leaving = false;
    bool suspected = false;
    std::uint32_t sequence = 0; // rises with each update by the instance itself; settles conflicts
};

// Age of a service answer that never came, or came too long ago to be expressed.
inline constexpr std::uint16_t unknown_age = 0xffff;

// The newest versions that the sender knows; part of probes and of grants.
struct versions
{
    std::uint64_t config = 0; // published configuration
    std::uint64_t list = 0;   // revision of the instance list
    // Seconds since the service last answered any reader that the sender knows of, for takeover of
    // reading; `unknown_age` when there was no answer.
    std::uint16_t config_age = unknown_age;
    std::uint16_t list_age = unknown_age;
};

// Asks whether the receiver is alive.
struct probe
{
    std::uint32_t sequence = 0;
    versions known;
    std::vector<member_update> updates;
};

// Answers a probe. `target` is the instance that was probed; it differs from the sender for
// indirect probes.
struct probe_ack
{
    std::uint32_t sequence = 0;
    instance_id target;
    incarnation target_process;
    versions known;
    std::vector<member_update> updates;
};

// Asks the receiver to probe `target` on behalf of the sender.
struct probe_request
{
    std::uint32_t sequence = 0;
    instance_id target;
};

// A holder asks a voter to grant or renew partitions; empty lists ask only for a sign of contact.
struct renew_request
{
    std::uint32_t sequence = 0; // rises with every renewal and release of the sender's process
    versions known;
    std::uint64_t fence = 0;   // greatest fencing number of the sender's process
    std::uint64_t members = 0; // digest of the members from which the sender computes committees
    std::vector<partition_index> partitions; // held
    std::vector<partition_index> acquiring;  // not yet held
    // Tags of the committee of each partition above, in the same order and all of one size; empty
    // when the receiver's last answer had the same `members`.
    std::vector<std::uint32_t> committees;
};

// One partition of a renewal that the voter refused.
struct refused_partition
{
    enum class cause : std::uint8_t
    {
        held_by_other,    // another holder's lease runs
        not_first,        // the voter ranks another live instance higher
        not_in_committee, // the voter's list does not make it a voter of this partition
        silent,           // the voter started, or changed its committees much, a short while ago
        lists_differ      // quorums of the two committees need not intersect
    };

    partition_index partition = 0;
    cause why = cause::held_by_other;
};

// What the voter knows of the former holder of a partition that it grants.
struct acquired_partition
{
    partition_index partition = 0;
    std::uint64_t fence = 0; // greatest fencing number that the voter has seen for it
    // Rest of a former holder's lease that ended early, by release or by proof of death.
    std::chrono::milliseconds former_lease{};
};

// Answers a renewal. All partitions asked for are granted but those listed as refused. `acquired`
// lists the granted ones among those that the request called `acquiring`.
struct renew_grant
{
    std::uint32_t sequence = 0;
    versions known;
    std::chrono::milliseconds lease{};
    std::uint64_t members = 0; // digest of the members from which the voter computes committees
    bool recent_start = false; // the voter may not know every committee that is in use elsewhere
    std::vector<acquired_partition> acquired;
    std::vector<refused_partition> refused;
};

// The holder gives partitions up; the voter may grant them to the successor at once. An empty
// successor means any instance.
struct release_partitions
{
    std::uint32_t sequence = 0; // of the same series as renewals; an older release has no effect
    instance_id successor;
    std::vector<partition_index> partitions;
};

// A delegate asks the home instance of a customer for credits and reports what it has spent.
struct credit_request
{
    std::uint32_t sequence = 0;
    std::uint64_t config_version = 0;
    customer_id customer;
    std::uint32_t wanted = 0; // further requests it expects to admit soon
    std::uint32_t held = 0;   // credits it keeps; all others it has had are spent or given up
    std::uint32_t spent = 0;  // credits spent since the process started, modulo 2^32
};

// Answers a credit request. No tokens and a `retry_after` mean that the bucket is empty.
struct credit_grant
{
    std::uint32_t sequence = 0;
    std::uint64_t config_version = 0;
    customer_id customer;
    bool is_home = false; // false: the sender does not hold the customer's partition
    std::uint32_t tokens = 0;
    std::chrono::milliseconds valid_for{};
    std::chrono::milliseconds retry_after{};
};

// One customer's bucket in a handover.
struct ledger_entry
{
    customer_id customer;
    double level = 0;
    double outstanding = 0;
    std::chrono::milliseconds outstanding_until{}; // from the sending of the message
};

// A leaving holder hands one partition over, with its ledger, by consent.
struct handover
{
    std::uint32_t sequence = 0;
    partition_index partition = 0;
    std::uint64_t fence = 0;
    std::vector<ledger_entry> ledger;
};

// Confirms a handover.
struct handover_ack
{
    std::uint32_t sequence = 0;
};

// What is known of the temperature of an endpoint's process.
enum class endpoint_warmth : std::uint8_t
{
    cold,
    warm
};

// An instance tells the holder that an endpoint it believed warm behaves like a cold one, or that
// it met a new incarnation.
struct endpoint_observation
{
    endpoint_id endpoint;
    incarnation process;
    endpoint_warmth seen = endpoint_warmth::cold;
};

// The holder of an endpoint's partition declares its state; receivers keep the greatest fence.
struct endpoint_declaration
{
    endpoint_id endpoint;
    incarnation process;
    endpoint_warmth warmth = endpoint_warmth::cold;
    std::uint64_t fence = 0;
    std::uint32_t sequence = 0; // rises with each declaration under one fence
};

// An instance with work for a cold endpoint asks its holder for one of the calls that the endpoint
// bears.
struct cold_slot_request
{
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t sequence = 0; // of the sender for this endpoint; a repetition has the same
};

// The holder lends one call. It must start within the time, counted from the sending of the
// request.
struct cold_slot_grant
{
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t sequence = 0;
    std::chrono::milliseconds start_within{};
};

// How a call in a lent slot ended.
enum class slot_outcome : std::uint8_t
{
    unused, // no call started
    normal, // evidence that the endpoint gets warm
    slow    // slow or failed
};

// The slot is free again.
struct cold_slot_return
{
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t sequence = 0;
    slot_outcome how = slot_outcome::unused;
};

using message =
    std::variant<probe, probe_ack, probe_request, renew_request, renew_grant, release_partitions,
                 credit_request, credit_grant, handover, handover_ack, endpoint_observation,
                 endpoint_declaration, cold_slot_request, cold_slot_grant, cold_slot_return>;

// A message with its sender, as decision code receives it.
struct received
{
    instance_id from;
    incarnation from_process;
    message body;
};

// A message to another instance, as decision code emits it.
struct outgoing
{
    instance_id to;
    message body;
};

} // namespace quetzal::peer

#endif
