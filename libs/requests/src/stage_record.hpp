#ifndef QUETZAL_REQUESTS_STAGE_RECORD_HPP
#define QUETZAL_REQUESTS_STAGE_RECORD_HPP

// The state that a pipeline run keeps for each stage.

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <quetzal/requests/pipeline_run.hpp>
#include <vector>

namespace quetzal::requests::internal {

enum class stage_phase
{
    blocked,  // waiting for results of other stages
    choosing, // waiting for an endpoint
    running,
    done
};

// An attempt that has not ended yet.
struct live_attempt
{
    stage_attempt machine;
    endpoint_id endpoint;
    time_point give_up{};
};

struct stage_record
{
    stage_phase phase = stage_phase::blocked;
    bool retryable = true;
    bool may_have_run = false; // whether any ended attempt may have run
    std::uint32_t attempts = 0;
    std::vector<std::unique_ptr<live_attempt>> live; // two if hedged, otherwise at most one
    std::uint64_t delivered = 0; // frames in `result` or, for the last stage, in the answer
    std::vector<chunk> result;   // empty for the last stage
    std::size_t result_bytes = 0;
    std::optional<failure> last_failure;
    std::optional<endpoint_id> failed_endpoint;

    // Discards the data delivered by an attempt, before another attempt starts from the beginning.
    void clear_result()
    {
        result.clear();
        result_bytes = 0;
        delivered = 0;
    }
};

// Whether the stage may be retried after it may have run. If the class is not idempotent and none
// of its stages is marked as such, all of its stages count as non-idempotent.
inline bool retryable(const run_request& request, std::size_t stage)
{
    const auto& stages = request.pipeline->stages;
    const bool any_non_idempotent = std::any_of(
        stages.begin(), stages.end(), [](const config::stage& one) { return !one.idempotent; });
    return stages[stage].idempotent && (request.idempotent || any_non_idempotent);
}

} // namespace quetzal::requests::internal

#endif
