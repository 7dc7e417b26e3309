#ifndef QUETZAL_PEER_MESSAGES_HPP
#define QUETZAL_PEER_MESSAGES_HPP

// Messages between instances over UDP. Every message is a value type, so that decision code handles
// messages independently of the transport. Durations count from the time at which the receiver sent
// its request, measured by the receiver's own clock.

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <quetzal/base/ids.hpp>

namespace quetzal::peer {

// Index of a partition of the exclusive rights, less than `partition_count`.
using partition_index = std::uint16_t;

inline constexpr partition_index partition_count = 256;

// The latest information of an instance about another one, disseminated with probes.
struct member_update
{
    instance_id instance;
    incarnation process;
    bool leaving = false;
    bool suspected = false;
    // Increases with each update by the instance itself. Used to resolve conflicts.
    std::uint32_t sequence = 0;
};

// Age of a service response that was never received, or that is too old to be represented.
inline constexpr std::uint16_t unknown_age = 0xffff;

// The newest versions that the sender knows. Part of probes, lease renewals and grants.
struct versions
{
    std::uint64_t config = 0; // published configuration
    std::uint64_t list = 0;   // revision of the instance list
    // Seconds since the service last responded to any reader that the sender knows of; used to
    // decide when another instance takes over reading. `unknown_age` if there was no response.
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

// Response to a probe. `target` is the instance that was probed; for indirect probes, it differs
// from the sender.
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

// A holder asks a voter to grant or renew partitions. With empty lists, the request only checks
// that the voter responds.
struct renew_request
{
    std::uint32_t sequence = 0; // increases with every renewal and release by the sender's process
    versions known;
    std::uint64_t fence = 0;   // greatest fencing token of the sender's process
    std::uint64_t members = 0; // digest of the members from which the sender computes committees
    std::vector<partition_index> partitions; // already held
    std::vector<partition_index> acquiring;  // not yet held
    // Tags of the committees of the partitions above, in the same order and with the same number of
    // tags for each. Empty if the receiver's last response had the same `members`.
    std::vector<std::uint32_t> committees;
};

// A partition of a renewal request that the voter refused, with the cause.
struct refused_partition
{
    enum class cause : std::uint8_t
    {
        held_by_other,    // the lease of another holder is still valid
        outranked,        // the voter ranks another live instance higher
        not_in_committee, // by its instance list, the voter is not a voter of this partition
        voter_not_ready,  // the voter recently started or changed its committees substantially
        lists_differ      // quorums of the two committees might not intersect
    };

    partition_index partition = 0;
    cause why = cause::held_by_other;
};

// What the voter knows about the previous holder of a partition that it grants.
struct acquired_partition
{
    partition_index partition = 0;
    std::uint64_t fence = 0; // greatest fencing token that the voter has seen for the partition
    // Remaining time of a previous holder's lease that ended early, because the holder released it
    // or its process was proved to have ended.
    std::chrono::milliseconds former_lease{};
};

// Response to a renewal request. All requested partitions are granted except those in `refused`.
// `acquired` lists the granted partitions that the request listed in `acquiring`.
struct renew_grant
{
    std::uint32_t sequence = 0;
    versions known;
    std::chrono::milliseconds lease{};
    std::uint64_t members = 0; // digest of the members from which the voter computes committees
    bool recent_start = false; // the voter might not know every committee that is in use elsewhere
    std::vector<acquired_partition> acquired;
    std::vector<refused_partition> refused;
};

// The holder releases partitions. The voter may grant them to the successor immediately. An empty
// successor means any instance.
struct release_partitions
{
    std::uint32_t sequence = 0; // shared with renewals; an older release has no effect
    instance_id successor;
    std::vector<partition_index> partitions;
};

// A delegate requests credits from the home instance of a customer and reports the spent credits.
struct credit_request
{
    std::uint32_t sequence = 0;
    std::uint64_t config_version = 0;
    customer_id customer;
    std::uint32_t wanted = 0; // further requests that the delegate expects to admit soon
    std::uint32_t held = 0;   // credits that the delegate keeps; all others are spent or given up
    std::uint32_t spent = 0;  // credits spent since the process started, modulo 2^32
};

// Response to a credit request. Zero tokens with a `retry_after` mean that the bucket is empty.
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

// The bucket of one customer in a handover.
struct ledger_entry
{
    customer_id customer;
    double level = 0;
    double outstanding = 0;
    std::chrono::milliseconds outstanding_until{}; // counted from the sending of the message
};

// A leaving holder voluntarily transfers one partition and its ledger to the receiver.
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

// Whether the process of an endpoint is known to be warmed up.
enum class endpoint_warmth : std::uint8_t
{
    cold,
    warm
};

// An instance reports to the holder that an endpoint that it took for warm behaves like a cold one,
// or that it has seen a new incarnation of the endpoint.
struct endpoint_observation
{
    endpoint_id endpoint;
    incarnation process;
    endpoint_warmth seen = endpoint_warmth::cold;
};

// The holder of an endpoint's partition declares the state of the endpoint. Receivers keep the
// declaration with the greatest fencing token.
struct endpoint_declaration
{
    endpoint_id endpoint;
    incarnation process;
    endpoint_warmth warmth = endpoint_warmth::cold;
    std::uint64_t fence = 0;
    std::uint32_t sequence = 0; // increases with each declaration under the same fencing token
};

// An instance with work for a cold endpoint asks the endpoint's holder to lend one of the call
// slots of the endpoint.
struct cold_slot_request
{
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t sequence = 0; // per sender and endpoint; a retransmission has the same
};

// The holder lends one call slot. The call must start within `start_within`, counted from the
// sending of the request.
struct cold_slot_grant
{
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t sequence = 0;
    std::chrono::milliseconds start_within{};
};

// How a call in a borrowed slot ended.
enum class slot_outcome : std::uint8_t
{
    unused, // no call started
    normal, // indicates that the endpoint is warming up
    slow    // slow or failed
};

// Returns a borrowed call slot to the holder.
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

// A message with its sender, as passed to decision code.
struct received_message
{
    instance_id from;
    incarnation from_process;
    message body;
};

// A message to another instance, as returned by decision code.
struct outgoing_message
{
    instance_id to;
    message body;
};

} // namespace quetzal::peer

#endif
