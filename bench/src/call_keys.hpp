#ifndef QUETZAL_BENCH_CALL_KEYS_HPP
#define QUETZAL_BENCH_CALL_KEYS_HPP

// Numbers of stage calls within a dispatcher, made of the request and the stage.

#include <cstdint>

#include <quetzal/serving/types.hpp>

namespace quetzal::bench {

using serving::call_key;

inline constexpr std::uint64_t stages_per_key = 8; // more than config::max_stages

inline call_key key_of(std::uint32_t request, std::uint32_t stage)
{
    return static_cast<call_key>(request * stages_per_key + stage);
}

inline std::uint32_t request_of(call_key key)
{
    return static_cast<std::uint32_t>(static_cast<std::uint64_t>(key) / stages_per_key);
}

inline std::uint32_t stage_of(call_key key)
{
    return static_cast<std::uint32_t>(static_cast<std::uint64_t>(key) % stages_per_key);
}

} // namespace quetzal::bench

#endif
