#include <quetzal/serving/endpoint_chooser.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <new>
#include <rapidcheck.h>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

std::size_t allocations = 0;

} // namespace

// Not inlined: GCC 12 reports a mismatch of new and free for the inlined pair.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

const time_point start{1h};

void make_warm(endpoint_chooser& chooser, endpoint_index endpoint, std::uint32_t limit = 8)
{
    chooser.exclude(endpoint, exclusion::unconnected, false);
    chooser.exclude(endpoint, exclusion::cold, false);
    chooser.limit(endpoint, limit);
}

endpoint_chooser warm_pool(std::size_t count, chooser_options options = {})
{
    endpoint_chooser chooser(options);
    for (std::size_t index = 0; index < count; ++index) {
        const auto zone = static_cast<std::uint32_t>(index % 3);
        make_warm(chooser, chooser.add(endpoint_id("e" + std::to_string(index)), zone, zone != 0));
    }
    return chooser;
}

attempt_outcome make_outcome(duration latency, bool success = true)
{
    attempt_outcome outcome;
    outcome.success = success;
    outcome.latency = latency;
    outcome.whole = latency;
    return outcome;
}

void run(endpoint_chooser& chooser, endpoint_index endpoint, const attempt_outcome& outcome,
         int times = 1, time_point now = start)
{
    for (int call = 0; call < times; ++call) {
        chooser.started(endpoint, now);
        chooser.finished(endpoint, outcome, now);
    }
}

load_report load(std::uint32_t running, duration age = 0s)
{
    load_report report;
    report.running = running;
    report.age = age;
    return report;
}

double share_of(const endpoint_chooser& chooser, endpoint_index endpoint,
                const choice_request& request = {}, time_point now = start)
{
    random_source random(5);
    int hits = 0;
    for (int draw = 0; draw < 2000; ++draw) {
        const auto chosen = chooser.choose(request, random, now);
        hits += chosen && chosen->endpoint == endpoint ? 1 : 0;
    }
    return hits / 2000.0;
}

// Returns the least score of all endpoints that may be chosen, by a full scan.
std::optional<double> naive_score(const endpoint_chooser& chooser, std::size_t count,
                                  const choice_request& request, time_point now)
{
    std::optional<double> best;
    for (endpoint_index index = 0; index < count; ++index) {
        const bool avoided =
            std::find(request.avoid.begin(), request.avoid.end(), index) != request.avoid.end();
        const double load = chooser.expected_load(index, now);
        if (chooser.has_fresh_report(index, now) && chooser.quota(index) < 0.5) {
            continue; // the remaining free capacity is for other instances
        }
        if (chooser.exclusions(index) == 0 && !avoided && chooser.in_flight(index) < 8 &&
            8 - load >= 0.5) {
            const double score = chooser.score(index, request, now);
            best = best ? std::min(*best, score) : score;
        }
    }
    return best;
}

} // namespace

// Guards against sending calls to a loaded, slow or distant endpoint while a better one has
// capacity.
Test(endpoint_chooser, prefers_the_least_expected_wait)
{
    section("given one endpoint of six that reports a high load", [] {
        auto chooser = warm_pool(6);
        for (endpoint_index index = 0; index < 6; ++index) {
            run(chooser, index, make_outcome(100ms), 5);
            chooser.report(index, load(index == 1 ? 6 : 1), start);
        }
        check(share_of(chooser, 1) < 0.02, "the loaded endpoint is rarely chosen");
        section("as the report ages, its weight decreases", [&] {
            check(chooser.expected_load(1, start) > 5.9, "a new report has its full weight");
            check(chooser.expected_load(1, start + 100ms) < 3.2,
                  "after one service time, the estimate is lower");
            check(chooser.expected_load(1, start + 1s) < 1.5,
                  "finally the estimate is near the mean of the pool");
        });
    });
    section("given one endpoint with twice the latency of the others", [] {
        auto chooser = warm_pool(6);
        for (endpoint_index index = 0; index < 6; ++index) {
            run(chooser, index, make_outcome(index == 2 ? 200ms : 100ms), 5);
        }
        check(share_of(chooser, 2) < 0.02, "the others are preferred");
    });
    section("given own calls that no report includes yet", [] {
        auto chooser = warm_pool(3);
        for (endpoint_index index = 0; index < 3; ++index) {
            chooser.report(index, load(0), start);
        }
        for (int call = 0; call < 3; ++call) {
            chooser.started(0, start);
        }
        check(share_of(chooser, 0) == 0, "own calls count immediately");
    });
    section("given a failed attempt, another zone is preferred", [] {
        auto chooser = warm_pool(6);
        const endpoint_index tried[] = {0};
        choice_request request;
        request.avoid = tried;
        request.avoid_zone = 0;
        check(share_of(chooser, 0, request) == 0, "the endpoint itself is never chosen");
        check(share_of(chooser, 3, request) < 0.05,
              "its zone is chosen only without other candidates");
    });
}

