#include <set>

#include <quetzal/base/random.hpp>
#include <quetzal/testing/section.hpp>

#include "simulated_stage_pool.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;
using quetzal::testing::check;
using quetzal::testing::section;

// Typical load of small jobs. Guards against half-empty calls, which would halve the capacity.
Test(stage_scheduler, typical_load_meets_latency_target)
{
    simulated_pool pool(5, lookup_capacity());
    random_source random(1);
    for (int job = 0; job < 400; ++job) { // per second: 19 jobs of 6 pieces, 114 pieces
        pool.submit(6, 0, milliseconds(900));
        pool.advance(milliseconds(5 * (1 + random.below(20))));
    }
    pool.advance(milliseconds(2000));
    check(pool.count(job_status::done) == 400, "every job is done");
    std::size_t in_time = 0;
    for (const auto& [job, time] : pool.took) {
        in_time += time <= milliseconds(900) ? 1 : 0;
    }
    check(in_time >= 396, "99 of 100 jobs meet the latency target");
    check(pool.pieces_called >= 6 * pool.started, "calls carry at least 6 pieces on average");
    check(pool.released == 2400, "every result is released once");
}

// Load above the capacity. Jobs that cannot finish in time have to be refused at once, the others
// have to finish in time, and calls have to stay full.
Test(stage_scheduler, overload_is_refused_at_once)
{
    simulated_pool pool(5, lookup_capacity());
    for (int job = 0; job < 600; ++job) { // per second: 60 jobs, 360 pieces; capacity: 213 pieces
        pool.submit(6, 0, milliseconds(900));
        pool.advance(milliseconds(15));
    }
    pool.advance(milliseconds(3000));
    section("refusals", [&] {
        check(pool.count(job_status::refused) > 100, "more than 100 jobs are refused");
        for (const auto& [job, outcome] : pool.ended) {
            if (outcome.status == job_status::refused) {
                check(pool.took[job] == duration::zero(), "a refused job ends at once");
                check(outcome.retry_after_ms > 0, "a refusal gives a time for a retry");
            }
        }
    });
    section("admitted jobs", [&] {
        const std::size_t done = pool.count(job_status::done);
        std::size_t in_time = 0;
        for (const auto& [job, outcome] : pool.ended) {
            in_time += outcome.status == job_status::done && pool.took[job] <= milliseconds(900);
        }
        // 213 pieces a second for 9 s are 319 jobs.
        check(done >= 300, "at least nine tenths of the capacity are used");
        check(in_time * 10 >= done * 9, "nine in ten of the finished jobs meet the latency target");
    });
}

// Urgent and less urgent jobs compete for the pool under overload.
Test(stage_scheduler, urgent_jobs_go_first)
{
    simulated_pool pool(3, lookup_capacity());
    std::set<job_number> urgent;
    for (int job = 0; job < 400; ++job) {
        const bool is_urgent = job % 4 == 0;
        const auto number = pool.submit(6, is_urgent ? 0 : 2, milliseconds(1200));
        if (is_urgent) {
            urgent.insert(number);
        }
        pool.advance(milliseconds(15));
    }
    pool.advance(milliseconds(3000));
    std::size_t served = 0;
    for (const job_number job : urgent) {
        served +=
            pool.ended[job].status == job_status::done && pool.took[job] <= milliseconds(1200);
    }
    check(served * 100 >= urgent.size() * 95,
          "95 in 100 of the urgent jobs meet the latency target");
    check(pool.count(job_status::refused) > 100, "more than 100 jobs are refused");
}

// Fault: an endpoint fails every call.
Test(stage_scheduler, pieces_of_failing_endpoints_are_retried)
{
    simulated_pool pool(5, lookup_capacity());
    pool.failing.insert("e2");
    for (int job = 0; job < 60; ++job) {
        pool.submit(2, 0, milliseconds(1500));
        pool.advance(milliseconds(100));
    }
    pool.advance(milliseconds(4000));
    check(pool.count(job_status::done) >= 57, "19 in 20 jobs are done by other endpoints");
    check(pool.count(job_status::refused) == 0, "no job is refused because of it");
}

