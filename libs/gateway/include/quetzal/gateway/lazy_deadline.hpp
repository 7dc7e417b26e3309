#ifndef QUETZAL_GATEWAY_LAZY_DEADLINE_HPP
#define QUETZAL_GATEWAY_LAZY_DEADLINE_HPP

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

// A timeout that is postponed far more often than it expires. Postponing it only stores the new
// time; the timer itself is restarted when it fires before that time. Not thread-safe. The callback
// may run until the object is destroyed or `clear` is called.
class lazy_deadline
{
public:
    lazy_deadline(const boost::asio::any_io_executor& executor, std::function<void()> expired);
    ~lazy_deadline();
    lazy_deadline(const lazy_deadline&) = delete;
    lazy_deadline& operator=(const lazy_deadline&) = delete;

    // Calls the callback once after `timeout`, unless the timeout is changed or cleared before.
    void expires_after(duration timeout);

    // Cancels the timeout.
    void clear() noexcept;

private:
    struct state;

    static void start_timer(const std::shared_ptr<state>& self);

    std::shared_ptr<state> state_;
};

} // namespace quetzal::gateway

#endif
