#include <quetzal/peer/codec.hpp>

#include <cereal/types/common.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "authentication.hpp"
#include "packed_archive.hpp"

namespace quetzal::peer {

template <class Archive>
void serialize(Archive& archive, member_update& value)
{
    archive(value.instance, value.process, value.leaving, value.suspected, value.sequence);
}

template <class Archive>
void serialize(Archive& archive, versions& value)
{
    archive(value.config, value.list, value.config_age, value.list_age);
}

template <class Archive>
void serialize(Archive& archive, probe& value)
{
    archive(value.sequence, value.known, value.updates);
}

template <class Archive>
void serialize(Archive& archive, probe_ack& value)
{
    archive(value.sequence, value.target, value.target_process, value.known, value.updates);
}

template <class Archive>
void serialize(Archive& archive, probe_request& value)
{
    archive(value.sequence, value.target);
}

template <class Archive>
void serialize(Archive& archive, renew_request& value)
{
    archive(value.sequence, value.known, value.fence, value.members, value.partitions,
            value.acquiring, value.committees);
}

template <class Archive>
void serialize(Archive& archive, refused_partition& value)
{
    archive(value.partition, value.why);
}

template <class Archive>
void serialize(Archive& archive, acquired_partition& value)
{
    archive(value.partition, value.fence, value.former_lease);
}

template <class Archive>
void serialize(Archive& archive, renew_grant& value)
{
    archive(value.sequence, value.known, value.lease, value.members, value.recent_start,
            value.acquired, value.refused);
}

template <class Archive>
void serialize(Archive& archive, release_partitions& value)
{
    archive(value.sequence, value.successor, value.partitions);
}

template <class Archive>
void serialize(Archive& archive, credit_request& value)
{
    archive(value.sequence, value.config_version, value.customer, value.wanted, value.held,
            value.spent);
}

template <class Archive>
void serialize(Archive& archive, credit_grant& value)
{
    archive(value.sequence, value.config_version, value.customer, value.is_home, value.tokens,
            value.valid_for, value.retry_after);
}

template <class Archive>
void serialize(Archive& archive, ledger_entry& value)
{
    archive(value.customer, value.level, value.outstanding, value.outstanding_until);
}

template <class Archive>
void serialize(Archive& archive, handover& value)
{
    archive(value.sequence, value.partition, value.fence, value.ledger);
}

template <class Archive>
void serialize(Archive& archive, handover_ack& value)
{
    archive(value.sequence);
}

template <class Archive>
void serialize(Archive& archive, endpoint_observation& value)
{
    archive(value.endpoint, value.process, value.seen);
}

template <class Archive>
void serialize(Archive& archive, endpoint_declaration& value)
{
    archive(value.endpoint, value.process, value.warmth, value.fence, value.sequence);
}

template <class Archive>
void serialize(Archive& archive, cold_slot_request& value)
{
    archive(value.endpoint, value.process, value.sequence);
}

template <class Archive>
void serialize(Archive& archive, cold_slot_grant& value)
{
    archive(value.endpoint, value.process, value.sequence, value.start_within);
}

template <class Archive>
void serialize(Archive& archive, cold_slot_return& value)
{
    archive(value.endpoint, value.process, value.sequence, value.how);
}

template <class Archive>
void serialize(Archive& archive, received_message& value)
{
    archive(value.from, value.from_process, value.body);
}

namespace {

// Header: magic (2 bytes), format version, key identifier, MAC. The MAC covers the first four bytes
// and the body.
constexpr std::string_view magic = "qz";
constexpr std::size_t prefix_size = 4;
constexpr std::size_t header_size = prefix_size + mac_size;

} // namespace

std::string_view to_string(drop_cause cause) noexcept
{
    switch (cause) {
    case drop_cause::too_short:
        return "too_short";
    case drop_cause::wrong_version:
        return "wrong_version";
    case drop_cause::unknown_key:
        return "unknown_key";
    case drop_cause::wrong_mac:
        return "wrong_mac";
    case drop_cause::undecodable:
        return "undecodable";
    }
    return "undecodable";
}

std::string encode(const received_message& message, const key_ring& keys)
{
    std::string body;
    {
        internal::packed_output archive(body);
        archive(message);
    }
    std::string datagram(magic);
    datagram += static_cast<char>(format_version);
    datagram += static_cast<char>(keys.current.id);
    const mac signature = internal::sign(keys.current.secret, datagram, body);
    datagram.append(reinterpret_cast<const char*>(signature.data()), signature.size());
    return datagram + body;
}

tl::expected<received_message, drop_cause> decode(std::string_view datagram, const key_ring& keys)
{
    if (datagram.size() < header_size || datagram.substr(0, magic.size()) != magic) {
        return tl::unexpected(drop_cause::too_short);
    }
    if (static_cast<std::uint8_t>(datagram[2]) != format_version) {
        return tl::unexpected(drop_cause::wrong_version);
    }
    const auto body = internal::verified_body(datagram, prefix_size, keys);
    if (!body) {
        return tl::unexpected(body.error());
    }
    try {
        internal::packed_input archive(*body);
        received_message message;
        archive(message);
        return message;
    } catch (const std::exception&)
    { // cereal exceptions, bad_alloc and length_error all indicate a malformed body
        return tl::unexpected(drop_cause::undecodable);
    }
}

} // namespace quetzal::peer
