#include <quetzal/net/peer_socket.hpp>

#include <mutex>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/strand.hpp>

namespace quetzal::net {

namespace asio = boost::asio;
using udp = asio::ip::udp;

// The socket lives on a strand: receive operations and their handler never run concurrently.
struct peer_socket::implementation : std::enable_shared_from_this<implementation>
{
    implementation(const asio::any_io_executor& executor, peer::key_ring ring, receiver function)
        : strand(asio::make_strand(executor)), socket(strand), keys(std::move(ring)),
          on_message(std::move(function))
    {
    }

    peer::key_ring current_keys()
    {
        const std::lock_guard lock(mutex);
        return keys;
    }

    void receive()
    {
        socket.async_receive_from(asio::buffer(buffer), sender,
                                  [self = shared_from_this()](const auto& error, std::size_t size) {
                                      self->handle(error, size);
                                  });
    }

    void handle(const boost::system::error_code& error, std::size_t size)
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
        receive();
    }

    asio::strand<asio::any_io_executor> strand;
    udp::socket socket;
    std::mutex mutex; // guards `keys`
    peer::key_ring keys;
    receiver on_message;
    udp::endpoint sender;
    std::array<char, 65536> buffer{};
    peer_counters counters;
};

peer_socket::peer_socket(const asio::any_io_executor& executor, peer::key_ring keys,
                         receiver on_message)
    : body_(std::make_shared<implementation>(executor, std::move(keys), std::move(on_message)))
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
    if (body_->socket.open(local.protocol(), error) || body_->socket.bind(local, error)) {
        return tl::unexpected("cannot bind UDP " + address + ":" + std::to_string(port) + ": " +
                              error.message());
    }
    body_->socket.non_blocking(true,
                               error); // a full send buffer loses the datagram instead of blocking
    asio::post(body_->strand, [body = body_] { body->receive(); });
    return body_->socket.local_endpoint().port();
}

void peer_socket::send(const std::string& address, std::uint16_t port,
                       const peer::received& message)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        return;
    }
    auto datagram = std::make_shared<std::string>(peer::encode(message, body_->current_keys()));
    if (datagram->size() > peer::max_datagram_size) {
        ++body_->counters.oversized;
    }
    asio::post(body_->strand, [body = body_, datagram, target = udp::endpoint(ip, port)] {
        boost::system::error_code failed;
        body->socket.send_to(asio::buffer(*datagram), target, 0, failed);
        if (!failed) {
            ++body->counters.sent;
            body->counters.sent_bytes += datagram->size();
        }
    });
}

void peer_socket::set_keys(peer::key_ring keys)
{
    const std::lock_guard lock(body_->mutex);
    body_->keys = std::move(keys);
}

void peer_socket::close()
{
    asio::post(body_->strand, [body = body_] {
        boost::system::error_code error;
        body->socket.close(error);
    });
}

const peer_counters& peer_socket::counters() const noexcept
{
    return body_->counters;
}

} // namespace quetzal::net
