#ifndef QUETZAL_BASE_SHARDED_HPP
#define QUETZAL_BASE_SHARDED_HPP

// State that several threads share, split into shards with a lock each. Threads that work on
// different keys seldom meet.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace quetzal {

// A fixed number of values of type `State`, each under its own lock. Thread-safe. A function passed
// to `with` must not call `with` on the same object: locks are not recursive.
template <class State>
class sharded
{
public:
    // Builds `count` shards (at least 1) from copies of `arguments`.
    template <class... Arguments>
    explicit sharded(std::size_t count, const Arguments&... arguments)
    {
        shards_.reserve(count);
        for (std::size_t index = 0; index < count; ++index) {
            shards_.push_back(std::make_unique<shard>(arguments...));
        }
    }

    std::size_t size() const noexcept { return shards_.size(); }

    // Calls `function(State&)` under the lock of the shard that the hash selects and returns its
    // result.
    template <class Function>
    decltype(auto) with(std::uint64_t hash, Function&& function)
    {
        shard& selected = *shards_[hash % shards_.size()];
        const std::lock_guard lock(selected.mutex);
        return std::forward<Function>(function)(selected.state);
    }

    // Calls `function(State&)` for every shard, one lock at a time.
    template <class Function>
    void for_each(Function&& function)
    {
        for (const auto& entry : shards_) {
            const std::lock_guard lock(entry->mutex);
            function(entry->state);
        }
    }

private:
    // Aligned to the size of a cache line, so that two locks never share one.
    struct alignas(64) shard
    {
        template <class... Arguments>
        explicit shard(const Arguments&... arguments) : state(arguments...)
        {
        }

        std::mutex mutex;
        State state;
    };

    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace quetzal

#endif
