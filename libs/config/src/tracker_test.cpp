#include <string>

#include <quetzal/base/random.hpp>
#include <quetzal/config/config_tracker.hpp>
#include <quetzal/config/list_tracker.hpp>
#include <quetzal/config/readiness.hpp>

#include "test_documents.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::config;
using namespace quetzal::config::test;
using namespace std::chrono_literals;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

constexpr time_point start{1h};

config_candidate config_of(std::uint64_t version, std::string_view rate = "2.5")
{
    return check_config(replaced(
        replaced(small_config, "\"version\": 7", "\"version\": " + std::to_string(version)), "2.5",
        rate));
}

list_candidate list_of(std::uint64_t revision, std::string_view zone = "\"a\"")
{
    return check_list(replaced(
        replaced(small_list, "\"revision\": 3", "\"revision\": " + std::to_string(revision)),
        "\"a\"", zone));
}

template <class Outcome>
bool refused_as(const Outcome& outcome, refusal_cause cause)
{
    const auto* refused = std::get_if<refused_value>(&outcome);
    return refused != nullptr && refused->cause == cause;
}

bool accepted(const config_outcome& outcome)
{
    return std::holds_alternative<config_accepted>(outcome);
}

} // namespace

// Guards against a version that goes back (promise 11): through a stale reader, a late peer, a
// restored service, or a value that was published twice.
Test(config_tracker, the_version_in_force_never_goes_back)
{
    config_tracker tracker;
    section("given version 7 in force", [&] {
        check(tracker.version() == 0 && !tracker.in_force(), "nothing before the first value");
        const auto outcome = tracker.offer(config_of(7), value_source::service, start);
        check(accepted(outcome) && std::get<config_accepted>(outcome).former_version == 0, "taken");
    });
    section("when lower versions arrive, they are refused from every source", [&] {
        for (const auto from : {value_source::service, value_source::peer}) {
            check(refused_as(tracker.offer(config_of(6), from, start + 1s), refusal_cause::older),
                  "older");
            check(tracker.version() == 7, "still in force");
        }
        check(tracker.last_refusal()->version == 6 && tracker.last_refusal()->at == start + 1s,
              "kept for the status page");
    });
    section("the same value again changes nothing", [&] {
        check(std::holds_alternative<value_unchanged>(
                  tracker.offer(config_of(7), value_source::peer, start)),
              "unchanged");
    });
    section("the same version with other content is refused", [&] {
        check(refused_as(tracker.offer(config_of(7, "3.5"), value_source::service, start),
                         refusal_cause::conflict),
              "conflict");
        check(tracker.in_force()->customers[0].rate == 2.5, "first content stays");
    });
    section("a value that fails the checks is refused whole, the last good one stays", [&] {
        auto broken = config_of(8, "-1");
        check(refused_as(tracker.offer(broken, value_source::service, start + 2s),
                         refusal_cause::invalid),
              "invalid");
        check(tracker.version() == 7 && tracker.is_known_invalid(broken.content), "kept");
        check(tracker.last_refusal()->detail.find("customers[0].rate") != std::string::npos,
              tracker.last_refusal()->detail);
    });
    section("the corrected value comes into force, even under the version of the broken one", [&] {
        check(accepted(tracker.offer(config_of(8), value_source::peer, start + 3s)), "taken");
        check(tracker.version() == 8 && !tracker.last_refusal(), "in force");
        check(tracker.text()->find("\"version\": 8") != std::string::npos, "text for peers");
    });
    section("random orders of arrival never lower the version", [&] {
        random_source random(11);
        std::uint64_t highest = tracker.version();
        for (int step = 0; step < 200; ++step) {
            const std::uint64_t offered = 1 + random.below(40);
            const auto outcome = tracker.offer(config_of(offered), value_source::service, start);
            check(accepted(outcome) == (offered > highest), "taken only when higher, seed 11");
            highest = std::max(highest, offered);
            check(tracker.version() == highest, "highest seen, seed 11");
        }
    });
}

