#include <quetzal/net/peer_socket.hpp>

#include <mutex>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/strand.hpp>

namespace quetzal::net {

namespace asio = boost::asio;
using udp = asio::ip::udp;

// The socket uses a strand, so receive operations and the message handler never run concurrently.
struct peer_socket::implementation : std::enable_shared_from_this<implementation>
{
    implementation(const asio::any_io_executor& executor, peer::key_ring initial_keys,
                   message_handler handler)
        : strand(asio::make_strand(executor)), socket(strand), keys(std::move(initial_keys)),
          on_message(std::move(handler))
    {
    }

    peer::key_ring current_keys()
    {
        const std::lock_guard lock(mutex);
        return keys;
    }

    void receive_next()
    {
        socket.async_receive_from(asio::buffer(buffer), sender,
                                  [self = shared_from_this()](const auto& error, std::size_t size) {
                                      self->handle_receive(error, size);
                                  });
    }

    void handle_receive(const boost::system::error_code& error, std::size_t size)
    {
        if (error == asio::error::operation_aborted || !socket.is_open()) {
            return;
        }
        if (!error) {
            ++counters.received;
            counters.received_bytes += size;
            const auto message = peer::decode({buffer.data(), size}, current_keys());
            if (message) {
                on_message(*message);
            } else {
                ++counters.dropped[static_cast<std::size_t>(message.error())];
            }
        }
        receive_next();
    }

    asio::strand<asio::any_io_executor> strand;
    udp::socket socket;
    std::mutex mutex; // guards `keys`
    peer::key_ring keys;
    message_handler on_message;
    udp::endpoint sender;
    std::array<char, 65536> buffer{};
    peer_counters counters;
};

peer_socket::peer_socket(const asio::any_io_executor& executor, peer::key_ring keys,
                         message_handler on_message)
    : impl_(std::make_shared<implementation>(executor, std::move(keys), std::move(on_message)))
{
}

peer_socket::~peer_socket()
{
    close();
}

tl::expected<std::uint16_t, std::string> peer_socket::bind(const std::string& address,
                                                           std::uint16_t port)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        return tl::unexpected("\"" + address + "\" is not a numeric IP address");
    }
    const udp::endpoint local(ip, port);
    if (impl_->socket.open(local.protocol(), error) || impl_->socket.bind(local, error)) {
        return tl::unexpected("cannot bind a UDP socket to " + address + ":" +
                              std::to_string(port) + ": " + error.message());
    }
    // With a full send buffer, a send drops the datagram instead of blocking.
    impl_->socket.non_blocking(true, error);
    asio::post(impl_->strand, [impl = impl_] { impl->receive_next(); });
    return impl_->socket.local_endpoint().port();
}

void peer_socket::send(const std::string& address, std::uint16_t port,
                       const peer::received_message& message)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        return;
    }
    auto datagram = std::make_shared<std::string>(peer::encode(message, impl_->current_keys()));
    if (datagram->size() > peer::max_datagram_size) {
        ++impl_->counters.oversized;
    }
    asio::post(impl_->strand, [impl = impl_, datagram, target = udp::endpoint(ip, port)] {
        boost::system::error_code send_error;
        impl->socket.send_to(asio::buffer(*datagram), target, 0, send_error);
        if (!send_error) {
            ++impl->counters.sent;
            impl->counters.sent_bytes += datagram->size();
        }
    });
}

void peer_socket::set_keys(peer::key_ring keys)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->keys = std::move(keys);
}

void peer_socket::close()
{
    asio::post(impl_->strand, [impl = impl_] {
        boost::system::error_code error;
        impl->socket.close(error);
    });
}

const peer_counters& peer_socket::counters() const noexcept
{
    return impl_->counters;
}

} // namespace quetzal::net
