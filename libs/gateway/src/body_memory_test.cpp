#include <memory>
#include <optional>

#include <quetzal/gateway/body_memory.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;

namespace {

constexpr std::size_t kb = 1024;

} // namespace

// Guards against small bodies that nobody counts, of which many use up the memory.
Test(body_memory, small_bodies_are_charged_and_always_granted)
{
    memory_limits limits;
    limits.total = 200 * kb;
    const auto ledger = std::make_shared<memory_ledger>(limits);
    const auto memory = std::make_shared<body_memory>(100 * kb, ledger);
    std::optional<body_memory::share> large(std::in_place, memory);
    check(large->grow(50 * kb) && large->grow(90 * kb), "a body grows");
    check(ledger->used() == 90 * kb, "its first bytes are charged like the others");
    body_memory::share other(memory);
    check(other.grow(60 * kb) && ledger->used() == 150 * kb, "a small body is charged");
    check(!other.grow(120 * kb), "it may not grow beyond the limit of all bodies");
    {
        body_memory::share third(memory);
        check(third.grow(64 * kb) && ledger->used() == 214 * kb, "a small one is always granted");
    }
    large.reset();
    check(ledger->used() == 60 * kb, "memory is returned");
    check(other.grow(90 * kb), "and is there for others");
}
