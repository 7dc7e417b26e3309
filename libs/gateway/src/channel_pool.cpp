#include <quetzal/gateway/channel_pool.hpp>

#include <algorithm>

#include <boost/asio/use_awaitable.hpp>

namespace quetzal::gateway {

namespace {

// Used when the endpoint does not state how long it keeps idle connections.
constexpr duration default_idle_timeout = std::chrono::seconds(4);
// Subtracted from the endpoint's idle timeout, so that no request is sent while the endpoint closes
// the connection.
constexpr duration idle_timeout_margin = std::chrono::milliseconds(700);
constexpr duration max_idle_timeout = std::chrono::seconds(20);
constexpr std::size_t max_idle_connections = 16; // for each endpoint
// Interval at which idle connections are checked for unexpected bytes, a system call for each.
constexpr duration stale_check_interval = std::chrono::milliseconds(500);
constexpr std::size_t max_body_memory = 24u << 20; // bytes of all response bodies read at once

} // namespace

channel_pool::channel_pool(boost::asio::any_io_executor executor,
                           std::shared_ptr<memory_ledger> memory, int receive_buffer)
    : executor_(std::move(executor)),
      memory_(std::make_shared<body_memory>(max_body_memory, std::move(memory))),
      receive_buffer_(receive_buffer)
{
}

boost::asio::awaitable<result<std::shared_ptr<channel>>>
channel_pool::acquire(const endpoint& target, duration timeout)
{
    if (const auto found = idle_.find(target.id); found != idle_.end()) {
        auto& idle = found->second;
        if (!idle.target.same_incarnation(target)) {
            idle_.erase(found);
        } else {
            const time_point now = boot_clock::now();
            while (!idle.channels.empty()) {
                idle_channel last = std::move(idle.channels.back());
                idle.channels.pop_back();
                if (last.expires > now && !last.connection->is_stale()) {
                    co_return std::move(last.connection);
                }
                last.connection->close();
            }
        }
    }
    auto opened = std::make_shared<channel>(executor_, memory_, receive_buffer_);
    ++opened_;
    const auto address = target.address;
    const auto connected = co_await opened->open(address, timeout);
    if (!connected) {
        co_return tl::unexpected(connected.error());
    }
    co_return opened;
}

void channel_pool::release(const endpoint& target, const std::shared_ptr<channel>& used,
                           time_point now)
{
    if (!used->is_reusable()) {
        used->close();
        return;
    }
    idle_list& idle = idle_[target.id];
    if (!idle.target.same_incarnation(target)) {
        idle.target = target;
        idle.channels.clear();
    }
    const auto endpoint_timeout = used->keep_alive();
    const duration idle_timeout =
        endpoint_timeout
            ? std::min<duration>(*endpoint_timeout, max_idle_timeout) - idle_timeout_margin
            : default_idle_timeout;
    if (idle_timeout <= duration::zero() || idle.channels.size() >= max_idle_connections) {
        used->close();
        return;
    }
    idle.channels.push_back({used, now + idle_timeout});
}

void channel_pool::prune(const catalog& view, time_point now)
{
    const bool check_stale = now >= next_stale_check_;
    if (check_stale) {
        next_stale_check_ = now + stale_check_interval;
    }
    for (auto& entry : idle_) {
        idle_list& idle = entry.second;
        const endpoint* current = view.find_endpoint(entry.first);
        const bool gone = current == nullptr || !current->same_incarnation(idle.target);
        std::erase_if(idle.channels, [&](const idle_channel& candidate) {
            return gone || candidate.expires <= now ||
                   (check_stale && candidate.connection->is_stale());
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.channels.empty(); });
}

} // namespace quetzal::gateway
