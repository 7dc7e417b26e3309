#ifndef QUETZAL_GATEWAY_STAGE_PLAN_HPP
#define QUETZAL_GATEWAY_STAGE_PLAN_HPP

// The stages of one request: which pieces can be made now, and which results the request itself
// needs in the end.

#include <cstdint>
#include <string>
#include <vector>

#include <quetzal/gateway/catalog.hpp>

namespace quetzal::gateway {

// A piece that can be made now. Without inputs it is made from the request's piece key.
struct planned_piece
{
    std::size_t stage = 0;
    std::size_t piece = 0;
    std::vector<std::string> inputs; // handles of all pieces of the stages that it comes after
};

class stage_plan
{
public:
    // `counts` are the pieces of each stage; a stage without pieces is left out.
    stage_plan(const std::vector<stage_definition>& stages, const std::vector<std::size_t>& counts);

    // Returns the pieces of the stages that have become ready since the last call.
    std::vector<planned_piece> take_ready();

    // Notes the result of a piece.
    void done(std::size_t stage, std::size_t piece, std::string handle);

    bool finished() const noexcept { return open_pieces_ == 0; }

    // Handles of all pieces of the stages that no other stage comes after, in order.
    std::vector<std::string> final_results() const;

    // Handles of all results that have been made.
    std::vector<std::string> all_results() const;

private:
    struct stage_state
    {
        std::vector<std::size_t> after;
        std::vector<std::string> handles; // by piece; empty until done
        std::size_t open = 0;
        bool started = false;
        bool followed = false; // another stage comes after it
    };

    bool ready(const stage_state& stage) const;

    std::vector<stage_state> stages_;
    std::size_t open_pieces_ = 0;
};

// Parses "N,N,...". Returns nothing when the text is not such a list, or holds more than
// `most_pieces` pieces in all.
inline constexpr std::size_t most_pieces = 1024; // of one request; far above any in use
std::optional<std::vector<std::size_t>> parse_piece_counts(std::string_view text);

} // namespace quetzal::gateway

#endif
