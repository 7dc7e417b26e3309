// Tests that a task that serves for the whole life of the process survives an exception.

#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <quetzal/gateway/spawn.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
namespace asio = boost::asio;

namespace {

asio::awaitable<void> fail_twice(int& runs)
{
    ++runs;
    if (runs < 3) {
        throw std::runtime_error("unexpected");
    }
    co_return;
}

} // namespace

// Guards against an instance that stops following the store, or stops answering its peers, after
// one unexpected error, and serves on with what it knew.
Test(spawn, persistent_tasks_start_again_after_an_exception)
{
    asio::io_context context(1);
    int runs = 0;
    spawn_persistent(context, "task", [&] { return fail_twice(runs); });
    context.run_for(std::chrono::seconds(2));
    check(runs == 3, "the task runs until it ends without an exception");
}
