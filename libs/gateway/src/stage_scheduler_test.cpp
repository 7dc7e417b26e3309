#include <map>
#include <set>

#include <quetzal/base/random.hpp>
#include <quetzal/gateway/stage_scheduler.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds(100)};
constexpr fleet_budget_options budget{0.2, 52, seconds(10)};

// A pool of stage endpoints in virtual time, worked by the scheduler under test.
class stage_model
{
public:
    stage_model(std::size_t endpoints, stage_capacity capacity) : scheduler(view, budget)
    {
        service_definition service;
        service.name = "s";
        service.stage = capacity;
        published_configuration configuration;
        configuration.version = 1;
        configuration.services.push_back(service);
        view.apply(std::move(configuration));
        for (std::size_t index = 0; index < endpoints; ++index) {
            endpoint value;
            value.id = "e" + std::to_string(index);
            value.service = "s";
            value.zone = std::string(1, static_cast<char>('a' + index % 3));
            view.put_endpoint(value);
        }
    }

    // Submits a job of one stage.
    job_number submit(std::uint32_t pieces, std::int32_t priority, milliseconds target,
                      std::uint64_t size = 0, milliseconds deadline = milliseconds(6000))
    {
        stage_job job;
        job.request_id = "r" + std::to_string(++last);
        job.priority = priority;
        job.stages.push_back({"s", {}, size, pieces});
        job.useful_ms = static_cast<std::int32_t>(target.count());
        job.remaining_ms = static_cast<std::uint32_t>(deadline.count());
        submitted[last] = now;
        perform(scheduler.add(last, job, now));
        return last;
    }

    // Ends the calls that are due and starts new ones.
    void advance(milliseconds time)
    {
        for (const time_point end = now + time; now < end; now += milliseconds(5)) {
            for (auto call = calls.begin(); call != calls.end();) {
                if (call->second.ends > now) {
                    ++call;
                    continue;
                }
                const auto ended = call->second;
                const auto number = call->first;
                call = calls.erase(call);
                end_call(number, ended);
            }
            perform(scheduler.dispatch(now));
        }
    }

    struct running_call
    {
        start_call content;
        time_point ends;
    };

    void end_call(std::uint64_t number, const running_call& call)
    {
        if (failing.contains(call.content.target.id)) {
            perform(scheduler.call_failed(number, verdict::may_have_run, false, now));
            return;
        }
        std::vector<piece_outcome> outcomes;
        for (std::size_t index = 0; index < call.content.pieces.size(); ++index) {
            outcomes.push_back(
                {piece_fate::done, call.content.target.id + "/" + std::to_string(++handles)});
        }
        perform(scheduler.call_ended(number, outcomes, now));
    }

    void perform(const scheduler_actions& actions)
    {
        for (const auto& action : actions) {
            std::visit([this](const auto& content) { perform(content); }, action);
        }
    }

    void perform(const start_call& action)
    {
        const auto slowness = slow.find(action.target.id);
        const int factor = slowness == slow.end() ? 1 : slowness->second;
        ++started;
        pieces_called += action.pieces.size();
        std::uint64_t size = 0;
        for (const auto& piece : action.pieces) {
            size += piece.result_size;
        }
        largest_call = std::max(largest_call, size);
        auto& largest = largest_batch[action.target.id];
        largest = now < start + seconds(14) ? 0 : std::max(largest, action.pieces.size());
        calls[action.call] = {action, now + action.expected * factor};
    }

    void perform(const job_ended& action)
    {
        ended[action.job] = action.outcome;
        took[action.job] = now - submitted[action.job];
        if (action.outcome.fate == job_fate::done && !hold_results) {
            perform(scheduler.cancel(action.job));
        }
    }

    void perform(const release_results& action)
    {
        released += action.handles.size();
        scheduler.released(action.handles);
    }

    // Number of jobs that ended that way, of all or of a set.
    std::size_t count(job_fate fate) const
    {
        std::size_t number = 0;
        for (const auto& [job, outcome] : ended) {
            number += outcome.fate == fate ? 1 : 0;
        }
        return number;
    }

