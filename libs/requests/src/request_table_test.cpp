#include <quetzal/requests/request_table.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::requests;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point start{1h};
const customer_id banderas("banderas");

submission booking(std::uint64_t sequence, const char* body = "one flag", bool idempotent = false,
                   time_point issued = start)
{
    return {
        {instance_id("q-1"), incarnation{1}, sequence, issued}, banderas, sha256(body), idempotent};
}

bool starts(const submit_action& action)
{
    return std::holds_alternative<start_request>(action);
}

bool attaches(const submit_action& action)
{
    return std::holds_alternative<attach_to_answer>(action);
}

bool fails(const submit_action& action, reason why, verdict run)
{
    const auto* found = std::get_if<failure>(&action);
    return found && found->why == why && found->run == run;
}

const answer_end whole{verdict::ran, {}};
const answer_end refused{verdict::not_run, failure{verdict::not_run, reason::no_credit, "", {}}};

table_limits small(std::size_t entries, std::size_t closed = 100)
{
    table_limits limits;
    limits.entries = entries;
    limits.memory = std::make_shared<memory_budget>(1u << 30);
    limits.closed = closed;
    return limits;
}

} // namespace

// Guards against a double charge: two runs of one non-idempotent request.
Test(request_table, non_idempotent_work_runs_at_most_once)
{
    request_table table;
    check(starts(table.submit(booking(1), start)), "the first submission runs");
    section("a second submission reads the same answer, running and finished", [&] {
        check(attaches(table.submit(booking(1), start)), "running");
        table.finish(1, whole, start + 1s);
        check(attaches(table.submit(booking(1), start + 10min)), "finished");
    });
    section("after the answer was dropped it is refused as possibly run", [&] {
        table.expire(start + 10min + 2s);
        check(table.size() == 0 && table.memory() == 0, "dropped");
        check(fails(table.submit(booking(1), start + 11min), reason::identity_expired,
                    verdict::may_have_run),
              "not run again");
    });
    section("work that was refused does not run from a delayed copy", [&] {
        check(starts(table.submit(booking(2), start)), "first");
        table.finish(2, refused, start);
        check(table.state(2) == request_state::forgotten, "closed");
        check(fails(table.submit(booking(2), start + 5min), reason::identity_expired,
                    verdict::not_run),
              "copy within the validity");
        table.expire(start + 5min + 1ms);
        check(table.closed() == 0, "closed identities are dropped");
        check(fails(table.submit(booking(2), start + 5min + 1ms), reason::identity_expired,
                    verdict::may_have_run),
              "copy after the validity");
    });
    section("a submission cancelled before it arrives does not run", [&] {
        const auto cancelled = table.cancel(booking(3).identity, banderas, start);
        check(std::get<failure>(cancelled).run == verdict::not_run, "cancelled");
        check(fails(table.submit(booking(3), start), reason::identity_expired, verdict::not_run),
              "late submission");
        check(starts(table.submit(booking(4), start)), "another one");
        check(std::holds_alternative<cancel_running>(
                  table.cancel(booking(4).identity, banderas, start)),
              "a running one is for the run to cancel");
    });
    section("an identity is good for five minutes after its issue", [&] {
        check(starts(table.submit(booking(5), start + 5min)), "at the end");
        check(fails(table.submit(booking(6), start + 5min + 1ms), reason::identity_expired,
                    verdict::may_have_run),
              "after it");
    });
}

// Guards against an answer in the wrong hands, and against a changed order under a used identity.
Test(request_table, an_identity_stands_for_one_request_of_one_customer)
{
    request_table table;
    table.submit(booking(1), start);
    table.cancel(booking(2).identity, banderas, start);
    section("another body is refused without a claim that nothing ran", [&] {
        check(fails(table.submit(booking(1, "two flags"), start), reason::invalid_request,
                    verdict::may_have_run),
              "other body");
    });
    section("another customer learns nothing, whatever the state", [&] {
        const customer_id trinidad("trinidad");
        std::vector<std::string> answers;
        for (const std::uint64_t sequence : {1, 2}) {
            auto strange = booking(sequence);
            strange.customer = trinidad;
            const auto action = table.submit(strange, start);
            check(fails(action, reason::not_found, verdict::may_have_run), "submit");
            answers.push_back(std::get<failure>(action).detail);
            answers.push_back(table.find(strange.identity, trinidad, start).error().detail);
            answers.push_back(
                std::get<failure>(table.cancel(strange.identity, trinidad, start)).detail);
        }
        answers.push_back(table.find(booking(3).identity, banderas, start).error().detail);
        for (const auto& answer : answers) {
            check(answer == answers.back(), "same words as for an unknown identity");
        }
        check(table.state(1) == request_state::running, "still running");
    });
}

