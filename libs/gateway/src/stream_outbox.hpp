#ifndef QUETZAL_GATEWAY_STREAM_OUTBOX_HPP
#define QUETZAL_GATEWAY_STREAM_OUTBOX_HPP

// Writes the events of a stream to its caller while further ones are received, so that an endpoint
// whose response a slow caller takes is not left unread. Must be used by one coroutine at a time.

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <quetzal/gateway/body_memory.hpp>
#include <quetzal/gateway/caller_request.hpp>

namespace quetzal::gateway::internal {

class stream_outbox : public std::enable_shared_from_this<stream_outbox>
{
public:
    // Bytes of events that may wait for the caller, of one stream.
    static constexpr std::size_t max_waiting = 256u << 10;

    // `writer` must outlive the writes, i.e. `finish` must be awaited. `memory` bounds what waits
    // for all callers together.
    stream_outbox(boost::asio::io_context& context, response_writer& writer, std::string headers,
                  std::shared_ptr<body_memory> memory);

    // Passes events on; `last` ends the stream as complete. Returns at once unless too much waits:
    // then it returns when the caller has taken enough. Returns false if a write has failed.
    boost::asio::awaitable<bool> add(std::string events, bool last);

    // Drops what waits, except a write in progress.
    void discard();

    // Waits until everything is written. Returns false if a write has failed.
    boost::asio::awaitable<bool> finish();

private:
    static boost::asio::awaitable<void> write_all(std::shared_ptr<stream_outbox> self);
    bool has_room();
    boost::asio::awaitable<void> wait_for_write();

    boost::asio::io_context& context_;
    response_writer& writer_;
    std::string headers_;
    body_memory::share memory_;
    boost::asio::steady_timer written_; // never expires; cancelled after each write
    std::string waiting_;
    bool last_ = false;
    bool writing_ = false;
    bool failed_ = false;
};

} // namespace quetzal::gateway::internal

#endif
