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
    section("given lines that end with carriage return and line feed", [] {
        event_splitter splitter;
        const std::string events = "id: 1\r\ndata: x\r\n\r\n: comment\r\n\r\n";
        splitter.add(events);
        check(splitter.take_complete_events() == events, "the events are returned");
    });
    section("given line ends of both kinds", [] {
        for (const std::string events : {"data: x\n\r\n", "data: x\r\n\n"}) {
            event_splitter splitter;
            splitter.add(events);
            check(splitter.take_complete_events() == events, "the event is returned");
        }
    });
    section("given an empty line more than needed", [] {
        event_splitter splitter;
        splitter.add("data: x\n\n\ndata: y\n\n\n");
        check(splitter.take_complete_events() == "data: x\n\n\ndata: y\n\n",
              "the events are returned");
        check(splitter.take_final_lines() == "\n", "the empty line is returned at the end");
    });
    section("given an id field inside a data field", [] {
        event_splitter splitter;
        splitter.add("id: 1\ndata: id: 77\n\n");
        splitter.take_complete_events();
        check(splitter.last_id() == "1", "only an id at the start of a line counts");
    });
}

// Guards against bytes that are no event but contain an empty line, which would be forwarded as an
// event.
Test(event_splitter, returns_nothing_from_the_first_malformed_event_on)
{
    const std::string whole = "id: 4\ndata: x\n\n";
    for (const std::string malformed :
         {"garbage\n\n", "id: 5\n\x01\x02\n\n", "HTTP/1.1 200 OK\r\n\r\n", "\n\n\n\n"})
    {
        event_splitter splitter;
        splitter.add(whole + malformed + "id: 6\ndata: z\n\nid: 7");
        check(splitter.take_complete_events().starts_with(whole), "the whole event is returned");
        check(splitter.is_malformed(), "the malformed event is noticed");
        check(splitter.take_final_lines().empty(), "nothing is returned after it");
        check(splitter.last_id() == "4", "the last id is that of the whole event");
        section("when another endpoint continues the stream", [&] {
            splitter.discard_partial_event();
            splitter.add("id: 5\ndata: y\n\n");
            check(!splitter.is_malformed() &&
                      splitter.take_complete_events() == "id: 5\ndata: y\n\n",
                  "its events are returned");
        });
    }
}

// Guards against a log that tells a wrong number of events of a stream that was cut.
Test(event_splitter, counts_the_events_that_it_returns)
{
    section("given complete events and a part of one", [] {
        event_splitter splitter;
        splitter.add("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\nid: 3\n");
        splitter.take_complete_events();
        check(splitter.taken() == 2, "the complete ones count");
        splitter.add("data: z\n\n");
        splitter.take_complete_events();
        check(splitter.taken() == 3, "the third one counts when it is complete");
        check(splitter.take_final_lines().empty() && splitter.taken() == 3, "nothing is left");
    });
    section("given a last event without an empty line", [] {
        event_splitter splitter;
        splitter.add("data: x\n\ndata: y\n");
        check(splitter.take_complete_events() == "data: x\n\n" && splitter.taken() == 1,
              "only the event before it counts");
        check(splitter.is_inside_event(), "it is not complete");
    });
    section("given an additional empty line", [] {
        event_splitter splitter;
        splitter.add("data: x\n\n\n");
        splitter.take_complete_events();
        splitter.add("data: y\n\n\n");
        splitter.take_complete_events();
        splitter.take_final_lines();
        check(splitter.taken() == 2, "it does not count");
    });
    section("given bytes that are no event", [] {
        event_splitter splitter;
        splitter.add("data: x\n\nnothing\n\n");
        splitter.take_complete_events();
        check(splitter.is_malformed() && splitter.taken() == 1, "they do not count");
    });
}