// Guards against instances that all send their first calls to the same endpoint of a small pool:
// without reports and calls, the endpoints of a zone cost the same.
Test(endpoint_chooser, spreads_calls_over_endpoints_of_equal_cost)
{
    for (const std::size_t choices : {3, 8}) {
        auto chooser = warm_pool(6, {.choices = choices, .other_zone_cost = 0s});
        for (endpoint_index index = 0; index < 6; ++index) {
            const double share = share_of(chooser, index);
            check(share > 0.1 && share < 0.25, "each gets about a sixth");
        }
    }
}

// Guards against overloading an endpoint, and against unused capacity while calls wait.
Test(endpoint_chooser, respects_the_concurrency_and_uses_all_of_it)
{
    auto chooser = warm_pool(40);
    random_source random(3);
    section("when calls start until there is no capacity", [&] {
        int started = 0;
        while (const auto chosen = chooser.choose({}, random, start)) {
            chooser.started(chosen->endpoint, start);
            ++started;
        }
        check(started == 320, "the full capacity of every endpoint is used");
        check(chooser.free_capacity(start) == 0, "no capacity is free");
    });
    section("when one endpoint exceeds the between-token objective", [&] {
        for (int chunk = 0; chunk < 600; ++chunk) {
            chooser.record_gap(7, 50ms, 32ms, start + chunk * 10ms);
        }
        check(chooser.batch_limit(7) <= 3, "its batch size shrinks");
        for (int chunk = 0; chunk < 3000; ++chunk) {
            chooser.record_gap(7, 20ms, 32ms, start + 10s + chunk * 10ms);
        }
        check(chooser.batch_limit(7) == 8, "the batch size grows back to the pool's concurrency");
    });
    section("when other instances fill an endpoint", [&] {
        auto pool = warm_pool(2);
        pool.report(0, load(8), start);
        pool.report(1, load(2), start);
        check(share_of(pool, 0) == 0 && share_of(pool, 1) == 1,
              "only the endpoint with free capacity is chosen");
    });
}

// Guards against new calls in an evacuated zone and at a leaving, cold, unconnected, ejected or
// refusing endpoint.
Test(endpoint_chooser, never_chooses_an_excluded_endpoint)
{
    for (const auto why : {exclusion::zone_evacuated, exclusion::leaving, exclusion::unconnected,
                           exclusion::cold, exclusion::ejected, exclusion::refusing})
    {
        auto chooser = warm_pool(3);
        const prompt_prefix prompt[] = {{42, 4000}};
        choice_request request;
        request.prefixes = prompt;
        auto outcome = make_outcome(10ms);
        outcome.prompt = prompt[0];
        run(chooser, 1, outcome);
        check(share_of(chooser, 1, request) == 1, "its cache makes the endpoint the best choice");
        chooser.exclude(1, why, true);
        check(share_of(chooser, 1, request) == 0, "the excluded endpoint is not chosen");
        chooser.exclude(1, why, false);
        check(share_of(chooser, 1, request) == 1, "the endpoint is chosen again");
    }
}

