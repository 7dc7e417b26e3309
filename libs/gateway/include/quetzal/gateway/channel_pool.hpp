#ifndef QUETZAL_GATEWAY_CHANNEL_POOL_HPP
#define QUETZAL_GATEWAY_CHANNEL_POOL_HPP

// Idle connections to endpoints, kept for the next request to the same incarnation.

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
    explicit channel_pool(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

    // Takes an idle connection that is still usable, or opens a new one.
    boost::asio::awaitable<result<std::shared_ptr<channel>>> take(const endpoint& target,
                                                                  duration timeout);

    // Keeps the connection if another request may use it; closes it otherwise.
    void give_back(const endpoint& target, const std::shared_ptr<channel>& used, time_point now);

    // Closes connections that have been idle for too long and those of endpoints that are gone.
    void prune(const catalog& view, time_point now);

    std::uint64_t opened() const noexcept { return opened_; }

private:
    struct idle_channel
    {
        std::shared_ptr<channel> connection;
        time_point expires;
    };

    struct idle_list
    {
        endpoint target;
        std::vector<idle_channel> channels; // last used last
    };

    boost::asio::any_io_executor executor_;
    std::unordered_map<std::string, idle_list> idle_; // by endpoint id
    std::uint64_t opened_ = 0;
};

} // namespace quetzal::gateway

#endif
