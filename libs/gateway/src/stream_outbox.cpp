#include "stream_outbox.hpp"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/spawn.hpp>

namespace quetzal::gateway::internal {

namespace asio = boost::asio;

namespace {

constexpr unsigned stream_status = 200;

} // namespace

stream_outbox::stream_outbox(asio::io_context& context, response_writer& writer,
                             std::string headers, std::shared_ptr<body_memory> memory)
    : context_(context), writer_(writer), headers_(std::move(headers)), memory_(std::move(memory)),
      written_(context, asio::steady_timer::time_point::max())
{
}

asio::awaitable<bool> stream_outbox::add(std::string events, bool last)
{
    waiting_ += events;
    last_ = last_ || last;
    if (!writing_ && !failed_) {
        writing_ = true;
        spawn(context_, "write_stream", write_all(shared_from_this()));
    }
    while (writing_ && !has_room()) {
        co_await wait_for_write();
    }
    co_return !failed_;
}

void stream_outbox::discard()
{
    waiting_.clear();
    last_ = false;
}

asio::awaitable<bool> stream_outbox::finish()
{
    while (writing_) {
        co_await wait_for_write();
    }
    co_return !failed_;
}

asio::awaitable<void> stream_outbox::write_all(std::shared_ptr<stream_outbox> self)
{
    try {
        while (!self->failed_ && (!self->waiting_.empty() || self->last_)) {
            std::string events = std::exchange(self->waiting_, {});
            const bool last = std::exchange(self->last_, false);
            self->failed_ = !co_await self->writer_.write_stream_part(stream_status, self->headers_,
                                                                      std::move(events), last);
            self->written_.cancel();
        }
    } catch (const std::exception& error) {
        self->failed_ = true;
        log_event("task_failed", {{"task", "write_stream"}, {"error", error.what()}});
    }
    self->writing_ = false;
    self->written_.cancel();
}

bool stream_outbox::has_room()
{
    return waiting_.size() <= max_waiting && memory_.grow(waiting_.capacity());
}

asio::awaitable<void> stream_outbox::wait_for_write()
{
    boost::system::error_code ignored; // cancelled after a write
    co_await written_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace quetzal::gateway::internal
