#ifndef QUETZAL_GATEWAY_DOCUMENT_POSITION_HPP
#define QUETZAL_GATEWAY_DOCUMENT_POSITION_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <tuple>

namespace quetzal::gateway {

// A state of the published documents. The era rises when the platform's store comes back from a
// copy that lacks its latest writes; revisions begin again at that of the copy, so those of
// different eras cannot be compared. 0 is the era of a store that names none.
struct document_position
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend bool operator==(const document_position&, const document_position&) = default;
    friend std::strong_ordering operator<=>(const document_position& first,
                                            const document_position& second) noexcept
    {
        return std::tie(first.era, first.revision) <=> std::tie(second.era, second.revision);
    }
};

// Reads or writes a field that has been appended to a message. In a message of an instance that
// does not send it yet, the field has no value. Only the last fields of a whole message can be
// optional: the decoder tells that they are missing by the end of the bytes.
template <class Archive, class Value>
void serialize_appended(Archive& archive, std::optional<Value>& field)
{
    if constexpr (requires { archive.left(); }) {
        field.reset();
        if (archive.left() > 0) {
            archive(field.emplace());
        }
    } else {
        Value written = field.value_or(Value{});
        archive(written);
    }
}

// A position as a peer names it. Instances of former commits name the revision alone.
struct named_position
{
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> era;

    named_position() = default;
    explicit named_position(document_position position)
        : revision(position.revision), era(position.era)
    {
    }

    // Returns the position, in `unnamed_era` if the peer has named none.
    document_position position(std::uint64_t unnamed_era) const
    {
        return {era.value_or(unnamed_era), revision};
    }
};

} // namespace quetzal::gateway

#endif
