#ifndef QUETZAL_GATEWAY_MACHINE_BUDGET_HPP
#define QUETZAL_GATEWAY_MACHINE_BUDGET_HPP

// Divides the memory and the descriptors of an instance's machine. Bytes that the kernel has
// received and the instance has not read count as its memory, also while it does not run and can
// refuse nothing, so the receive buffers of all connections that may be open or wait to be accepted
// have to fit. Reads nothing from the machine.

#include <cstddef>

namespace quetzal::gateway {

// Bounds of the connections to one listening port.
struct port_budget
{
    std::size_t connections = 0; // open at once
    int backlog = 0;             // connections that wait to be accepted
    int receive_buffer = 0;      // bytes, as given to the kernel, which may hold twice as many

    // Returns the largest number of bytes that the kernel holds for the port.
    std::size_t unread_bytes() const;
};

struct machine_budget
{
    std::size_t ledger = 0; // bytes, for requests and responses
    port_budget callers;
    port_budget internal; // of each of the ports for readiness, addresses and metrics
    port_budget peers;
    std::size_t endpoint_connections = 0; // for which descriptors are kept
    int endpoint_receive_buffer = 0;      // bytes, as given to the kernel
};

constexpr std::size_t internal_ports = 3;

// Returns the shares of a machine with that many bytes of memory and descriptors.
machine_budget divide_machine(std::size_t memory, std::size_t descriptors);

} // namespace quetzal::gateway

#endif
