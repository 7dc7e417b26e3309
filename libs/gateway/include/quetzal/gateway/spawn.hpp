#ifndef QUETZAL_GATEWAY_SPAWN_HPP
#define QUETZAL_GATEWAY_SPAWN_HPP

#include <exception>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <quetzal/base/time.hpp>
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

// How long a persistent task waits before it starts again.
constexpr duration task_restart_delay = std::chrono::milliseconds(250);

// Runs the coroutines that `make_work` returns: another one whenever one ends with an exception,
// which is logged with the task name.
template <class MakeWork>
boost::asio::awaitable<void> run_persistent(std::string_view task, MakeWork make_work)
{
    boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
    while (true) {
        bool failed = false;
        try {
            co_await make_work();
        } catch (const std::exception& error) {
            failed = true;
            log_event("task_failed", {{"task", task}, {"error", error.what()}, {"restarted", 1}});
        }
        if (!failed) {
            co_return;
        }
        pause.expires_after(task_restart_delay);
        boost::system::error_code ignored; // the timer is not cancelled
        co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

// Starts a detached coroutine that serves for the whole life of the process, and starts it again
// after an exception.
template <class Context, class MakeWork>
void spawn_persistent(Context& context, std::string_view task, MakeWork make_work)
{
    spawn(context, task, run_persistent(task, std::move(make_work)));
}

} // namespace quetzal::gateway

#endif
