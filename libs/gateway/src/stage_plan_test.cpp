#include <algorithm>

#include <quetzal/gateway/stage_plan.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

using handles = std::vector<std::string>;

// Stage 0 stands alone; 1, 2 and 3 follow each other.
std::vector<job_stage> chat_stages()
{
    return {{"r", {}, 10, 2}, {"r", {}, 1, 1}, {"d", {1}, 5, 2}, {"s", {2}, 1, 3}};
}

} // namespace

// Guards against pieces that are made before their inputs, and inputs of another stage, doubled or
// missing.
Test(stage_plan, order_and_inputs)
{
    stage_plan plan(chat_stages());
    section("the stages without inputs are ready first", [&] {
        check(plan.take_ready() == std::vector<std::size_t>{0, 1}, "both");
        check(plan.take_ready().empty(), "once");
    });
    section("a stage is ready when all pieces before it are made", [&] {
        plan.done(1, 0, "b");
        check(plan.take_ready() == std::vector<std::size_t>{2}, "the next one");
        check(plan.inputs_of(2) == handles{"b"}, "with its input");
        plan.done(2, 0, "c0");
        check(plan.take_ready().empty(), "not while a piece is open");
    });
    section("results are released when nothing needs them any more", [&] {
        check(plan.done(2, 1, "c1") == handles{"b"}, "the input of the finished stage");
        check(plan.take_ready() == std::vector<std::size_t>{3}, "the last stage");
        check(plan.inputs_of(3) == (handles{"c0", "c1"}), "in the order of the pieces");
    });
    section("a piece that was made twice", [&] {
        plan.done(3, 0, "d0");
        check(plan.done(3, 0, "again") == handles{"again"}, "the second result is released");
    });
    section("the request gets the results that no stage follows", [&] {
        plan.done(3, 2, "d2");
        check(plan.done(3, 1, "d1") == (handles{"c0", "c1"}), "inputs are released");
        plan.done(0, 1, "a1");
        check(!plan.finished(), "all pieces are needed");
        plan.done(0, 0, "a0");
        check(plan.finished(), "now it is complete");
        check(plan.final_results() == (handles{"a0", "a1", "d0", "d1", "d2"}), "in order");
        check(plan.held_results().size() == 5, "and only these are held");
    });
}

Test(stage_plan, left_out_stages)
{
    section("a stage without pieces is no obstacle", [] {
        auto stages = chat_stages();
        stages[1].pieces = 0;
        stages[2].pieces = 0;
        stage_plan plan(stages);
        check(plan.take_ready() == (std::vector<std::size_t>{0, 3}), "the others are ready");
    });
    section("a request without any piece is finished", [] {
        auto stages = chat_stages();
        for (auto& stage : stages) {
            stage.pieces = 0;
        }
        check(stage_plan(stages).finished(), "at once");
    });
}

Test(stage_plan, counts_of_callers)
{
    check(parse_piece_counts("2,0,10") == std::vector<std::uint32_t>{2, 0, 10}, "a list");
    check(parse_piece_counts("")->empty(), "no list");
    for (const char* text : {"a", "1,,2", "-1", "1;2", "2000", "1000,1000", "99999999999999"}) {
        check(!parse_piece_counts(text), std::string("refused: ") + text);
    }
}
