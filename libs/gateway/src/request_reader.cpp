#include "request_reader.hpp"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <quetzal/gateway/decision_log.hpp>

namespace quetzal::gateway::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Without window scaling, which the smaller buffer of the port excludes, the kernel receives no
// more.
constexpr int large_receive_buffer = 64 << 10;  // bytes
constexpr std::size_t long_body = 16u << 10;    // bytes; a longer body gets that buffer
constexpr std::size_t first_step = 512;         // bytes; most heads are small
constexpr std::size_t largest_step = 16u << 10; // bytes
constexpr std::size_t field_overhead = 128;     // bytes of a parsed header field besides its text
// Text that waits for its end, of a head or of trailers, may become fields with four bytes of text
// each. Most have far more.
constexpr std::size_t text_factor = 8;
constexpr std::size_t text_copies =
    3; // in the buffer's fields, in the request and for the endpoint

// Returns the memory of the buffer while `size` bytes are made available in it: its own and, if it
// has to grow, the new one.
std::size_t buffer_size_at_growth(const boost::beast::flat_buffer& buffer, std::size_t size)
{
    const std::size_t needed = buffer.size() + size;
    return needed <= buffer.capacity() ? buffer.capacity()
                                       : buffer.capacity() + std::max(needed, 2 * buffer.size());
}

// Returns the memory of a body while up to `size` bytes are appended.
std::size_t body_size_at_growth(const std::string& body, std::size_t size)
{
    const std::size_t needed = body.size() + size;
    return needed <= body.capacity() ? body.capacity()
                                     : body.capacity() + std::max(needed, 2 * body.capacity());
}

std::size_t fields_size(const request_parser& parser)
{
    if (!parser.is_header_done()) {
        return 0;
    }
    std::size_t size = 0;
    for (const auto& field : parser.get()) {
        size += field_overhead + text_copies * (field.name_string().size() + field.value().size());
    }
    return size;
}

// Returns the bytes of a body that have arrived or are announced, once the head is complete.
std::size_t known_body_size(const request_parser& parser)
{
    return parser.get().body().size() + parser.content_length_remaining().value_or(0);
}

} // namespace

bool connection_memory::set_phase(holder_phase phase)
{
    return ledger_.set_phase(id_, phase, boot_clock::now());
}

bool connection_memory::resize(std::size_t size)
{
    if (!ledger_.resize(id_, connection_size + unread_size_ + size, boot_clock::now())) {
        return false;
    }
    size_ = size;
    return true;
}

void connection_memory::record_progress(std::size_t size)
{
    ledger_.record_progress(id_, size, boot_clock::now());
}

std::size_t connection_memory::begin_write(std::size_t size)
{
    ledger_.begin_write(id_, boot_clock::now());
    // Refused only to a connection that is about to be closed.
    return add(size) ? size : 0;
}

void connection_memory::end_write(std::size_t size)
{
    remove(size);
    ledger_.end_write(id_);
}

void connection_memory::enlarge_receive_buffer(asio::ip::tcp::socket& socket)
{
    const std::size_t unread = large_receive_buffer;
    if (!has_small_buffer_ || ledger_.used() + unread > ledger_.limit() / 2 ||
        !ledger_.resize(id_, connection_size + unread + size_, boot_clock::now()))
    {
        return;
    }
    has_small_buffer_ = false;
    unread_size_ = unread;
    boost::system::error_code error;
    socket.set_option(asio::socket_base::receive_buffer_size(large_receive_buffer), error);
    if (error) {
        log_event("receive_buffer_not_enlarged", {{"error", error.message()}});
    }
}

void connection_memory::leave()
{
    ledger_.leave(id_, boot_clock::now());
    size_ = 0;
}

std::size_t request_size(const request_parser& parser, const boost::beast::flat_buffer& buffer)
{
    return buffer.capacity() + parser.get().body().capacity() + fields_size(parser);
}

asio::awaitable<read_end> read_request(asio::ip::tcp::socket& socket,
                                       boost::beast::flat_buffer& buffer, request_parser& parser,
                                       connection_memory& memory, bool to_end,
                                       boost::system::error_code& error)
{
    const auto done = [&] { return to_end ? parser.is_done() : parser.is_header_done(); };
    parser.eager(to_end);
    std::size_t text = 0; // bytes in the buffer whose end has not arrived
    while (!done()) {
        const std::size_t fields = fields_size(parser);
        if (buffer.size() > text) {
            // A body with a length is allocated as a whole before its first byte is parsed.
            std::size_t body = body_size_at_growth(parser.get().body(), buffer.size());
            if (parser.is_header_done()) {
                const auto rest = parser.content_length_remaining().value_or(0);
                body = std::max<std::size_t>(body, rest);
            }
            const std::size_t heads = parser.is_header_done() ? 0 : text_factor * buffer.size();
            if (!memory.resize(buffer.capacity() + body + fields + heads)) {
                co_return read_end::refused;
            }
            const std::size_t used = parser.put(buffer.data(), error);
            buffer.consume(used);
            text = buffer.size();
            if (error && error != http::error::need_more) {
                co_return read_end::whole;
            }
            error = {};
            if (used > 0) {
                text = 0;
                continue;
            }
        }
        if (parser.is_header_done() && known_body_size(parser) > long_body) {
            memory.enlarge_receive_buffer(socket);
        }
        const std::size_t room = buffer.max_size() - buffer.size();
        const std::size_t step = std::min(
            room, parser.is_header_done() && text == 0 ? largest_step : std::max(first_step, text));
        if (step == 0) {
            error = http::error::buffer_overflow;
            co_return read_end::whole;
        }
        if (!memory.resize(buffer_size_at_growth(buffer, step) + fields + text_factor * text +
                           body_size_at_growth(parser.get().body(), step)))
        {
            co_return read_end::refused;
        }
        const auto space = buffer.prepare(step);
        const std::size_t size = co_await socket.async_read_some(
            space, asio::redirect_error(asio::use_awaitable, error));
        buffer.commit(size);
        memory.record_progress(size);
        if (error == asio::error::eof) {
            error = {};
            if (parser.got_some()) {
                parser.put_eof(error);
            } else {
                error = http::error::end_of_stream;
            }
            co_return read_end::whole;
        }
        if (error) {
            co_return read_end::whole;
        }
    }
    co_return memory.resize(request_size(parser, buffer)) ? read_end::whole : read_end::refused;
}

} // namespace quetzal::gateway::internal
