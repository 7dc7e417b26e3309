#ifndef QUETZAL_BASE_SHARDED_HPP
#define QUETZAL_BASE_SHARDED_HPP

// State that several threads share, split into shards with one lock each, so that threads that use
// different keys rarely contend for a lock.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace quetzal {

// A fixed number of values of type `State`, each protected by its own lock. Thread-safe. A function
// passed to `with` or `for_each` must not call either on the same object, because the locks are not
// recursive.
template <class State>
class sharded
{
public:
    // Constructs `count` shards, at least 1, each from `arguments`.
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

    // Calls `function(State&)` for every shard and holds the lock of only one shard at a time.
    template <class Function>
    void for_each(Function&& function)
    {
        for (const auto& entry : shards_) {
            const std::lock_guard lock(entry->mutex);
            function(entry->state);
        }
    }

private:
    // Aligned to the size of a cache line, so that two locks never share a cache line.
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
