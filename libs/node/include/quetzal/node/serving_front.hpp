#ifndef QUETZAL_NODE_SERVING_FRONT_HPP
#define QUETZAL_NODE_SERVING_FRONT_HPP

// The dispatcher behind its lock. Its actions are routed in the order in which it produced them.

#include <functional>
#include <mutex>
#include <utility>

#include <quetzal/serving/dispatcher.hpp>

namespace quetzal::node {

// Thread-safe. `route` is called under the lock, so that two threads cannot reorder the actions of
// one request; it must only hand the action on (post), never call back.
class serving_front
{
public:
    using router = std::function<void(const serving::action& action)>;

    serving_front(serving::dispatcher_options options, serving::dispatch_gate gate)
        : dispatcher_(std::move(options), std::move(gate))
    {
    }

    // Sets where actions go. Call it before the first command.
    void set_router(router route) { route_ = std::move(route); }

    // Runs a command `function(dispatcher&)` that returns actions, and routes them.
    template <class Function>
    void command(Function&& function)
    {
        const std::lock_guard lock(mutex_);
        for (const auto& action : std::forward<Function>(function)(dispatcher_)) {
            route_(action);
        }
    }

    // Runs a query `function(const dispatcher&)`.
    template <class Function>
    auto query(Function&& function) const
    {
        const std::lock_guard lock(mutex_);
        return std::forward<Function>(function)(dispatcher_);
    }

private:
    mutable std::mutex mutex_;
    serving::dispatcher dispatcher_;
    router route_;
};

} // namespace quetzal::node

#endif
