// Guards against shares of a machine that do not fit it: a process that is suspended while clients
// send cannot refuse anything, so the sum of all shares is the bound.

#include <array>
#include <string>

#include <quetzal/gateway/machine_budget.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

constexpr std::size_t mb = 1u << 20;
constexpr std::size_t program = 12 * mb; // measured without clients
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t largest_fleet = 330; // instances

struct machine
{
    std::size_t memory_mb;
    std::size_t descriptors;
};

constexpr std::array<machine, 5> site_machines{
    {{160, 4100}, {260, 4100}, {512, 8192}, {160, 8192}, {512, 4100}}};
constexpr std::array<machine, 3> small_machines{{{40, 4100}, {40, 1100}, {64, 2100}}};

std::size_t all_unread_bytes(const machine_budget& budget)
{
    return budget.callers.unread_bytes() + internal_ports * budget.internal.unread_bytes() +
           budget.peers.unread_bytes() +
           2 * budget.endpoint_connections *
               static_cast<std::size_t>(budget.endpoint_receive_buffer);
}

std::size_t all_connections(const machine_budget& budget)
{
    return budget.callers.connections + internal_ports * budget.internal.connections +
           budget.peers.connections + budget.endpoint_connections;
}

void check_sums(const machine& size)
{
    const machine_budget budget = divide_machine(size.memory_mb * mb, size.descriptors);
    const std::string name =
        std::to_string(size.memory_mb) + " MB, " + std::to_string(size.descriptors) + ": ";
    check(program + budget.ledger + all_unread_bytes(budget) < size.memory_mb * mb,
          name + "the memory suffices while every buffer is full");
    check(all_connections(budget) <= size.descriptors - file_descriptors,
          name + "the descriptors suffice while every port is full");
}

} // namespace

Test(machine_budget, shares_fit_the_machine)
{
    section("the sites' machines and others of their kinds", [&] {
        for (const machine& size : site_machines) {
            check_sums(size);
        }
    });
    section("machines smaller than any of the sites", [&] {
        for (const machine& size : small_machines) {
            check_sums(size);
        }
    });
}

// Guards against shares that clients and peers inside the limits meet.
Test(machine_budget, shares_suffice_for_ordinary_load)
{
    for (const machine& size : site_machines) {
        const machine_budget budget = divide_machine(size.memory_mb * mb, size.descriptors);
        section("a body of the largest size is read", [&] {
            // Three times its size while it grows, outside the reserve for small requests.
            check(3 * 4 * mb < budget.ledger / 8 * 7, "it fits");
        });
        section("a whole fleet connects", [&] {
            check(budget.peers.connections >= largest_fleet, "each other instance has a place");
        });
        section("heads of ordinary requests arrive in one piece",
                [&] { check(budget.callers.receive_buffer >= 4 << 10, "a head fits the buffer"); });
    }
}
