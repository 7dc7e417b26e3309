#include <quetzal/gateway/stage_plan.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace quetzal::gateway {

stage_plan::stage_plan(const std::vector<stage_definition>& stages,
                       const std::vector<std::size_t>& counts)
{
    stages_.resize(stages.size());
    for (std::size_t index = 0; index < stages.size(); ++index) {
        stage_state& stage = stages_[index];
        stage.after = stages[index].after;
        stage.open = index < counts.size() ? counts[index] : 0;
        stage.handles.resize(stage.open);
        open_pieces_ += stage.open;
    }
    for (std::size_t index = 0; index < stages.size(); ++index) {
        for (const std::size_t earlier : stages[index].after) {
            if (earlier < stages_.size()) {
                stages_[earlier].followed = true;
            }
        }
    }
}

bool stage_plan::ready(const stage_state& stage) const
{
    return std::all_of(stage.after.begin(), stage.after.end(), [&](std::size_t earlier) {
        return earlier >= stages_.size() || stages_[earlier].open == 0;
    });
}

std::vector<planned_piece> stage_plan::take_ready()
{
    std::vector<planned_piece> pieces;
    for (std::size_t index = 0; index < stages_.size(); ++index) {
        stage_state& stage = stages_[index];
        if (stage.started || !ready(stage)) {
            continue;
        }
        stage.started = true;
        std::vector<std::string> inputs;
        for (const std::size_t earlier : stage.after) {
            if (earlier < stages_.size()) {
                inputs.insert(inputs.end(), stages_[earlier].handles.begin(),
                              stages_[earlier].handles.end());
            }
        }
        for (std::size_t piece = 0; piece < stage.handles.size(); ++piece) {
            pieces.push_back({index, piece, inputs});
        }
    }
    return pieces;
}

void stage_plan::done(std::size_t stage, std::size_t piece, std::string handle)
{
    stage_state& state = stages_[stage];
    if (!state.handles[piece].empty()) {
        return;
    }
    state.handles[piece] = std::move(handle);
    --state.open;
    --open_pieces_;
}

std::vector<std::string> stage_plan::final_results() const
{
    std::vector<std::string> results;
    for (const stage_state& stage : stages_) {
        if (!stage.followed) {
            results.insert(results.end(), stage.handles.begin(), stage.handles.end());
        }
    }
    return results;
}

std::vector<std::string> stage_plan::all_results() const
{
    std::vector<std::string> results;
    for (const stage_state& stage : stages_) {
        std::copy_if(stage.handles.begin(), stage.handles.end(), std::back_inserter(results),
                     [](const std::string& handle) { return !handle.empty(); });
    }
    return results;
}

std::optional<std::vector<std::size_t>> parse_piece_counts(std::string_view text)
{
    std::vector<std::size_t> counts;
    std::size_t total = 0;
    const char* position = text.data();
    const char* const end = text.data() + text.size();
    while (position < end) {
        std::size_t count = 0;
        const auto [after, error] = std::from_chars(position, end, count);
        total += count;
        if (error != std::errc{} || count > most_pieces || total > most_pieces ||
            (after != end && *after != ',')) {
            return std::nullopt;
        }
        counts.push_back(count);
        position = after == end ? end : after + 1;
    }
    return counts;
}

} // namespace quetzal::gateway
