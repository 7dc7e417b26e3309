#include <chrono>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <quetzal/gateway/peer_link.hpp>
#include <quetzal/testing/section.hpp>

#include "peer_codec.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

const std::string address = "127.0.0.1"; // of this instance and of the peer

member_record self()
{
    member_record record;
    record.address = address;
    return record;
}

// A peer link, and connections that a peer has opened to it.
struct link_fixture
{
    // `port` is used by no other test, nor is the one after it.
    explicit link_fixture(std::uint16_t port)
        : members({}, self(), boot_clock::now()),
          link(context, {address, port, static_cast<std::uint16_t>(port + 1), {}}, members),
          stream({asio::ip::make_address(address), static_cast<std::uint16_t>(port + 1)})
    {
        link.on_message([this](const std::string&, const peer_message&) {
            ++messages;
            if (fail) {
                throw std::runtime_error("failed");
            }
        });
        link.on_loss([this](const std::string& lost, std::uint64_t process) {
            losses.push_back(lost);
            lost_processes.push_back(process);
        });
        const auto started = link.start();
        check(started.has_value(), started ? "" : started.error());
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(context);
        socket.connect(stream);
        run();
        return socket;
    }

    void send(asio::ip::tcp::socket& socket,
              const peer_message& message = snapshot_request{named_position({0, 1}), {}})
    {
        const std::string bytes = internal::encode(message);
        const auto length =
            boost::endian::native_to_little(static_cast<std::uint32_t>(bytes.size()));
        asio::write(socket, asio::buffer(&length, sizeof(length)));
        asio::write(socket, asio::buffer(bytes));
        run();
    }

    void run()
    {
        context.restart();
        context.run_for(milliseconds(50));
    }

    bool is_closed(asio::ip::tcp::socket& socket)
    {
        boost::system::error_code error;
        socket.non_blocking(true);
        while (!error) {
            char byte = 0;
            received += socket.read_some(asio::buffer(&byte, 1), error);
        }
        return error != asio::error::would_block;
    }

    asio::io_context context{1};
    member_table members;
    peer_link link;
    asio::ip::tcp::endpoint stream;
    int messages = 0;
    bool fail = false;
    std::vector<std::string> losses;
    std::vector<std::uint64_t> lost_processes;
    std::size_t received = 0; // bytes that `is_closed` has read from the link
};

} // namespace

// Guards against requests that wait for a peer until their deadline, because its messages are not
// read any more after one of them could not be handled.
Test(peer_link, message_that_cannot_be_handled)
{
    link_fixture fixture(19880);
    auto peer = fixture.connect();
    fixture.send(peer);
    check(fixture.messages == 1, "a message is handled");
    fixture.fail = true;
    fixture.send(peer);
    check(fixture.messages == 2, "the next one fails");
    check(fixture.is_closed(peer), "the connection is closed, so that the peer opens another one");
    check(fixture.losses == std::vector{address}, "the loss is reported");
}

// Guards against requests that wait for a peer until their deadline, because the loss of the
// connection that carried the peer's messages is not reported while another one exists.
Test(peer_link, loss_of_a_second_connection)
{
    link_fixture fixture(19882);
    auto first = fixture.connect();
    auto second = fixture.connect();
    fixture.send(second);
    check(fixture.messages == 1, "messages of both connections are handled");
    second.close();
    fixture.run();
    check(fixture.losses == std::vector{address}, "the loss is reported");
    check(!fixture.is_closed(first), "the first connection stays open");
}

// Guards against results that are lost after a peer has lost power and started again: its former
// connection is still open, and messages to the new process are written to it.
Test(peer_link, second_process_of_a_peer)
{
    link_fixture fixture(19884);
    auto former = fixture.connect();
    fixture.send(former, peer_greeting{5});
    auto further = fixture.connect();
    section("when the same process opens a further connection", [&] {
        fixture.send(further, peer_greeting{5});
        check(!fixture.is_closed(former) && fixture.losses.empty(), "both stay open");
    });
    section("when another process at the address opens a connection", [&] {
        auto restarted = fixture.connect();
        fixture.send(restarted, peer_greeting{6});
        check(fixture.is_closed(former), "the connection of the former process is closed");
        check(fixture.lost_processes == std::vector<std::uint64_t>{5},
              "the loss of the former process is reported");
        section("then a message to the peer", [&] {
            check(!fixture.is_closed(restarted), "the new connection stays open");
            const std::size_t greeted = fixture.received;
            fixture.link.send(address, job_release{{1, 2, 3}});
            fixture.run();
            check(!fixture.is_closed(restarted), "the new connection is not closed");
            check(fixture.received > greeted, "goes to the new process");
        });
    });
}

// Guards against members that cannot connect because clients that send nothing use up the
// connections of the port.
Test(peer_link, silent_connections_give_way)
{
    constexpr int allowed_from_address = 32;
    link_fixture fixture(19888);
    auto speaking = fixture.connect();
    fixture.send(speaking);
    std::vector<asio::ip::tcp::socket> silent;
    for (int count = 1; count < allowed_from_address; ++count) {
        silent.push_back(fixture.connect());
    }
    section("when all connections of an address are open and it opens another one", [&] {
        auto further = fixture.connect();
        fixture.send(further);
        check(fixture.messages == 2, "its messages are handled");
        check(fixture.is_closed(silent.front()), "the longest silent one is closed");
        check(!fixture.is_closed(silent.back()), "other silent ones stay open");
        check(!fixture.is_closed(speaking), "one that has sent a message stays open");
    });
}

// Guards against half a message that is taken for a whole one: its peer stopped within it and
// closed the connection.
Test(peer_link, message_that_ends_early)
{
    const std::string bytes = internal::encode(peer_message(job_release{{1, 2, 3}}));
    const auto length = boost::endian::native_to_little(static_cast<std::uint32_t>(bytes.size()));
    const std::string frame =
        std::string(reinterpret_cast<const char*>(&length), sizeof(length)) + bytes;
    link_fixture fixture(19886);
    for (std::size_t size = 0; size < frame.size(); ++size) {
        auto peer = fixture.connect();
        asio::write(peer, asio::buffer(frame.substr(0, size)));
        peer.close();
        fixture.run();
    }
    check(fixture.messages == 0, "no part of a message is handled");
    check(fixture.losses.size() == frame.size(), "each loss is reported");
}
