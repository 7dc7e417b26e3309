#ifndef QUETZAL_NODE_WAKEUP_HPP
#define QUETZAL_NODE_WAKEUP_HPP

// Lets a coroutine sleep until another thread wakes it or a time passes.

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::node {

// One sleeper. `notify` is thread-safe; `wait` belongs to the coroutine, which must run on
// `executor`, a strand or a single thread. A notification before the wait is not lost.
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

    // Returns after a notification or after `longest`.
    boost::asio::awaitable<void> wait(duration longest)
    {
        if (!notified_) {
            boost::system::error_code error;
            timer_.expires_after(longest);
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
