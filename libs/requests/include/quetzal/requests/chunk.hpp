#ifndef QUETZAL_REQUESTS_CHUNK_HPP
#define QUETZAL_REQUESTS_CHUNK_HPP

// Immutable bytes that the frame parser, the answer log and the connections share without copying.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace quetzal::requests {

// A slice of a shared block. Copies share the block. The chunk of a data frame is the text of one
// JSON value. It contains no line break, so it can be sent as the data line of a server-sent event.
class chunk
{
public:
    chunk() = default;

    // Creates a chunk that owns a block with the text.
    explicit chunk(std::string text)
    {
        auto owned = std::make_shared<const std::string>(std::move(text));
        bytes_ = *owned;
        charge_ = bytes_.size();
        block_ = std::move(owned);
    }

    // Creates a slice of a block. `charge` is the number of bytes of the block that are attributed
    // to the slice, at least the size of the slice.
    chunk(std::shared_ptr<const void> block, std::string_view bytes, std::size_t charge) noexcept
        : block_(std::move(block)), bytes_(bytes), charge_(charge)
    {
    }

    std::string_view view() const noexcept { return bytes_; }
    std::size_t size() const noexcept { return bytes_.size(); }

    // Bytes of memory attributed to the slice: the size of its frame including the envelope.
    std::size_t charge() const noexcept { return charge_; }

private:
    std::shared_ptr<const void> block_;
    std::string_view bytes_;
    std::size_t charge_ = 0;
};

} // namespace quetzal::requests

#endif
