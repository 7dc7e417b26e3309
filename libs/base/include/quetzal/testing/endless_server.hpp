#ifndef QUETZAL_TESTING_ENDLESS_SERVER_HPP
#define QUETZAL_TESTING_ENDLESS_SERVER_HPP

// A server on raw sockets that sends bytes without end until the client closes the connection, and
// measurements of the memory of the test process. For tests only.

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzal::testing {

// What the server sends after each request that it reads.
struct endless_bytes
{
    std::string prefix;
    std::string unit;                  // repeated until the client closes; empty: nothing follows
    std::chrono::milliseconds pause{}; // before each unit; zero: at full speed
    bool reset = false;                // the connection is reset after the prefix
};

// Listens on loopback. Every connection has its own thread.
class endless_server
{
public:
    // Returns the bytes that follow the request with the given head and position on its connection,
    // which starts at 1.
    using script = std::function<endless_bytes(const std::string& head, std::size_t position)>;

    explicit endless_server(script respond) : respond_(std::move(respond))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        ::bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
        ::listen(listener_, SOMAXCONN);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { accept_connections(); });
    }

    ~endless_server()
    {
        stopping_ = true;
        acceptor_.join();
        for (auto& worker : workers_) {
            worker.join();
        }
        ::close(listener_);
    }

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    std::uint16_t port() const noexcept { return port_; }

    // Returns the number of requests read so far.
    std::size_t requests() const noexcept { return requests_; }

    // Returns the number of connections accepted so far.
    std::size_t connections() const noexcept { return connections_; }

    // Returns the number of connections on which bytes are still being sent.
    std::size_t sending() const noexcept { return sending_; }

private:
    static constexpr int poll_interval_ms = 20;
    static constexpr std::size_t batch_size = 64u << 10; // bytes per write at full speed

    void accept_connections()
    {
        while (!stopping_) {
            if (!wait_for(listener_, POLLIN)) {
                continue;
            }
            const int connection = ::accept(listener_, nullptr, nullptr);
            if (connection >= 0) {
                ++connections_;
                workers_.emplace_back([this, connection] { serve(connection); });
            }
        }
    }

    static bool wait_for(int descriptor, short events)
    {
        pollfd entry{descriptor, events, 0};
        return ::poll(&entry, 1, poll_interval_ms) > 0;
    }

    void serve(int connection)
    {
        std::string received;
        for (std::size_t position = 1; read_head(connection, received); ++position) {
            ++requests_;
            const auto end = received.find("\r\n\r\n") + 4;
            const endless_bytes response = respond_(received.substr(0, end), position);
            received.erase(0, end);
            if (response.reset) {
                send_all(connection, response.prefix);
                const linger reset_on_close{1, 0};
                ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset_on_close,
                             sizeof(reset_on_close));
                break;
            }
            ++sending_;
            const bool open =
                send_all(connection, response.prefix) && send_units(connection, response);
            --sending_;
            if (!open) {
                break;
            }
        }
        ::close(connection);
    }

    // Returns false once the client has closed the connection or the server stops.
    bool read_head(int connection, std::string& received)
    {
        while (received.find("\r\n\r\n") == std::string::npos) {
            if (stopping_) {
                return false;
            }
            if (!wait_for(connection, POLLIN)) {
                continue;
            }
            char bytes[4096];
            const auto size = ::recv(connection, bytes, sizeof(bytes), 0);
            if (size <= 0) {
                return false;
            }
            received.append(bytes, static_cast<std::size_t>(size));
        }
        return true;
    }

    bool send_units(int connection, const endless_bytes& response)
    {
        if (response.unit.empty()) {
            return true;
        }
        std::string batch = response.unit;
        while (response.pause == response.pause.zero() && batch.size() < batch_size) {
            batch += response.unit;
        }
        while (!stopping_) {
            std::this_thread::sleep_for(response.pause);
            if (!send_all(connection, batch)) {
                return false;
            }
        }
        return false;
    }

    bool send_all(int connection, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size() && !stopping_) {
            const auto size = ::send(connection, bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size >= 0) {
                sent += static_cast<std::size_t>(size);
            } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
                return false;
            } else {
                wait_for(connection, POLLOUT);
            }
        }
        return sent == bytes.size();
    }

    script respond_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> requests_{0};
    std::atomic<std::size_t> connections_{0};
    std::atomic<std::size_t> sending_{0};
    std::thread acceptor_;
    std::vector<std::thread> workers_; // used only by `acceptor_` while it runs
};

// Measures how far the peak of the resident memory of this process rises above its size at the
// construction.
class memory_growth
{
public:
    memory_growth()
    {
        std::ofstream("/proc/self/clear_refs") << "5"; // resets the peak to the present size
        start_ = peak_kib();
    }

    // Returns the growth so far, in KiB.
    std::size_t kib() const
    {
        const std::size_t peak = peak_kib();
        return peak - std::min(peak, start_); // the kernel's counters lag a little
    }

private:
    static std::size_t peak_kib()
    {
        std::ifstream status("/proc/self/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6));
            }
        }
        return 0;
    }

    std::size_t start_ = 0;
};

} // namespace quetzal::testing

#endif
