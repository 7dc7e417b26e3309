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

// Guards against a version in force that decreases (promise 11) because of a stale reader, a late
// peer, a service restored from an old copy, or a version that was published twice.
Test(config_tracker, version_in_force_never_decreases)
{
    config_tracker tracker;
    section("version 7 comes into force", [&] {
        check(tracker.version() == 0 && !tracker.in_force(),
              "nothing is in force before the first value");
        const auto outcome = tracker.offer(config_of(7), value_source::service, start);
        check(accepted(outcome) && std::get<config_accepted>(outcome).previous_version == 0,
              "the value is accepted");
    });
    section("lower versions are rejected from every source", [&] {
        for (const auto from : {value_source::service, value_source::peer}) {
            check(refused_as(tracker.offer(config_of(6), from, start + 1s), refusal_cause::older),
                  "the lower version is rejected as older");
            check(tracker.version() == 7, "version 7 is still in force");
        }
        check(tracker.last_refusal()->version == 6 && tracker.last_refusal()->at == start + 1s,
              "the rejection is kept for the status page");
    });
    section("offering the same value again changes nothing", [&] {
        check(std::holds_alternative<value_unchanged>(
                  tracker.offer(config_of(7), value_source::peer, start)),
              "the value is unchanged");
    });
    section("the same version with different content is rejected", [&] {
        check(refused_as(tracker.offer(config_of(7, "3.5"), value_source::service, start),
                         refusal_cause::conflict),
              "the value is rejected as a conflict");
        check(tracker.in_force()->customers[0].rate == 2.5, "the first content is still in force");
    });
    section("a value that fails the checks is rejected and the previous one stays in force", [&] {
        auto invalid_config = config_of(8, "-1");
        check(refused_as(tracker.offer(invalid_config, value_source::service, start + 2s),
                         refusal_cause::invalid),
              "the value is rejected as invalid");
        check(tracker.version() == 7 && tracker.is_known_invalid(invalid_config.content),
              "version 7 is still in force and the content is known to be invalid");
        check(tracker.last_refusal()->detail.find("customers[0].rate") != std::string::npos,
              tracker.last_refusal()->detail);
    });
    section("the corrected value comes into force, even under the version of the invalid one", [&] {
        check(accepted(tracker.offer(config_of(8), value_source::peer, start + 3s)),
              "the value is accepted");
        check(tracker.version() == 8 && !tracker.last_refusal(), "version 8 is in force");
        check(tracker.text()->find("\"version\": 8") != std::string::npos,
              "the text for peers has version 8");
    });
    section("versions in random order never decrease the version in force", [&] {
        random_source random(11);
        std::uint64_t highest = tracker.version();
        for (int step = 0; step < 200; ++step) {
            const std::uint64_t offered = 1 + random.below(40);
            const auto outcome = tracker.offer(config_of(offered), value_source::service, start);
            check(accepted(outcome) == (offered > highest),
                  "a version is accepted only if it is higher, seed 11");
            highest = std::max(highest, offered);
            check(tracker.version() == highest, "the highest version is in force, seed 11");
        }
    });
}

