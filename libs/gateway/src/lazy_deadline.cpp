#include <quetzal/gateway/lazy_deadline.hpp>

#include <utility>

namespace quetzal::gateway {

struct lazy_deadline::state
{
    state(const boost::asio::any_io_executor& executor, std::function<void()> callback)
        : timer(executor), expired(std::move(callback))
    {
    }

    boost::asio::steady_timer timer;
    std::function<void()> expired;
    std::optional<std::chrono::steady_clock::time_point> deadline;
    std::optional<std::chrono::steady_clock::time_point> timer_expiry;
    bool destroyed = false;
};

lazy_deadline::lazy_deadline(const boost::asio::any_io_executor& executor,
                             std::function<void()> expired)
    : state_(std::make_shared<state>(executor, std::move(expired)))
{
}

lazy_deadline::~lazy_deadline()
{
    state_->destroyed = true;
    state_->deadline.reset();
    state_->timer.cancel();
}

void lazy_deadline::expires_after(duration timeout)
{
    state_->deadline = std::chrono::steady_clock::now() + timeout;
    if (!state_->timer_expiry || *state_->timer_expiry > *state_->deadline) {
        start_timer(state_);
    }
}

void lazy_deadline::clear() noexcept
{
    state_->deadline.reset();
}

void lazy_deadline::start_timer(const std::shared_ptr<state>& self)
{
    self->timer_expiry = self->deadline;
    self->timer.expires_at(*self->deadline);
    self->timer.async_wait(
        [self, expiry = *self->deadline](const boost::system::error_code& error) {
            if (error || self->destroyed || self->timer_expiry != expiry) {
                return; // destroyed, or replaced by a wait for an earlier time
            }
            self->timer_expiry.reset();
            if (!self->deadline) {
                return;
            }
            if (std::chrono::steady_clock::now() < *self->deadline) {
                start_timer(self);
                return;
            }
            self->deadline.reset();
            self->expired();
        });
}

} // namespace quetzal::gateway
