#include <string>
#include <vector>

#include <quetzal/gateway/memory_ledger.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kb = 1024;

// A ledger of 800 kB, of which 700 kB are for large requests.
struct ledger_fixture
{
    explicit ledger_fixture(double share = 1) : ledger(limits(share))
    {
        ledger.on_give_way([this](memory_ledger::holder id) { left.push_back(id); });
    }

    static memory_limits limits(double share)
    {
        memory_limits value;
        value.total = 800 * kb;
        value.address_share = share;
        value.requests = 20;
        value.connections = 30;
        return value;
    }

    memory_ledger::holder receive(std::size_t size, duration at, const std::string& address = "a")
    {
        const auto id = ledger.open(address, kb, start + at);
        check(id != 0 && ledger.set_phase(id, holder_phase::receiving, start + at), "it begins");
        ledger.record_progress(id, size, start + at);
        check(ledger.resize(id, size, start + at), "it has room");
        return id;
    }

    const time_point start = time_point{} + 1h;
    memory_ledger ledger;
    std::vector<memory_ledger::holder> left;
};

using holders = std::vector<memory_ledger::holder>;

} // namespace

// Guards against requests that are refused, or connections that are closed, without need.
Test(memory_ledger, calm)
{
    ledger_fixture fixture;
    const auto large = fixture.receive(600 * kb, 0s);
    const auto idle = fixture.ledger.open("b", kb, fixture.start);
    check(fixture.ledger.resize(large, 650 * kb, fixture.start + 1s), "a large body grows");
    check(fixture.left.empty() && idle != 0, "nobody gives way");
    fixture.ledger.close(large);
    fixture.ledger.close(idle);
    check(fixture.ledger.used() == 0, "all memory is returned");
}

// Guards against another order of giving way than the documented one.
Test(memory_ledger, order_of_giving_way)
{
    ledger_fixture fixture;
    auto& ledger = fixture.ledger;
    const auto kept = fixture.receive(100 * kb, 0s);
    ledger.set_phase(kept, holder_phase::kept, fixture.start);
    const auto older = fixture.receive(150 * kb, 0s);
    const auto stalled = fixture.receive(100 * kb, 100ms);
    const auto newer = fixture.receive(100 * kb, 900ms);
    const auto newest = fixture.receive(140 * kb, 950ms);
    const auto idle = ledger.open("b", 60 * kb, fixture.start);
    const auto idle_later = ledger.open("b", 40 * kb, fixture.start + 1s);
    const time_point now = fixture.start + 1500ms;
    ledger.record_progress(older, 10 * kb, now);
    section("first the longest idle connection", [&] {
        check(ledger.resize(older, 190 * kb, now), "there is room");
        check(fixture.left == holders{idle}, "the longest idle leaves");
    });
    section("then a body that does not progress", [&] {
        check(ledger.resize(older, 270 * kb, now), "there is room");
        check((fixture.left == holders{idle, idle_later, stalled}), "the stalled one leaves");
    });
    section("then the newest", [&] {
        check(ledger.resize(older, 420 * kb, now), "there is room");
        check((fixture.left == holders{idle, idle_later, stalled, newest}), "the newest leaves");
    });
    section("and the newest itself is refused", [&] {
        check(!ledger.resize(newer, 300 * kb, now), "no room");
        check(fixture.left.size() == 4, "nobody else leaves");
        check(!ledger.resize(newest, kb, now), "one that has left gets nothing");
    });
    section("a kept request always gets memory, others leave for it", [&] {
        check(ledger.resize(kept, 700 * kb, now), "granted");
        check(fixture.left.back() == older, "also the oldest leaves");
        check(ledger.refused(memory_refusal::idle) == 2, "counted");
        check(ledger.refused(memory_refusal::slow) == 1, "counted");
    });
}

// Guards against senders of a byte now and then that hold their memory for as long as they like.
Test(memory_ledger, a_slow_sender_gives_way)
{
    ledger_fixture fixture;
    const auto slow = fixture.receive(0, 0s);
    check(fixture.ledger.resize(slow, 300 * kb, fixture.start), "it has room");
    const auto steady = fixture.receive(300 * kb, 100ms);
    const time_point now = fixture.start + 2s;
    fixture.ledger.record_progress(slow, 10, now); // the last byte is recent
    fixture.ledger.record_progress(steady, 10, now);
    check(fixture.ledger.resize(steady, 410 * kb, now), "there is room");
    check(fixture.left == holders{slow}, "the slow sender leaves");
}

