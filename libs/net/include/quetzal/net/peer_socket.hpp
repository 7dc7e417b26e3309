#ifndef QUETZAL_NET_PEER_SOCKET_HPP
#define QUETZAL_NET_PEER_SOCKET_HPP

// UDP socket for messages between instances. What fails the MAC is dropped and counted before it is
// decoded.

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <quetzal/peer/codec.hpp>
#include <tl/expected.hpp>

namespace quetzal::net {

// Counters of a socket; read by metrics. Thread-safe.
struct peer_counters
{
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> received_bytes{0};
    std::array<std::atomic<std::uint64_t>, 5> dropped{}; // by `peer::drop_cause`
    std::atomic<std::uint64_t> oversized{0}; // sent although longer than `max_datagram_size`
};

// Sends and receives datagrams. Thread-safe; the receiver runs on the executor.
class peer_socket
{
public:
    using receiver = std::function<void(const peer::received& message)>;

    peer_socket(const boost::asio::any_io_executor& executor, peer::key_ring keys,
                receiver on_message);
    ~peer_socket();

    // Binds to the address; port 0 selects a free one. Returns the port or an error text.
    tl::expected<std::uint16_t, std::string> bind(const std::string& address, std::uint16_t port);

    // Sends without waiting; a datagram that the kernel refuses is lost, as any may be.
    void send(const std::string& address, std::uint16_t port, const peer::received& message);

    // Replaces the keys, for a rotation.
    void set_keys(peer::key_ring keys);

    void close();

    const peer_counters& counters() const noexcept;

private:
    struct implementation;
    std::shared_ptr<implementation> body_;
};

} // namespace quetzal::net

#endif
