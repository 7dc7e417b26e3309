// Tests the evidence about parts of prompts that crash endpoints, without a network.

#include <vector>

#include <quetzal/base/hash.hpp>
#include <quetzal/gateway/part_quarantine.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using part_list = std::vector<std::uint64_t>;

constexpr time_point start{seconds(1000)};

template <class Decision>
bool decides(const part_quarantine& table, const part_list& parts, time_point now,
             std::size_t rank = 0)
{
    return std::holds_alternative<Decision>(table.check(
        parts, [rank](std::uint64_t) { return rank; }, now));
}

bool is_quarantined(const part_quarantine& table, std::uint64_t part, time_point now)
{
    return decides<part_quarantine::quarantined>(table, {part}, now);
}

// Records a crash under a request that was sent 200 ms before.
std::vector<std::uint64_t> crash(part_quarantine& table, const part_list& parts,
                                 std::uint64_t endpoint, time_point now)
{
    return table.record_crash(parts, endpoint, now - milliseconds(200), now);
}

// Instances that exchange their records with all others at fixed intervals.
struct fleet
{
    explicit fleet(std::size_t size) : tables(size) {}

    void exchange(time_point now)
    {
        for (std::size_t from = 0; from < tables.size(); ++from) {
            const auto records = tables[from].records(now, random);
            for (std::size_t to = 0; to < tables.size(); ++to) {
                if (to != from) {
                    tables[to].merge(records, now);
                }
            }
        }
    }

    std::size_t quarantining(std::uint64_t part, time_point now) const
    {
        std::size_t number = 0;
        for (const auto& table : tables) {
            number += is_quarantined(table, part, now) ? 1 : 0;
        }
        return number;
    }

    std::vector<part_quarantine> tables;
    random_source random{7};
};

} // namespace

// Guards against endpoints that end one after another under requests with one part in common.
Test(part_quarantine, quarantines_a_part_after_two_crashes)
{
    section("given a part that was in flight at two endpoints when they crashed", [] {
        part_quarantine table;
        table.record_begun(part_list{1, 3}, start - seconds(1));
        crash(table, part_list{1, 2}, 100, start);
        check(!is_quarantined(table, 2, start), "one crash does not suffice");
        const auto added = crash(table, part_list{1, 2}, 101, start + milliseconds(300));
        check(added == part_list{2}, "the second one quarantines the part");
        const time_point now = start + milliseconds(300);
        check(is_quarantined(table, 2, now), "requests with it are kept away");
        check(decides<part_quarantine::allowed>(table, {1, 3}, now),
              "requests with the other parts are not, since responses to such requests have begun");
        check(!decides<part_quarantine::allowed>(table, {1, 2, 3}, now),
              "any part of a request counts");
    });
    section("given two reports of one crash", [] {
        part_quarantine table;
        crash(table, part_list{2}, 100, start);
        crash(table, part_list{2}, 100, start + seconds(1));
        check(!is_quarantined(table, 2, start + seconds(1)), "they count as one");
    });
    section("given several parts that crash endpoints at the same time", [] {
        part_quarantine table;
        for (std::uint64_t part = 1; part <= 4; ++part) {
            crash(table, part_list{part}, 100 + part, start);
            crash(table, part_list{part}, 200 + part, start + seconds(1));
        }
        for (std::uint64_t part = 1; part <= 4; ++part) {
            check(is_quarantined(table, part, start + seconds(1)), "each is quarantined");
        }
    });
}

// Guards against rejecting sound requests because endpoints crash for other reasons.
Test(part_quarantine, sound_parts_stay_allowed)
{
    section("given a part whose responses begin between the crashes", [] {
        part_quarantine table;
        time_point now = start;
        for (std::uint64_t number = 0; number < 50; ++number) {
            now += milliseconds(300);
            crash(table, part_list{1}, number, now);
            table.record_begun(part_list{1}, now + milliseconds(100));
            check(!is_quarantined(table, 1, now + milliseconds(200)), "it stays allowed");
        }
    });
    section("given a third of all endpoints that crash at once", [] {
        part_quarantine table;
        for (std::uint64_t endpoint = 0; endpoint < 30; ++endpoint) {
            crash(table, part_list{1, endpoint}, endpoint, start + milliseconds(endpoint * 4));
        }
        check(!is_quarantined(table, 1, start + milliseconds(200)),
              "a part that waited at all of them stays allowed");
    });
    section("given a known part and crashes over four seconds without any response", [] {
        part_quarantine table;
        table.record_begun(part_list{1}, start);
        for (std::uint64_t number = 1; number <= 10; ++number) {
            crash(table, part_list{1}, number, start + milliseconds(400 * number));
        }
        check(!is_quarantined(table, 1, start + seconds(4)), "it stays allowed");
        crash(table, part_list{1}, 11, start + milliseconds(5600));
        check(
            is_quarantined(table, 1, start + milliseconds(5600)),
            "after five seconds it is quarantined, since the content may have changed its effect");
    });
    section("given a quarantined part whose response begins", [] {
        part_quarantine table;
        crash(table, part_list{1}, 100, start);
        crash(table, part_list{1}, 101, start + seconds(1));
        table.record_begun(part_list{1}, start + seconds(2));
        check(!is_quarantined(table, 1, start + seconds(2)), "it is allowed at once");
    });
}

