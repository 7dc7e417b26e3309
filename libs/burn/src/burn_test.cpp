#include <boost/json/parse.hpp>

#include <rapidcheck.h>

#include <cmath>
#include <quetzal/burn/recorder.hpp>
#include <quetzal/burn/report.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::burn;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point start{100h};

// Two classes: "proof" has only a deadline, "chat" also has bounds on its tokens.
config::published classes(std::uint64_t version = 1)
{
    config::published published;
    published.version = version;
    config::pipeline pipeline;
    pipeline.id = pipeline_id("p");
    for (const auto* name : {"encode", "retrieve", "generate"}) {
        pipeline.stages.push_back({stage_id(name), pool_id(), {}, true});
    }
    published.pipelines.push_back(pipeline);
    config::work_class proof;
    proof.id = class_id("proof");
    proof.pipeline = pipeline.id;
    proof.objective = {8s, 0.9, {}, {}};
    config::work_class chat = proof;
    chat.id = class_id("chat");
    chat.objective = {8s, 0.95, 1300ms, 32ms};
    published.classes = {proof, chat};
    published.index();
    return published;
}

observation delivered_request(duration took, const char* work_class = "proof",
                              const char* customer = "banderas")
{
    observation request;
    request.customer = customer_id(customer);
    request.work_class = class_id(work_class);
    request.took = took;
    return request;
}

// A request of the list that the expected counts are computed from.
struct event
{
    time_point at{};
    int instance = 0;
    int customer = 0;
    bool chat = false;
    bool failed = false;
    int took_ms = 0;
    int first_ms = 0;
    int gap_ms = 0;

    bool bad() const
    {
        return failed || took_ms > 8000 || (chat && (first_ms > 1300 || gap_ms > 32));
    }

    observation to_observation() const
    {
        observation value =
            delivered_request(std::chrono::milliseconds(took_ms), chat ? "chat" : "proof",
                              customer == 0 ? "banderas" : "trinidad");
        value.how = failed ? outcome::failed : outcome::whole;
        value.first_token = std::chrono::milliseconds(first_ms);
        value.longest_gap = std::chrono::milliseconds(gap_ms);
        return value;
    }
};

std::vector<event> generate_events()
{
    std::vector<event> events;
    time_point now = start;
    const auto count = *rc::gen::inRange(0, 120);
    for (int index = 0; index < count; ++index) {
        // Mostly seconds apart, sometimes hours or days.
        const int scale = *rc::gen::element(1, 1, 1, 60, 3600, 40000);
        now += std::chrono::seconds(*rc::gen::inRange(0, 100) * scale / 10);
        events.push_back({now, *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 2),
                          *rc::gen::arbitrary<bool>(), *rc::gen::inRange(0, 8) == 0,
                          *rc::gen::inRange(7000, 8300), *rc::gen::inRange(1000, 1400),
                          *rc::gen::inRange(20, 36)});
    }
    return events;
}

struct expected_counts
{
    std::uint32_t total = 0;
    std::uint32_t bad = 0;
};

template <class Selected>
expected_counts count_events(const std::vector<event>& events, Selected selected)
{
    expected_counts seen;
    for (const auto& one : events) {
        if (selected(one)) {
            ++seen.total;
            seen.bad += one.bad() ? 1 : 0;
        }
    }
    return seen;
}

} // namespace

