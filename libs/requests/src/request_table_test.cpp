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

const answer_end complete{verdict::ran, {}};
const answer_end refused{verdict::not_run, failure{verdict::not_run, reason::no_credit, "", {}}};

table_limits limits_of(std::size_t entries, std::size_t closed = 100)
{
    table_limits limits;
    limits.entries = entries;
    limits.memory = std::make_shared<memory_budget>(1u << 30);
    limits.closed = closed;
    return limits;
}

} // namespace

// Guards against two runs of one non-idempotent request, such as a duplicate charge.
Test(request_table, non_idempotent_work_runs_at_most_once)
{
    request_table table;
    check(starts(table.submit(booking(1), start)), "the first submission runs");
    section("a second submission reads the same answer, whether running or finished", [&] {
        check(attaches(table.submit(booking(1), start)), "attaches while running");
        table.finish(1, complete, start + 1s);
        check(attaches(table.submit(booking(1), start + 10min)), "attaches after the end");
    });
    section("after the answer is dropped a submission fails with may_have_run", [&] {
        table.expire(start + 10min + 2s);
        check(table.size() == 0 && table.memory() == 0, "the answer is dropped");
        check(fails(table.submit(booking(1), start + 11min), reason::identity_expired,
                    verdict::may_have_run),
              "the work does not run again");
    });
    section("a delayed copy of refused work does not run", [&] {
        check(starts(table.submit(booking(2), start)), "the first submission runs");
        table.finish(2, refused, start);
        check(table.state(2) == request_state::closed, "the identity is closed");
        check(fails(table.submit(booking(2), start + 5min), reason::identity_expired,
                    verdict::not_run),
              "a copy within the validity fails with not_run");
        table.expire(start + 5min + 1ms);
        check(table.closed() == 0, "closed identities are dropped");
        check(fails(table.submit(booking(2), start + 5min + 1ms), reason::identity_expired,
                    verdict::may_have_run),
              "a copy after the validity fails with may_have_run");
    });
    section("a submission that arrives after its cancellation does not run", [&] {
        const auto cancelled = table.cancel(booking(3).identity, banderas, start);
        check(std::get<failure>(cancelled).run == verdict::not_run,
              "the cancellation reports not_run");
        check(fails(table.submit(booking(3), start), reason::identity_expired, verdict::not_run),
              "the late submission fails");
        check(starts(table.submit(booking(4), start)), "another identity runs");
        check(std::holds_alternative<cancel_running>(
                  table.cancel(booking(4).identity, banderas, start)),
              "a running request must be cancelled by its run");
    });
    section("an identity is valid for five minutes after its issue", [&] {
        check(starts(table.submit(booking(5), start + 5min)),
              "accepted at the end of the validity");
        check(fails(table.submit(booking(6), start + 5min + 1ms), reason::identity_expired,
                    verdict::may_have_run),
              "rejected after the validity");
    });
}

// Guards against an answer returned to another customer, and against a changed body under a used
// identity.
Test(request_table, an_identity_belongs_to_one_request_of_one_customer)
{
    request_table table;
    table.submit(booking(1), start);
    table.cancel(booking(2).identity, banderas, start);
    section("another body fails with may_have_run", [&] {
        check(fails(table.submit(booking(1, "two flags"), start), reason::invalid_request,
                    verdict::may_have_run),
              "another body is rejected");
    });
    section("another customer gets the same message in every state", [&] {
        const customer_id trinidad("trinidad");
        std::vector<std::string> answers;
        for (const std::uint64_t sequence : {1, 2}) {
            auto foreign = booking(sequence);
            foreign.customer = trinidad;
            const auto action = table.submit(foreign, start);
            check(fails(action, reason::not_found, verdict::may_have_run),
                  "the submission is not found");
            answers.push_back(std::get<failure>(action).detail);
            answers.push_back(table.find(foreign.identity, trinidad, start).error().detail);
            answers.push_back(
                std::get<failure>(table.cancel(foreign.identity, trinidad, start)).detail);
        }
        answers.push_back(table.find(booking(3).identity, banderas, start).error().detail);
        for (const auto& answer : answers) {
            check(answer == answers.back(), "same message as for an unknown identity");
        }
        check(table.state(1) == request_state::running, "the request is still running");
    });
}