// Fault: an endpoint becomes slow. Its calls have to be hedged, and it may get only small calls
// until it has recovered.
Test(stage_scheduler, calls_to_slow_endpoints_are_hedged)
{
    simulated_pool pool(5, lookup_capacity());
    pool.slow["e1"] = 5;
    for (int job = 0; job < 200; ++job) {
        pool.submit(6, 0, milliseconds(900));
        pool.advance(milliseconds(60));
    }
    section("while it is slow", [&] {
        pool.advance(milliseconds(2000));
        std::size_t late = 0;
        for (const auto& [job, time] : pool.took) {
            late += time > milliseconds(900) ? 1 : 0;
        }
        check(pool.count(job_status::done) >= 195, "at least 195 of 200 jobs are done");
        check(late <= 10, "19 in 20 jobs meet the latency target");
        check(pool.scheduler.open_jobs() == 0, "no job stays open");
    });
    section("when it has recovered", [&] {
        pool.slow.clear();
        for (int job = 0; job < 300; ++job) {
            pool.submit(6, 0, milliseconds(900));
            pool.advance(milliseconds(30));
        }
        check(pool.largest_batch["e1"] > 2, "it gets calls of more than 2 pieces again");
    });
}

// Fault: the coordinator changes while jobs run, so that the calls of two coordinators queue behind
// each other at the endpoints. If healthy endpoints counted as slow, they would be avoided and
// their pieces run twice.
Test(stage_scheduler, endpoints_shared_with_another_coordinator)
{
    simulated_pool pool(5, lookup_capacity());
    for (const char* id : {"e0", "e1", "e2", "e3", "e4"}) {
        pool.slow[id] = 2;
    }
    for (int job = 0; job < 20; ++job) {
        pool.submit(6, 0, milliseconds(1500));
        pool.advance(milliseconds(60));
        pool.perform(pool.scheduler.hand_back_jobs(pool.now)); // jobs without a call
    }
    pool.advance(milliseconds(2000));
    check(pool.count(job_status::done) > 10, "more than 10 jobs are done by this coordinator");
    check(pool.pieces_called == 6 * pool.count(job_status::done), "no piece is run twice");
    section("when the other coordinator has finished", [&] {
        pool.slow = {{"e1", 3}};
        pool.advance(milliseconds(3000));
        for (int job = 0; job < 40; ++job) {
            pool.submit(6, 0, milliseconds(1500));
            pool.advance(milliseconds(60));
        }
        pool.advance(milliseconds(2000));
        check(pool.pieces_called > 6 * pool.count(job_status::done),
              "calls to a slow endpoint are hedged again");
    });
}

// Guards against calls that exceed the memory for results and come back without results.
Test(stage_scheduler, calls_fit_into_result_memory)
{
    stage_capacity capacity = lookup_capacity();
    capacity.batch = 8;
    capacity.result_memory = 18'000'000;
    simulated_pool pool(1, capacity);
    pool.hold_results = true;
    section("large results never exceed the result memory of their endpoint", [&] {
        for (int job = 0; job < 30; ++job) {
            pool.submit(2, 0, milliseconds(20000), 1'500'000, milliseconds(30000));
        }
        pool.advance(milliseconds(600));
        check(pool.largest_call <= capacity.result_memory, "the results of one call fit");
        const auto first = pool.pieces_called;
        check(first == 12, "the results of all calls fit together");
    });
    section("pieces without result size run meanwhile", [&] {
        const auto small = pool.submit(3, 0, milliseconds(9000), 0, milliseconds(30000));
        pool.advance(milliseconds(900));
        check(pool.ended.contains(small), "the job ends although the result memory is full");
    });
    section("released results free memory for others", [&] {
        const auto before = pool.pieces_called;
        std::vector<job_number> done;
        for (const auto& [job, outcome] : pool.ended) {
            if (outcome.status == job_status::done) {
                done.push_back(job);
            }
        }
        for (const job_number job : done) {
            pool.perform(pool.scheduler.cancel(job));
        }
        pool.advance(milliseconds(600));
        check(pool.pieces_called > before, "further pieces are called");
    });
}

// Jobs are cancelled, handed back after a change of the coordinator, or miss their deadline.
Test(stage_scheduler, jobs_that_end_early)
{
    simulated_pool pool(1, lookup_capacity());
    const auto running = pool.submit(2, 0, milliseconds(5000));
    pool.advance(milliseconds(20));
    const auto waiting = pool.submit(2, 0, milliseconds(5000));
    section("a cancelled job leaves no pieces and no results", [&] {
        pool.perform(pool.scheduler.cancel(waiting));
        check(pool.scheduler.waiting_pieces("s") == 0, "its pieces are no longer queued");
        pool.perform(pool.scheduler.cancel(running));
        pool.advance(milliseconds(600));
        check(pool.released == 2, "results that arrive later are released");
        check(pool.scheduler.open_jobs() == 0, "no job is open");
    });
    section("jobs without a call are handed back", [&] {
        pool.submit(2, 0, milliseconds(5000));
        pool.advance(milliseconds(20));
        const auto untouched = pool.submit(2, 0, milliseconds(5000));
        pool.perform(pool.scheduler.hand_back_jobs(pool.now));
        check(pool.ended[untouched].status == job_status::handed_back,
              "the job is handed back for another coordinator");
        check(pool.scheduler.open_jobs() == 1, "the job with a running call stays open");
    });
    section("a job with a passed latency target is not done at once", [&] {
        pool.advance(milliseconds(1000));
        pool.submit(16, 0, milliseconds(5000));
        pool.advance(milliseconds(20));
        const auto hopeless = pool.submit(1, 0, milliseconds(0), 0, milliseconds(3000));
        pool.advance(milliseconds(20));
        check(!pool.ended.contains(hopeless) || pool.ended[hopeless].status != job_status::done,
              "it is not done while an earlier call runs");
    });
}

