// Tests the connections between instances against a peer that sends bytes without end.

#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <quetzal/gateway/peer_link.hpp>
#include <quetzal/testing/endless_server.hpp>
#include <quetzal/testing/section.hpp>

#include "peer_codec.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::memory_growth;
using quetzal::testing::section;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t test_port = 19850; // used by no other test
constexpr std::uint32_t announced_size = 16u << 20;
constexpr std::size_t connections = 16;
constexpr std::size_t growth_limit_kib = 8u << 10;
constexpr milliseconds message_time_limit{5000}; // as in peer_link.cpp

member_record self()
{
    member_record record;
    record.address = "127.0.0.1";
    return record;
}

std::string length_prefix(std::uint32_t size)
{
    const auto length = boost::endian::native_to_little(size);
    return std::string(reinterpret_cast<const char*>(&length), sizeof(length));
}

struct linked_instance
{
    linked_instance()
        : members({}, self(), boot_clock::now()),
          link(context, {"127.0.0.1", test_port, test_port, {}}, members)
    {
        link.on_message([this](const std::string&, const peer_message&) { ++received; });
        link.on_loss([](const std::string&, std::uint64_t) {});
        check(link.start().has_value(), "the ports are opened");
    }

    tcp::socket connect()
    {
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), test_port});
        socket.non_blocking(true);
        return socket;
    }

    void run_for(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    asio::io_context context{1};
    member_table members;
    peer_link link;
    std::size_t received = 0;
};

bool is_closed(tcp::socket& socket)
{
    boost::system::error_code error;
    while (!error) {
        char byte = 0; // of the greeting
        socket.read_some(asio::buffer(&byte, 1), error);
    }
    return error != asio::error::would_block;
}

} // namespace

// Guards against a message that is announced and never sent, or sent without end, that holds memory
// or a connection.
Test(endless_peer_message, messages_without_end, .timeout = 60)
{
    linked_instance instance;
    section("given messages that arrive one byte at a time", [&] {
        const memory_growth growth;
        std::vector<tcp::socket> sockets;
        for (std::size_t index = 0; index < connections; ++index) {
            sockets.push_back(instance.connect());
            asio::write(sockets.back(), asio::buffer(length_prefix(announced_size)));
        }
        instance.run_for(milliseconds(100));
        std::fprintf(stderr, "memory grew by %zu KiB\n", growth.kib());
        check(growth.kib() < growth_limit_kib, "memory grows only with the bytes that arrive");
        const std::string message =
            internal::encode(peer_message(document_subscription{named_position({0, 1})}));
        tcp::socket normal = instance.connect();
        asio::write(normal, asio::buffer(length_prefix(static_cast<std::uint32_t>(message.size())) +
                                         message));
        instance.run_for(milliseconds(50));
        check(instance.received == 1, "another peer's message is received meanwhile");
        const time_point until = boot_clock::now() + message_time_limit + milliseconds(1000);
        std::size_t closed = 0;
        while (boot_clock::now() < until) {
            for (tcp::socket& socket : sockets) {
                boost::system::error_code ignored; // the instance closes the connection at the end
                socket.write_some(asio::buffer("x", 1), ignored);
            }
            instance.run_for(milliseconds(50));
        }
        for (tcp::socket& socket : sockets) {
            closed += is_closed(socket) ? 1 : 0;
        }
        std::fprintf(stderr, "%zu of %zu connections are closed\n", closed, sockets.size());
        check(closed == sockets.size(), "the connections are closed");
        check(!is_closed(normal), "an idle connection stays open");
    });
    section("given bytes that are no messages", [&] {
        const memory_growth growth;
        tcp::socket socket = instance.connect();
        const std::string garbage(64u << 10, 'x');
        for (int round = 0; round < 100 && !is_closed(socket); ++round) {
            boost::system::error_code ignored; // the instance closes the connection
            socket.write_some(asio::buffer(garbage), ignored);
            instance.run_for(milliseconds(1));
        }
        check(is_closed(socket), "the connection is closed");
        check(growth.kib() < growth_limit_kib, "memory stays bounded");
        check(instance.received == 1, "no message is received");
    });
}
