#ifndef QUETZAL_GATEWAY_STAGE_PLAN_HPP
#define QUETZAL_GATEWAY_STAGE_PLAN_HPP

// Tracks the progress of the stages of one request: which pieces are ready to run, which results
// are no longer needed, and which results the request itself needs.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <quetzal/gateway/stage_job.hpp>

namespace quetzal::gateway {

class stage_plan
{
public:
    explicit stage_plan(const std::vector<job_stage>& stages);

    // Returns the stages whose pieces have become ready to run since the last call.
    std::vector<std::size_t> take_ready();

    // Returns the handles of all results that the stage needs, in the order of stages and pieces.
    std::vector<std::string> inputs_of(std::size_t stage) const;

    // Records the result of a piece. Returns the handles of the results that are no longer needed;
    // if the piece has a result already, that is the given handle.
    std::vector<std::string> record_result(std::size_t stage, std::size_t piece,
                                           std::string handle);

    // Returns whether the piece has a result.
    bool has_result(std::size_t stage, std::size_t piece) const
    {
        return !stages_[stage].handles[piece].empty();
    }

    bool finished() const noexcept { return pending_pieces_ == 0; }

    // Returns the handles of all results of the stages that no other stage depends on, in order.
    std::vector<std::string> final_results() const;

    // Returns the handles of all results that are not released yet.
    std::vector<std::string> held_results() const;

private:
    struct stage_state
    {
        std::vector<std::uint32_t> after;
        std::vector<std::string> handles; // by piece; empty until the piece is done
        std::size_t pending = 0;
        std::size_t pending_dependents = 0; // unfinished stages that depend on this one
        bool started = false;
        bool has_dependents = false; // another stage depends on this one
        bool released = false;
    };

    bool is_ready(const stage_state& stage) const;
    void finish_stage(stage_state& stage, std::vector<std::string>& released);

    std::vector<stage_state> stages_;
    std::size_t pending_pieces_ = 0;
};

inline constexpr std::size_t max_pieces = 1024; // of one request; far above any number in use

// Parses "N,N,...". Returns nothing if the text is malformed or the sum of the counts is above
// `max_pieces`.
std::optional<std::vector<std::uint32_t>> parse_piece_counts(std::string_view text);

} // namespace quetzal::gateway

#endif