// Guards against requests that leave a window too early or too late, or that a merge of instances
// counts twice or under another customer.
Test(burn, merged_counts_equal_a_count_over_all_events)
{
    const bool agrees = rc::check("merged rings and a naive list", [] {
        const auto events = generate_events();
        std::vector<recorder> recorders(3, recorder(start));
        for (auto& one : recorders) {
            one.configure(classes());
        }
        for (const auto& one : events) {
            recorders[static_cast<std::size_t>(one.instance)].record(one.to_observation(), one.at);
        }
        const auto last = events.empty() ? start : events.back().at;
        const auto now = last + std::chrono::minutes(*rc::gen::inRange(0, 600));
        std::vector<snapshot> snapshots;
        for (int index = 0; index < 3; ++index) {
            snapshots.push_back(recorders[static_cast<std::size_t>(index)].take(
                instance_id("q" + std::to_string(index)), incarnation{1}, now));
        }
        const auto merged = merge(snapshots, {});
        std::uint64_t rows = 0;
        for (const auto& row : merged.rows) {
            for (std::size_t window = 0; window < window_count; ++window) {
                const auto& [length, slots] = windows[window];
                const auto matches_row = [&](const event& one, duration age) {
                    return one.chat == (row.work_class.name == "chat") &&
                           (one.customer == 0) == (row.customer.name == "banderas") &&
                           now - one.at < age;
                };
                const auto& seen = row.figures[window].seen;
                const auto whole = windows[window].length();
                // The counts include exactly the events in the last `slots + 1` slots.
                const auto first =
                    now.time_since_epoch() / length - static_cast<std::int64_t>(slots);
                const auto exact = count_events(events, [&](const event& one) {
                    return matches_row(one, duration::max()) &&
                           one.at.time_since_epoch() / length >= first;
                });
                RC_ASSERT(seen.total == exact.total);
                RC_ASSERT(seen.bad == exact.bad);
                // The counts cover the whole window and at most one slot more.
                const auto least =
                    count_events(events, [&](const event& one) { return matches_row(one, whole); });
                const auto most = count_events(
                    events, [&](const event& one) { return matches_row(one, whole + length); });
                RC_ASSERT(seen.total >= least.total && seen.total <= most.total);
                rows += window == budget_window ? seen.total : 0;
            }
        }
        const auto all = count_events(events, [&](const event& one) {
            return one.at.time_since_epoch() / 12h >= now.time_since_epoch() / 12h - 6;
        });
        RC_ASSERT(rows == all.total);
    });
    check(agrees, "merged counts equal the counts over all events");
}

// Guards against a missed objective that does not count as bad, and against attributing a bad
// request to the wrong stage.
Test(burn, every_missed_objective_counts_and_names_the_stage)
{
    const auto published = classes();
    const auto& proof = published.classes[0].objective;
    const auto& chat = published.classes[1].objective;
    const std::vector<stage_time> stages{{1s, 1s}, {3s, 1s}, {4s, 5s}};
    section("given a class with only a deadline", [&] {
        check(judge(delivered_request(8s), proof).bad == 0, "a request at its deadline is good");
        auto late = delivered_request(8s + 1ns);
        late.stages = stages;
        check(judge(late, proof).late == 1 && judge(late, proof).by_stage[1] == 1,
              "a late request is attributed to the stage that most exceeded its share");
        late.failed_stage = 0;
        check(judge(late, proof).by_stage[0] == 1,
              "a failed request is attributed to the failed stage");
    });
    section("given a class with bounds on tokens", [&] {
        check(judge(delivered_request(1s), chat).slow_first == 1,
              "a missing first token misses the first token bound");
        auto gap = delivered_request(1s);
        gap.first_token = 1300ms;
        gap.longest_gap = 33ms;
        gap.stages = stages;
        const auto judged = judge(gap, chat);
        check(judged.bad == 1 && judged.slow_first == 0 && judged.slow_between == 1,
              "a long gap misses only the bound between tokens");
        check(judged.by_stage[2] == 1, "a long gap is attributed to the streaming stage");
        gap.first_token = 2s;
        check(judge(gap, chat).bad == 1, "a request with two misses counts as bad once");
    });
    section("given a request that is excluded from the objectives", [&] {
        auto excluded = delivered_request(99s);
        excluded.how = outcome::excluded;
        check(judge(excluded, proof) == counts{}, "it is not counted");
    });
}