// Guards against returning to the lower revision of a lagging list reader, and against never
// accepting the list of a platform that was restored from an old copy.
Test(list_tracker, accepts_a_lower_revision_only_after_the_delay)
{
    list_tracker tracker;
    tracker.offer(list_of(10), value_source::service, start);
    section("a lower revision between current ones comes from a lagging reader", [&] {
        check(refused_as(tracker.offer(list_of(9), value_source::service, start),
                         refusal_cause::older),
              "the lower revision is rejected");
        tracker.offer(list_of(10), value_source::service, start + 50s);
        check(refused_as(tracker.offer(list_of(9), value_source::service, start + 70s),
                         refusal_cause::older),
              "the current revision in between restarts the delay");
    });
    section("peers never decrease the revision", [&] {
        for (const auto at : {80s, 200s, 400s}) {
            check(refused_as(tracker.offer(list_of(4), value_source::peer, start + at),
                             refusal_cause::older),
                  "the peer's lower revision is rejected");
        }
    });
    section("only lower revisions for 60 s come from a restored platform", [&] {
        check(refused_as(tracker.offer(list_of(9), value_source::service, start + 129s),
                         refusal_cause::older),
              "the lower revision is rejected after 59 s");
        const auto outcome = tracker.offer(list_of(9), value_source::service, start + 130s);
        const auto* accepted_list = std::get_if<list_accepted>(&outcome);
        check(accepted_list != nullptr && accepted_list->restored && tracker.revision() == 9,
              "the lower revision is accepted after 60 s");
    });
    section("peers that still have the abandoned list do not restore it", [&] {
        check(tracker.highest_known_revision() == 10, "revision 10 is not worth fetching");
        check(refused_as(tracker.offer(list_of(10), value_source::peer, start + 131s),
                         refusal_cause::abandoned),
              "the peer's copy is rejected as abandoned");
        check(std::holds_alternative<list_accepted>(
                  tracker.offer(list_of(10, "\"b\""), value_source::service, start + 132s)),
              "the next revision of the platform is accepted");
        check(std::holds_alternative<list_accepted>(
                  tracker.offer(list_of(11), value_source::peer, start + 133s)),
              "a higher revision of a peer is accepted");
    });
    section("different content under the same revision comes into use after the same delay", [&] {
        check(refused_as(tracker.offer(list_of(11, "\"c\""), value_source::service, start + 200s),
                         refusal_cause::conflict),
              "the list is rejected as a conflict at first");
        check(std::holds_alternative<list_accepted>(
                  tracker.offer(list_of(11, "\"c\""), value_source::service, start + 260s)),
              "the list is accepted after 60 s");
    });
    section("a list that fails the checks changes nothing", [&] {
        check(refused_as(tracker.offer(check_list("{}"), value_source::service, start + 261s),
                         refusal_cause::invalid),
              "the list is rejected as invalid");
        check(tracker.revision() == 11, "revision 11 is still in use");
    });
}

// Guards against a new instance that becomes ready with an old configuration that the service
// returned, and against a fleet that cannot start when no instance has a configuration.
Test(readiness_gate, new_instance_waits_for_the_highest_version_of_its_peers)
{
    const std::vector<instance_id> members{instance_id("q-1"), instance_id("q-2"),
                                           instance_id("q-3"), instance_id("q-4"),
                                           instance_id("q-5")};
    readiness_gate gate(instance_id("q-1"), {}, 5);
    section("a new instance asks each peer once and then those that have not responded", [&] {
        check(!gate.state().ready, gate.state().waiting_for);
        check(gate.update(7, start).empty() && !gate.state().ready,
              "not ready without an instance list");
        check(gate.set_peers(members, start).size() == 4, "all peers but itself are asked");
        check(gate.update(7, start + 100ms).empty(), "no peer is asked again yet");
        gate.on_peer_version(members[1], 7, start + 100ms);
        check(gate.update(7, start + 600ms).size() == 3,
              "the peers that have not responded are asked again");
        check(!gate.state().ready, "one response of four is not enough");
    });
    section("the instance waits for a higher version that a peer has in force", [&] {
        gate.on_peer_version(members[2], 9, start + 700ms);
        gate.on_peer_version(members[3], 7, start + 700ms);
        gate.update(7, start + 800ms);
        check(!gate.state().ready && gate.state().waiting_for == "version 9 reported by q-3",
              gate.state().waiting_for);
        gate.on_peer_version(members[2], 9, start + 20s);
        gate.update(8, start + 40s);
        check(!gate.state().ready,
              "a repeated report prevents readiness even after the majority timeout");
        gate.update(9, start + 41s);
        check(gate.state().ready, gate.state().waiting_for);
    });
    section("when all instances start at once, the value of the service suffices", [&] {
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
    section("an instance without any response becomes ready after the majority timeout", [&] {
        readiness_gate alone(instance_id("q-1"), {}, 7);
        alone.set_peers(members, start);
        alone.update(3, start + 9s);
        check(!alone.state().ready, "not ready after 9 s");
        alone.update(3, start + 10s);
        check(alone.state().ready, "ready after 10 s");
    });
    section("in a large fleet only a sample of the peers is asked", [&] {
        std::vector<instance_id> many;
        for (int index = 0; index < 330; ++index) {
            many.emplace_back("q-" + std::to_string(index));
        }
        readiness_gate large(many[0], {}, 8);
        check(large.set_peers(many, start).size() == readiness_options{}.sample_size,
              "the sample is asked");
        check(large.set_peers(many, start + 1s).size() == readiness_options{}.sample_size,
              "the same sample is asked again");
    });
}
