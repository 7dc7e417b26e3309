// Tests the request flow against endpoints whose stream never ends an event.

#include "endless_gateway.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using namespace quetzal::gateway::testing;

namespace {

std::vector<variant> stream_variants()
{
    return {
        {"event in one chunk", chunked_head + two_event_chunks + "fffffffff\r\n", "x"},
        {"event in chunks", chunked_head + two_event_chunks, "8\r\nxxxxxxx\n\r\n"},
        {"event without length", signed_head + "\r\n" + two_events, "x"},
        {"chunk extension", chunked_head + two_event_chunks + "1;", "x"},
        {"trailer lines", chunked_head + two_event_chunks + "0\r\n", "A: b\r\n"},
        {"no events", chunked_head + two_event_chunks, "9\r\nxx xxxx\n\n\r\n"},
        {"empty lines", chunked_head + two_event_chunks + "fffffffff\r\n", "\n"},
    };
}

} // namespace

// Guards against an event without end that uses all memory, is forwarded in part, or keeps a stream
// from being resumed.
Test(endless_stream, events_at_full_speed, .timeout = 120)
{
    play_all(stream_variants(), {{route_kind::stream, true, {}}, {route_kind::stream, false, {}}});
}

// Guards against a stall timeout that each byte of an endless event renews.
Test(endless_stream, events_as_a_trickle, .timeout = 120)
{
    constexpr milliseconds beyond_the_stall_timeout{2400};
    play_all(stream_variants(),
             {{route_kind::stream, true, trickle_pause, beyond_the_stall_timeout},
              {route_kind::stream, false, trickle_pause}});
}

// Guards against memory that grows with the number of endless events read at once.
Test(endless_stream, many_at_once, .timeout = 120)
{
    play_many_at_once(stream_variants(), route_kind::stream);
}
