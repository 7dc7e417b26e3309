#ifndef QUETZAL_GATEWAY_REQUEST_READER_HPP
#define QUETZAL_GATEWAY_REQUEST_READER_HPP

// Reads a caller's request in steps. Before each step, all memory that it may allocate is charged.

#include <cstddef>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <quetzal/gateway/memory_ledger.hpp>

#include "request_framing.hpp"

namespace quetzal::gateway::internal {

// Bytes of an open connection without a request: its objects, its coroutine and its timer.
constexpr std::size_t connection_size = 8u << 10;

// Charges what one connection uses to the ledger. The connection leaves it on destruction.
class connection_memory
{
public:
    // `has_small_buffer` means that the port bounds what the kernel receives.
    connection_memory(memory_ledger& ledger, memory_ledger::holder id, bool has_small_buffer)
        : ledger_(ledger), id_(id), has_small_buffer_(has_small_buffer)
    {
    }
    ~connection_memory() { ledger_.close(id_); }
    connection_memory(const connection_memory&) = delete;
    connection_memory& operator=(const connection_memory&) = delete;

    memory_ledger::holder id() const { return id_; }

    // Returns false if the connection may not begin to receive a request.
    bool set_phase(holder_phase phase);

    // Sets the bytes used beside those of an open connection. Returns false if they are refused.
    bool resize(std::size_t size);

    // Adds bytes to those that are used, or returns them.
    bool add(std::size_t size) { return resize(size_ + size); }
    void remove(std::size_t size) { resize(size_ - size); }

    // Records bytes of the request that were received, or of the response that the caller has
    // taken.
    void record_progress(std::size_t size);

    // Adds the bytes of a response that is written. Returns how many `end_write` has to return.
    std::size_t begin_write(std::size_t size);
    void end_write(std::size_t size);

    // Lets the kernel receive more of a long body ahead, unless the memory is needed otherwise. The
    // buffer of the port suffices for a body in calm only if the instance is never held up.
    void enlarge_receive_buffer(boost::asio::ip::tcp::socket& socket);

    // Records that the connection is about to be closed and no longer holds a request.
    void leave();

private:
    memory_ledger& ledger_;
    memory_ledger::holder id_;
    bool has_small_buffer_;
    std::size_t size_ = 0; // bytes, beside those of an open connection
    std::size_t unread_size_ =
        0; // bytes that the kernel may hold beside those of the port's buffer
};

// Whether a read ended because its memory was refused.
enum class read_end
{
    whole,   // or failed with an error
    refused, // no memory
};

// Reads until the head of the request is complete, or the whole request if `to_end`.
boost::asio::awaitable<read_end> read_request(boost::asio::ip::tcp::socket& socket,
                                              boost::beast::flat_buffer& buffer,
                                              request_parser& parser, connection_memory& memory,
                                              bool to_end, boost::system::error_code& error);

// Returns the bytes that a request uses whose head, at least, has been read.
std::size_t request_size(const request_parser& parser, const boost::beast::flat_buffer& buffer);

} // namespace quetzal::gateway::internal

#endif
