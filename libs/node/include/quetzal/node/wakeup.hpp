#ifndef QUETZAL_NODE_WAKEUP_HPP
#define QUETZAL_NODE_WAKEUP_HPP

// Suspends a coroutine until another thread notifies it or a timeout expires.

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::node {

// Supports one waiting coroutine. `notify` is thread-safe. `wait` must be called by a coroutine
// that runs on `executor`, which must be a strand or single-threaded. A notification that precedes
// the wait is not lost.
class wakeup : public std::enable_shared_from_this<wakeup>
{
public:
    explicit wakeup(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    void notify()
    {
        boost::asio::post(timer_.get_executor(), [self = shared_from_this()] {
            self->notified_ = true;
            self->timer_.cancel();
        });
    }

    // Returns after a notification or after `timeout`.
    boost::asio::awaitable<void> wait(duration timeout)
    {
        if (!notified_) {
            boost::system::error_code error;
            timer_.expires_after(timeout);
            co_await timer_.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
        notified_ = false;
    }

private:
    boost::asio::steady_timer timer_;
    bool notified_ = false;
};

} // namespace quetzal::node

#endif
