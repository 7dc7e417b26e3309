#ifndef QUETZAL_NET_PEER_SOCKET_HPP
#define QUETZAL_NET_PEER_SOCKET_HPP

// UDP socket for messages between instances. Datagrams whose MAC is wrong are counted and dropped
// before they are decoded.

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

// Counters of a socket, exported as metrics. Thread-safe.
struct peer_counters
{
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> received_bytes{0};
    std::array<std::atomic<std::uint64_t>, 5> dropped{}; // indexed by `peer::drop_cause`
    std::atomic<std::uint64_t> oversized{0}; // sent although larger than `max_datagram_size`
};

// Sends and receives datagrams. Thread-safe. The message handler runs on the executor, one call at
// a time.
class peer_socket
{
public:
    using message_handler = std::function<void(const peer::received_message& message)>;

    peer_socket(const boost::asio::any_io_executor& executor, peer::key_ring keys,
                message_handler on_message);
    ~peer_socket();

    // Binds to the address and starts to receive; port 0 selects a free port. Returns the port or
    // an error message.
    tl::expected<std::uint16_t, std::string> bind(const std::string& address, std::uint16_t port);

    // Sends without blocking. Delivery is not guaranteed; a datagram that the kernel rejects is
    // lost.
    void send(const std::string& address, std::uint16_t port,
              const peer::received_message& message);

    // Replaces the keys during a key rotation.
    void set_keys(peer::key_ring keys);

    void close();

    const peer_counters& counters() const noexcept;

private:
    struct implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace quetzal::net

#endif