// Guards against rejecting sound requests with a part that came only with the one that crashes
// endpoints.
Test(part_quarantine, a_part_is_not_blamed_for_crashes_that_another_accounts_for)
{
    part_quarantine table; // part 2 crashes endpoints, part 3 comes with it
    crash(table, part_list{2, 3}, 100, start);
    crash(table, part_list{2, 3}, 101, start + seconds(1));
    const time_point now = start + seconds(1);
    check(is_quarantined(table, 2, now) == is_quarantined(table, 3, now),
          "the crashes do not tell the two apart");
    check(!decides<part_quarantine::allowed>(table, {2, 3}, now), "both together are kept away");
    check(decides<part_quarantine::allowed>(table, {3}, now), "one of them may be sent alone");
    section("when a request with the other one alone crashes an endpoint", [=]() mutable {
        crash(table, part_list{2}, 102, now + milliseconds(500));
        const time_point later = now + milliseconds(500);
        check(is_quarantined(table, 2, later), "that part alone is kept away from now on");
        check(decides<part_quarantine::allowed>(table, {3, 4}, later),
              "the part that came with it stays allowed");
    });
    section("when a response to a request with one of them begins", [=]() mutable {
        table.record_begun(part_list{3}, now + milliseconds(500));
        check(is_quarantined(table, 2, now + milliseconds(500)), "the other one is kept away");
    });
}

// Guards against a wrong quarantine that never ends, and against tests of a part that end an
// endpoint at every instance.
Test(part_quarantine, one_instance_tests_a_part_after_its_quarantine)
{
    part_quarantine table;
    crash(table, part_list{1}, 100, start);
    crash(table, part_list{1}, 101, start + seconds(1));
    const time_point end = start + seconds(16);
    check(is_quarantined(table, 1, end - milliseconds(1)), "the quarantine lasts 15 s");
    check(decides<part_quarantine::retest>(table, {1}, end), "then a request may test the part");
    check(decides<part_quarantine::quarantined>(table, {1}, end, 1),
          "but not at the instance that comes second");
    table.start_retest(1, end);
    check(is_quarantined(table, 1, end + milliseconds(1)), "others wait for the outcome");
    section("when the test crashes an endpoint", [=]() mutable {
        crash(table, part_list{1}, 102, end + milliseconds(200));
        check(is_quarantined(table, 1, end + seconds(29)), "the quarantine is twice as long");
    });
    section("when the response to the test begins", [=]() mutable {
        table.record_begun(part_list{1}, end + milliseconds(200));
        check(decides<part_quarantine::allowed>(table, {1}, end + milliseconds(200), 1),
              "the part is allowed");
    });
}

// Guards against instances that have to learn of a part by crashes of their own.
Test(part_quarantine, instances_share_their_evidence)
{
    section("given two crashes that two instances saw", [] {
        fleet instances(6);
        crash(instances.tables[0], part_list{1}, 100, start);
        crash(instances.tables[1], part_list{1}, 101, start + milliseconds(300));
        check(instances.quarantining(1, start + milliseconds(300)) == 0, "none knows both");
        instances.exchange(start + milliseconds(310));
        check(instances.quarantining(1, start + milliseconds(310)) == 6,
              "all know after one exchange");
        section("when all but one instance lose their memory", [&] {
            for (std::size_t index = 1; index < 6; ++index) {
                instances.tables[index] = part_quarantine();
            }
            instances.exchange(start + seconds(3));
            check(instances.quarantining(1, start + seconds(3)) == 6, "they learn it again");
        });
    });
    section("given a part that is sound at another instance", [] {
        fleet instances(6);
        instances.tables[5].record_begun(part_list{1}, start - seconds(2));
        crash(instances.tables[0], part_list{1}, 100, start);
        crash(instances.tables[1], part_list{1}, 101, start + milliseconds(300));
        instances.exchange(start + milliseconds(310));
        instances.exchange(start + milliseconds(660));
        check(instances.quarantining(1, start + milliseconds(660)) == 0,
              "the others learn that it is sound");
    });
    section("given records that are passed on for a minute", [] {
        fleet instances(3);
        crash(instances.tables[0], part_list{1}, 100, start);
        for (int round = 0; round < 170; ++round) {
            instances.exchange(start + milliseconds(350 * round));
        }
        check(instances.quarantining(1, start + seconds(60)) == 0, "one crash stays one crash");
    });
}

// Guards against memory and messages that grow with what callers send.
Test(part_quarantine, memory_and_records_are_bounded)
{
    part_quarantine table;
    random_source random(1);
    for (std::uint64_t part = 0; part < 100'000; ++part) {
        table.record_begun(part_list{part}, start);
    }
    check(table.suspects() == 0, "requests without a crash leave no suspicion");
    crash(table, part_list{1u << 20}, 100, start);
    crash(table, part_list{1u << 20}, 101, start + seconds(1));
    for (std::uint64_t part = 0; part < 5'000; ++part) {
        crash(table, part_list{part + (2u << 20)}, 102, start + seconds(2));
    }
    check(table.suspects() <= 512, "the number of suspicions is bounded");
    check(is_quarantined(table, 1u << 20, start + seconds(2)),
          "made-up parts do not displace one that is quarantined");
    const auto records = table.records(start + seconds(2), random);
    check(records.size() <= 12, "a heartbeat carries a bounded number of records");
    check(!records.empty() && records.front().part == 1u << 20, "quarantined parts go first");
    std::vector<suspect_record> malformed(1);
    malformed.front().part = 5;
    malformed.front().crashes.assign(10'000, {1, 0, 0});
    table.merge(malformed, start + seconds(2));
    check(!is_quarantined(table, 5, start + seconds(2)), "repeated crashes of a record count once");
    table.expire(start + seconds(400));
    check(table.suspects() == 0, "suspicions without a further crash are dropped");
}
