#include <quetzal/base/random.hpp>
#include <quetzal/gateway/event_splitter.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against events that an endpoint broke off midway and against lost or doubled events when a
// stream goes on elsewhere.
Test(event_splitter, whole_events_only)
{
    section("given a stream in pieces of any size", [] {
        std::string stream;
        for (int id = 0; id < 40; ++id) {
            stream += "id: " + std::to_string(id) + "\ndata: a:b id: 9\n" +
                      (id % 3 == 0 ? "data: more\n" : "") + "\n";
        }
        random_source random(7);
        for (int round = 0; round < 200; ++round) {
            event_splitter splitter;
            std::string passed;
            for (std::size_t at = 0; at < stream.size();) {
                const std::size_t size =
                    std::min<std::size_t>(1 + random.below(50), stream.size() - at);
                splitter.add(std::string_view(stream).substr(at, size));
                at += size;
                const std::string events = splitter.take_whole_events();
                check(events.empty() || events.ends_with("\n\n"), "only whole events leave");
                passed += events;
            }
            check(passed == stream, "nothing is lost or doubled");
            check(splitter.last_id() == "39", "the last id is known");
        }
    });
    section("given an event that breaks off", [] {
        event_splitter splitter;
        splitter.add("id: 4\ndata: x\n\nid: 5\ndata: half");
        check(splitter.take_whole_events() == "id: 4\ndata: x\n\n", "the whole one leaves");
        check(splitter.holds_partial_event(), "the other is held");
        section("when the stream goes on at another endpoint", [&] {
            splitter.drop_partial_event();
            splitter.add("id: 5\ndata: whole\n\n");
            check(splitter.take_whole_events() == "id: 5\ndata: whole\n\n", "it comes once, whole");
            check(splitter.last_id() == "5", "and counts as the last one");
        });
    });
    section("given a field that only looks like an id", [] {
        event_splitter splitter;
        splitter.add("id: 1\ndata: id: 77\n\n");
        splitter.take_whole_events();
        check(splitter.last_id() == "1", "only a line that begins with it counts");
    });
}