// Guards against treating an instance that does not respond as successful, and against counting
// requests twice when there are several snapshots of one instance.
Test(burn, merge_sums_snapshots_and_lists_missing_instances)
{
    const auto snapshot_of = [](const char* name, std::uint64_t process, int good, int bad) {
        recorder instance_recorder(start);
        instance_recorder.configure(classes(process));
        for (int index = 0; index < good + bad; ++index) {
            instance_recorder.record(delivered_request(index < good ? 1s : 9s), start);
        }
        return instance_recorder.take(instance_id(name), incarnation{process}, start + 1min);
    };
    const std::vector<snapshot> given{snapshot_of("a", 1, 50, 50), snapshot_of("a", 2, 90, 5),
                                      snapshot_of("b", 1, 90, 15), snapshot_of("a", 1, 60, 50)};
    const std::vector<instance_id> expected{instance_id("a"), instance_id("b"), instance_id("<c>")};
    const auto burn = merge(given, expected);
    section("statistics of the merged snapshots", [&] {
        check(burn.rows.size() == 1, "there is one row per pair");
        const auto& row = burn.rows[0];
        const auto& longest = row.figures[budget_window];
        check(longest.seen.total == 200 && longest.seen.bad == 20,
              "only the latest snapshot of each instance counts");
        check(std::abs(*longest.attainment - 0.9) < 1e-9, "attainment is 0.9");
        check(std::abs(*longest.burn_rate - 1) < 1e-9, "burn rate is 1");
        check(std::abs(*row.budget_left) < 1e-9, "no budget is left");
        check(burn.partial() && burn.missing == std::vector{instance_id("<c>")}, "<c> is missing");
    });
    section("snapshots survive a JSON round trip, and invalid input is rejected", [&] {
        const auto text = to_json(given[2]);
        const auto read = parse_snapshot(text);
        check(read && to_json(*read) == text, "round trip yields the same JSON");
        check(read->rows[0].seen == given[2].rows[0].seen, "round trip yields the same counts");
        for (std::size_t cut = 0; cut < text.size(); ++cut) {
            check(!parse_snapshot(text.substr(0, cut)), "a truncated snapshot is rejected");
        }
        for (const auto* other : {"{}", "[]", "null", "{\"instance\":1}"}) {
            check(!parse_snapshot(other), other);
        }
    });
    section("every rendering names the missing instance, and the page has no scripts or external "
            "content",
            [&] {
                check(render_text(burn).find("No answer, requests unknown: <c>") !=
                          std::string::npos,
                      "the text names the missing instance");
                const auto json = boost::json::parse(render_json(burn));
                check(json.at("partial").as_bool() && json.at("missing").at(0) == "<c>",
                      "the JSON names the missing instance");
                const auto html = render_html(burn);
                check(html.find("&lt;c&gt;") != std::string::npos,
                      "the HTML names the missing instance, escaped");
                check(html.find("<svg") != std::string::npos, "the HTML has plots");
                for (const auto* foreign :
                     {"<script", "<link", "<img", "src=", "href=", "@import", "<c>"}) {
                    check(html.find(foreign) == std::string::npos, foreign);
                }
            });
}

// Guards against unbounded memory and against losing requests once the maximum number of pairs is
// reached.
Test(burn, memory_stays_bounded_and_every_request_is_counted)
{
    recorder bounded_recorder(start, 10);
    bounded_recorder.configure(classes());
    for (int customer = 0; customer < 50; ++customer) {
        bounded_recorder.record(delivered_request(1s, "proof", std::to_string(customer).c_str()),
                                start);
    }
    check(bounded_recorder.pairs() == 11, "ten pairs and one for all other customers of the class");
    const auto burn =
        merge(std::vector{bounded_recorder.take(instance_id("a"), incarnation{1}, start)}, {});
    std::uint32_t total = 0;
    for (const auto& row : burn.rows) {
        total += row.figures[budget_window].seen.total;
    }
    check(total == 50, "every request is counted");
    bounded_recorder.expire(start + 72h + 13h);
    check(bounded_recorder.pairs() == 0, "pairs without requests are removed");
    // 3,200 customers with all 18 classes must fit into a quarter of the 256 MB of a node,
    // including 64 bytes per pair for a long name and the hash table bucket.
    constexpr std::size_t quarter = 64u << 20;
    std::printf("bytes per pair: %zu, %zu pairs: %zu bytes\n", recorder::bytes_per_pair(),
                default_max_pairs, recorder::bytes_per_pair() * default_max_pairs);
    check((recorder::bytes_per_pair() + 64) * default_max_pairs <= quarter,
          "the pairs of the design size fit into a quarter of the memory");
}
