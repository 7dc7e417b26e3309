#ifndef QUETZAL_BASE_IDS_HPP
#define QUETZAL_BASE_IDS_HPP

// Strong identifier types, so that the name of a customer cannot be passed where the name of an
// endpoint is expected.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace quetzal {

// A name that can be compared only with names of the same kind. An empty name means "none".
template <class Tag>
struct basic_id
{
    std::string name;

    basic_id() = default;
    explicit basic_id(std::string value) : name(std::move(value)) {}

    bool empty() const noexcept { return name.empty(); }
    // Not defaulted, because clang-tidy 14 mistakes the comparison with 0 in a defaulted operator
    // for a null pointer (modernize-use-nullptr).
    friend std::strong_ordering operator<=>(const basic_id& first, const basic_id& second) noexcept
    {
        return first.name <=> second.name;
    }
    friend bool operator==(const basic_id&, const basic_id&) = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name);
    }
};

using instance_id = basic_id<struct instance_tag>;
using zone_id = basic_id<struct zone_tag>;
using region_id = basic_id<struct region_tag>;
using customer_id = basic_id<struct customer_tag>;
using endpoint_id = basic_id<struct endpoint_tag>;
using pool_id = basic_id<struct pool_tag>;
using class_id = basic_id<struct class_tag>;
using pipeline_id = basic_id<struct pipeline_tag>;
using stage_id = basic_id<struct stage_tag>;

// Distinguishes successive processes with the same name and address. The value consists of the
// start time (wall clock, in milliseconds) followed by random bits, so that a later start of the
// same instance on one machine has a greater value.
struct incarnation
{
    std::uint64_t value = 0;

    friend std::strong_ordering operator<=>(const incarnation& first,
                                            const incarnation& second) noexcept
    {
        return first.value <=> second.value;
    }
    friend bool operator==(const incarnation&, const incarnation&) = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value);
    }
};

} // namespace quetzal

template <class Tag>
struct std::hash<quetzal::basic_id<Tag>>
{
    std::size_t operator()(const quetzal::basic_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.name);
    }
};

template <>
struct std::hash<quetzal::incarnation>
{
    std::size_t operator()(const quetzal::incarnation& id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

#endif