// Guards against a full table losing what it must remember, or refusing untruthfully.
Test(request_table, refuses_truthfully_when_full)
{
    request_table table(small(8));
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
        check(starts(table.submit(booking(sequence), start)), "three quarters");
        table.finish(sequence, whole, start);
    }
    section("new non-idempotent work is refused and stays refused", [&] {
        check(fails(table.submit(booking(7), start), reason::overloaded, verdict::not_run), "full");
        check(fails(table.submit(booking(7), start + 5min), reason::identity_expired,
                    verdict::not_run),
              "a delayed copy");
        table.expire(start + 11min);
        check(table.size() == 0 && table.closed() == 0, "room again");
        check(fails(table.submit(booking(7), start + 11min), reason::identity_expired,
                    verdict::may_have_run),
              "a very late copy");
    });
    section("idempotent work still runs, without being kept", [&] {
        request_table full(small(8));
        for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
            full.submit(booking(sequence), start);
        }
        check(starts(full.submit(booking(20, "status", true), start)), "runs");
        check(attaches(full.submit(booking(20, "status", true), start)), "is shared");
        full.finish(20, whole, start);
        check(full.state(20) == request_state::forgotten, "not kept");
        check(fails(full.submit(booking(20, "status", true), start), reason::identity_expired,
                    verdict::ran),
              "no second answer under the same identity");
        check(starts(full.submit(booking(21, "status", true), start)) &&
                  starts(full.submit(booking(22, "status", true), start)),
              "up to the limit");
        check(fails(full.submit(booking(23, "status", true), start), reason::overloaded,
                    verdict::not_run),
              "and no further");
    });
    section("answers of idempotent work make room for non-idempotent work", [&] {
        request_table mixed(small(4));
        for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
            mixed.submit(booking(sequence, "status", true), start);
            mixed.finish(sequence, whole, start);
        }
        check(starts(mixed.submit(booking(4), start)), "room was made");
        check(mixed.state(1) == request_state::forgotten, "the oldest answer went");
    });
    section("when no identity can be closed, nothing is claimed", [&] {
        request_table tiny(small(4, 0));
        for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
            tiny.submit(booking(sequence), start);
        }
        check(fails(tiny.submit(booking(4), start), reason::overloaded, verdict::may_have_run),
              "full of both");
        tiny.finish(1, refused, start);
        check(attaches(tiny.submit(booking(1), start)), "the refusal itself is kept instead");
    });
}

// Guards against shards that together take several times the memory of an instance.
Test(request_table, shards_share_one_budget)
{
    table_limits limits;
    limits.memory = std::make_shared<memory_budget>(8 * (limits.reserve + 1024));
    request_table first(limits);
    {
        request_table second(limits);
        for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
            check(starts(first.submit(booking(2 * sequence), start)), "first shard");
            check(starts(second.submit(booking(2 * sequence + 1), start)), "second shard");
        }
        check(fails(first.submit(booking(20), start), reason::overloaded, verdict::not_run),
              "three quarters are taken");
        check(starts(first.submit(booking(22, "status", true), start)) &&
                  starts(second.submit(booking(23, "status", true), start)),
              "the rest is for idempotent work");
        check(fails(second.submit(booking(25, "status", true), start), reason::overloaded,
                    verdict::not_run),
              "the limit");
        check(limits.memory->used() == first.memory() + second.memory(), "sum");
        first.finish(2, whole, start);
        check(starts(second.submit(booking(27, "status", true), start)), "room for another shard");
    }
    check(limits.memory->used() == first.memory(), "given back");
}
