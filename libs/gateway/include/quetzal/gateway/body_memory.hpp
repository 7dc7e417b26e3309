#ifndef QUETZAL_GATEWAY_BODY_MEMORY_HPP
#define QUETZAL_GATEWAY_BODY_MEMORY_HPP

#include <cstddef>
#include <memory>

#include <quetzal/gateway/memory_ledger.hpp>

namespace quetzal::gateway {

// Bounds the memory of all response bodies that are read as a whole at the same time, as a part of
// the instance's memory. Not thread-safe.
class body_memory
{
public:
    // Without a ledger, the bodies are bounded by `limit` alone.
    explicit body_memory(std::size_t limit, std::shared_ptr<memory_ledger> ledger = {})
        : limit_(limit), ledger_(std::move(ledger))
    {
    }

    // The part of the memory that one body uses; returned to the others on destruction.
    class share
    {
    public:
        // Without an owner the share is unlimited.
        explicit share(std::shared_ptr<body_memory> owner) : owner_(std::move(owner)) {}
        ~share()
        {
            if (owner_) {
                owner_->used_ -= counted_;
                if (owner_->ledger_) {
                    owner_->ledger_->give_back(size_);
                }
            }
        }
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        // Raises the share to `size` bytes. Returns false if the limit does not allow that. The
        // first `free_size` bytes of each body are always granted, so that small responses are read
        // even when large ones use up the limit.
        bool grow(std::size_t size)
        {
            if (!owner_ || size <= size_) {
                return true;
            }
            const bool is_small = size <= free_size;
            const std::size_t counted = is_small ? 0 : size - counted_;
            if (counted > owner_->limit_ - owner_->used_) {
                return false;
            }
            if (owner_->ledger_ && is_small) {
                owner_->ledger_->take_always(size - size_, boot_clock::now());
            } else if (owner_->ledger_ && !owner_->ledger_->take(size - size_, boot_clock::now())) {
                return false;
            }
            owner_->used_ += counted;
            counted_ += counted;
            size_ = size;
            return true;
        }

    private:
        static constexpr std::size_t free_size = 64u << 10; // bytes

        std::shared_ptr<body_memory> owner_;
        std::size_t size_ = 0;    // bytes
        std::size_t counted_ = 0; // bytes, toward the limit of all bodies
    };

    std::size_t limit() const noexcept { return limit_; }

    // Whether others have probably given way for the latest bytes. They free their memory when
    // their coroutines go on.
    bool is_scarce() const noexcept
    {
        constexpr std::size_t part = 8; // of the ledger's limit
        return ledger_ && ledger_->used() > ledger_->limit() - ledger_->limit() / part;
    }

private:
    std::size_t limit_;    // bytes
    std::size_t used_ = 0; // bytes
    std::shared_ptr<memory_ledger> ledger_;
};

} // namespace quetzal::gateway

#endif