// Guards against following a lagging reader back, and against ignoring a restored platform for
// ever.
Test(list_tracker, a_lower_revision_counts_only_after_it_has_lasted)
{
    list_tracker tracker;
    tracker.offer(list_of(10), value_source::service, start);
    section("a lower revision in between is a lagging reader", [&] {
        check(refused_as(tracker.offer(list_of(9), value_source::service, start),
                         refusal_cause::older),
              "ignored");
        tracker.offer(list_of(10), value_source::service, start + 50s);
        check(refused_as(tracker.offer(list_of(9), value_source::service, start + 70s),
                         refusal_cause::older),
              "the current revision in between proves the lag");
    });
    section("peers never lower the revision", [&] {
        for (const auto at : {80s, 200s, 400s}) {
            check(refused_as(tracker.offer(list_of(4), value_source::peer, start + at),
                             refusal_cause::older),
                  "peer");
        }
    });
    section("lower revisions alone for a minute are a restored copy", [&] {
        check(refused_as(tracker.offer(list_of(9), value_source::service, start + 129s),
                         refusal_cause::older),
              "59 s");
        const auto outcome = tracker.offer(list_of(9), value_source::service, start + 130s);
        const auto* taken = std::get_if<list_accepted>(&outcome);
        check(taken != nullptr && taken->restored && tracker.revision() == 9, "60 s");
    });
    section("peers that still have the former list do not bring it back", [&] {
        check(tracker.settled() == 10, "not fetched");
        check(refused_as(tracker.offer(list_of(10), value_source::peer, start + 131s),
                         refusal_cause::abandoned),
              "abandoned");
        check(std::holds_alternative<list_accepted>(
                  tracker.offer(list_of(10, "\"b\""), value_source::service, start + 132s)),
              "the platform's own next revision");
        check(std::holds_alternative<list_accepted>(
                  tracker.offer(list_of(11), value_source::peer, start + 133s)),
              "a higher one of a peer");
    });
    section("other content under the same revision comes into use by the same rule", [&] {
        check(refused_as(tracker.offer(list_of(11, "\"c\""), value_source::service, start + 200s),
                         refusal_cause::conflict),
              "at first");
        check(std::holds_alternative<list_accepted>(
                  tracker.offer(list_of(11, "\"c\""), value_source::service, start + 260s)),
              "after a minute");
    });
    section("a list that fails the checks changes nothing", [&] {
        check(refused_as(tracker.offer(check_list("{}"), value_source::service, start + 261s),
                         refusal_cause::invalid),
              "invalid");
        check(tracker.revision() == 11, "still in use");
    });
}

// Guards against a new instance that serves with an old configuration because the service returned
// one, and against a fleet that cannot start cold.
Test(readiness_gate, a_new_instance_knows_what_its_peers_know)
{
    const std::vector<instance_id> members{instance_id("q-1"), instance_id("q-2"),
                                           instance_id("q-3"), instance_id("q-4"),
                                           instance_id("q-5")};
    readiness_gate gate(instance_id("q-1"), {}, 5);
    section("given a new instance, it asks each peer once and then those that are silent", [&] {
        check(!gate.state().ready, gate.state().waiting_for);
        check(gate.update(7, start).empty() && !gate.state().ready, "no list, not ready");
        check(gate.set_peers(members, start).size() == 4, "all but itself");
        check(gate.update(7, start + 100ms).empty(), "not yet again");
        gate.on_peer_version(members[1], 7, start + 100ms);
        check(gate.update(7, start + 600ms).size() == 3, "the silent ones");
        check(!gate.state().ready, "one answer of four is not enough");
    });
    section("when a peer has a higher version in force, it waits for that", [&] {
        gate.on_peer_version(members[2], 9, start + 700ms);
        gate.on_peer_version(members[3], 7, start + 700ms);
        gate.update(7, start + 800ms);
        check(!gate.state().ready && gate.state().waiting_for == "version 9 reported by q-3",
              gate.state().waiting_for);
        gate.on_peer_version(members[2], 9, start + 20s);
        gate.update(8, start + 40s);
        check(!gate.state().ready, "patience does not outweigh a report that is repeated");
        gate.update(9, start + 41s);
        check(gate.state().ready, gate.state().waiting_for);
    });
    section("in a cold start of all, the service's value is enough", [&] {
        readiness_gate cold(instance_id("q-1"), {}, 6);
        cold.set_peers(members, start);
        for (const auto& peer : members) {
            cold.on_peer_version(peer, 0, start + 10ms);
        }
        cold.update(0, start + 20ms);
        check(!cold.state().ready && cold.state().waiting_for == "a first configuration",
              cold.state().waiting_for);
        cold.update(3, start + 30ms);
        check(cold.state().ready, cold.state().waiting_for);
    });
    section("an instance without any answer becomes ready after its patience, not before", [&] {
        readiness_gate alone(instance_id("q-1"), {}, 7);
        alone.set_peers(members, start);
        alone.update(3, start + 9s);
        check(!alone.state().ready, "9 s");
        alone.update(3, start + 10s);
        check(alone.state().ready, "10 s");
    });
    section("in a large fleet it asks a sample", [&] {
        std::vector<instance_id> many;
        for (int index = 0; index < 330; ++index) {
            many.emplace_back("q-" + std::to_string(index));
        }
        readiness_gate large(many[0], {}, 8);
        check(large.set_peers(many, start).size() == readiness_options{}.sample, "sample");
        check(large.set_peers(many, start + 1s).size() == readiness_options{}.sample,
              "the same sample again, not more");
    });
}
