#include <quetzal/net/transfer.hpp>

#include <atomic>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "listening.hpp"

namespace quetzal::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr duration idle_timeout = std::chrono::seconds(10); // between two requests on a connection

auto await_with_error(boost::system::error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

// Reads one frame. Returns nullopt if the connection fails or if the frame is malformed or not
// authentic; the latter two are counted in `dropped` if it is not null.
asio::awaitable<std::optional<peer::transfer_message>>
read_frame(beast::tcp_stream& stream, const peer::key_ring& keys,
           std::atomic<std::uint64_t>* dropped)
{
    boost::system::error_code error;
    std::string frame(peer::transfer_header_size, '\0');
    co_await asio::async_read(stream, asio::buffer(frame), await_with_error(error));
    if (error) {
        co_return std::nullopt;
    }
    const auto size = peer::frame_body_size(frame);
    if (size) {
        frame.resize(peer::transfer_header_size + *size);
        co_await asio::async_read(stream,
                                  asio::buffer(frame.data() + peer::transfer_header_size, *size),
                                  await_with_error(error));
        if (error) {
            co_return std::nullopt;
        }
        if (auto message = peer::decode_frame(frame, keys)) {
            co_return std::move(*message);
        }
    }
    if (dropped != nullptr) {
        ++*dropped;
    }
    co_return std::nullopt;
}

asio::awaitable<bool> write_frame(beast::tcp_stream& stream, const peer::transfer_message& message,
                                  const peer::key_ring& keys)
{
    boost::system::error_code error;
    const std::string frame = peer::encode_frame(message, keys);
    co_await asio::async_write(stream, asio::buffer(frame), await_with_error(error));
    co_return !error;
}

} // namespace

struct transfer_server::implementation : std::enable_shared_from_this<implementation>
{
    implementation(asio::any_io_executor io_executor, peer::key_ring shared_keys, responder handler)
        : executor(std::move(io_executor)), keys(std::move(shared_keys)),
          respond(std::move(handler)), acceptor(executor)
    {
    }

    asio::awaitable<void> accept_connections()
    {
        auto self = shared_from_this();
        while (!stopping) {
            boost::system::error_code error;
            tcp::socket socket = co_await acceptor.async_accept(asio::make_strand(executor),
                                                                await_with_error(error));
            if (error || stopping) {
                co_return;
            }
            if (open_connections >= max_transfer_connections) {
                continue; // the socket closes here
            }
            const auto connection_executor = socket.get_executor();
            asio::co_spawn(connection_executor,
                           serve_connection(beast::tcp_stream(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> serve_connection(beast::tcp_stream stream)
    {
        auto self = shared_from_this();
        ++open_connections;
        while (!stopping) {
            stream.expires_after(idle_timeout);
            auto request = co_await read_frame(stream, keys, &dropped);
            if (!request) {
                break;
            }
            auto response = co_await respond(std::move(*request));
            if (!response || !co_await write_frame(stream, *response, keys)) {
                break;
            }
        }
        --open_connections;
    }

    asio::any_io_executor executor;
    peer::key_ring keys;
    responder respond;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> open_connections{0};
    std::atomic<std::uint64_t> dropped{0};
};

transfer_server::transfer_server(asio::any_io_executor executor, peer::key_ring keys,
                                 responder respond)
    : impl_(std::make_shared<implementation>(std::move(executor), std::move(keys),
                                             std::move(respond)))
{
}

transfer_server::~transfer_server()
{
    stop();
}

tl::expected<std::uint16_t, std::string> transfer_server::listen(const std::string& address,
                                                                 std::uint16_t port)
{
    auto bound_port = internal::listen_on(impl_->acceptor, address, port);
    if (bound_port) {
        asio::co_spawn(impl_->executor, impl_->accept_connections(), asio::detached);
    }
    return bound_port;
}

void transfer_server::stop()
{
    if (impl_->stopping.exchange(true)) {
        return;
    }
    asio::post(impl_->executor, [impl = impl_] {
        boost::system::error_code error;
        impl->acceptor.close(error);
    });
}

std::uint64_t transfer_server::dropped() const noexcept
{
    return impl_->dropped;
}

struct transfer_connection::implementation
{
    implementation(asio::any_io_executor executor, peer::key_ring shared_keys)
        : stream(std::move(executor)), keys(std::move(shared_keys))
    {
    }

    beast::tcp_stream stream;
    peer::key_ring keys;
};

transfer_connection::transfer_connection(std::unique_ptr<implementation> impl)
    : impl_(std::move(impl))
{
}

transfer_connection::~transfer_connection() = default;

asio::awaitable<result<std::unique_ptr<transfer_connection>>>
transfer_connection::connect(asio::any_io_executor executor, std::string address,
                             std::uint16_t port, peer::key_ring keys, duration timeout)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        co_return not_run(reason::no_endpoint, "\"" + address + "\" is not a numeric IP address");
    }
    auto impl = std::make_unique<implementation>(std::move(executor), std::move(keys));
    impl->stream.expires_after(timeout);
    co_await impl->stream.async_connect(tcp::endpoint(ip, port), await_with_error(error));
    if (error) {
        co_return not_run(reason::endpoint_failed,
                          "cannot connect to the peer: " + error.message());
    }
    co_return std::unique_ptr<transfer_connection>(new transfer_connection(std::move(impl)));
}

asio::awaitable<result<peer::transfer_message>>
transfer_connection::exchange(peer::transfer_message request, duration timeout)
{
    impl_->stream.expires_after(timeout);
    if (co_await write_frame(impl_->stream, request, impl_->keys)) {
        if (auto response = co_await read_frame(impl_->stream, impl_->keys, nullptr)) {
            co_return std::move(*response);
        }
    }
    co_return may_have_run(reason::endpoint_failed, "the peer sent no valid response");
}

} // namespace quetzal::net
