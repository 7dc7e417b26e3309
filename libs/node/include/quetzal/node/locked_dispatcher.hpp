#ifndef QUETZAL_NODE_LOCKED_DISPATCHER_HPP
#define QUETZAL_NODE_LOCKED_DISPATCHER_HPP

// A dispatcher that is protected by a mutex. Actions are routed in the order in which the
// dispatcher produces them.

#include <functional>
#include <mutex>
#include <utility>

#include <quetzal/serving/dispatcher.hpp>

namespace quetzal::node {

// Thread-safe. The router is called under the lock, so that two threads cannot reorder the actions
// of one request. The router must only post the action and must not call back into this object.
class locked_dispatcher
{
public:
    using router = std::function<void(const serving::action& action)>;

    locked_dispatcher(serving::dispatcher_options options, serving::dispatch_gate gate)
        : dispatcher_(std::move(options), std::move(gate))
    {
    }

    // Sets the function that receives the actions. Must be called before the first command.
    void set_router(router route) { route_ = std::move(route); }

    // Runs `function(dispatcher&)` and routes the actions that it returns.
    template <class Function>
    void command(Function&& function)
    {
        const std::lock_guard lock(mutex_);
        for (const auto& action : std::forward<Function>(function)(dispatcher_)) {
            route_(action);
        }
    }

    // Returns the result of `function(const dispatcher&)`.
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
