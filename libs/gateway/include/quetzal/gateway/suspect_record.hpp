#ifndef QUETZAL_GATEWAY_SUSPECT_RECORD_HPP
#define QUETZAL_GATEWAY_SUSPECT_RECORD_HPP

// Evidence about parts of prompts that may crash endpoints, as instances send it to each other. See
// `part_quarantine`.

#include <cstdint>
#include <vector>

namespace quetzal::gateway {

// A crash that a part is suspected of, as sent to other instances.
struct aged_crash
{
    std::uint64_t endpoint = 0;    // hash that identifies the incarnation of the endpoint
    std::uint32_t sent_age_ms = 0; // since the request with the part was sent
    std::uint32_t age_ms = 0;      // since the crash

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(endpoint, sent_age_ms, age_ms);
    }
};

// What an instance knows of a suspected part.
struct suspect_record
{
    static constexpr std::uint32_t never = UINT32_MAX;

    std::uint64_t part = 0;             // hash of the part's id
    std::uint32_t begun_age_ms = never; // since a response to a request with the part last began
    std::vector<aged_crash> crashes;    // since then

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(part, begun_age_ms, crashes);
    }
};

} // namespace quetzal::gateway

#endif
