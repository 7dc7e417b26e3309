#ifndef QUETZAL_GATEWAY_CHANNEL_POOL_HPP
#define QUETZAL_GATEWAY_CHANNEL_POOL_HPP

// Keeps idle connections to endpoints for later requests to the same incarnation.

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/channel.hpp>

namespace quetzal::gateway {

class channel_pool
{
public:
    // `receive_buffer` is that of each connection, in bytes.
    explicit channel_pool(boost::asio::any_io_executor executor,
                          std::shared_ptr<memory_ledger> memory = {},
                          int receive_buffer = channel::usual_receive_buffer);

    // Returns an idle connection that is still usable, or opens a new one within `timeout`.
    boost::asio::awaitable<result<std::shared_ptr<channel>>> acquire(const endpoint& target,
                                                                     duration timeout);

    // Returns a connection to the pool if another request may use it; closes it otherwise.
    void release(const endpoint& target, const std::shared_ptr<channel>& used, time_point now);

    // Closes connections whose idle timeout has expired, those to incarnations that are no longer
    // in the catalog, and those that the endpoint has closed or on which it sends unexpected bytes.
    void prune(const catalog& view, time_point now);

    // Returns the bound of the memory of all response bodies.
    const std::shared_ptr<body_memory>& memory() const noexcept { return memory_; }

    // Returns the number of connections opened so far, including failed attempts.
    std::uint64_t opened_connections() const noexcept { return opened_; }

private:
    struct idle_channel
    {
        std::shared_ptr<channel> connection;
        time_point expires;
    };

    struct idle_list
    {
        endpoint target;
        std::vector<idle_channel> channels; // most recently used last
    };

    boost::asio::any_io_executor executor_;
    std::shared_ptr<body_memory> memory_; // of the bodies on all connections
    int receive_buffer_;                  // bytes
    time_point next_stale_check_{};
    std::unordered_map<std::string, idle_list> idle_; // by endpoint id
    std::uint64_t opened_ = 0;
};

} // namespace quetzal::gateway

#endif
