#ifndef QUETZAL_GATEWAY_SPAWN_HPP
#define QUETZAL_GATEWAY_SPAWN_HPP

#include <exception>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <quetzal/gateway/decision_log.hpp>

namespace quetzal::gateway {

// Starts a detached coroutine. An exception that escapes from it is logged with the task name.
template <class Context>
void spawn(Context& context, std::string_view task, boost::asio::awaitable<void> work)
{
    boost::asio::co_spawn(context, std::move(work), [task](const std::exception_ptr& thrown) {
        if (!thrown) {
            return;
        }
        try {
            std::rethrow_exception(thrown);
        } catch (const std::exception& error) {
            log_event("task_failed", {{"task", task}, {"error", error.what()}});
        }
    });
}

} // namespace quetzal::gateway

#endif
