#include "dispatcher_harness.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace quetzal::serving::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

bool mentions(const explanation& why, const std::string& text)
{
    return std::any_of(why.steps.begin(), why.steps.end(),
                       [&](const auto& step) { return step.what.find(text) != std::string::npos; });
}

// Returns the share of a customer's ended requests that were completed within `bound`.
double attainment(const harness& fleet, const std::string& customer, duration bound)
{
    double all = 0;
    double met = 0;
    for (const auto& [key, request] : fleet.ended) {
        if (request.customer.name == customer) {
            all += 1;
            met += request.completed && request.took <= bound ? 1 : 0;
        }
    }
    return met / all;
}

} // namespace

// Guards against a request that is lost, answered twice or has no explanation.
Test(dispatcher, runs_a_request_through_its_stages)
{
    harness fleet;
    const auto key = fleet.submit("rugs");
    section("while it runs, the explanation has the steps so far", [&] {
        check(mentions(fleet.subject->explain(key), "admitted after 0 ms"),
              "the admission is explained");
        check(mentions(fleet.subject->explain(key), "stage encode: attempt 1 on"),
              "the choice of the endpoint is explained");
    });
    section("when all stages have answered, the request is completed", [&] {
        fleet.run_until(fleet.now + 100ms);
        check(fleet.result(key) && fleet.result(key)->completed, "the request is completed");
        check(fleet.result(key)->took == 60ms, "three stages of 20 ms without waits between them");
        check(fleet.log.size() == 3, "one attempt for each stage");
        check(mentions(fleet.subject->explain(key), "completed"), "the explanation is kept");
        check(fleet.subject->figures(pool_id("rank")).running == 0, "nothing is left running");
    });
}

// Guards against refusals after a stage has run, refusals with a wrong verdict or reason, and
// refusals of work that may be late.
Test(dispatcher, refuses_unreachable_deadlines_before_the_first_stage)
{
    harness fleet;
    fleet.serve = [](const start_attempt&) { return harness::behaviour{500ms, {}, false}; };
    section("given stages that take 1.5 s in all", [&] {
        fleet.load("rugs", 20, 1s);
        fleet.run_until(fleet.now + 3s);
        check(fleet.completed() == 20, "a deadline of 2 s is met");
    });
    const auto short_request = [&](const char* work_class) {
        const auto key = static_cast<request_key>(1'000'000);
        return fleet.subject->submit_request(
            {key, class_id(work_class), customer_id("rugs"), fleet.now, fleet.now + 1s}, fleet.now);
    };
    section("when a request has only 1 s, it is refused at once", [&] {
        const auto answer = short_request("ask");
        const auto* refused = std::get_if<request_refused>(&answer.at(0));
        check(refused && refused->why.why == reason::deadline_unreachable,
              "the deadline is unreachable");
        check(refused->why.run == verdict::not_run && refused->why.retry_after,
              "not run, with a time to retry after");
        check(mentions(fleet.subject->explain(refused->request), "needs at least"),
              "the refusal is explained");
    });
    section("when its class finishes late work, it is admitted", [&] {
        const auto answer = short_request("book");
        check(std::holds_alternative<request_admitted>(answer.at(0)), "the request is admitted");
    });
    section("when its class is unknown, it is refused", [&] {
        const auto answer = short_request("unknown");
        check(std::get<request_refused>(answer.at(0)).why.why == reason::unknown_class,
              "the class is unknown");
    });
}

