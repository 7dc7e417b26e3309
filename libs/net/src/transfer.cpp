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

constexpr duration idle_timeout = std::chrono::seconds(10); // of a connection between two requests

auto await_with(boost::system::error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

// Reads one frame. Nothing on a broken connection or a frame that is not authentic.
asio::awaitable<std::optional<peer::transfer_message>>
read_frame(beast::tcp_stream& stream, const peer::key_ring& keys,
           std::atomic<std::uint64_t>* dropped)
{
    boost::system::error_code error;
    std::string frame(peer::transfer_header_size, '\0');
    co_await asio::async_read(stream, asio::buffer(frame), await_with(error));
    if (error) {
        co_return std::nullopt;
    }
    const auto size = peer::frame_body_size(frame);
    if (size) {
        frame.resize(peer::transfer_header_size + *size);
        co_await asio::async_read(stream,
                                  asio::buffer(frame.data() + peer::transfer_header_size, *size),
                                  await_with(error));
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
    co_await asio::async_write(stream, asio::buffer(frame), await_with(error));
    co_return !error;
}

} // namespace

struct transfer_server::implementation : std::enable_shared_from_this<implementation>
{
    implementation(asio::any_io_executor where, peer::key_ring ring, responder function)
        : executor(std::move(where)), keys(std::move(ring)), respond(std::move(function)),
          acceptor(executor)
    {
    }

    asio::awaitable<void> accept()
    {
        auto self = shared_from_this();
        while (!stopping) {
            boost::system::error_code error;
            tcp::socket socket =
                co_await acceptor.async_accept(asio::make_strand(executor), await_with(error));
            if (error || stopping) {
                co_return;
            }
            if (open >= max_transfer_connections) {
                continue; // the socket closes here
            }
            const auto where = socket.get_executor();
            asio::co_spawn(where, serve(beast::tcp_stream(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> serve(beast::tcp_stream stream)
    {
        auto self = shared_from_this();
        ++open;
        while (!stopping) {
            stream.expires_after(idle_timeout);
            auto request = co_await read_frame(stream, keys, &dropped);
            if (!request) {
                break;
            }
            auto answer = co_await respond(std::move(*request));
            if (!answer || !co_await write_frame(stream, *answer, keys)) {
                break;
            }
        }
        --open;
    }

    asio::any_io_executor executor;
    peer::key_ring keys;
    responder respond;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> open{0};
    std::atomic<std::uint64_t> dropped{0};
};

transfer_server::transfer_server(asio::any_io_executor executor, peer::key_ring keys,
                                 responder respond)
    : body_(std::make_shared<implementation>(std::move(executor), std::move(keys),
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
    auto opened = internal::listen_on(body_->acceptor, address, port);
    if (opened) {
        asio::co_spawn(body_->executor, body_->accept(), asio::detached);
    }
    return opened;
}

void transfer_server::stop()
{
    if (body_->stopping.exchange(true)) {
        return;
    }
    asio::post(body_->executor, [body = body_] {
        boost::system::error_code error;
        body->acceptor.close(error);
    });
}

std::uint64_t transfer_server::dropped() const noexcept
{
    return body_->dropped;
}

struct transfer_connection::implementation
{
    implementation(asio::any_io_executor executor, peer::key_ring ring)
        : stream(std::move(executor)), keys(std::move(ring))
    {
    }

    beast::tcp_stream stream;
    peer::key_ring keys;
};

transfer_connection::transfer_connection(std::unique_ptr<implementation> body)
    : body_(std::move(body))
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
    auto body = std::make_unique<implementation>(std::move(executor), std::move(keys));
    body->stream.expires_after(timeout);
    co_await body->stream.async_connect(tcp::endpoint(ip, port), await_with(error));
    if (error) {
        co_return not_run(reason::endpoint_failed,
                          "cannot connect to the peer: " + error.message());
    }
    co_return std::unique_ptr<transfer_connection>(new transfer_connection(std::move(body)));
}

asio::awaitable<result<peer::transfer_message>>
transfer_connection::exchange(peer::transfer_message request, duration timeout)
{
    body_->stream.expires_after(timeout);
    if (co_await write_frame(body_->stream, request, body_->keys)) {
        if (auto answer = co_await read_frame(body_->stream, body_->keys, nullptr)) {
            co_return std::move(*answer);
        }
    }
    co_return may_have_run(reason::endpoint_failed, "the peer closed the connection");
}

} // namespace quetzal::net
