#ifndef QUETZAL_REQUESTS_CHUNK_HPP
#define QUETZAL_REQUESTS_CHUNK_HPP

// Immutable bytes that the frame parser, the answer log and the connections share without copying.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace quetzal::requests {

// A slice of a shared block. Copies share the block. The bytes of a data frame are the text of one
// JSON value, which never holds a line break, so it can be the data line of a server-sent event.
class chunk
{
public:
    chunk() = default;

    // Makes a chunk of its own block.
    explicit chunk(std::string text)
    {
        auto owned = std::make_shared<const std::string>(std::move(text));
        bytes_ = *owned;
        charge_ = bytes_.size();
        block_ = std::move(owned);
    }

    // Makes a slice of a block. `charge` is the share of the block that the slice keeps in memory,
    // at least the size of the slice.
    chunk(std::shared_ptr<const void> block, std::string_view bytes, std::size_t charge) noexcept
        : block_(std::move(block)), bytes_(bytes), charge_(charge)
    {
    }

    std::string_view view() const noexcept { return bytes_; }
    std::size_t size() const noexcept { return bytes_.size(); }

    // Bytes of memory that the slice accounts for: its frame with the envelope.
    std::size_t charge() const noexcept { return charge_; }

private:
    std::shared_ptr<const void> block_;
    std::string_view bytes_;
    std::size_t charge_ = 0;
};

} // namespace quetzal::requests

#endif