    catalog view;
    stage_scheduler scheduler;
    time_point now = start;
    std::map<std::uint64_t, running_call> calls;
    std::map<job_number, job_outcome> ended;
    std::map<job_number, time_point> submitted;
    std::map<job_number, duration> took;
    std::set<std::string> failing;
    std::map<std::string, int> slow; // how many times its time an endpoint takes
    std::size_t started = 0;
    std::size_t pieces_called = 0;
    std::size_t handles = 0;
    std::size_t released = 0;
    std::uint64_t largest_call = 0;
    std::map<std::string, std::size_t> largest_batch; // by endpoint, after the first 14 s
    bool hold_results = false;
    job_number last = 0;
};

stage_capacity dye_schedule()
{
    stage_capacity capacity;
    capacity.batch = 16;
    capacity.call_time = milliseconds(200);
    capacity.piece_time = milliseconds(11);
    capacity.result_lifetime = seconds(4);
    return capacity;
}

} // namespace

// Load pattern: usual traffic of rule lookups. Half-empty calls would halve the pool's capacity.
Test(stage_scheduler, usual_load_of_rule_lookups)
{
    stage_model model(5, dye_schedule());
    random_source random(1);
    for (int job = 0; job < 400; ++job) { // 19 jobs of 6 pieces a second: 114 pieces
        model.submit(6, 0, milliseconds(900));
        model.advance(milliseconds(5 * (1 + random.below(20))));
    }
    model.advance(milliseconds(2000));
    check(model.count(job_fate::done) == 400, "every job is done");
    std::size_t in_time = 0;
    for (const auto& [job, time] : model.took) {
        in_time += time <= milliseconds(900) ? 1 : 0;
    }
    check(in_time >= 396, "99 of 100 within the target");
    check(model.pieces_called >= 6 * model.started, "calls carry the pieces of a job or more");
    check(model.released == 2400, "every result is released once");
}

// Load pattern: a burst beyond the capacity. Whoever cannot be in time is told at once, the others
// are served in time, and the pool keeps working with full calls.
Test(stage_scheduler, burst_of_rule_lookups)
{
    stage_model model(5, dye_schedule());
    for (int job = 0; job < 600; ++job) { // 60 jobs a second: 360 pieces, capacity 213
        model.submit(6, 0, milliseconds(900));
        model.advance(milliseconds(15));
    }
    model.advance(milliseconds(3000));
    section("refusals", [&] {
        check(model.count(job_fate::refused) > 100, "some are refused");
        for (const auto& [job, outcome] : model.ended) {
            if (outcome.fate == job_fate::refused) {
                check(model.took[job] == duration::zero(), "at once");
                check(outcome.retry_after_ms > 0, "with a time to return");
            }
        }
    });
    section("service", [&] {
        const std::size_t done = model.count(job_fate::done);
        std::size_t in_time = 0;
        for (const auto& [job, outcome] : model.ended) {
            in_time += outcome.fate == job_fate::done && model.took[job] <= milliseconds(900);
        }
        // 213 pieces a second for 9 s are 319 jobs.
        check(done >= 300, "nine tenths of the capacity are used");
        check(in_time * 10 >= done * 9, "nine in ten of the admitted are in time");
    });
}

// Load pattern: urgent and less urgent requests press together.
Test(stage_scheduler, urgent_requests_go_first)
{
    stage_model model(3, dye_schedule());
    std::set<job_number> urgent;
    for (int job = 0; job < 400; ++job) {
        const bool is_urgent = job % 4 == 0;
        const auto number = model.submit(6, is_urgent ? 0 : 2, milliseconds(1200));
        if (is_urgent) {
            urgent.insert(number);
        }
        model.advance(milliseconds(15));
    }
    model.advance(milliseconds(3000));
    std::size_t served = 0;
    for (const job_number job : urgent) {
        served += model.ended[job].fate == job_fate::done && model.took[job] <= milliseconds(1200);
    }
    check(served * 100 >= urgent.size() * 95, "95 in 100 of the urgent are in time");
    check(model.count(job_fate::refused) > 100, "the others make room");
}

