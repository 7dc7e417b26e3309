#ifndef QUETZAL_GATEWAY_MEMORY_LEDGER_HPP
#define QUETZAL_GATEWAY_MEMORY_LEDGER_HPP

// Decides who may use an instance's memory for requests and responses, and who gives way. Reads no
// clock and does no I/O. Not thread-safe.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <quetzal/base/time.hpp>

namespace quetzal::gateway {

struct memory_limits
{
    std::size_t total = 128u << 20; // bytes of everything that is charged
    // The part of `total`, and of `requests`, that the requests being received from one address may
    // use. A single request may use more.
    double address_share = 0.5;
    std::size_t requests = 2000;    // that are being received at once
    std::size_t connections = 2000; // open at once; above, idle and slow ones give way
    // Under pressure, a request that is being received, or a response that is written, gives way
    // first if it had no byte for `stall_time`, or fewer bytes per second than `min_rate` since it
    // began.
    duration stall_time = std::chrono::seconds(1);
    double min_rate = 1024;
};

// What a connection is doing.
enum class holder_phase
{
    idle,      // waits for a request
    receiving, // a head or a body that is not whole
    kept,      // a request that runs; never gives way
    writing    // a response that is written; set by `begin_write` only
};

// Why connections give way or are refused, for metrics.
enum class memory_refusal
{
    idle,    // closed to make room
    slow,    // received too slowly under pressure
    unread,  // a response that its caller reads too slowly under pressure
    newest,  // newer than the others, under pressure
    address, // its address uses its share
    full     // nobody can give way
};

constexpr std::array<memory_refusal, 6> all_memory_refusals{
    memory_refusal::idle,   memory_refusal::slow,    memory_refusal::unread,
    memory_refusal::newest, memory_refusal::address, memory_refusal::full};

// Returns the stable lower-case name, e.g. "newest".
const char* to_string(memory_refusal value) noexcept;

// Charges bytes before they are allocated. Under pressure, connections give way in this order: idle
// ones that have sent nothing yet, the longest idle first; other idle ones in the same order;
// requests that do not progress, the longest without a byte first; responses that do not progress
// in the same order; the newest of the requests being received, the larger one of two that began
// together. For responses that are to be written, other ones give way too, the longest written
// first.
//
// A connection whose request has given way may still send a refusal. It stays charged as an idle
// one until it is closed, and has to be closed at once if it gives way a second time, which happens
// only to make room for another connection.
class memory_ledger
{
public:
    using holder = std::uint64_t; // identifies a connection; 0 is none

    explicit memory_ledger(memory_limits limits) : limits_(limits) {}

    // Sets the function that is called for each connection that has to give way. It must not call
    // the ledger for other connections. Further charges of such a connection are refused.
    void on_give_way(std::function<void(holder)> callback) { give_way_ = std::move(callback); }

    // Adds an idle connection, which uses `size` bytes itself. Returns 0 if there is no room for
    // it.
    holder open(const std::string& address, std::size_t size, time_point now);

    // Removes a connection.
    void close(holder id);

    // Returns false if the connection may not begin to receive a request.
    bool set_phase(holder id, holder_phase phase, time_point now);

    // Records that a connection is about to be closed and no longer holds a request.
    void leave(holder id, time_point now);

    // Records that a response is written to a connection whose request is kept, and that it has
    // been written.
    void begin_write(holder id, time_point now);
    void end_write(holder id);

    // Records bytes of a request that were received, or of a response that the caller has taken.
    void record_progress(holder id, std::size_t size, time_point now);

    // Sets the number of bytes that a connection uses. Returns false, without a change, if it would
    // have to give way itself. Connections that are kept, or written to, are always granted.
    bool resize(holder id, std::size_t size, time_point now);

    // Charges bytes that belong to no connection, such as endpoints' responses. Returns false if
    // there is no room.
    bool take(std::size_t size, time_point now);

    // The same for bytes that are there in any case: others give way if that makes room.
    void take_always(std::size_t size, time_point now);

    // Returns bytes that were taken.
    void give_back(std::size_t size) noexcept { used_ -= size; }

    std::size_t used() const noexcept { return used_; }
    std::size_t limit() const noexcept { return limits_.total; }

    // Number of connections and requests that gave way or were refused so far.
    std::uint64_t refused(memory_refusal why) const
    {
        return refused_.at(static_cast<std::size_t>(why));
    }

private:
    struct entry
    {
        std::string address;
        std::size_t size = 0;      // bytes
        std::size_t idle_size = 0; // bytes of the connection itself
        holder_phase phase = holder_phase::idle;
        time_point began{};           // the phase
        time_point progress{};        // the last byte
        std::uint64_t progressed = 0; // bytes since the phase began
        bool was_used = false;        // a request has begun
        bool leaving = false;         // has given way
        bool gone = false;            // has given way and freed everything; counts no longer
    };

    // The place of a connection in the order of giving way.
    struct turn;

    struct address_use
    {
        std::size_t requests = 0;
        std::size_t size = 0; // bytes
    };

    bool is_slow(const entry& candidate, time_point now) const;
    std::optional<turn> turn_of(holder id, const entry& holds, time_point now) const;
    bool make_room_for_connection(time_point now);
    bool make_room(std::size_t size, std::size_t limit, holder requester, time_point now,
                   bool forced = false);
    void enter_phase(entry& changed, holder_phase phase, time_point now);
    void evict(const turn& next);
    void leave_receiving(const entry& former);
    bool refuse(memory_refusal why);
    std::size_t limit_for(std::size_t size) const;

    memory_limits limits_;
    std::size_t used_ = 0; // bytes
    holder last_ = 0;
    std::unordered_map<holder, entry> entries_;
    std::size_t connections_ = 0;                  // that are not gone
    std::map<std::string, address_use> receiving_; // by address
    std::size_t receiving_count_ = 0;
    std::function<void(holder)> give_way_;
    std::array<std::uint64_t, all_memory_refusals.size()> refused_{};
};

} // namespace quetzal::gateway

#endif