// Guards against running non-idempotent work twice, and against wrong verdicts.
Test(dispatcher, reports_correct_verdicts)
{
    harness fleet;
    section("given a stage that is not idempotent and may have run", [&] {
        fleet.serve = [](const start_attempt& attempt) {
            const bool fails = attempt.endpoint.name.starts_with("rank");
            return harness::behaviour{
                20ms, fails ? std::optional(verdict::may_have_run) : std::nullopt, false};
        };
        const auto key = fleet.submit("rugs", "book");
        fleet.run_until(fleet.now + 1s);
        check(fleet.log.size() == 2, "the stage has no second attempt");
        check(fleet.result(key)->why->run == verdict::may_have_run, "the verdict is may_have_run");
    });
    section("given an endpoint that refuses work before running it", [&] {
        fleet.serve = [&](const start_attempt& attempt) {
            const bool refuses = attempt.endpoint.name.starts_with("rank") && attempt.attempt == 1;
            return harness::behaviour{
                20ms, refuses ? std::optional(verdict::not_run) : std::nullopt, refuses};
        };
        const auto key = fleet.submit("rugs", "book");
        fleet.run_until(fleet.now + 1s);
        check(fleet.result(key)->completed, "another endpoint runs the stage");
        const auto& first = fleet.log[fleet.log.size() - 3].endpoint;
        const auto& second = fleet.log[fleet.log.size() - 2].endpoint;
        check(first != second && (first.back() - second.back()) % 3 != 0,
              "the retry uses another zone");
    });
    section("given a retry that finds no free capacity before its deadline", [&] {
        fleet.serve = [](const start_attempt&) { return harness::behaviour{}; };
        fleet.load("rugs", 100, 1s); // earns budget for the retries
        fleet.run_until(fleet.now + 2s);
        fleet.serve = [&](const start_attempt& attempt) {
            if (attempt.endpoint.name.starts_with("rank")) {
                for (const auto* zone : {"a", "b", "c"}) {
                    fleet.at(fleet.now,
                             [&fleet, zone] { fleet.set_zone(zone, config::zone_state::out); });
                }
                return harness::behaviour{20ms, verdict::may_have_run, false};
            }
            return harness::behaviour{};
        };
        fleet.load("rugs", 40, 1s);
        fleet.run_until(fleet.now + 4s);
        std::size_t retried = 0;
        for (const auto& [key, request] : fleet.ended) {
            const auto why = fleet.subject->explain(key);
            if (mentions(why, "retried") && !mentions(why, "not retried") && !request.completed) {
                check(request.why->run == verdict::may_have_run, "the first attempt may have run");
                ++retried;
            }
        }
        check(retried > 0, "some retries found no free capacity");
    });
}

// Guards against a second answer after a hedge, and against hedging non-idempotent work.
Test(dispatcher, the_first_answer_wins)
{
    harness fleet;
    bool rank_is_slow = false;
    fleet.serve = [&](const start_attempt& attempt) {
        const bool slow =
            rank_is_slow && attempt.endpoint.name.starts_with("rank") && attempt.attempt == 1;
        return harness::behaviour{slow ? 900ms : 20ms, {}, false};
    };
    fleet.load("rugs", 100, 1s);
    fleet.run_until(fleet.now + 2s);
    rank_is_slow = true;
    section("given an idempotent attempt that takes longer than usual", [&] {
        const auto before = fleet.log.size();
        const auto key = fleet.submit("rugs");
        fleet.run_until(fleet.now + 2s);
        check(fleet.result(key)->completed && fleet.result(key)->took < 150ms, "the hedge answers");
        check(fleet.log.size() == before + 4 && fleet.cancelled == 1,
              "the slow attempt is cancelled");
        check(fleet.log[before + 2].attempt.hedge, "the second attempt is marked as a hedge");
    });
    section("given a stage that is not idempotent, there is no hedge", [&] {
        const auto before = fleet.log.size();
        const auto key = fleet.submit("rugs", "book");
        fleet.run_until(fleet.now + 2s);
        check(fleet.result(key)->completed && fleet.log.size() == before + 3,
              "one attempt per stage");
    });
}

// Guards against work for a withdrawn key, at admission and between two stages.
Test(dispatcher, checks_the_key_before_each_attempt)
{
    bool withdrawn = false;
    harness fleet(6, {}, [&](const gate_context& context) {
        const bool refuse = withdrawn && context.customer.name == "rugs";
        return gate_result{refuse ? gate_decision::refuse : gate_decision::start,
                           reason::unauthorized, "key withdrawn"};
    });
    const auto running = fleet.submit("rugs");
    fleet.run_until(fleet.now + 10ms);
    withdrawn = true;
    const auto later = fleet.submit("rugs");
    const auto other = fleet.submit("flags");
    fleet.run_until(fleet.now + 1s);
    check(fleet.result(later)->why->why == reason::unauthorized, "refused at admission");
    check(fleet.result(later)->why->run == verdict::not_run, "the refused request did not run");
    check(fleet.result(running)->why->why == reason::unauthorized, "refused at the next stage");
    check(fleet.result(other)->completed, "other customers are not affected");
}

