#include <quetzal/gateway/stage_plan.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace quetzal::gateway {

stage_plan::stage_plan(const std::vector<job_stage>& stages) : stages_(stages.size())
{
    for (std::size_t index = 0; index < stages.size(); ++index) {
        stage_state& stage = stages_[index];
        std::copy_if(stages[index].after.begin(), stages[index].after.end(),
                     std::back_inserter(stage.after),
                     [&](std::uint32_t earlier) { return earlier < index; });
        stage.pending = stages[index].pieces;
        stage.handles.resize(stage.pending);
        pending_pieces_ += stage.pending;
        for (const std::uint32_t earlier : stage.after) {
            stages_[earlier].has_dependents = true;
            stages_[earlier].pending_dependents += stage.pending > 0 ? 1 : 0;
        }
    }
}

bool stage_plan::is_ready(const stage_state& stage) const
{
    return std::all_of(stage.after.begin(), stage.after.end(),
                       [&](std::uint32_t earlier) { return stages_[earlier].pending == 0; });
}

std::vector<std::size_t> stage_plan::take_ready()
{
    std::vector<std::size_t> started;
    for (std::size_t index = 0; index < stages_.size(); ++index) {
        stage_state& stage = stages_[index];
        if (!stage.started && stage.pending > 0 && is_ready(stage)) {
            stage.started = true;
            started.push_back(index);
        }
    }
    return started;
}

std::vector<std::string> stage_plan::inputs_of(std::size_t stage) const
{
    std::vector<std::string> inputs;
    for (const std::uint32_t earlier : stages_[stage].after) {
        inputs.insert(inputs.end(), stages_[earlier].handles.begin(),
                      stages_[earlier].handles.end());
    }
    return inputs;
}

std::vector<std::string> stage_plan::record_result(std::size_t stage, std::size_t piece,
                                                   std::string handle)
{
    std::vector<std::string> released;
    stage_state& state = stages_[stage];
    if (!state.handles[piece].empty()) {
        released.push_back(std::move(handle)); // the piece was run twice
        return released;
    }
    state.handles[piece] = std::move(handle);
    --pending_pieces_;
    if (--state.pending == 0) {
        finish_stage(state, released);
    }
    return released;
}

void stage_plan::finish_stage(stage_state& stage, std::vector<std::string>& released)
{
    for (const std::uint32_t earlier : stage.after) {
        stage_state& input = stages_[earlier];
        if (--input.pending_dependents == 0 && !input.released) {
            input.released = true;
            released.insert(released.end(), input.handles.begin(), input.handles.end());
        }
    }
}

std::vector<std::string> stage_plan::final_results() const
{
    std::vector<std::string> results;
    for (const stage_state& stage : stages_) {
        if (!stage.has_dependents) {
            results.insert(results.end(), stage.handles.begin(), stage.handles.end());
        }
    }
    return results;
}

std::vector<std::string> stage_plan::held_results() const
{
    std::vector<std::string> results;
    for (const stage_state& stage : stages_) {
        if (!stage.released) {
            std::copy_if(stage.handles.begin(), stage.handles.end(), std::back_inserter(results),
                         [](const std::string& handle) { return !handle.empty(); });
        }
    }
    return results;
}

std::optional<std::vector<std::uint32_t>> parse_piece_counts(std::string_view text)
{
    std::vector<std::uint32_t> counts;
    std::size_t total = 0;
    const char* position = text.data();
    const char* const end = text.data() + text.size();
    while (position < end) {
        std::uint32_t count = 0;
        const auto [after, error] = std::from_chars(position, end, count);
        if (error != std::errc{} || count > max_pieces || total + count > max_pieces ||
            (after != end && *after != ','))
        {
            return std::nullopt;
        }
        total += count;
        counts.push_back(count);
        position = after == end ? end : after + 1;
    }
    return counts;
}

} // namespace quetzal::gateway