// Fault: an endpoint fails every call, and another one crashes.
Test(stage_scheduler, failing_endpoints)
{
    stage_model model(5, dye_schedule());
    model.failing.insert("e2");
    for (int job = 0; job < 60; ++job) {
        model.submit(2, 0, milliseconds(1500));
        model.advance(milliseconds(100));
    }
    model.advance(milliseconds(4000));
    check(model.count(job_fate::done) >= 57, "their pieces are made elsewhere");
    check(model.count(job_fate::refused) == 0, "nobody is refused for it");
}

// Fault: an endpoint turns slow. Its pieces are made elsewhere too, and it is only tried with small
// calls until it has recovered.
Test(stage_scheduler, slow_endpoints)
{
    stage_model model(5, dye_schedule());
    model.slow["e1"] = 5;
    for (int job = 0; job < 200; ++job) {
        model.submit(6, 0, milliseconds(900));
        model.advance(milliseconds(60));
    }
    section("requests", [&] {
        model.advance(milliseconds(2000));
        std::size_t late = 0;
        for (const auto& [job, time] : model.took) {
            late += time > milliseconds(900) ? 1 : 0;
        }
        check(model.count(job_fate::done) >= 195, "nearly all are served");
        check(late <= 10, "19 in 20 in time");
        check(model.scheduler.open_jobs() == 0, "nothing stays open");
    });
    section("when it has recovered", [&] {
        model.slow.clear();
        for (int job = 0; job < 300; ++job) {
            model.submit(6, 0, milliseconds(900));
            model.advance(milliseconds(30));
        }
        check(model.largest_batch["e1"] > 2, "it gets full calls again");
    });
}

// Fault: the conductor changes while jobs run, so that the calls of two conductors wait for each
// other at the endpoints. Taken for slow, healthy endpoints would be avoided and their pieces made
// twice.
Test(stage_scheduler, endpoints_shared_with_another_conductor)
{
    stage_model model(5, dye_schedule());
    for (const char* id : {"e0", "e1", "e2", "e3", "e4"}) {
        model.slow[id] = 2;
    }
    for (int job = 0; job < 20; ++job) {
        model.submit(6, 0, milliseconds(1500));
        model.advance(milliseconds(60));
        model.perform(model.scheduler.hand_back(model.now)); // jobs that no call has touched
    }
    model.advance(milliseconds(2000));
    check(model.count(job_fate::done) > 10, "jobs are finished here");
    check(model.pieces_called == 6 * model.count(job_fate::done), "no piece is made twice");
    section("when the other one has finished", [&] {
        model.slow = {{"e1", 3}};
        model.advance(milliseconds(3000));
        for (int job = 0; job < 40; ++job) {
            model.submit(6, 0, milliseconds(1500));
            model.advance(milliseconds(60));
        }
        model.advance(milliseconds(2000));
        check(model.pieces_called > 6 * model.count(job_fate::done),
              "slow endpoints are noticed again");
    });
}

// Fault: memory for results runs out, so that calls come back without results.
Test(stage_scheduler, room_for_results)
{
    stage_capacity capacity = dye_schedule();
    capacity.batch = 8;
    capacity.result_memory = 18'000'000;
    stage_model model(1, capacity);
    model.hold_results = true;
    section("large results never exceed the room of their maker", [&] {
        for (int job = 0; job < 30; ++job) {
            model.submit(2, 0, milliseconds(20000), 1'500'000, milliseconds(30000));
        }
        model.advance(milliseconds(600));
        check(model.largest_call <= capacity.result_memory, "in one call");
        const auto first = model.pieces_called;
        check(first == 12, "and together with the results that are held");
    });
    section("small results are made meanwhile", [&] {
        const auto small = model.submit(3, 0, milliseconds(9000), 0, milliseconds(30000));
        model.advance(milliseconds(900));
        check(model.ended.contains(small), "they need no room");
    });
    section("released results make room for others", [&] {
        const auto before = model.pieces_called;
        std::vector<job_number> done;
        for (const auto& [job, outcome] : model.ended) {
            if (outcome.fate == job_fate::done) {
                done.push_back(job);
            }
        }
        for (const job_number job : done) {
            model.perform(model.scheduler.cancel(job));
        }
        model.advance(milliseconds(600));
        check(model.pieces_called > before, "the next pieces are called");
    });
}

