#include <quetzal/gateway/machine_budget.hpp>

#include <algorithm>

namespace quetzal::gateway {

namespace {

constexpr std::size_t program_memory = 16u << 20; // bytes, without clients
constexpr std::size_t file_descriptors = 200;     // which the machine reserves
constexpr std::size_t smallest_sockets = 256;

constexpr std::size_t smallest_buffer = 2u << 10;        // bytes; the kernel allows little less
constexpr std::size_t smallest_caller_buffer = 4u << 10; // bytes; most heads fit
// A larger buffer needs window scaling to be of use.
constexpr std::size_t largest_buffer = 32u << 10; // bytes
constexpr std::size_t kernel_factor = 2; // bytes that the kernel may hold for each of a buffer

constexpr std::size_t most_internal_connections = 256;
constexpr std::size_t most_peers = 512;
constexpr std::size_t most_waiting_callers = 512;
constexpr std::size_t most_waiting_peers = 128;

// Returns the size of a buffer if `connections` of them share `memory` bytes.
int buffer_size(std::size_t memory, std::size_t connections)
{
    const std::size_t size = memory / (connections * kernel_factor);
    return static_cast<int>(std::clamp(size, smallest_buffer, largest_buffer));
}

port_budget caller_budget(std::size_t memory, std::size_t sockets)
{
    // A fifth of the connections may wait to be accepted, beside the others.
    const std::size_t affordable = memory / (smallest_caller_buffer * kernel_factor);
    port_budget callers;
    callers.connections = std::min(sockets, affordable * 4 / 5);
    const std::size_t waiting = std::min(most_waiting_callers, callers.connections / 4);
    callers.backlog = static_cast<int>(waiting);
    callers.receive_buffer = buffer_size(memory, callers.connections + waiting);
    return callers;
}

} // namespace

std::size_t port_budget::unread_bytes() const
{
    return (connections + static_cast<std::size_t>(backlog)) * kernel_factor *
           static_cast<std::size_t>(receive_buffer);
}

machine_budget divide_machine(std::size_t memory, std::size_t descriptors)
{
    const std::size_t usable = std::max(memory, 2 * program_memory) - program_memory;
    const std::size_t sockets =
        std::max(descriptors, smallest_sockets + file_descriptors) - file_descriptors;
    machine_budget budget;
    budget.ledger = usable * 3 / 8;

    budget.internal.connections = std::min(most_internal_connections, sockets / 16);
    budget.internal.backlog = static_cast<int>(budget.internal.connections / 2);
    budget.internal.receive_buffer = static_cast<int>(smallest_buffer);

    budget.peers.connections = std::min(most_peers, sockets / 6);
    const std::size_t waiting_peers = std::min(most_waiting_peers, budget.peers.connections / 4);
    budget.peers.backlog = static_cast<int>(waiting_peers);
    budget.peers.receive_buffer =
        buffer_size(usable / 24, budget.peers.connections + waiting_peers);

    budget.endpoint_connections = sockets / 6;
    budget.endpoint_receive_buffer = buffer_size(usable / 8, budget.endpoint_connections);

    const std::size_t others = internal_ports * budget.internal.connections +
                               budget.peers.connections + budget.endpoint_connections;
    budget.callers = caller_budget(usable / 4, sockets - others);
    return budget;
}

} // namespace quetzal::gateway