// Guards against small requests that are refused while large bodies use up the memory.
Test(memory_ledger, a_reserve_for_small_requests)
{
    ledger_fixture fixture;
    fixture.receive(690 * kb, 0s);
    const auto small = fixture.receive(50 * kb, 100ms);
    check(small != 0 && fixture.left.empty(), "a small request has room");
    const auto large = fixture.receive(kb, 100ms, "other");
    check(!fixture.ledger.resize(large, 80 * kb, fixture.start + 100ms), "a large one has none");
}

// Guards against one address that uses the memory of all.
Test(memory_ledger, an_address_uses_its_share)
{
    ledger_fixture fixture(0.5);
    const auto single = fixture.receive(600 * kb, 0s);
    fixture.ledger.close(single);
    const auto first = fixture.receive(300 * kb, 0s);
    const auto second = fixture.receive(50 * kb, 0s);
    check(!fixture.ledger.resize(second, 200 * kb, fixture.start), "its address has its share");
    check(fixture.receive(200 * kb, 0s, "other") != 0, "another address has room");
    fixture.ledger.close(first);
    check(fixture.ledger.resize(second, 200 * kb, fixture.start), "it is returned");
    for (int count = 0; count < 9; ++count) {
        fixture.receive(kb, 0s);
    }
    const auto eleventh = fixture.ledger.open("a", kb, fixture.start);
    check(!fixture.ledger.set_phase(eleventh, holder_phase::receiving, fixture.start),
          "no more than half of the requests");
    check(fixture.ledger.refused(memory_refusal::address) == 2, "counted");
}

// Guards against responses that ignore the memory of requests.
Test(memory_ledger, responses_share_the_memory)
{
    ledger_fixture fixture;
    const auto body = fixture.receive(400 * kb, 0s);
    check(fixture.ledger.take(300 * kb, fixture.start), "there is room");
    check(fixture.left.empty(), "nobody leaves");
    check(fixture.ledger.take(200 * kb, fixture.start), "a body gives way to responses");
    check(fixture.left == holders{body}, "the body leaves");
    check(!fixture.ledger.take(400 * kb, fixture.start), "beyond the limit it is refused");
    check(fixture.ledger.used() == 501 * kb, "the connection itself is charged until it is closed");
    fixture.ledger.close(body);
    fixture.ledger.give_back(500 * kb);
    check(fixture.ledger.used() == 0, "all memory is returned");
}

// Guards against ordinary callers that are closed without an answer because others have opened all
// connections and send nothing.
Test(memory_ledger, connections_give_way_to_further_ones)
{
    ledger_fixture fixture;
    auto& ledger = fixture.ledger;
    const auto kept = fixture.receive(kb, 0s);
    ledger.set_phase(kept, holder_phase::kept, fixture.start);
    const auto used = fixture.receive(kb, 0s);
    ledger.set_phase(used, holder_phase::idle, fixture.start);
    const auto stalled = fixture.receive(2 * kb, 0s);
    const auto ended = ledger.open("a", kb, fixture.start);
    ledger.leave(ended, fixture.start);
    std::vector<memory_ledger::holder> silent;
    while (silent.size() < 26) {
        silent.push_back(ledger.open("a", kb, fixture.start + 1ms * silent.size()));
    }
    const time_point now = fixture.start + 2s;
    const auto open_kept = [&] {
        const auto id = ledger.open("b", kb, now);
        check(id != 0, "another one is opened");
        ledger.set_phase(id, holder_phase::kept, now);
    };
    section("first the longest silent one that has sent nothing yet", [&] {
        open_kept();
        check(fixture.left == holders{silent.front()}, "it leaves");
    });
    section("then one that is about to be closed, an idle one, and one that does not progress",
            [&] {
                fixture.left.clear();
                while (fixture.left.size() < silent.size() + 2) {
                    open_kept();
                }
                const holders last(fixture.left.end() - 4, fixture.left.end());
                const holders expected{ended, used, stalled, stalled};
                check(last == expected, "they leave in this order, the last one at once");
                check(fixture.left.front() == silent[1], "after the silent ones");
            });
    section("then there is no room",
            [&] { check(ledger.open("b", kb, now) == 0, "requests that run are kept"); });
}

