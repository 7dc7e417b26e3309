#ifndef QUETZAL_GATEWAY_DRIVEN_ENDLESS_SERVER_HPP
#define QUETZAL_GATEWAY_DRIVEN_ENDLESS_SERVER_HPP

// A server like `endless_server` without threads: it runs on the event loop of the program under
// test. Whenever that program runs, so does the server, so that a busy machine delays both alike.
// For tests only.

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <quetzal/testing/endless_server.hpp>

namespace quetzal::gateway::testing {

// Listens on loopback. Everything happens while the event loop runs.
class driven_endless_server
{
public:
    using script = quetzal::testing::endless_server::script;

    driven_endless_server(boost::asio::io_context& context, script respond)
        : state_(std::make_shared<state>(context, std::move(respond)))
    {
        boost::asio::co_spawn(context, accept_connections(state_), boost::asio::detached);
    }

    ~driven_endless_server()
    {
        boost::system::error_code ignored; // nothing depends on the outcome of closing
        state_->stopping = true;
        state_->acceptor.close(ignored);
        for (const auto& socket : state_->sockets) {
            socket->close(ignored);
        }
    }

    driven_endless_server(const driven_endless_server&) = delete;
    driven_endless_server& operator=(const driven_endless_server&) = delete;

    std::uint16_t port() const { return state_->acceptor.local_endpoint().port(); }

    // Returns the number of requests read so far.
    std::size_t requests() const noexcept { return state_->requests; }

    // Returns the number of connections on which bytes are still being sent.
    std::size_t sending() const noexcept { return state_->sending; }

private:
    using tcp = boost::asio::ip::tcp;
    using socket_ptr = std::shared_ptr<tcp::socket>;

    static constexpr std::size_t batch_size = 64u << 10; // bytes per write at full speed

    struct state
    {
        state(boost::asio::io_context& loop, script with)
            : context(loop), respond(std::move(with)),
              acceptor(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        {
        }

        boost::asio::io_context& context;
        script respond;
        tcp::acceptor acceptor;
        std::set<socket_ptr> sockets;
        bool stopping = false;
        std::size_t requests = 0;
        std::size_t sending = 0;
    };

    static boost::asio::awaitable<void> accept_connections(std::shared_ptr<state> self)
    {
        while (!self->stopping) {
            boost::system::error_code error;
            tcp::socket accepted = co_await self->acceptor.async_accept(
                boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error) {
                co_return; // the server was destroyed
            }
            auto connection = std::make_shared<tcp::socket>(std::move(accepted));
            self->sockets.insert(connection);
            boost::asio::co_spawn(self->context, serve(self, std::move(connection)),
                                  boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> serve(std::shared_ptr<state> self, socket_ptr connection)
    {
        std::string received;
        for (std::size_t position = 1; !self->stopping; ++position) {
            boost::system::error_code error;
            const std::size_t size = co_await boost::asio::async_read_until(
                *connection, boost::asio::dynamic_buffer(received), "\r\n\r\n",
                boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error || self->stopping) {
                break;
            }
            ++self->requests;
            const quetzal::testing::endless_bytes response =
                self->respond(received.substr(0, size), position);
            received.erase(0, size);
            ++self->sending;
            const bool open = co_await send_response(*self, *connection, response);
            --self->sending;
            if (!open) {
                break;
            }
        }
        boost::system::error_code ignored; // nothing depends on the outcome of closing
        connection->close(ignored);
        self->sockets.erase(connection);
    }

    // Returns false once the client has closed the connection.
    static boost::asio::awaitable<bool>
    send_response(state& self, tcp::socket& connection,
                  const quetzal::testing::endless_bytes& response)
    {
        boost::system::error_code error;
        co_await boost::asio::async_write(
            connection, boost::asio::buffer(response.prefix),
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (response.unit.empty()) {
            co_return !error;
        }
        const bool paused = response.pause > response.pause.zero();
        std::string batch = response.unit;
        while (!paused && batch.size() < batch_size) {
            batch += response.unit;
        }
        boost::asio::steady_timer timer(self.context);
        while (!error && !self.stopping) {
            if (paused) {
                boost::system::error_code ignored; // the timer is not cancelled
                timer.expires_after(response.pause);
                co_await timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            }
            co_await boost::asio::async_write(
                connection, boost::asio::buffer(batch),
                boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
        co_return false;
    }

    std::shared_ptr<state> state_;
};

} // namespace quetzal::gateway::testing

#endif
