#ifndef QUETZAL_REQUESTS_STAGE_RECORD_HPP
#define QUETZAL_REQUESTS_STAGE_RECORD_HPP

// What a pipeline run keeps of each stage.

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <quetzal/requests/pipeline_run.hpp>
#include <vector>

namespace quetzal::requests::internal {

enum class stage_phase
{
    blocked,  // waits for results of other stages
    choosing, // waits for an endpoint
    running,
    done
};

// An attempt that has not ended.
struct live_attempt
{
    stage_attempt machine;
    endpoint_id endpoint;
    time_point give_up{};
};

struct stage_record
{
    stage_phase phase = stage_phase::blocked;
    bool repeatable = true;
    bool may_have_run = false; // any attempt that has ended
    std::uint32_t attempts = 0;
    std::vector<std::unique_ptr<live_attempt>> live; // more than one only with a hedge
    std::uint64_t delivered = 0;                     // frames of `result`, or of the answer
    std::vector<chunk> result;                       // of an inner stage
    std::size_t result_bytes = 0;
    std::optional<failure> last_failure;
    std::optional<endpoint_id> failed_at;

    // Drops what an attempt delivered, before another one starts from nothing.
    void forget_result()
    {
        result.clear();
        result_bytes = 0;
        delivered = 0;
    }
};

// Whether the stages may be sent again. A class that runs at most once without a stage that says so
// is taken to mean all its stages.
inline bool repeatable(const run_request& request, std::size_t stage)
{
    const auto& stages = request.pipeline->stages;
    const bool any_marked = std::any_of(stages.begin(), stages.end(),
                                        [](const config::stage& one) { return !one.idempotent; });
    return stages[stage].idempotent && (request.idempotent || any_marked);
}

} // namespace quetzal::requests::internal

#endif