// Guards against a request that runs and loses its connection to a further one, because the
// connection gave way while the last bytes of the request were read.
Test(memory_ledger, a_whole_request_is_kept)
{
    ledger_fixture fixture;
    auto& ledger = fixture.ledger;
    const auto whole = fixture.receive(600 * kb, 0s);
    check(ledger.take(300 * kb, fixture.start), "there is room");
    check(fixture.left == holders{whole}, "the request gives way");
    ledger.set_phase(whole, holder_phase::kept, fixture.start);
    for (int count = 0; count < 30; ++count) {
        const auto id = ledger.open("b", kb, fixture.start);
        check((id != 0) == (count < 29), "all places but one are for others");
        if (id != 0) {
            ledger.set_phase(id, holder_phase::kept, fixture.start);
        }
    }
    check(fixture.left == holders{whole}, "it does not give way again");
}

// Guards against memory that is used and not charged: a connection that has given way still sends a
// refusal, and a crowd comes again at once.
Test(memory_ledger, a_connection_is_charged_until_it_is_closed)
{
    ledger_fixture fixture;
    auto& ledger = fixture.ledger;
    const auto refused = fixture.receive(300 * kb, 0s);
    section("when its request is refused", [&] {
        ledger.leave(refused, fixture.start);
        check(ledger.used() == kb, "its request is charged no longer, the connection is");
        check(!ledger.resize(refused, 2 * kb, fixture.start), "it gets no more memory");
    });
    section("when its request gives way", [&] {
        const auto evicted = fixture.receive(600 * kb, 0s);
        const auto older = fixture.receive(90 * kb, 0s);
        check(ledger.take(200 * kb, fixture.start), "there is room");
        check(fixture.left == holders{evicted}, "the larger one leaves");
        check(ledger.used() == (1 + 1 + 90 + 200) * kb, "the connection stays charged");
        ledger.close(evicted);
        ledger.close(older);
    });
    ledger.close(refused);
    ledger.give_back(200 * kb);
    check(ledger.used() == 0, "all memory is returned");
}

// Guards against callers that read their responses slowly or not at all, and thereby make the
// instance hold more than its memory, or keep it from others.
Test(memory_ledger, responses_that_are_not_read_give_way)
{
    ledger_fixture fixture;
    auto& ledger = fixture.ledger;
    const auto write = [&](std::size_t size, duration at) {
        const auto id = fixture.receive(kb, at);
        ledger.set_phase(id, holder_phase::kept, fixture.start + at);
        ledger.begin_write(id, fixture.start + at);
        check(ledger.resize(id, size, fixture.start + at), "it is granted");
        return id;
    };
    const auto running = fixture.receive(kb, 0s);
    ledger.set_phase(running, holder_phase::kept, fixture.start);
    const auto unread = write(300 * kb, 0s);
    const auto read = write(300 * kb, 0s);
    const time_point now = fixture.start + 2s;
    ledger.record_progress(read, 10 * kb, now);
    const auto receiving = fixture.receive(50 * kb, 2s);
    section("one that does not progress, for a request that is received", [&] {
        check(ledger.resize(receiving, 250 * kb, now), "there is room");
        check(fixture.left == holders{unread}, "the unread one leaves");
        check(ledger.refused(memory_refusal::unread) == 1, "counted");
    });
    section("one that progresses only for another response", [&] {
        check(!ledger.resize(receiving, 600 * kb, now), "not for a request that is received");
        const auto next = write(450 * kb, 2s);
        check((fixture.left == holders{unread, receiving}), "the request that is received leaves");
        ledger.take_always(60 * kb, now);
        check((fixture.left == holders{unread, receiving, read}), "the longest written one leaves");
        check(ledger.used() <= ledger.limit(), "the limit holds");
        ledger.end_write(next);
        check(ledger.resize(running, 700 * kb, now) && fixture.left.size() == 3,
              "a request that runs, and one that is written, are kept");
    });
}
