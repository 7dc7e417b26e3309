#include <quetzal/gateway/channel_pool.hpp>

#include <algorithm>

#include <boost/asio/use_awaitable.hpp>

namespace quetzal::gateway {

namespace {

// How long an idle connection is kept when its endpoint does not say how long it keeps it.
constexpr duration default_idle = std::chrono::seconds(4);
// Kept shorter than the endpoint keeps it, so that a request does not meet its closing.
constexpr duration idle_margin = std::chrono::milliseconds(700);
constexpr duration longest_idle = std::chrono::seconds(20);
constexpr std::size_t idle_limit = 16; // connections kept for each endpoint

} // namespace

boost::asio::awaitable<result<std::shared_ptr<channel>>> channel_pool::take(const endpoint& target,
                                                                            duration timeout)
{
    if (const auto found = idle_.find(target.id); found != idle_.end()) {
        auto& list = found->second;
        if (!list.target.same_incarnation(target)) {
            idle_.erase(found);
        } else {
            const time_point now = boot_clock::now();
            while (!list.channels.empty()) {
                idle_channel last = std::move(list.channels.back());
                list.channels.pop_back();
                if (last.expires > now && !last.connection->spoiled()) {
                    co_return std::move(last.connection);
                }
                last.connection->close();
            }
        }
    }
    auto opened = std::make_shared<channel>(executor_);
    ++opened_;
    const auto address = target.address;
    const auto connected = co_await opened->open(address, timeout);
    if (!connected) {
        co_return tl::unexpected(connected.error());
    }
    co_return opened;
}

void channel_pool::give_back(const endpoint& target, const std::shared_ptr<channel>& used,
                             time_point now)
{
    if (!used->reusable()) {
        used->close();
        return;
    }
    idle_list& list = idle_[target.id];
    if (!list.target.same_incarnation(target)) {
        list.target = target;
        list.channels.clear();
    }
    const auto announced = used->keep_alive();
    const duration kept =
        announced ? std::min<duration>(*announced, longest_idle) - idle_margin : default_idle;
    if (kept <= duration::zero() || list.channels.size() >= idle_limit) {
        used->close();
        return;
    }
    list.channels.push_back({used, now + kept});
}

void channel_pool::prune(const catalog& view, time_point now)
{
    for (auto& entry : idle_) {
        idle_list& list = entry.second;
        const endpoint* current = view.find_endpoint(entry.first);
        const bool gone = current == nullptr || !current->same_incarnation(list.target);
        std::erase_if(list.channels,
                      [&](const idle_channel& idle) { return gone || idle.expires <= now; });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.channels.empty(); });
}

} // namespace quetzal::gateway