// Guards against recomputing prefixes that an endpoint has cached, against full confidence after
// lost events, and against preferring a cached prefix regardless of the queue.
Test(endpoint_chooser, uses_the_prefix_cache_map)
{
    const prompt_prefix prompt[] = {{1, 500}, {2, 1000}, {3, 4000}};
    choice_request request;
    request.prefixes = prompt;
    section("without cache entries, one endpoint gets all calls with the prompt", [&] {
        auto chooser = warm_pool(20);
        random_source random(1);
        std::map<endpoint_index, int> chosen;
        for (int draw = 0; draw < 100; ++draw) {
            ++chosen[chooser.choose(request, random, start)->endpoint];
        }
        check(chosen.size() == 1, "the rendezvous choice of the shortest prefix");
    });
    section("given an event that an endpoint stored the prefix", [&] {
        auto chooser = warm_pool(20);
        chooser.apply(9, {1, cache_event::kind_type::stored, 2, 1000});
        check(share_of(chooser, 9, request) == 1, "the endpoint is chosen");
        section("when its queue costs more than the cache saves", [&] {
            for (endpoint_index index = 0; index < 20; ++index) {
                run(chooser, index, make_outcome(400ms), 2);
            }
            for (int call = 0; call < 6; ++call) {
                chooser.started(9, start);
            }
            check(share_of(chooser, 9, request) < 0.05, "other endpoints are chosen");
        });
    });
    section("given gaps in the events and cache misses", [&] {
        prefix_cache_map map(1024);
        map.add_endpoint(0);
        map.apply(0, {1, cache_event::kind_type::stored, 2, 1000});
        map.apply(0, {5, cache_event::kind_type::stored, 3, 4000});
        check(map.confidence(0) == 0.5, "a gap halves the confidence");
        map.apply(0, {4, cache_event::kind_type::evicted, 3, 4000});
        check(map.holds(0, 3), "an old event has no effect");
        map.note_result(0, {3, 4000}, 100);
        check(!map.holds(0, 3) && map.holds(0, 2), "a miss removes only that entry");
        map.apply(0, {6, cache_event::kind_type::cleared, 0, 0});
        check(!map.holds(0, 2), "a cleared cache removes all entries");
    });
    section("given more prefixes than entries, the table stays bounded", [] {
        prefix_cache_map map(64);
        map.add_endpoint(0);
        for (std::uint64_t prefix = 1; prefix <= 1000; ++prefix) {
            map.note_use(0, {prefix, 10});
        }
        int held = 0;
        for (std::uint64_t prefix = 1; prefix <= 1000; ++prefix) {
            held += map.holds(0, prefix) ? 1 : 0;
        }
        check(held <= 64 && map.holds(0, 1000), "the newest prefix remains");
    });
}

// Guards against failing or slow endpoints keeping their share of the calls, against ejecting most
// of a pool, and against returning an endpoint without probes.
Test(endpoint_chooser, ejects_outliers_but_at_most_a_third)
{
    section("given one slow and one failing endpoint of six", [] {
        auto chooser = warm_pool(6);
        for (int round = 0; round < 10; ++round) {
            for (endpoint_index index = 0; index < 6; ++index) {
                run(chooser, index, make_outcome(index == 1 ? 900ms : 100ms, index != 2));
            }
        }
        check(chooser.ejected() == 2 && chooser.usable() == 4, "both are ejected");
        section("when a third endpoint fails, it is not ejected", [&] {
            run(chooser, 3, make_outcome(100ms, false), 20);
            check(chooser.ejected() == 2, "at most a third of the pool is ejected");
        });
        section("when the ejection ends, the endpoint is probed before its return", [&] {
            check(chooser.due_probes(start + 4s).empty(),
                  "no probe before the end of the ejection");
            check(chooser.due_probes(start + 5s).size() == 2, "both are probed");
            check(chooser.due_probes(start + 5s).empty(), "only one probe at a time is due");
            chooser.probed(1, true, start + 5s);
            check(chooser.usable() == 4, "one successful probe is not enough");
            chooser.probed(1, false, start + 6s);
            chooser.probed(1, true, start + 7s);
            check(chooser.usable() == 4, "successful probes must be consecutive");
            chooser.probed(1, true, start + 8s);
            check(chooser.usable() == 5, "the endpoint returns");
            chooser.started(1, start + 8s);
            random_source random(2);
            for (int draw = 0; draw < 200; ++draw) {
                check(chooser.choose({}, random, start + 8s)->endpoint != 1,
                      "the endpoint gets only one call at first");
            }
        });
    });
    section("given a pool of two, no endpoint is ejected", [] {
        auto chooser = warm_pool(2);
        run(chooser, 0, make_outcome(100ms, false), 20);
        check(chooser.ejected() == 0, "a third of two is less than one");
    });
    section("cancelled calls are no evidence", [] {
        auto chooser = warm_pool(6);
        auto cancelled = make_outcome(0s, false);
        cancelled.counts = false;
        run(chooser, 0, cancelled, 20);
        check(chooser.ejected() == 0, "the endpoint is not ejected");
    });
}

