#ifndef QUETZAL_GATEWAY_STAGE_PLAN_HPP
#define QUETZAL_GATEWAY_STAGE_PLAN_HPP

// The stages of one request: which pieces can be made now, and which results the request itself
// needs in the end.

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

    // Returns the stages with pieces that have become ready since the last call.
    std::vector<std::size_t> take_ready();

    // Handles of all pieces of the stages that the stage comes after, in order.
    std::vector<std::string> inputs_of(std::size_t stage) const;

    // Notes the result of a piece. Returns the results that nothing needs any more.
    std::vector<std::string> done(std::size_t stage, std::size_t piece, std::string handle);

    // Whether the result of a piece is known.
    bool made(std::size_t stage, std::size_t piece) const
    {
        return !stages_[stage].handles[piece].empty();
    }

    bool finished() const noexcept { return open_pieces_ == 0; }

    // Handles of all pieces of the stages that no other stage comes after, in order.
    std::vector<std::string> final_results() const;

    // Handles of all results that have been made and are still held.
    std::vector<std::string> held_results() const;

private:
    struct stage_state
    {
        std::vector<std::uint32_t> after;
        std::vector<std::string> handles; // by piece; empty until done
        std::size_t open = 0;
        std::size_t open_followers = 0; // stages that come after it and are not finished
        bool started = false;
        bool followed = false; // another stage comes after it
        bool released = false;
    };

    bool ready(const stage_state& stage) const;
    void finish_stage(stage_state& stage, std::vector<std::string>& released);

    std::vector<stage_state> stages_;
    std::size_t open_pieces_ = 0;
};

// Parses "N,N,...". Returns nothing when the text is not such a list, or holds more than
// `most_pieces` pieces in all.
inline constexpr std::size_t most_pieces = 1024; // of one request; far above any in use
std::optional<std::vector<std::uint32_t>> parse_piece_counts(std::string_view text);

} // namespace quetzal::gateway

#endif
