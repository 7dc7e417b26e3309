#include <quetzal/base/random.hpp>
#include <quetzal/gateway/event_splitter.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against forwarding events cut short by an endpoint, and against lost or duplicated events
// when another endpoint continues the stream.
Test(event_splitter, returns_only_complete_events)
{
    section("given a stream that arrives in pieces of random size", [] {
        std::string stream;
        for (int id = 0; id < 40; ++id) {
            stream += "id: " + std::to_string(id) + "\ndata: a:b id: 9\n" +
                      (id % 3 == 0 ? "data: more\n" : "") + "\n";
        }
        random_source random(7);
        for (int round = 0; round < 200; ++round) {
            event_splitter splitter;
            std::string returned;
            for (std::size_t at = 0; at < stream.size();) {
                const std::size_t size =
                    std::min<std::size_t>(1 + random.below(50), stream.size() - at);
                splitter.add(std::string_view(stream).substr(at, size));
                at += size;
                const std::string events = splitter.take_complete_events();
                check(events.empty() || events.ends_with("\n\n"),
                      "only complete events are returned");
                returned += events;
            }
            check(returned == stream, "no event is lost or duplicated");
            check(splitter.last_id() == "39", "the last id is recorded");
        }
    });
    section("given an event that is cut short", [] {
        event_splitter splitter;
        splitter.add("id: 4\ndata: x\n\nid: 5\ndata: half");
        check(splitter.take_complete_events() == "id: 4\ndata: x\n\n",
              "the complete event is returned");
        check(splitter.has_partial_event(), "the partial event is buffered");
        section("when another endpoint continues the stream", [&] {
            splitter.discard_partial_event();
            splitter.add("id: 5\ndata: whole\n\n");
            check(splitter.take_complete_events() == "id: 5\ndata: whole\n\n",
                  "the event is returned once and complete");
            check(splitter.last_id() == "5", "its id is the last one");
        });
    });
    section("given an id field inside a data field", [] {
        event_splitter splitter;
        splitter.add("id: 1\ndata: id: 77\n\n");
        splitter.take_complete_events();
        check(splitter.last_id() == "1", "only an id at the start of a line counts");
    });
}
