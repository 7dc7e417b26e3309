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
    std::optional<std::chrono::steady_clock::time_point> due;
    std::optional<std::chrono::steady_clock::time_point> armed_for;
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
    state_->due.reset();
    state_->timer.cancel();
}

void lazy_deadline::expires_after(duration timeout)
{
    state_->due = std::chrono::steady_clock::now() + timeout;
    if (!state_->armed_for || *state_->armed_for > *state_->due) {
        wait(state_);
    }
}

void lazy_deadline::clear() noexcept
{
    state_->due.reset();
}

void lazy_deadline::wait(const std::shared_ptr<state>& self)
{
    self->armed_for = self->due;
    self->timer.expires_at(*self->due);
    self->timer.async_wait([self, armed = *self->due](const boost::system::error_code& error) {
        if (error || self->destroyed || self->armed_for != armed) {
            return; // replaced by an earlier wait
        }
        self->armed_for.reset();
        if (!self->due) {
            return;
        }
        if (std::chrono::steady_clock::now() < *self->due) {
            wait(self);
            return;
        }
        self->due.reset();
        self->expired();
    });
}

} // namespace quetzal::gateway