// Guards against running first stages for requests that then wait and fail at the bottleneck, and
// against an unbounded queue at the bottleneck.
Test(dispatcher, admits_by_the_capacity_of_the_bottleneck)
{
    const auto slow_last_stage = [](const start_attempt& attempt) {
        const bool generate = attempt.endpoint.name.starts_with("generate");
        return harness::behaviour{generate ? 200ms : 50ms, {}, false};
    };
    section("given twice the load that the last stage can serve", [&] {
        harness fleet;
        fleet.serve = slow_last_stage;
        fleet.load("rugs", 60, 2s);
        fleet.run_until(fleet.now + 3s);
        const auto before = fleet.log.size();
        const time_point loaded = fleet.now;
        fleet.load("rugs", 240, 6s); // capacity: 24 concurrent calls of 200 ms, 120 per second
        fleet.run_until(loaded + 9s);
        std::size_t first = 0;
        std::size_t last = 0;
        std::size_t in_time = 0;
        for (std::size_t index = before; index < fleet.log.size(); ++index) {
            first += fleet.log[index].endpoint.starts_with("encode") ? 1 : 0;
            last += fleet.log[index].endpoint.starts_with("generate") ? 1 : 0;
            const bool loading = fleet.log[index].at < loaded + 6s;
            in_time += fleet.log[index].endpoint.starts_with("generate") && loading ? 1 : 0;
        }
        check(first <= last + last / 50, "at most 2% of the first stages are wasted");
        check(in_time >= 0.95 * 6 * 120, "the last stage is busy 95% of the time");
        for (const auto& [key, request] : fleet.ended) {
            check(request.completed || request.why->run == verdict::not_run,
                  "refused requests did not run");
        }
    });
    section("given the same load of work that may be late", [&] {
        dispatcher_options options;
        options.queue_capacity = 100;
        harness fleet(6, options);
        fleet.serve = slow_last_stage;
        fleet.load("rugs", 240, 6s, "book");
        const time_point end = fleet.now + 10s;
        while (fleet.now < end) {
            fleet.run_until(fleet.now + 100ms);
            check(fleet.subject->figures(pool_id("generate")).waiting_calls <= 48,
                  "at most twice the pool's capacity waits after admission");
            check(fleet.subject->figures(pool_id("generate")).waiting_requests <= 100,
                  "the admission queue is bounded");
        }
        for (const auto& [key, request] : fleet.ended) {
            check(request.completed || (request.why->why == reason::overloaded &&
                                        request.why->run == verdict::not_run),
                  "refused requests did not run");
        }
    });
}

// Guards against restarting a stream from its beginning after part of it was forwarded.
Test(dispatcher, resumes_a_stream_from_its_offset)
{
    dispatcher_options options;
    options.retries.initial = 5;
    harness fleet(6, options);
    auto published = std::make_shared<config::published>(*fleet.published);
    published->pools[0].resumes_streams = true;
    fleet.apply(fleet.subject->configure(published, fleet.now));
    fleet.serve = [](const start_attempt&) { return std::nullopt; };
    const auto fail_after_chunks = [&](const char* customer) {
        fleet.submit(customer);
        const auto started = fleet.log.back().attempt;
        for (int chunk = 0; chunk < 5; ++chunk) {
            fleet.apply(fleet.subject->chunk_received(started.call, started.attempt, fleet.now));
        }
        const failure why{verdict::may_have_run, reason::answer_truncated, "simulated", {}};
        return fleet.subject->attempt_failed({started.call, started.attempt, why, 5, false},
                                             fleet.now);
    };
    section("given a pool that resumes streams", [&] {
        const auto answer = fail_after_chunks("rugs");
        const auto* resumed = std::get_if<start_attempt>(&answer.at(0));
        check(resumed && resumed->offset == 5, "the next attempt starts at the next chunk");
    });
    section("given a pool that does not resume streams", [&] {
        fleet.apply(fleet.subject->configure(fleet.published, fleet.now));
        const auto answer = fail_after_chunks("flags");
        check(std::holds_alternative<call_failed>(answer.at(0)), "the call fails");
    });
}

// Guards against the excess load of one customer affecting the others through any of the queues.
Test(dispatcher, a_customer_at_five_times_its_rate_affects_no_other)
{
    std::map<std::string, double> baseline;
    for (const double factor : {1.0, 5.0}) {
        harness fleet;
        fleet.serve = [](const start_attempt& attempt) {
            const bool generate = attempt.endpoint.name.starts_with("generate");
            return harness::behaviour{generate ? 200ms : 10ms, {}, false};
        };
        fleet.load("large", 25 * factor, 10s);
        for (const auto* customer : {"b", "c", "d"}) {
            fleet.load(customer, 25, 10s);
        }
        fleet.run_until(fleet.now + 14s);
        for (const auto* customer : {"b", "c", "d"}) {
            const double met = attainment(fleet, customer, 2s);
            check(factor == 1 || met >= baseline[customer],
                  "the share of requests in time does not decrease");
            check(met >= 0.99, "at least 99% of the requests are in time");
            baseline[customer] = met;
        }
    }
}