// Fault: an endpoint refuses calls as full, because another instance sends calls to it too.
Test(stage_scheduler, full_endpoints_are_retried_after_a_delay)
{
    simulated_pool pool(1, lookup_capacity());
    pool.submit(2, 0, milliseconds(5000));
    pool.perform(pool.scheduler.dispatch(pool.now));
    check(pool.started == 1, "the first call is sent");
    const auto number = pool.calls.begin()->first;
    pool.calls.clear();
    pool.perform(pool.scheduler.call_failed(number, verdict::not_run, true, pool.now));
    pool.perform(pool.scheduler.dispatch(pool.now));
    check(pool.started == 1, "a full endpoint gets no further call at once");
    pool.advance(milliseconds(40));
    check(pool.started == 2, "it gets a call after the delay");
}

// Fault: the previous coordinator was lost, and its results fill the memory of an endpoint until
// they expire. Guards against calls that carry the same pieces again and again although their
// results do not fit.
Test(stage_scheduler, results_of_a_lost_coordinator)
{
    stage_capacity capacity = lookup_capacity();
    capacity.result_memory = 1'500'000;
    simulated_pool pool(1, capacity);
    for (int job = 0; job < 20; ++job) {
        pool.submit(6, 0, milliseconds(20000), 60'000, milliseconds(30000));
    }
    pool.perform(pool.scheduler.dispatch(pool.now));
    const auto call = pool.calls.begin()->second;
    const auto number = pool.calls.begin()->first;
    pool.calls.clear();
    pool.now += milliseconds(376);
    std::vector<piece_outcome> outcomes(call.content.pieces.size(),
                                        {piece_status::out_of_memory, {}});
    pool.pieces_called = 0;
    pool.perform(pool.scheduler.call_ended(number, outcomes, pool.now));
    pool.perform(pool.scheduler.dispatch(pool.now));
    section("the next call carries only pieces whose results may fit", [&] {
        check(pool.pieces_called <= 9, "after 16 rejected results, at most nine pieces are called");
    });
    section("when the results have expired", [&] {
        pool.calls.clear();
        pool.now += seconds(4);
        pool.pieces_called = 0;
        simulated_pool fresh(1, capacity);
        fresh.submit(16, 0, milliseconds(20000), 60'000, milliseconds(30000));
        fresh.perform(fresh.scheduler.dispatch(fresh.now));
        check(fresh.pieces_called == 16, "the call carries a full batch");
    });
}

// Guards against calls that wait for an idle endpoint, or exceed its slots: it has restarted under
// its id, and the calls and results of its former incarnation were counted for the new one.
Test(stage_scheduler, restart_of_an_endpoint_frees_its_slots_and_memory)
{
    stage_capacity capacity = lookup_capacity();
    capacity.result_memory = 400'000;
    simulated_pool pool(1, capacity);
    const auto restart = [&](std::uint64_t born) {
        endpoint value = *pool.view.find_endpoint("e0");
        value.started = born;
        pool.view.put_endpoint(value);
    };
    const auto dispatch = [&] { pool.perform(pool.scheduler.dispatch(pool.now)); };
    pool.submit(6, 0, milliseconds(5000), 60'000);
    dispatch();
    check(pool.started == 1, "a call fills the only slot and the memory for results");
    const auto [former, former_call] = *pool.calls.begin();
    pool.calls.clear();
    restart(1);
    pool.submit(6, 0, milliseconds(5000), 60'000);
    dispatch();
    check(pool.started == 2, "the new incarnation gets a call at once");
    const std::vector<piece_outcome> outcomes(former_call.content.pieces.size(),
                                              {piece_status::done, "handle"});
    pool.perform(pool.scheduler.call_ended(former, outcomes, pool.now));
    dispatch();
    check(pool.started == 2, "the end of the former call frees no slot");
    pool.advance(milliseconds(5000));
    check(pool.count(job_status::done) == 2, "the pieces whose results were lost are run again");
}