// Guards against a wrong choice because of accounting errors: with as many candidates as endpoints,
// the choice has the least score of a full scan; with fewer, it is still an eligible endpoint.
Test(endpoint_chooser, agrees_with_a_naive_choice)
{
    check(rc::check([] {
              const auto count = *rc::gen::inRange<std::size_t>(1, 12);
              auto chooser = warm_pool(count, {.choices = 8});
              random_source random(*rc::gen::arbitrary<std::uint64_t>());
              time_point now = start;
              for (int step = 0; step < 80; ++step) {
                  now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
                  const auto index = static_cast<endpoint_index>(random.below(count));
                  const std::uint64_t prefix = 1 + random.below(4);
                  const prompt_prefix prompt[] = {{prefix, 200}, {prefix + 10, 2000}};
                  const endpoint_index avoid[] = {static_cast<endpoint_index>(random.below(count))};
                  choice_request request;
                  request.prefixes = std::span(prompt, random.below(3));
                  request.avoid = std::span(avoid, random.below(2));
                  if (random.below(3) == 0) {
                      request.avoid_zone = static_cast<std::uint32_t>(random.below(3));
                  }
                  switch (random.below(6)) {
                  case 0: {
                      const auto total = static_cast<std::uint32_t>(random.below(9));
                      chooser.report(index, load(total, 50ms), now);
                      const auto own = chooser.in_flight(index);
                      const double free = 8.0 - std::max(total, own);
                      const double share = std::min(1.0, (own + 1.0) / (total + 1.0));
                      const double quota = free > 0 ? std::max(1.0, free * share) : 0;
                      RC_ASSERT(std::abs(chooser.quota(index) - quota) < 1e-9);
                      break;
                  }
                  case 1:
                      if (chooser.in_flight(index) > 0) {
                          auto outcome =
                              make_outcome(std::chrono::milliseconds(50 + random.below(100)));
                          outcome.prompt = prompt[1];
                          chooser.finished(index, outcome, now);
                      }
                      break;
                  case 2:
                      chooser.exclude(index, exclusion::zone_evacuated, random.below(2) == 0);
                      break;
                  default: {
                      const auto chosen = chooser.choose(request, random, now);
                      const auto expected = naive_score(chooser, count, request, now);
                      RC_ASSERT(chosen.has_value() == expected.has_value());
                      if (chosen) {
                          RC_ASSERT(chooser.exclusions(chosen->endpoint) == 0);
                          RC_ASSERT(request.avoid.empty() || chosen->endpoint != avoid[0]);
                          const double score = chooser.score(chosen->endpoint, request, now);
                          RC_ASSERT(count > 8 || score <= *expected + 1e-6);
                          chooser.started(chosen->endpoint, now);
                      }
                  }
                  }
              }
          }),
          "the choice agrees with a full scan (see the counterexample above)");
}

// Guards against memory allocation for every call.
Test(endpoint_chooser, allocates_nothing_in_steady_state)
{
    auto chooser = warm_pool(600);
    random_source random(11);
    const prompt_prefix prompt[] = {{1, 500}, {2, 1000}};
    const auto run_call = [&](int step) {
        choice_request request;
        request.prefixes = prompt;
        const time_point now = start + step * 1ms;
        const auto chosen = chooser.choose(request, random, now);
        chooser.started(chosen->endpoint, now);
        auto outcome = make_outcome(20ms);
        outcome.prompt = prompt[1];
        outcome.cached_tokens = 500;
        outcome.expected_prefix = chosen->expected_prefix;
        chooser.finished(chosen->endpoint, outcome, now);
    };
    run_call(0);
    const std::size_t before = allocations;
    for (int step = 1; step < 1000; ++step) {
        run_call(step);
    }
    check(allocations == before, "999 calls allocate no memory");
}
