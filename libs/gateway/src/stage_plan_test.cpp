#include <algorithm>

#include <quetzal/gateway/stage_plan.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

using handles = std::vector<std::string>;

// Stage 0 is independent; stages 1, 2 and 3 form a chain.
std::vector<job_stage> chat_stages()
{
    return {{"r", {}, 10, 2}, {"r", {}, 1, 1}, {"d", {1}, 5, 2}, {"s", {2}, 1, 3}};
}

} // namespace

// Guards against pieces that become ready before their inputs exist, and against inputs that are
// missing, duplicated or of the wrong stage.
Test(stage_plan, stages_run_in_order_with_their_inputs)
{
    stage_plan plan(chat_stages());
    section("the stages without inputs are ready first", [&] {
        check(plan.take_ready() == std::vector<std::size_t>{0, 1},
              "both stages without inputs are ready");
        check(plan.take_ready().empty(), "they are returned once");
    });
    section("a stage is ready when all pieces that it depends on have results", [&] {
        plan.record_result(1, 0, "b");
        check(plan.take_ready() == std::vector<std::size_t>{2}, "the dependent stage is ready");
        check(plan.inputs_of(2) == handles{"b"}, "its input is the result of the stage before it");
        plan.record_result(2, 0, "c0");
        check(plan.take_ready().empty(),
              "no stage is ready while a piece that it depends on has no result");
    });
    section("results are released when no stage needs them any more", [&] {
        check(plan.record_result(2, 1, "c1") == handles{"b"},
              "the input of the finished stage is released");
        check(plan.take_ready() == std::vector<std::size_t>{3}, "the last stage is ready");
        check(plan.inputs_of(3) == (handles{"c0", "c1"}), "inputs are in the order of the pieces");
    });
    section("a piece that was run twice", [&] {
        plan.record_result(3, 0, "d0");
        check(plan.record_result(3, 0, "again") == handles{"again"},
              "the second result is released");
    });
    section("the request gets the results of stages without dependents", [&] {
        plan.record_result(3, 2, "d2");
        check(plan.record_result(3, 1, "d1") == (handles{"c0", "c1"}),
              "the inputs of the last stage are released");
        plan.record_result(0, 1, "a1");
        check(!plan.finished(), "it is not finished while a piece has no result");
        plan.record_result(0, 0, "a0");
        check(plan.finished(), "it is finished when all pieces have results");
        check(plan.final_results() == (handles{"a0", "a1", "d0", "d1", "d2"}),
              "final results are in order");
        check(plan.held_results().size() == 5, "only the final results are held");
    });
}

Test(stage_plan, stages_without_pieces_are_skipped)
{
    section("a stage without pieces does not block others", [] {
        auto stages = chat_stages();
        stages[1].pieces = 0;
        stages[2].pieces = 0;
        stage_plan plan(stages);
        check(plan.take_ready() == (std::vector<std::size_t>{0, 3}),
              "stages that depend on skipped ones are ready");
    });
    section("a request without any piece is finished", [] {
        auto stages = chat_stages();
        for (auto& stage : stages) {
            stage.pieces = 0;
        }
        check(stage_plan(stages).finished(), "a plan without pieces is finished");
    });
}

Test(stage_plan, parses_piece_counts)
{
    check(parse_piece_counts("2,0,10") == std::vector<std::uint32_t>{2, 0, 10},
          "a valid list is parsed");
    check(parse_piece_counts("")->empty(), "an empty text gives an empty list");
    for (const char* text : {"a", "1,,2", "-1", "1;2", "2000", "1000,1000", "99999999999999"}) {
        check(!parse_piece_counts(text), std::string("rejects ") + text);
    }
}