// Guards against a full table that loses entries it must retain or reports a false verdict.
Test(request_table, reports_correct_verdicts_when_full)
{
    request_table table(limits_of(8));
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
        check(starts(table.submit(booking(sequence), start)),
              "work within three quarters of the entries runs");
        table.finish(sequence, complete, start);
    }
    section("new non-idempotent work is rejected and its identity closed", [&] {
        check(fails(table.submit(booking(7), start), reason::overloaded, verdict::not_run),
              "rejected with not_run");
        check(fails(table.submit(booking(7), start + 5min), reason::identity_expired,
                    verdict::not_run),
              "a delayed copy fails with not_run");
        table.expire(start + 11min);
        check(table.size() == 0 && table.closed() == 0, "expired entries are dropped");
        check(fails(table.submit(booking(7), start + 11min), reason::identity_expired,
                    verdict::may_have_run),
              "a copy after the validity fails with may_have_run");
    });
    section("idempotent work still runs but its answer is not retained", [&] {
        request_table full(limits_of(8));
        for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
            full.submit(booking(sequence), start);
        }
        check(starts(full.submit(booking(20, "status", true), start)), "the first submission runs");
        check(attaches(full.submit(booking(20, "status", true), start)),
              "a second submission attaches");
        full.finish(20, complete, start);
        check(full.state(20) == request_state::closed, "the answer is not retained");
        check(fails(full.submit(booking(20, "status", true), start), reason::identity_expired,
                    verdict::ran),
              "the identity does not run again");
        check(starts(full.submit(booking(21, "status", true), start)) &&
                  starts(full.submit(booking(22, "status", true), start)),
              "work runs up to the limit");
        check(fails(full.submit(booking(23, "status", true), start), reason::overloaded,
                    verdict::not_run),
              "work beyond the limit is rejected");
    });
    section("answers of idempotent work are dropped for non-idempotent work", [&] {
        request_table mixed(limits_of(4));
        for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
            mixed.submit(booking(sequence, "status", true), start);
            mixed.finish(sequence, complete, start);
        }
        check(starts(mixed.submit(booking(4), start)), "non-idempotent work runs");
        check(mixed.state(1) == request_state::closed, "the oldest answer is dropped");
    });
    section("if no identity can be closed, the verdict is may_have_run", [&] {
        request_table tiny(limits_of(4, 0));
        for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
            tiny.submit(booking(sequence), start);
        }
        check(fails(tiny.submit(booking(4), start), reason::overloaded, verdict::may_have_run),
              "rejected with may_have_run");
        tiny.finish(1, refused, start);
        check(attaches(tiny.submit(booking(1), start)), "the refused request is retained instead");
    });
}

// Guards against shards that together use several times the memory limit of an instance.
Test(request_table, shards_share_one_budget)
{
    table_limits limits;
    limits.memory = std::make_shared<memory_budget>(8 * (limits.reserve + 1024));
    request_table first(limits);
    {
        request_table second(limits);
        for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
            check(starts(first.submit(booking(2 * sequence), start)), "the first shard runs work");
            check(starts(second.submit(booking(2 * sequence + 1), start)),
                  "the second shard runs work");
        }
        check(fails(first.submit(booking(20), start), reason::overloaded, verdict::not_run),
              "non-idempotent work is limited to three quarters");
        check(starts(first.submit(booking(22, "status", true), start)) &&
                  starts(second.submit(booking(23, "status", true), start)),
              "idempotent work uses the last quarter");
        check(fails(second.submit(booking(25, "status", true), start), reason::overloaded,
                    verdict::not_run),
              "work beyond the limit is rejected");
        check(limits.memory->used() == first.memory() + second.memory(),
              "the budget is the sum of the tables");
        first.finish(2, complete, start);
        check(starts(second.submit(booking(27, "status", true), start)),
              "a shard can use memory released by another shard");
    }
    check(limits.memory->used() == first.memory(), "a destroyed table releases its memory");
}