// Fault: callers leave, and the instance that conducts is no longer the one to do so.
Test(stage_scheduler, jobs_that_end_early)
{
    stage_model model(1, dye_schedule());
    const auto running = model.submit(2, 0, milliseconds(5000));
    model.advance(milliseconds(20));
    const auto waiting = model.submit(2, 0, milliseconds(5000));
    section("a cancelled job leaves nothing behind", [&] {
        model.perform(model.scheduler.cancel(waiting));
        check(model.scheduler.waiting_pieces("s") == 0, "its pieces do not wait");
        model.perform(model.scheduler.cancel(running));
        model.advance(milliseconds(600));
        check(model.released == 2, "results that come later are released");
        check(model.scheduler.open_jobs() == 0, "no job is open");
    });
    section("jobs that no call has touched are handed back", [&] {
        model.submit(2, 0, milliseconds(5000));
        model.advance(milliseconds(20));
        const auto untouched = model.submit(2, 0, milliseconds(5000));
        model.perform(model.scheduler.hand_back(model.now));
        check(model.ended[untouched].fate == job_fate::moved, "for another conductor");
        check(model.scheduler.open_jobs() == 1, "the other one stays");
    });
    section("a job whose deadline cannot be met ends before its call", [&] {
        model.advance(milliseconds(1000));
        model.submit(16, 0, milliseconds(5000));
        model.advance(milliseconds(20));
        const auto hopeless = model.submit(1, 0, milliseconds(0), 0, milliseconds(3000));
        model.advance(milliseconds(20));
        check(!model.ended.contains(hopeless) || model.ended[hopeless].fate != job_fate::done,
              "it waits for its turn");
    });
}

// Fault: an endpoint refuses calls as full, because another instance sends to it too.
Test(stage_scheduler, full_endpoints)
{
    stage_model model(1, dye_schedule());
    model.submit(2, 0, milliseconds(5000));
    model.perform(model.scheduler.dispatch(model.now));
    check(model.started == 1, "the first call is sent");
    const auto number = model.calls.begin()->first;
    model.calls.clear();
    model.perform(model.scheduler.call_failed(number, verdict::not_run, true, model.now));
    model.perform(model.scheduler.dispatch(model.now));
    check(model.started == 1, "a full endpoint is not asked again at once");
    model.advance(milliseconds(40));
    check(model.started == 2, "but soon");
}

// Fault: the conductor before this one was lost, and its results fill the memory of a maker until
// they expire. Calls must not carry pieces again and again that find no room.
Test(stage_scheduler, results_of_a_lost_conductor)
{
    stage_capacity capacity = dye_schedule();
    capacity.result_memory = 1'500'000;
    stage_model model(1, capacity);
    for (int job = 0; job < 20; ++job) {
        model.submit(6, 0, milliseconds(20000), 60'000, milliseconds(30000));
    }
    model.perform(model.scheduler.dispatch(model.now));
    const auto call = model.calls.begin()->second;
    const auto number = model.calls.begin()->first;
    model.calls.clear();
    model.now += milliseconds(376);
    std::vector<piece_outcome> outcomes(call.content.pieces.size(), {piece_fate::no_room, {}});
    model.pieces_called = 0;
    model.perform(model.scheduler.call_ended(number, outcomes, model.now));
    model.perform(model.scheduler.dispatch(model.now));
    section("the next call carries only what may fit", [&] {
        check(model.pieces_called <= 9, "16 pieces without room leave place for nine at most");
    });
    section("until the results have expired", [&] {
        model.calls.clear();
        model.now += seconds(4);
        model.pieces_called = 0;
        stage_model fresh(1, capacity);
        fresh.submit(16, 0, milliseconds(20000), 60'000, milliseconds(30000));
        fresh.perform(fresh.scheduler.dispatch(fresh.now));
        check(fresh.pieces_called == 16, "then calls are full");
    });
}
